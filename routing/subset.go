package routing

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/membership"
)

// Subset returns the candidates with the highest rank for self by rendezvous
// hashing, at most size, ordered by rank. Adding or removing a VM changes at
// most one member of the subset.
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
