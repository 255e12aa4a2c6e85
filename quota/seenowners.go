package quota

import "github.com/mangomast/mangomast/config"

// SeenOwners records which owners in the table a relay has seen as members. A relay
// that has just started to receive the membership cannot tell an owner that has
// left from one that it has not learnt of yet. It is not safe for concurrent use.
type SeenOwners struct {
	seen map[Candidate]bool
}

// Unseen records the candidates and returns the owners in the table that were never
// among them, except those whose VM has a candidate of a later incarnation.
func (s *SeenOwners) Unseen(table *config.OwnerTable, candidates []Candidate) []Candidate {
	if table == nil {
		return nil
	}
	latest := map[string]uint64{}
	for _, c := range candidates {
		latest[c.VM] = c.Incarnation
	}
	seen := map[Candidate]bool{}
	var unseen []Candidate
	for _, owner := range table.Owners {
		key := Candidate{VM: owner.VM, Incarnation: owner.Incarnation}
		if s.seen[key] || latest[owner.VM] >= owner.Incarnation {
			seen[key] = true
			continue
		}
		unseen = append(unseen, Candidate{VM: owner.VM, Incarnation: owner.Incarnation, Address: owner.Address})
	}
	s.seen = seen
	return unseen
}
