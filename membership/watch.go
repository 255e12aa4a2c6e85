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
// would exceed what the store can serve in a large fleet. If none of them has a
// working watch, the next VM by rank takes over, and if it cannot, the one after
// it. WatchAssignment is not safe for concurrent use.
type WatchAssignment struct {
	// Life is how long a VM's report of a working watch stays valid.
	Life time.Duration
	// lastReport is the time of the last report of a working watch, by VM.
	lastReport map[string]time.Time
	// unwatchedSince is since when no VM of a higher rank has a working watch;
	// zero if one has.
	unwatchedSince time.Time
}

const (
	// takeoverStep is the time after which the next VM by rank takes over. It
	// covers a read of the store and the announcement of the watch.
	takeoverStep = 400 * time.Millisecond
	// maxTakeover is the time after which any VM takes over, so that a new
	// configuration arrives in time where many have lost the store.
	maxTakeover = 2 * time.Second
	// LeaderLife is how long a relay relies on the working watch that a VM of a
	// higher rank reported.
	LeaderLife = 4 * time.Second
)

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

// ShouldWatch reports whether self has to watch the store; group is its group,
// ordered by rank. Only reports of VMs of a higher rank count; otherwise two VMs
// that watch would each stop when they see the other's watch.
func (a *WatchAssignment) ShouldWatch(group []Entry, self string, now time.Time) bool {
	higher, relay := higherRanked(group, self)
	if relay {
		return true
	}
	if _, ok := a.watching(higher, a.Life, now); ok {
		a.unwatchedSince = time.Time{}
		return false
	}
	if a.unwatchedSince.IsZero() {
		a.unwatchedSince = now
	}
	delay := time.Duration(max(0, len(higher)-RelaysPerDomain)+1) * takeoverStep
	return now.Sub(a.unwatchedSince) >= min(delay, maxTakeover)
}

// Leads reports whether self, if it watches the store, is the VM of its group that
// has to notice soon when its watch no longer works: no VM of a higher rank has
// reported a working watch within LeaderLife.
func (a *WatchAssignment) Leads(group []Entry, self string, now time.Time) bool {
	higher, _ := higherRanked(group, self)
	_, ok := a.watching(higher, LeaderLife, now)
	return !ok
}

// ToQuery returns the VMs of which self should query one now, because none of a
// higher rank has reported a working watch within the given time, or half of
// LeaderLife for a relay: the one that last reported one or, if that is too long
// ago, those that may have one.
func (a *WatchAssignment) ToQuery(group []Entry, self string, within time.Duration, now time.Time) []Entry {
	higher, relay := higherRanked(group, self)
	life := a.Life
	if relay {
		within, life = LeaderLife/2, LeaderLife
	}
	if _, ok := a.watching(higher, within, now); ok {
		return nil
	}
	if last, ok := a.watching(higher, life, now); ok {
		return []Entry{last}
	}
	return higher[:min(len(higher), 2*RelaysPerDomain)]
}

// higherRanked returns the VMs of the group that have a higher rank than self, and
// whether self is a relay. A VM that is not in the group has the lowest rank.
func higherRanked(group []Entry, self string) (higher []Entry, relay bool) {
	rank := Rank(group, self)
	if rank < 0 {
		return group, false
	}
	return group[:rank], rank < RelaysPerDomain
}

// watching returns the VM that last reported a working watch, if within the time.
func (a *WatchAssignment) watching(vms []Entry, within time.Duration, now time.Time) (last Entry, ok bool) {
	var lastAt time.Time
	for _, e := range vms {
		if at, reported := a.lastReport[e.VM]; reported && now.Sub(at) <= within && (!ok || at.After(lastAt)) {
			last, lastAt, ok = e, at, true
		}
	}
	return last, ok
}
