package quota

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
)

// TestOnlySeenOwnersAreReplaced guards against the replacement of a live owner by a
// relay that has just started and has not learnt of it yet. Several relays did so in
// turn, and the organisation's requests were refused while terms changed.
func TestOnlySeenOwnersAreReplaced(t *testing.T) {
	organisations := []config.Organisation{{ID: "org"}}
	owner := Candidate{VM: "fares-1", Incarnation: 3}
	others := []Candidate{{VM: "fares-2", Incarnation: 1, Region: "riga"}}
	table := &config.OwnerTable{Owners: []config.Owner{{Organisation: "org", VM: owner.VM, Incarnation: owner.Incarnation, Term: 1}}}
	changed := func(s *SeenOwners, candidates []Candidate) bool {
		_, changed := AssignOwners(table, organisations, append(candidates, s.Unseen(table, candidates)...), "riga")
		return changed
	}
	s := &SeenOwners{}
	assert.Assert(t, !changed(s, others), "an owner that was never seen was replaced")
	assert.Assert(t, !changed(s, append(others, owner)))
	assert.Assert(t, changed(s, others), "an owner that has left was kept")

	restarted := Candidate{VM: owner.VM, Incarnation: 4, Region: "riga"}
	assert.Assert(t, changed(&SeenOwners{}, append(others, restarted)), "the owner's earlier incarnation was kept after a restart")
}
