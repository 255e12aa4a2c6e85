package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func names(entries []Entry) []string {
	list := []string{}
	for _, entry := range entries {
		list = append(list, entry.VM)
	}
	return list
}

func TestRosterKeepsUnlistedVMsThatAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	a, b, c := Entry{VM: "a", Incarnation: 1}, Entry{VM: "b", Incarnation: 1}, Entry{VM: "c", Incarnation: 1}
	r.Observe(a, now)
	assert.Assert(t, r.MergeListing([]Entry{a, b, c}, now))

	// The leases of b and c expire; b answers when contacted, c does not.
	now = now.Add(time.Second)
	r.MergeListing([]Entry{a}, now)
	assert.DeepEqual(t, names(r.Unlisted()), []string{"b", "c"})
	now = now.Add(1900 * time.Millisecond)
	r.Observe(b, now)
	assert.Assert(t, !r.Expire("a", now), "an entry may reappear within MissingAfter")
	now = now.Add(200 * time.Millisecond)
	assert.Assert(t, r.Expire("a", now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})

	// The store lists c again.
	r.MergeListing([]Entry{a, b, c}, now)
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b", "c"})
	assert.Equal(t, len(r.Unlisted()), 0)
}

func TestRosterIgnoresOlderEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	r.Observe(Entry{VM: "a", Incarnation: 2, Version: 3, State: Gone}, now)
	// A stale listing still has the entry from before the VM left, and another
	// node forwards one of the previous incarnation.
	assert.Assert(t, !r.MergeListing([]Entry{{VM: "a", Incarnation: 2, Version: 2, State: Ready}}, now))
	assert.Assert(t, !r.Merge(Entry{VM: "a", Incarnation: 1, Version: 9, State: Ready}, now))
	assert.Equal(t, r.Entries()[0].State, Gone)
	// Its record is retained for ForgetAfter once the store no longer lists it.
	r.MergeListing(nil, now)
	assert.Assert(t, !r.Expire("x", now.Add(59*time.Second)))
	assert.Assert(t, r.Expire("x", now.Add(61*time.Second)))
	// The next incarnation replaces it immediately.
	r.Merge(Entry{VM: "a", Incarnation: 3, State: Ready}, now)
	assert.Equal(t, r.Entries()[0].State, Ready)
}

// TestRosterKeepsRemovedVMOutUntilSeenAgain guards against a lost VM that
// reappears: two nodes detect the loss at different times, and the later one
// still forwards the VM's entry.
func TestRosterKeepsRemovedVMOutUntilSeenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	lost := Entry{VM: "b", Incarnation: 1, Version: 2}
	r.MergeListing([]Entry{{VM: "a"}, lost}, now)
	r.MergeListing([]Entry{{VM: "a"}}, now)
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	assert.Assert(t, !r.Merge(lost, now), "the other node has not removed it yet")
	assert.DeepEqual(t, names(r.Entries()), []string{"a"})
	assert.Equal(t, len(r.Unlisted()), 0)
	assert.Assert(t, !r.Expire("a", now))

	// Direct contact, the store or a later incarnation restores it.
	assert.Assert(t, r.Observe(lost, now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	assert.Assert(t, r.MergeListing([]Entry{{VM: "a"}, lost}, now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})
	r.MergeListing([]Entry{{VM: "a"}}, now)
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	assert.Assert(t, r.Merge(Entry{VM: "b", Incarnation: 2}, now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})
	// The record of the removal is deleted after ForgetAfter.
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	r.Expire("a", now.Add(2*time.Minute))
	assert.Equal(t, len(r.records), 1)
}

func TestNewsReturnsOnlyNewsOfMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	r.MergeListing([]Entry{{VM: "a", Version: 1}, {VM: "b", Version: 1}, {VM: "c", Version: 1}}, now)
	assert.DeepEqual(t, names(r.News(Request{Since: 0}, now)), []string{"a", "b", "c"})
	known := r.Sequence()
	assert.Equal(t, len(r.News(Request{Since: known}, now)), 0)
	r.Merge(Entry{VM: "b", Version: 1}, now)
	assert.Equal(t, r.Sequence(), known, "an entry that is not newer is no change")
	r.Observe(Entry{VM: "b", Version: 2}, now)
	r.Merge(Entry{VM: "d"}, now)
	assert.DeepEqual(t, names(r.News(Request{Since: known}, now)), []string{"b", "d"})

	// c is removed, and returns in a later incarnation.
	known = r.Sequence()
	r.MergeListing([]Entry{{VM: "a", Version: 1}, {VM: "b", Version: 2}, {VM: "d"}}, now)
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	assert.DeepEqual(t, names(r.News(Request{Since: 0}, now)), []string{"a", "b", "d"})
	r.Merge(Entry{VM: "c", Incarnation: 2}, now)
	assert.DeepEqual(t, names(r.News(Request{Since: known}, now)), []string{"c"})
}

// TestCountReachable splits a fleet of 96 VMs, in which a node corresponds with
// three VMs of each other failure domain, between two regions. With the other
// region out of contact, no node may count a majority as reachable.
func TestCountReachable(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	entries := fleetEntries(8, 12)
	r.MergeListing(entries, now)
	self := entries[0]
	correspondents := Correspondents(entries, self)
	count := func(domains int) (reachable, others int) {
		r := *r
		since := now.Add(time.Second)
		for _, peer := range correspondents {
			if peer.FailureDomain < fleetEntries(domains+1, 1)[domains].FailureDomain {
				r.Observe(peer, since.Add(time.Second))
			}
		}
		return r.CountReachable(self.VM, correspondents, since)
	}
	reachable, others := count(1)
	assert.Equal(t, reachable, 11)
	assert.Equal(t, others, 95)
	reachable, _ = count(4)
	assert.Equal(t, reachable, 47, "half of the fleet is no majority")
	reachable, _ = count(8)
	assert.Equal(t, reachable, 95)

	// In a small fleet each VM counts alone.
	small := NewRoster(RosterOptions{})
	few := fleetEntries(2, 4)
	small.MergeListing(few, now)
	small.Observe(few[5], now.Add(time.Second))
	reachable, others = small.CountReachable(few[0].VM, Correspondents(few, few[0]), now)
	assert.Equal(t, reachable, 1)
	assert.Equal(t, others, 7)
}
