// Package membership decides which VMs are part of the fleet. Entries are
// versioned by (VM, incarnation, version); a lower version never replaces a
// higher one, so entries may arrive by any way and in any order.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// State is what is known of a VM's willingness to take work.
type State uint8

const (
	// Absent VMs run a node but no upstream that takes work.
	Absent State = iota
	// Ready VMs take work.
	Ready
	// Leaving VMs finish what runs and take no new work.
	Leaving
	// Gone VMs have stopped or were unheard for too long.
	Gone
)

// String returns the state's name in logs and screens.
func (s State) String() string {
	return [...]string{"absent", "ready", "leaving", "gone"}[s]
}

// Entry is what a node announces of itself.
type Entry struct {
	VM string `cbor:"1,keyasint" json:"vm"`
	// Incarnation grows with each start of the VM's node; Version with each
	// change and heartbeat within an incarnation.
	Incarnation   uint64 `cbor:"2,keyasint" json:"incarnation"`
	Version       uint64 `cbor:"3,keyasint" json:"version"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
	Region        string `cbor:"5,keyasint" json:"region"`
	Service       string `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	State         State  `cbor:"7,keyasint" json:"state"`
	Slots         int    `cbor:"8,keyasint,omitempty" json:"slots,omitempty"`
	// MeshAddress, CallerAddress and AdminAddress are IP:port.
	MeshAddress   string `cbor:"9,keyasint" json:"mesh_address"`
	CallerAddress string `cbor:"10,keyasint" json:"caller_address"`
	AdminAddress  string `cbor:"11,keyasint" json:"admin_address"`
	// ConfigRevision is the configuration in force on the VM.
	ConfigRevision int64 `cbor:"12,keyasint,omitempty" json:"config_revision"`
}

// Newer reports whether e replaces other, which has the same VM.
func (e Entry) Newer(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Version > other.Version
}

type member struct {
	entry Entry
	heard time.Time
}

// Table holds the newest entry of each VM. It is not safe for concurrent use.
type Table struct {
	members map[string]*member
	expiry  time.Duration
}

// NewTable returns an empty table. A VM that is unheard for longer than
// expiry is taken for gone.
func NewTable(expiry time.Duration) *Table {
	return &Table{members: map[string]*member{}, expiry: expiry}
}

// Merge takes in entries heard at the time now and reports whether any entry
// was new.
func (t *Table) Merge(entries []Entry, now time.Time) bool {
	changed := false
	for _, entry := range entries {
		known, ok := t.members[entry.VM]
		if ok && !entry.Newer(known.entry) {
			continue
		}
		t.members[entry.VM] = &member{entry: entry, heard: now}
		changed = true
	}
	return changed
}

// Expire removes the VMs that were unheard for longer than the expiry, and
// those that have gone, and returns their names.
func (t *Table) Expire(now time.Time) []string {
	var removed []string
	for vm, m := range t.members {
		if now.Sub(m.heard) > t.expiry {
			delete(t.members, vm)
			removed = append(removed, vm)
		}
	}
	slices.Sort(removed)
	return removed
}

// Entries returns all entries, ordered by VM.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.members))
	for _, m := range t.members {
		entries = append(entries, m.entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return entries
}

// Get returns the entry of a VM.
func (t *Table) Get(vm string) (Entry, bool) {
	m, ok := t.members[vm]
	if !ok {
		return Entry{}, false
	}
	return m.entry, true
}

// View is an immutable copy of a table, for readers on other goroutines.
type View struct {
	entries  []Entry
	byVM     map[string]Entry
	services map[string][]Entry
}

// NewView returns a view of the entries.
func NewView(entries []Entry) *View {
	v := &View{entries: entries, byVM: make(map[string]Entry, len(entries)), services: map[string][]Entry{}}
	for _, entry := range entries {
		v.byVM[entry.VM] = entry
		if entry.State == Ready && entry.Service != "" {
			v.services[entry.Service] = append(v.services[entry.Service], entry)
		}
	}
	return v
}

// All returns every entry, ordered by VM.
func (v *View) All() []Entry { return v.entries }

// Get returns the entry of a VM.
func (v *View) Get(vm string) (Entry, bool) {
	entry, ok := v.byVM[vm]
	return entry, ok
}

// Service returns the entries of the VMs that take work for the service.
func (v *View) Service(service string) []Entry { return v.services[service] }

// Source gives the members known to this node.
type Source interface {
	// View returns the current members; it never returns nil.
	View() *View
	// Self returns this node's own entry.
	Self() Entry
}

// Announcer changes this node's own entry and spreads it at once.
type Announcer interface {
	Announce(change func(*Entry))
}
