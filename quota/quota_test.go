package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
)

func TestMaxExcessChecksEveryWindow(t *testing.T) {
	at := func(millis ...int) (times []time.Time) {
		for _, m := range millis {
			times = append(times, epoch.Add(time.Duration(m)*time.Millisecond))
		}
		return times
	}
	limit := Limit{Rate: 10, Burst: 2}
	assert.Equal(t, MaxExcess(nil, limit), -2.0)
	assert.Assert(t, MaxExcess(at(0, 0, 100, 200, 300), limit) < 1e-9)
	// Three at once after a pause, although the average rate is low.
	assert.Equal(t, MaxExcess(at(0, 5000, 5000, 5000), limit), 1.0)
}

func TestAssignOwnersReplacesOnlyLostOwners(t *testing.T) {
	organisations := []config.Organisation{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	candidates := []Candidate{
		{VM: "vm-1", Incarnation: 1, Region: "riga"},
		{VM: "vm-2", Incarnation: 1, Region: "riga"},
		{VM: "vm-3", Incarnation: 1, Region: "jurmala"},
	}
	table, changed := AssignOwners(nil, organisations, candidates, "riga")
	assert.Assert(t, changed)
	for _, owner := range table.Owners {
		assert.Equal(t, owner.Term, uint64(firstTerm))
		assert.Assert(t, owner.VM != "vm-3")
	}
	_, changed = AssignOwners(table, organisations, candidates, "riga")
	assert.Assert(t, !changed)

	// A restarted VM does not own what its previous incarnation owned.
	candidates[0].Incarnation = 2
	next, _ := AssignOwners(table, organisations[:2], candidates, "riga")
	assert.Equal(t, len(next.Owners), len(table.Owners))
	for i, owner := range next.Owners[:2] {
		if before := table.Owners[i]; before.VM == "vm-1" {
			assert.Equal(t, owner.Term, before.Term+1)
		} else {
			assert.Equal(t, owner, before)
		}
	}
	// An organisation that is added again does not restart at the first term.
	back, _ := AssignOwners(next, organisations, candidates[1:2], "riga")
	for i, owner := range back.Owners {
		assert.Equal(t, owner.VM, "vm-2")
		assert.Assert(t, owner.Term >= table.Owners[i].Term)
	}
}

// TestLowerLimitAppliesImmediately checks that a holder reduces its share before its
// owner has answered, and that an Ask with another limit is rejected.
func TestLowerLimitAppliesImmediately(t *testing.T) {
	limit, lower := Limit{Rate: 100, Burst: 10}, Limit{Rate: 10, Burst: 2}
	now := epoch
	owner, holder := NewOwner(now, firstTerm, limit, proofBound), NewHolder("org", limit)
	holder.SetTerm(now, firstTerm, now.Add(proofBound))
	answer, _, err := owner.Handle(now, HolderID{VM: "vm-1"}, holder.Ask(now, 10))
	assert.NilError(t, err)
	assert.Assert(t, holder.ApplyAnswer(now, answer))
	assert.Equal(t, holder.bucket.tokens, 10.0)

	holder.SetLimit(now, lower)
	assert.Assert(t, holder.bucket.tokens <= lower.Burst)
	assert.Assert(t, holder.bucket.rate <= lower.Rate)
	_, _, err = owner.Handle(now, HolderID{VM: "vm-1"}, holder.Ask(now, 10))
	assert.Equal(t, err, ErrLimit)
}

// TestLeaseStartsAtAsk checks that an answer which is applied after the end of the
// lease gives no share, as the owner has counted the share as expired.
func TestLeaseStartsAtAsk(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 10}
	owner, holder := NewOwner(epoch, firstTerm, limit, proofBound), NewHolder("org", limit)
	holder.SetTerm(epoch, firstTerm, epoch.Add(proofBound))
	answer, _, err := owner.Handle(epoch, HolderID{VM: "vm-1"}, holder.Ask(epoch, 10))
	assert.NilError(t, err)
	resumed := epoch.Add(Lease)
	holder.SetTerm(resumed, firstTerm, resumed.Add(proofBound))
	holder.ApplyAnswer(resumed, answer)
	assert.Equal(t, holder.Take(resumed), Wait)
}

// TestLeaseCoversServeWhenCutOff checks that the share of a node that is cut off
// lasts for as long as its organisation is served, and that the owner reclaims it
// soon after.
func TestLeaseCoversServeWhenCutOff(t *testing.T) {
	const cutOff = 20 * time.Second
	limit := Limit{Rate: 100, Burst: 10}
	owner, holder := NewOwner(epoch, firstTerm, limit, cutOff), NewHolder("org", limit)
	holder.SetTerm(epoch, firstTerm, epoch.Add(cutOff))
	answer, _, err := owner.Handle(epoch, HolderID{VM: "vm-1"}, holder.Ask(epoch, 10))
	assert.NilError(t, err)
	assert.Assert(t, holder.ApplyAnswer(epoch, answer))
	assert.Equal(t, holder.Take(epoch.Add(cutOff-time.Second)), Admitted)
	assert.Equal(t, holder.Take(epoch.Add(cutOff)), Wait)
	owner.advance(epoch.Add(cutOff))
	assert.Equal(t, owner.holders.len(), 1)
	owner.advance(epoch.Add(cutOff + cutOffMargin + leaseMargin))
	assert.Equal(t, owner.holders.len(), 0)
}

// TestLoanEndsBeforePendingShare guards against a loan that outlives its share: the
// arbiter has extended the share, but the answer to a pending Ask may replace it by
// one that expires earlier.
func TestLoanEndsBeforePendingShare(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 50}
	h := NewHolder("org", limit)
	h.SetTerm(epoch, firstTerm, epoch.Add(10*time.Second))
	h.Ask(epoch, 1)
	h.ApplyAnswer(epoch, Answer{Term: firstTerm, Number: 1, Share: Share(limit), Tokens: 50, Target: 50, Keep: 50, Limit: limit, Lease: Lease, Soft: softLease})
	h.Ask(epoch, 1)
	h.AskFailed(epoch, 2, 0)
	h.ApplyExtension(epoch, Extend{Number: 1})
	asked := epoch.Add(time.Second)
	h.Ask(asked, 1)
	late := asked.Add(softLease - 200*time.Millisecond)
	loan, err := h.Lend(late, Borrow{Number: 1, Share: Share{Rate: 10, Burst: 5}, Tokens: 5, Limit: limit})
	assert.NilError(t, err)
	assert.Assert(t, loan.Share.Burst >= 1)
	assert.Assert(t, loan.For < 200*time.Millisecond, "%s", loan.For)
}
