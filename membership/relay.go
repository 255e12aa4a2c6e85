package membership

import (
	"cmp"
	"encoding/binary"
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

// ranked is a VM with its rendezvous hash.
type ranked struct {
	entry Entry
	score uint64
}

// insertRanked keeps the best RelaysPerDomain, the first one first.
func insertRanked(best []ranked, r ranked) []ranked {
	at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.VM, b.entry.VM))
	})
	best = slices.Insert(best, at, r)
	return best[:min(len(best), RelaysPerDomain)]
}

func score(e Entry) uint64 { return xxh3.HashString(e.FailureDomain + "\x00" + e.VM) }

// Rank returns the position of a VM among relays, or -1.
func Rank(relays []Entry, vm string) int {
	return slices.IndexFunc(relays, func(e Entry) bool { return e.VM == vm })
}

// Sum identifies a list of entries and their versions, so that a node which
// knows them need not be sent them again.
func Sum(entries []Entry) uint64 {
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
