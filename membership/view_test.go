package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// versioned returns an entry whose content is a function of its version: no two
// entries of a node with the same version differ.
func versioned(vm string, version uint64) Entry {
	return Entry{
		VM: vm, Incarnation: 1, Version: version, FailureDomain: []string{"a", "b"}[version/5],
		Service: []string{"x", "y", ""}[version%3], State: []State{Ready, Absent, Ready, Leaving}[version%4],
	}
}

// TestViewFollowsTable applies random changes to a table and checks that a view
// updated incrementally equals one built from the whole table.
func TestViewFollowsTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, view, seen := NewTable(), NewView(nil), uint64(0)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			vm := fmt.Sprintf("vm-%d", rapid.IntRange(0, 9).Draw(t, "vm"))
			domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				table.Observe(versioned(vm, rapid.Uint64Range(1, 9).Draw(t, "version")), now)
			case 2:
				table.Remove(vm, now)
			case 3:
				table.HideDomain(domain)
			case 4:
				table.RecordDomainContact(domain, "relay", now, now)
			}
			earlier, before := view, view.All()
			view = view.With(table.Changes(seen, func(Record) bool { return true }))
			seen = table.Sequence()
			assert.DeepEqual(t, earlier.collect(), before)
			rebuilt := NewView(table.Entries())
			assert.DeepEqual(t, view.All(), rebuilt.All())
			for _, service := range []string{"x", "y"} {
				assert.DeepEqual(t, view.Service(service), rebuilt.Service(service))
			}
		}
	})
}
