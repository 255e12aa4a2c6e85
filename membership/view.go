package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

// viewShards is the number of shards of a view's indexes. A new view copies
// only the shards that changed.
const viewShards = 64

func shardOf(name string) uint64 { return xxh3.HashString(name) % viewShards }

// View is an immutable snapshot of a table, for readers on other goroutines.
type View struct {
	vms      [viewShards]map[string]Entry
	services [viewShards]map[string][]Entry
	all      func() []Entry
	lookup   func(service string) []Entry
	// complete is the set of services for which the view lists every VM.
	complete map[string]bool
}

// NewView returns a view of the entries.
func NewView(entries []Entry) *View {
	records := make([]Record, len(entries))
	for i, entry := range entries {
		records[i] = Record{Entry: entry}
	}
	return (&View{}).With(records)
}

// With returns a view in which the records replace those of the same VMs. Its
// cost depends on the number of records and not on the size of the view.
func (v *View) With(records []Record) *View {
	next := &viewChange{View: View{vms: v.vms, services: v.services, lookup: v.lookup, complete: v.complete}}
	for _, record := range records {
		next.apply(record)
	}
	changed := next.View
	changed.all = sync.OnceValue(changed.collect)
	return &changed
}

// viewChange is a view under construction. The shards that it owns are private
// copies, not visible to any reader.
type viewChange struct {
	View
	ownsVMs, ownsServices [viewShards]bool
}

func (c *viewChange) apply(record Record) {
	entry := record.Entry
	shard := shardOf(entry.VM)
	if !c.ownsVMs[shard] {
		c.vms[shard] = cloned(c.vms[shard])
		c.ownsVMs[shard] = true
	}
	if old, known := c.vms[shard][entry.VM]; known {
		c.setService(old, false)
	}
	if record.Removed {
		delete(c.vms[shard], entry.VM)
		return
	}
	c.vms[shard][entry.VM] = entry
	c.setService(entry, true)
}

// setService adds the entry to the list of its service, or removes it.
func (c *viewChange) setService(entry Entry, present bool) {
	if entry.State != Ready || entry.Service == "" {
		return
	}
	shard := shardOf(entry.Service)
	if !c.ownsServices[shard] {
		c.services[shard] = cloned(c.services[shard])
		c.ownsServices[shard] = true
	}
	entries := c.services[shard][entry.Service]
	at, found := slices.BinarySearchFunc(entries, entry.VM, func(e Entry, vm string) int { return cmp.Compare(e.VM, vm) })
	entries = slices.Clone(entries)
	switch {
	case present:
		entries = slices.Insert(entries, at, entry)
	case found:
		entries = slices.Delete(entries, at, at+1)
	}
	if len(entries) == 0 {
		delete(c.services[shard], entry.Service)
		return
	}
	c.services[shard][entry.Service] = entries
}

func cloned[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func (v *View) collect() []Entry {
	var entries []Entry
	for _, shard := range v.vms {
		entries = slices.AppendSeq(entries, maps.Values(shard))
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return entries
}

// WithLookup returns the view with a function that resolves services which are
// not in complete. For such a service the view may list no VM, or only some
// that are known for another reason. The function may block for a short time.
// The caller must not modify the map afterwards.
func (v *View) WithLookup(lookup func(service string) []Entry, complete map[string]bool) *View {
	copied := *v
	copied.lookup, copied.complete = lookup, complete
	return &copied
}

// Cached returns the entries of the service's ready VMs that are already in the
// view, ordered by VM. It does not block.
func (v *View) Cached(service string) []Entry { return v.services[shardOf(service)][service] }

// All returns all entries in the view, ordered by VM; the first call sorts
// them. Only relays know every VM of the fleet; see Directory.
func (v *View) All() []Entry { return v.all() }

// Complete reports whether the node is a relay, whose view lists the whole
// fleet. On other nodes, a VM that is absent from the view may be a member.
func (v *View) Complete() bool { return v.lookup == nil }

// Get returns the entry of a VM.
func (v *View) Get(vm string) (Entry, bool) {
	entry, ok := v.vms[shardOf(vm)][vm]
	return entry, ok
}

// Service returns the entries of the service's ready VMs, ordered by VM. The
// first call for a service may block until the node has subscribed to it.
func (v *View) Service(service string) []Entry {
	if v.lookup == nil || v.complete[service] {
		return v.Cached(service)
	}
	return v.lookup(service)
}
