package quota

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/config"
)

// Candidate is a node that may own organisations.
type Candidate struct {
	VM          string
	Incarnation uint64
	Region      string
	// Address is the node's mesh address.
	Address string
}

// Assign returns the owner table in which every organisation has an owner
// among the live candidates, and whether it differs from the given one. Owners
// that are alive stay. New ones are chosen by rendezvous hash among the
// candidates of the preferred region, or among all if it has none. Entries of
// removed organisations stay, so that their terms never start again.
func Assign(table *config.OwnerTable, organisations []config.Organisation, candidates []Candidate, region string) (*config.OwnerTable, bool) {
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

// rendezvous returns the candidate with the highest hash together with the
// organisation.
func rendezvous(organisation string, candidates []Candidate) Candidate {
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(weight(organisation, a.VM), weight(organisation, b.VM))
	})
}

func weight(organisation, vm string) uint64 { return xxh3.HashString(organisation + "\x00" + vm) }

// Rank returns the position of a failure domain among all, so that the relays
// of the first one write the table at once and the others only if those did
// not.
func Rank(domain string, domains []string) int {
	before := 0
	for _, other := range domains {
		if weight("", other) > weight("", domain) {
			before++
		}
	}
	return before
}
