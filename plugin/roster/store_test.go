package roster

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

func TestDecodeEntryRejectsOddRecords(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	sound := `{"vm":"vm-1","incarnation":5,"version":1,"mesh_address":"10.0.0.1:7000","state":1,"service":"quotes","slots":4}`
	entry, err := decodeEntry("vm-1", []byte(sound), now)
	assert.NilError(t, err)
	assert.Equal(t, entry.Service, "quotes")
	entry, err = decodeEntry("a/vm-1", []byte(strings.Replace(sound, `"state"`, `"failure_domain":"a","state"`, 1)), now)
	assert.NilError(t, err)
	encoded, err := mesh.Encode(entry)
	assert.NilError(t, err)
	decoded, err := decodeEntry("a/vm-1", encoded, now)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, entry)
	_, err = decodeEntry("b/vm-1", encoded, now)
	assert.ErrorContains(t, err, "has the key")
	for name, c := range map[string]struct{ vm, value string }{
		"no bytes":           {"vm-1", ""},
		"very deeply nested": {"vm-1", strings.Repeat("[", 1<<20)},
		"nested field":       {"vm-1", `{"vm":` + strings.Repeat(`{"a":`, 1<<16) + "1" + strings.Repeat("}", 1<<16) + "}"},
		"number too large":   {"vm-1", strings.Replace(sound, `"incarnation":5`, `"incarnation":1e300`, 1)},
		"port out of range":  {"vm-1", strings.Replace(sound, ":7000", ":99999", 1)},
		"cut short":          {"a/vm-1", string(encoded[:len(encoded)-1])},
		"another VM's key":   {"vm-2", sound},
		"unknown state":      {"vm-1", strings.Replace(sound, `"state":1`, `"state":200`, 1)},
	} {
		_, err := decodeEntry(c.vm, []byte(c.value), now)
		assert.Assert(t, err != nil, name)
	}
}

func FuzzDecodeEntry(f *testing.F) {
	value, err := json.Marshal(membership.Entry{VM: "vm-1", MeshAddress: "10.0.0.1:7000", State: membership.Ready})
	assert.NilError(f, err)
	f.Add("vm-1", value)
	encoded, err := mesh.Encode(membership.Entry{VM: "vm-1", FailureDomain: "a", MeshAddress: "10.0.0.1:7000", State: membership.Ready})
	assert.NilError(f, err)
	f.Add("a/vm-1", encoded)
	f.Fuzz(func(t *testing.T, vm string, value []byte) {
		entry, err := decodeEntry(vm, value, time.Unix(1_800_000_000, 0))
		if err == nil {
			assert.Assert(t, vm == entry.VM || vm == entryName(entry))
			assert.Assert(t, entry.State.String() != "unknown" && entry.Slots >= 0)
		}
	})
}
