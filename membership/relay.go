package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// RelaysPerDomain is the number of relays in each failure domain.
const RelaysPerDomain = 3

// Relays returns the relays among the VMs of one failure domain: the VMs with
// the highest rendezvous hashes, in descending order. A subset that contains
// all relays of a set yields the same relays. Nodes with different member lists
// may choose different relays; this is harmless because relays forward only
// versioned data.
func Relays(domain []Entry) []Entry {
	var best []ranked
	for _, entry := range domain {
		best = insertRanked(best, ranked{entry: entry, score: score(entry)})
	}
	relays := make([]Entry, len(best))
	for i, r := range best {
		relays[i] = r.entry
	}
	return relays
}

// ByRank returns the VMs of one group in descending order of their rendezvous
// hashes. The first RelaysPerDomain of them are its relays.
func ByRank(group []Entry) []Entry {
	ordered := slices.Clone(group)
	slices.SortFunc(ordered, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.VM, b.VM))
	})
	return ordered
}

// ranked is a VM with its rendezvous hash.
type ranked struct {
	entry Entry
	score uint64
}

// insertRanked inserts r into best, which is in descending order of score, and
// keeps the first RelaysPerDomain elements.
func insertRanked(best []ranked, r ranked) []ranked {
	at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.VM, b.entry.VM))
	})
	best = slices.Insert(best, at, r)
	return best[:min(len(best), RelaysPerDomain)]
}

func score(e Entry) uint64 { return xxh3.HashString(e.FailureDomain + "\x00" + e.VM) }

// Rank returns the index of a VM in relays, or -1.
func Rank(relays []Entry, vm string) int {
	return slices.IndexFunc(relays, func(e Entry) bool { return e.VM == vm })
}

// VersionHash returns a hash of the entries' VMs and versions. A sender omits
// the entries if the receiver's hash of its own list is equal.
func VersionHash(entries []Entry) uint64 {
	hasher := xxh3.New()
	var numbers []byte
	for _, e := range entries {
		_, _ = hasher.WriteString(e.VM)
		numbers = binary.BigEndian.AppendUint64(numbers[:0], e.Incarnation)
		numbers = binary.BigEndian.AppendUint64(numbers, e.Version)
		_, _ = hasher.Write(numbers)
	}
	return hasher.Sum64()
}
