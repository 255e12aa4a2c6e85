package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func domainEntries(size int) []Entry {
	var entries []Entry
	for i := range size {
		entries = append(entries, Entry{VM: fmt.Sprintf("vm-%04d", i), FailureDomain: "a"})
	}
	return entries
}

func TestGroupsDivideLargeFailureDomains(t *testing.T) {
	small := append(domainEntries(20), Entry{VM: "left", FailureDomain: "a", State: Gone}, Entry{VM: "far", FailureDomain: "b"})
	assert.Equal(t, len(Group(small, small[0])), 20)

	large := domainEntries(631)
	watching := map[string]bool{}
	for _, self := range large {
		group := Group(large, self)
		assert.Assert(t, len(group) > groupSize/3 && len(group) < 2*groupSize, "%d VMs in a group", len(group))
		for _, relay := range Relays(group) {
			watching[relay.VM] = true
		}
	}
	assert.Equal(t, len(watching), 20*RelaysPerDomain)
}

// TestNonRelayWatchesOnlyWithoutWatchingRelay checks that a non-relay opens a
// watch when its relays stop answering or lose the store, and ends it when a
// relay reports a working watch again.
func TestNonRelayWatchesOnlyWithoutWatchingRelay(t *testing.T) {
	relays := Relays(domainEntries(6))
	self := "vm-none"
	assignment := WatchAssignment{Life: 1500 * time.Millisecond}
	now := time.Unix(1000, 0)
	assert.Assert(t, assignment.ShouldWatch(relays, self, now), "no relay has reported a watch yet")
	assignment.Observe(relays[1].VM, true, now)
	assert.Assert(t, !assignment.ShouldWatch(relays, self, now))
	assert.Assert(t, assignment.ShouldWatch(relays, relays[2].VM, now), "a relay watches regardless of the other relays")

	// The relay stops reporting.
	assert.Assert(t, assignment.ShouldQuery(relays, self, time.Second, now.Add(1100*time.Millisecond)))
	assert.Assert(t, !assignment.ShouldWatch(relays, self, now.Add(1500*time.Millisecond)))
	now = now.Add(1600 * time.Millisecond)
	assert.Assert(t, assignment.ShouldWatch(relays, self, now))

	// The watch of another non-relay does not count.
	assignment.Observe("vm-other", true, now)
	assert.Assert(t, assignment.ShouldWatch(relays, self, now))
	assignment.Observe(relays[0].VM, true, now)
	assert.Assert(t, !assignment.ShouldWatch(relays, self, now))

	// The relay is alive and reports that it lost the store.
	assignment.Observe(relays[0].VM, false, now)
	assert.Assert(t, assignment.ShouldWatch(relays, self, now))
}
