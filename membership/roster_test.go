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
	r.Hear(a, now)
	assert.Assert(t, r.List([]Entry{a, b, c}, now))

	// The leases of b and c expire; b answers when contacted, c does not.
	now = now.Add(time.Second)
	r.List([]Entry{a}, now)
	assert.DeepEqual(t, names(r.Doubtful()), []string{"b", "c"})
	now = now.Add(1900 * time.Millisecond)
	r.Hear(b, now)
	assert.Assert(t, !r.Expire("a", now), "an entry may reappear within MissingAfter")
	now = now.Add(200 * time.Millisecond)
	assert.Assert(t, r.Expire("a", now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})

	// The store lists c again.
	r.List([]Entry{a, b, c}, now)
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b", "c"})
	assert.Equal(t, len(r.Doubtful()), 0)
}

func TestRosterIgnoresOlderEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	r.Hear(Entry{VM: "a", Incarnation: 2, Version: 3, State: Gone}, now)
	// A stale listing still has the entry from before the VM left, and another
	// node forwards one of the previous incarnation.
	assert.Assert(t, !r.List([]Entry{{VM: "a", Incarnation: 2, Version: 2, State: Ready}}, now))
	assert.Assert(t, !r.Learn(Entry{VM: "a", Incarnation: 1, Version: 9, State: Ready}, now))
	assert.Equal(t, r.Entries()[0].State, Gone)
	// Its record is retained for ForgetAfter once the store no longer lists it.
	r.List(nil, now)
	assert.Assert(t, !r.Expire("x", now.Add(59*time.Second)))
	assert.Assert(t, r.Expire("x", now.Add(61*time.Second)))
	// The next incarnation replaces it immediately.
	r.Learn(Entry{VM: "a", Incarnation: 3, State: Ready}, now)
	assert.Equal(t, r.Entries()[0].State, Ready)
}

// TestRosterForgetsALostVMForGood guards against a lost VM that reappears: two
// nodes detect the loss at different times, and the later one still forwards
// the VM's entry.
func TestRosterForgetsALostVMForGood(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	lost := Entry{VM: "b", Incarnation: 1, Version: 2}
	r.List([]Entry{{VM: "a"}, lost}, now)
	r.List([]Entry{{VM: "a"}}, now)
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	assert.Assert(t, !r.Learn(lost, now), "the other node has not removed it yet")
	assert.DeepEqual(t, names(r.Entries()), []string{"a"})
	assert.Equal(t, len(r.Doubtful()), 0)
	assert.Assert(t, !r.Expire("a", now))

	// Direct contact, the store or a later incarnation restores it.
	assert.Assert(t, r.Hear(lost, now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	assert.Assert(t, r.List([]Entry{{VM: "a"}, lost}, now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})
	r.List([]Entry{{VM: "a"}}, now)
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	assert.Assert(t, r.Learn(Entry{VM: "b", Incarnation: 2}, now))
	assert.DeepEqual(t, names(r.Entries()), []string{"a", "b"})
	// The record of the removal is deleted after ForgetAfter.
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.Expire("a", now))
	r.Expire("a", now.Add(2*time.Minute))
	assert.Equal(t, len(r.records), 1)
}
