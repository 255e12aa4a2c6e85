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

// TestNextByRankTakesOverWithoutWatchingRelay checks that the VM that follows the
// relays opens a watch when none of them has one, before all others, and ends it
// when a relay reports a working watch again.
func TestNextByRankTakesOverWithoutWatchingRelay(t *testing.T) {
	group := ByRank(domainEntries(8))
	deputy, second, last := group[RelaysPerDomain].VM, group[RelaysPerDomain+1].VM, group[7].VM
	assignments := map[string]*WatchAssignment{}
	for _, entry := range group {
		assignments[entry.VM] = &WatchAssignment{Life: 1500 * time.Millisecond}
	}
	now := time.Unix(1000, 0)
	due := func(vm string) bool { return assignments[vm].ShouldWatch(group, vm, now) }
	report := func(vm string, watching bool) {
		for _, assignment := range assignments {
			assignment.Observe(vm, watching, now)
		}
	}
	for _, relay := range group[:RelaysPerDomain] {
		assert.Assert(t, due(relay.VM), "a relay watches regardless of the others")
	}
	assert.Assert(t, !due(deputy) && !due(second) && !due(last), "the relays may have a watch in a moment")
	report(group[1].VM, true)
	now = now.Add(1400 * time.Millisecond)
	assert.Assert(t, !due(deputy) && !due(second) && !due(last))
	assert.DeepEqual(t, assignments[last].ToQuery(group, last, time.Second, now), group[1:2])
	assert.Equal(t, len(assignments[group[0].VM].ToQuery(group, group[0].VM, time.Second, now)), 0)

	// The relay stops reporting. The deputy takes over, and the others hear of it.
	now = now.Add(200 * time.Millisecond)
	assert.Assert(t, !due(deputy) && !due(second) && !due(last))
	assert.DeepEqual(t, assignments[last].ToQuery(group, last, time.Second, now), group[:2*RelaysPerDomain])
	now = now.Add(takeoverStep)
	assert.Assert(t, due(deputy) && !due(second) && !due(last))
	report(deputy, true)
	now = now.Add(takeoverStep)
	assert.Assert(t, due(deputy) && !due(second) && !due(last))
	assert.DeepEqual(t, assignments[last].ToQuery(group, last, time.Millisecond, now), group[RelaysPerDomain:RelaysPerDomain+1])

	// The deputy loses the store too.
	report(deputy, false)
	assert.Assert(t, due(deputy) && !due(second))
	now = now.Add(2 * takeoverStep)
	assert.Assert(t, due(second) && !due(last))
	now = now.Add(maxTakeover)
	assert.Assert(t, due(last), "in the end every VM takes over")

	// The watch of a VM of a lower rank does not count.
	report(last, true)
	assert.Assert(t, due(second) && due(deputy))
	report(group[0].VM, true)
	assert.Assert(t, !due(deputy) && !due(second) && !due(last))

	// The relay is alive and reports that it lost the store.
	report(group[0].VM, false)
	report(last, false)
	assert.Assert(t, !due(deputy))
	now = now.Add(takeoverStep)
	assert.Assert(t, due(deputy) && !due(second))

	// A VM that has left the group, as in a planned stop, does not fail.
	alone := WatchAssignment{Life: time.Second}
	assert.Assert(t, !alone.ShouldWatch(nil, deputy, now))
	assert.Equal(t, len(alone.ToQuery(nil, deputy, time.Second, now)), 0)

	stranger := "vm-none"
	assignments[stranger] = &WatchAssignment{Life: time.Second}
	assert.Assert(t, !due(stranger))
	now = now.Add(maxTakeover)
	assert.Assert(t, due(stranger))
}

// TestOneRelayLeadsTheWatch checks that one VM of a group has to notice soon when its
// watch no longer works, that a relay queries it often enough to rely on that, and
// that the next one leads once it hears no more of it.
func TestOneRelayLeadsTheWatch(t *testing.T) {
	group := ByRank(domainEntries(8))
	now := time.Unix(1000, 0)
	a := WatchAssignment{Life: 1500 * time.Millisecond}
	first, second := group[0].VM, group[1].VM
	toQuery := func(vm string) []Entry { return a.ToQuery(group, vm, time.Second, now) }
	assert.Assert(t, a.Leads(group, first, now) && a.Leads(group, second, now), "nothing is known yet")
	assert.Equal(t, len(toQuery(first)), 0)
	assert.DeepEqual(t, toQuery(second), group[:1])

	a.Observe(first, true, now)
	assert.Assert(t, a.Leads(group, first, now) && !a.Leads(group, second, now))
	now = now.Add(LeaderLife / 2)
	assert.Equal(t, len(toQuery(second)), 0)
	now = now.Add(time.Millisecond)
	assert.DeepEqual(t, toQuery(second), group[:1])
	now = now.Add(LeaderLife/2 - time.Millisecond)
	assert.Assert(t, !a.Leads(group, second, now))
	now = now.Add(time.Millisecond)
	assert.Assert(t, a.Leads(group, second, now), "the first relay no longer answers")

	a.Observe(first, true, now)
	a.Observe(first, false, now)
	assert.Assert(t, a.Leads(group, second, now), "the first relay lost the store")
	assert.Assert(t, a.Leads(nil, second, now))
}
