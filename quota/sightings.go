package quota

import "github.com/mangomast/mangomast/config"

// Sightings remembers which owners of the table a relay has seen among the
// members. A relay that has just begun to learn the members cannot tell an owner
// that has gone from one that it has not heard of yet. It is not safe for
// concurrent use.
type Sightings struct {
	seen map[Candidate]bool
}

// Unseen notes the candidates and returns the owners of the table that were
// never among them, unless a later incarnation of their VM is.
func (s *Sightings) Unseen(table *config.OwnerTable, candidates []Candidate) []Candidate {
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
