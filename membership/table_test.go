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

func everything(Record) bool { return true }

func TestPausedVMComesBack(t *testing.T) {
	table := NewTable()
	table.Hear(entry("x", 5, 1), start)
	table.Hear(entry("y", 5, 1), start.Add(9*time.Second))
	unheard := table.Unheard("a", start.Add(5*time.Second))
	assert.Equal(t, len(unheard), 1)
	table.Remove("x", start.Add(9*time.Second))
	assert.Equal(t, len(table.Entries()), 1)
	assert.Equal(t, len(table.Missing("a", start.Add(8*time.Second))), 1)
	before := table.Sequence()
	table.Hear(entry("x", 5, 1), start.Add(time.Minute))
	assert.Equal(t, len(table.Entries()), 2)
	changes := table.Changes(before, everything)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, !changes[0].Removed)
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	table := NewTable()
	table.Hear(entry("x", 6, 1), start)
	table.Hear(entry("x", 5, 99), start)
	table.Learn(Record{Entry: entry("x", 5, 100), Removed: true}, true, start)
	assert.Equal(t, table.Entries()[0].Incarnation, uint64(6))
}

func TestOnlyAnAuthorityRemoves(t *testing.T) {
	table := NewTable()
	table.Hear(entry("x", 5, 1), start)
	gone := Record{Entry: entry("x", 5, 1), Removed: true}
	table.Learn(gone, false, start)
	assert.Equal(t, len(table.Entries()), 1)
	table.Learn(gone, true, start)
	assert.Equal(t, len(table.Entries()), 0)
}

func TestHiddenDomainReturnsWhole(t *testing.T) {
	table := NewTable()
	table.Hear(entry("x", 5, 1), start)
	table.Hear(entry("y", 5, 1), start)
	table.Remove("y", start)
	table.HideDomain("a")
	assert.Equal(t, len(table.Entries()), 0)
	assert.Equal(t, len(table.Known("a")), 1)
	table.VouchDomain("a", "r", start, start.Add(time.Minute))
	assert.Equal(t, len(table.Entries()), 1)
}

// Entries may arrive in any order and any number of times.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			vm := fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm"))
			return Record{Entry: entry(vm, rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 3).Draw(t, "ver"))}
		}), 1, 30).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		one, two := NewTable(), NewTable()
		for i := range records {
			one.Learn(records[i], false, start)
			two.Learn(shuffled[i], false, start)
			two.Learn(shuffled[i], false, start)
		}
		assert.DeepEqual(t, one.Entries(), two.Entries())
	})
}

// A node that knows only some VMs chooses the same relays, as long as the
// relays are among them.
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

// All VMs of a domain were replaced while it was unheard.
func TestReplacedDomainForgetsItsOldVMs(t *testing.T) {
	table := NewTable()
	table.Hear(entry("old", 5, 1), start)
	table.Hear(entry("slow", 5, 1), start)
	table.HideDomain("a")
	listed := []Record{{Entry: entry("new", 9, 1)}}
	table.Learn(listed[0], true, start)
	table.Doubt("a", "new", listed, start)
	table.VouchDomain("a", "new", start.Add(-1), start)
	assert.Equal(t, len(table.Entries()), 3)
	table.Learn(Record{Entry: entry("slow", 5, 1)}, true, start.Add(time.Second))
	table.VouchDomain("a", "new", start.Add(1), start.Add(time.Minute))
	names := []string{}
	for _, e := range table.Entries() {
		names = append(names, e.VM)
	}
	assert.DeepEqual(t, names, []string{"new", "slow"})
}

// TestHeartbeatEqualsHearingTheEntryAgain covers heartbeats without an entry:
// they do what the entry would do, and nothing if the node was started again
// or changed its entry since.
func TestHeartbeatEqualsHearingTheEntryAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := entry("x", rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "version"))
		whole, heartbeats := NewTable(), NewTable()
		removed := rapid.Bool().Draw(t, "removed")
		for _, table := range []*Table{whole, heartbeats} {
			table.Hear(told, start)
			if removed {
				table.Remove("x", start)
			}
		}
		now := start.Add(time.Second)
		next := entry("x", rapid.Uint64Range(1, 3).Draw(t, "next incarnation"), rapid.Uint64Range(1, 3).Draw(t, "next version"))
		next.ConfigRevision = 7
		understood := heartbeats.HearAgain("x", next.Incarnation, next.Version, next.ConfigRevision, now)
		assert.Equal(t, understood, next.Incarnation == told.Incarnation && next.Version <= told.Version)
		if understood {
			next.Version = told.Version
			whole.Hear(next, now)
			assert.Equal(t, heartbeats.HeardAt("x"), now)
		}
		assert.DeepEqual(t, heartbeats.Entries(), whole.Entries())
		assert.Equal(t, heartbeats.Sequence(), whole.Sequence())
	})
}

func TestHeartbeatOfAnUnknownNodeIsNotUnderstood(t *testing.T) {
	table := NewTable()
	assert.Assert(t, !table.HearAgain("x", 1, 1, 0, start))
	assert.Equal(t, len(table.Entries()), 0)
}

// TestRevisionHeldNeverGoesBack covers a heartbeat that arrives after a later
// one: acceptance must not be told of an earlier revision, nor a later one.
func TestRevisionHeldNeverGoesBack(t *testing.T) {
	table := NewTable()
	table.Hear(entry("x", 1, 1), start)
	assert.Assert(t, table.HearAgain("x", 1, 1, 9, start))
	assert.Assert(t, table.HearAgain("x", 1, 1, 8, start))
	assert.Equal(t, table.Entries()[0].ConfigRevision, int64(9))
}

func TestSumTellsVersionsApart(t *testing.T) {
	known := []Entry{entry("x", 1, 1), entry("y", 1, 1)}
	assert.Equal(t, Sum(known), Sum([]Entry{entry("x", 1, 1), entry("y", 1, 1)}))
	for _, other := range [][]Entry{nil, known[:1], {known[1], known[0]}, {known[0], entry("y", 1, 2)}, {known[0], entry("y", 2, 1)}} {
		assert.Assert(t, Sum(other) != Sum(known))
	}
}

// TestHeldIsTheLowestOfTheLiveVMs compares it with the lists of the VMs.
func TestHeldIsTheLowestOfTheLiveVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for i := range rapid.IntRange(0, 5).Draw(t, "vms") {
			e := entry(fmt.Sprint("vm", i), 1, 1)
			e.ConfigRevision = rapid.Int64Range(1, 3).Draw(t, "revision")
			table.Hear(e, start)
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
		assert.Equal(t, missing, len(table.Missing("a", start)) > 0)
	})
}
