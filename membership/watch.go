package membership

import (
	"slices"
	"time"
)

// groupSize is the target number of VMs that share one set of relays. It is
// bounded because each VM queries a relay once a second (docs/CAPACITY.md).
const groupSize = 32

// Group returns the VMs that share relays with self: the VMs of its failure
// domain that have not left or, in a large domain, a hash partition of them.
// The partition depends only on the VMs' names, so nodes with the same member
// list compute the same groups.
func Group(entries []Entry, self Entry) []Entry {
	domain := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
		return e.FailureDomain != self.FailureDomain || e.State == Gone
	})
	partitions := uint64((len(domain) + groupSize - 1) / groupSize)
	if partitions <= 1 {
		return domain
	}
	ownPartition := score(self) % partitions
	return slices.DeleteFunc(domain, func(e Entry) bool { return score(e)%partitions != ownPartition })
}

// WatchAssignment decides whether a node watches the store itself. The relays of
// its group watch the store and forward changes, because one watch per node
// would exceed what the store can serve in a large fleet. A node without a
// recent report of a relay with a working watch opens its own. WatchAssignment
// is not safe for concurrent use.
type WatchAssignment struct {
	// Life is how long a relay's report of a working watch stays valid.
	Life time.Duration
	// lastReport is the time of the last report of a working watch, by VM.
	lastReport map[string]time.Time
}

// Observe records whether a node reported a working watch of its own.
func (a *WatchAssignment) Observe(vm string, watching bool, now time.Time) {
	if !watching {
		delete(a.lastReport, vm)
		return
	}
	if a.lastReport == nil {
		a.lastReport = map[string]time.Time{}
	}
	a.lastReport[vm] = now
}

// ShouldWatch reports whether self has to watch the store. Only reports of
// relays count; otherwise two non-relays that watch because no relay does would
// each stop when they see the other's watch.
func (a *WatchAssignment) ShouldWatch(relays []Entry, self string, now time.Time) bool {
	return Rank(relays, self) >= 0 || !a.anyWatching(relays, a.Life, now)
}

// ShouldQuery reports whether self should query a relay now, because no relay
// has reported a working watch within the given time.
func (a *WatchAssignment) ShouldQuery(relays []Entry, self string, within time.Duration, now time.Time) bool {
	return Rank(relays, self) < 0 && !a.anyWatching(relays, within, now)
}

func (a *WatchAssignment) anyWatching(relays []Entry, within time.Duration, now time.Time) bool {
	return slices.ContainsFunc(relays, func(e Entry) bool {
		at, ok := a.lastReport[e.VM]
		return ok && now.Sub(at) <= within
	})
}
