package quota

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/config"
)

// Candidate is a node that may own organisations' limits.
type Candidate struct {
	VM          string
	Incarnation uint64
	Region      string
	// Address is the node's mesh address.
	Address string
}

// AssignOwners returns an owner table in which every organisation has a live candidate
// as owner, and whether it differs from the given table. Live owners are kept. New
// owners are chosen by rendezvous hashing among the candidates of the preferred
// region, or among all if that region has none. Entries of removed organisations
// are kept, so that their terms never restart.
func AssignOwners(table *config.OwnerTable, organisations []config.Organisation, candidates []Candidate, region string) (*config.OwnerTable, bool) {
	live := make(map[Candidate]bool, len(candidates))
	var preferred []Candidate
	for _, c := range candidates {
		live[Candidate{VM: c.VM, Incarnation: c.Incarnation}] = true
		if c.Region == region {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) == 0 {
		preferred = candidates
	}
	if len(preferred) == 0 {
		return table, false
	}
	next := &config.OwnerTable{}
	if table != nil {
		next.Revision, next.Owners = table.Revision, slices.Clone(table.Owners)
	}
	changed := false
	for _, org := range organisations {
		at := slices.IndexFunc(next.Owners, func(o config.Owner) bool { return o.Organisation == org.ID })
		if at < 0 {
			at = len(next.Owners)
			next.Owners = append(next.Owners, config.Owner{Organisation: org.ID})
		}
		owner := &next.Owners[at]
		if live[Candidate{VM: owner.VM, Incarnation: owner.Incarnation}] {
			continue
		}
		chosen := rendezvous(org.ID, preferred)
		owner.VM, owner.Incarnation, owner.Address = chosen.VM, chosen.Incarnation, chosen.Address
		owner.Term++
		changed = true
	}
	return next, changed
}

// rendezvous returns the candidate with the highest hash for the organisation.
func rendezvous(organisation string, candidates []Candidate) Candidate {
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(weight(organisation, a.VM), weight(organisation, b.VM))
	})
}

func weight(organisation, vm string) uint64 { return xxh3.HashString(organisation + "\x00" + vm) }

// DomainRank returns the position of a failure domain among all. The relays of the first
// failure domain write the table at once, the others only if it was not written.
func DomainRank(domain string, domains []string) int {
	rank := 0
	for _, other := range domains {
		if weight("", other) > weight("", domain) {
			rank++
		}
	}
	return rank
}
