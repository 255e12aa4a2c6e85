package membership

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// RelaysPerDomain is the number of relays in each failure domain.
const RelaysPerDomain = 3

// Relays returns the relays among the VMs of one failure domain: those with
// the highest rendezvous hash, the first one first. Any set of VMs that holds
// the relays of a larger set has the same relays. Two nodes that know
// different sets may choose differently, which does no harm: a relay passes on
// only what is versioned.
func Relays(domain []Entry) []Entry {
	ranked := slices.Clone(domain)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.VM, b.VM))
	})
	return ranked[:min(len(ranked), RelaysPerDomain)]
}

func score(e Entry) uint64 { return xxh3.HashString(e.FailureDomain + "\x00" + e.VM) }

// Rank returns the position of a VM among relays, or -1.
func Rank(relays []Entry, vm string) int {
	return slices.IndexFunc(relays, func(e Entry) bool { return e.VM == vm })
}
