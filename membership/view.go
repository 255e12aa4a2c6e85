package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

// viewShards is the number of parts that a view's indexes are kept in. A new
// view copies only the parts that changed.
const viewShards = 64

func shardOf(name string) uint64 { return xxh3.HashString(name) % viewShards }

// View is an immutable copy of a table, for readers on other goroutines.
type View struct {
	vms      [viewShards]map[string]Entry
	services [viewShards]map[string][]Entry
	all      func() []Entry
	lookup   func(service string) []Entry
	// whole has the services of which the view lists every VM.
	whole map[string]bool
}

// NewView returns a view of the entries.
func NewView(entries []Entry) *View {
	records := make([]Record, len(entries))
	for i, entry := range entries {
		records[i] = Record{Entry: entry}
	}
	return (&View{}).With(records)
}

// With returns a view in which the records have replaced those of the same
// VMs. Its cost grows with the records, not with the view.
func (v *View) With(records []Record) *View {
	next := &viewChange{View: View{vms: v.vms, services: v.services, lookup: v.lookup, whole: v.whole}}
	for _, record := range records {
		next.apply(record)
	}
	changed := next.View
	changed.all = sync.OnceValue(changed.collect)
	return &changed
}

// viewChange is a view that is being made. Parts that it owns are copies that
// no reader has seen.
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

// setService puts the entry among those of its service, or takes it away.
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

// WithLookup returns the view with a function that finds the VMs of services
// that are not among the whole ones: of those the view may know none, or only
// VMs that it met for another reason. The function may block for a short time.
// The caller does not change the map any more.
func (v *View) WithLookup(lookup func(service string) []Entry, whole map[string]bool) *View {
	copied := *v
	copied.lookup, copied.whole = lookup, whole
	return &copied
}

// Known returns the entries of the VMs that take work for the service and that
// the view lists already, ordered by VM. It does not block.
func (v *View) Known(service string) []Entry { return v.services[shardOf(service)][service] }

// All returns every entry that the node knows, ordered by VM; the first call
// sorts them. Only relays know every VM of the fleet; see Directory.
func (v *View) All() []Entry { return v.all() }

// Complete reports whether the node is a relay, whose view lists the whole
// fleet. A VM that is absent from another node's view may well be a member.
func (v *View) Complete() bool { return v.lookup == nil }

// Get returns the entry of a VM.
func (v *View) Get(vm string) (Entry, bool) {
	entry, ok := v.vms[shardOf(vm)][vm]
	return entry, ok
}

// Service returns the entries of the VMs that take work for the service,
// ordered by VM. The first call for a service may block until the node has
// subscribed to it.
func (v *View) Service(service string) []Entry {
	if v.lookup == nil || v.whole[service] {
		return v.Known(service)
	}
	return v.lookup(service)
}
