package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func entry(vm string, incarnation, version uint64) Entry {
	return Entry{VM: vm, Incarnation: incarnation, Version: version, FailureDomain: "a", State: Ready, Service: "s"}
}

func matchAll(Record) bool { return true }

func TestRemovedVMIsRestoredWhenSeenAgain(t *testing.T) {
	table := NewTable()
	table.Observe(entry("x", 5, 1), start)
	table.Observe(entry("y", 5, 1), start.Add(9*time.Second))
	stale := table.LastSeenBefore("a", start.Add(5*time.Second))
	assert.Equal(t, len(stale), 1)
	table.Remove("x", start.Add(9*time.Second))
	assert.Equal(t, len(table.Entries()), 1)
	assert.Equal(t, len(table.RemovedAfter("a", start.Add(8*time.Second))), 1)
	before := table.Sequence()
	table.Observe(entry("x", 5, 1), start.Add(time.Minute))
	assert.Equal(t, len(table.Entries()), 2)
	changes := table.Changes(before, matchAll)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, !changes[0].Removed)
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	table := NewTable()
	table.Observe(entry("x", 6, 1), start)
	table.Observe(entry("x", 5, 99), start)
	table.Merge(Record{Entry: entry("x", 5, 100), Removed: true}, true, start)
	assert.Equal(t, table.Entries()[0].Incarnation, uint64(6))
}

func TestOnlyAnAuthorityRemoves(t *testing.T) {
	table := NewTable()
	table.Observe(entry("x", 5, 1), start)
	removal := Record{Entry: entry("x", 5, 1), Removed: true}
	table.Merge(removal, false, start)
	assert.Equal(t, len(table.Entries()), 1)
	table.Merge(removal, true, start)
	assert.Equal(t, len(table.Entries()), 0)
}

func TestHiddenDomainReappearsWithoutRemovedVMs(t *testing.T) {
	table := NewTable()
	table.Observe(entry("x", 5, 1), start)
	table.Observe(entry("y", 5, 1), start)
	table.Remove("y", start)
	table.HideDomain("a")
	assert.Equal(t, len(table.Entries()), 0)
	assert.Equal(t, len(table.Known("a")), 1)
	table.RecordDomainContact("a", "r", start, start.Add(time.Minute))
	assert.Equal(t, len(table.Entries()), 1)
}

// TestMergeIsOrderIndependentAndIdempotent checks that entries may arrive in
// any order and any number of times.
func TestMergeIsOrderIndependentAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			vm := fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm"))
			return Record{Entry: entry(vm, rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 3).Draw(t, "ver"))}
		}), 1, 30).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		inOrder, reordered := NewTable(), NewTable()
		for i := range records {
			inOrder.Merge(records[i], false, start)
			reordered.Merge(shuffled[i], false, start)
			reordered.Merge(shuffled[i], false, start)
		}
		assert.DeepEqual(t, inOrder.Entries(), reordered.Entries())
	})
}

// TestRelaysOfASubset checks that a node that knows only some VMs chooses the
// same relays as long as the relays are among them.
func TestRelaysOfASubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Entry
		for i := range rapid.IntRange(1, 40).Draw(t, "count") {
			all = append(all, entry(fmt.Sprint("vm-", i), 1, 1))
		}
		relays := Relays(all)
		extra := rapid.SampledFrom(all).Draw(t, "extra")
		subset := append([]Entry{}, relays...)
		if Rank(relays, extra.VM) < 0 {
			subset = append(subset, extra)
		}
		assert.DeepEqual(t, Relays(rapid.Permutation(subset).Draw(t, "order")), relays)
	})
}

// TestReplacedDomainRemovesUnlistedVMs checks that the old VMs of a failure
// domain are removed if all were replaced while the domain was unreachable.
func TestReplacedDomainRemovesUnlistedVMs(t *testing.T) {
	table := NewTable()
	table.Observe(entry("old", 5, 1), start)
	table.Observe(entry("slow", 5, 1), start)
	table.HideDomain("a")
	listed := []Record{{Entry: entry("new", 9, 1)}}
	table.Merge(listed[0], true, start)
	table.MarkUnlisted("a", "new", listed, start)
	table.RecordDomainContact("a", "new", start.Add(-1), start)
	assert.Equal(t, len(table.Entries()), 3)
	table.Merge(Record{Entry: entry("slow", 5, 1)}, true, start.Add(time.Second))
	table.RecordDomainContact("a", "new", start.Add(1), start.Add(time.Minute))
	names := []string{}
	for _, e := range table.Entries() {
		names = append(names, e.VM)
	}
	assert.DeepEqual(t, names, []string{"new", "slow"})
}

// TestHeartbeatEqualsResendingTheEntry checks that a heartbeat without an entry
// has the same effect as the entry, and no effect if the node has restarted or
// changed its entry since.
func TestHeartbeatEqualsResendingTheEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := entry("x", rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "version"))
		withEntries, heartbeats := NewTable(), NewTable()
		removed := rapid.Bool().Draw(t, "removed")
		for _, table := range []*Table{withEntries, heartbeats} {
			table.Observe(initial, start)
			if removed {
				table.Remove("x", start)
			}
		}
		now := start.Add(time.Second)
		next := entry("x", rapid.Uint64Range(1, 3).Draw(t, "next incarnation"), rapid.Uint64Range(1, 3).Draw(t, "next version"))
		next.ConfigRevision = 7
		accepted := heartbeats.Heartbeat("x", next.Incarnation, next.Version, next.ConfigRevision, now)
		assert.Equal(t, accepted, next.Incarnation == initial.Incarnation && next.Version <= initial.Version)
		if accepted {
			next.Version = initial.Version
			withEntries.Observe(next, now)
			assert.Equal(t, heartbeats.LastSeen("x"), now)
		}
		assert.DeepEqual(t, heartbeats.Entries(), withEntries.Entries())
		assert.Equal(t, heartbeats.Sequence(), withEntries.Sequence())
	})
}

func TestHeartbeatOfAnUnknownNodeIsRejected(t *testing.T) {
	table := NewTable()
	assert.Assert(t, !table.Heartbeat("x", 1, 1, 0, start))
	assert.Equal(t, len(table.Entries()), 0)
}

// TestHeldRevisionNeverDecreases covers reordered heartbeats: a delayed one
// must not replace the recorded revision by an earlier one, because acceptance
// relies on what each VM is recorded to hold.
func TestHeldRevisionNeverDecreases(t *testing.T) {
	table := NewTable()
	table.Observe(entry("x", 1, 1), start)
	assert.Assert(t, table.Heartbeat("x", 1, 1, 9, start))
	assert.Assert(t, table.Heartbeat("x", 1, 1, 8, start))
	assert.Equal(t, table.Entries()[0].ConfigRevision, int64(9))
}

func TestVersionHashDiffersByVersion(t *testing.T) {
	known := []Entry{entry("x", 1, 1), entry("y", 1, 1)}
	assert.Equal(t, VersionHash(known), VersionHash([]Entry{entry("x", 1, 1), entry("y", 1, 1)}))
	for _, other := range [][]Entry{nil, known[:1], {known[1], known[0]}, {known[0], entry("y", 1, 2)}, {known[0], entry("y", 2, 1)}} {
		assert.Assert(t, VersionHash(other) != VersionHash(known))
	}
}

// TestHeldIsTheMinimumOfLiveVMs compares Held with a minimum computed from
// Domain and RemovedAfter.
func TestHeldIsTheMinimumOfLiveVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for i := range rapid.IntRange(0, 5).Draw(t, "vms") {
			e := entry(fmt.Sprint("vm", i), 1, 1)
			e.ConfigRevision = rapid.Int64Range(1, 3).Draw(t, "revision")
			table.Observe(e, start)
			if rapid.Bool().Draw(t, "removed") {
				table.Remove(e.VM, start.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "at"))))
			}
		}
		if rapid.Bool().Draw(t, "hidden") {
			table.HideDomain("a")
		}
		wanted := int64(0)
		for i, e := range table.Domain("a") {
			if i == 0 || e.ConfigRevision < wanted {
				wanted = e.ConfigRevision
			}
		}
		lowest, missing := table.Held("a", start)
		assert.Equal(t, lowest, wanted)
		assert.Equal(t, missing, len(table.RemovedAfter("a", start)) > 0)
	})
}
