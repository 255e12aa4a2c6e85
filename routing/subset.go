package routing

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/membership"
)

// Subset returns at most size of the candidates, those that rank highest for
// self by rendezvous hash. A VM that comes or goes changes at most one member
// of the subset. The result is ordered by rank.
func Subset(self string, candidates []membership.Entry, size int) []membership.Entry {
	type ranked struct {
		entry membership.Entry
		rank  uint64
	}
	all := make([]ranked, len(candidates))
	for i, entry := range candidates {
		all[i] = ranked{entry, rank(self, entry.VM)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if c := cmp.Compare(b.rank, a.rank); c != 0 {
			return c
		}
		return cmp.Compare(a.entry.VM, b.entry.VM)
	})
	subset := make([]membership.Entry, 0, min(size, len(all)))
	for _, r := range all[:min(size, len(all))] {
		subset = append(subset, r.entry)
	}
	return subset
}

// rank is the rendezvous weight of a VM for a node.
func rank(self, vm string) uint64 {
	return xxh3.HashStringSeed(vm, xxh3.HashString(self))
}
