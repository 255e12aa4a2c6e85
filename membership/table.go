package membership

import (
	"cmp"
	"slices"
	"time"
)

// Record is an entry as one node passes it on to another.
type Record struct {
	Entry Entry `cbor:"1,keyasint"`
	// Removed VMs are gone or were unheard for too long.
	Removed bool `cbor:"2,keyasint,omitempty"`
}

type member struct {
	entry Entry
	// sequence is the table's at the member's last change.
	sequence uint64
	// heard is when the VM's node, or a relay that hears it, last spoke.
	heard time.Time
	// removed members were unheard; hidden ones stand in a failure domain
	// that is unheard as a whole.
	removed   bool
	hidden    bool
	removedAt time.Time
}

func (m *member) live() bool { return !m.removed && !m.hidden }

// Table holds the newest entry of each VM and numbers its changes, so that
// others can ask for what changed. It is not safe for concurrent use.
type Table struct {
	members  map[string]*member
	sequence uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[string]*member{}} }

// Sequence returns the number of the last change.
func (t *Table) Sequence() uint64 { return t.sequence }

func (t *Table) touch(m *member) {
	t.sequence++
	m.sequence = t.sequence
}

// Hear takes in an entry that came from the VM's own node.
func (t *Table) Hear(entry Entry, now time.Time) {
	m, known := t.members[entry.VM]
	switch {
	case !known:
		m = &member{}
		t.members[entry.VM] = m
	case m.entry.Newer(entry):
		return
	}
	changed := !known || entry.Newer(m.entry) || !m.live()
	m.entry, m.heard, m.removed, m.hidden = entry, now, false, false
	if changed {
		t.touch(m)
	}
}

// Learn takes in a record passed on by another node. Only an authority on
// whether the VM lives, such as a relay of its failure domain, removes it or
// brings it back.
func (t *Table) Learn(record Record, authority bool, now time.Time) {
	m, known := t.members[record.Entry.VM]
	if !known {
		if record.Removed {
			return
		}
		m = &member{entry: record.Entry, heard: now}
		t.members[record.Entry.VM] = m
		t.touch(m)
		return
	}
	if record.Entry.Newer(m.entry) {
		m.entry, m.heard, m.removed = record.Entry, now, false
		t.touch(m)
	}
	if !authority || m.entry.Newer(record.Entry) || m.removed == record.Removed {
		return
	}
	if record.Removed {
		t.remove(m, now)
		return
	}
	m.removed, m.heard = false, now
	t.touch(m)
}

// Vouch notes that somebody heard the VM's node at a time.
func (t *Table) Vouch(vm string, heard time.Time) {
	if m, ok := t.members[vm]; ok && heard.After(m.heard) {
		m.heard = heard
	}
}

// VouchDomain notes that a relay of a failure domain was heard, and shows the
// domain's VMs again if they were hidden.
func (t *Table) VouchDomain(domain string, heard time.Time) {
	for _, m := range t.members {
		if m.entry.FailureDomain != domain || m.removed {
			continue
		}
		if heard.After(m.heard) {
			m.heard = heard
		}
		if m.hidden {
			m.hidden = false
			t.touch(m)
		}
	}
}

// HideDomain hides the VMs of a failure domain that is unheard as a whole.
func (t *Table) HideDomain(domain string) {
	for _, m := range t.members {
		if m.entry.FailureDomain == domain && m.live() {
			m.hidden = true
			t.touch(m)
		}
	}
}

// Remove marks a VM as gone.
func (t *Table) Remove(vm string, now time.Time) {
	if m, ok := t.members[vm]; ok && !m.removed {
		t.remove(m, now)
	}
}

func (t *Table) remove(m *member, now time.Time) {
	m.removed, m.removedAt = true, now
	t.touch(m)
}

// Forget deletes the VMs that were removed before the time.
func (t *Table) Forget(before time.Time) {
	for vm, m := range t.members {
		if m.removed && m.removedAt.Before(before) {
			delete(t.members, vm)
		}
	}
}

// Unheard returns the live VMs of a failure domain that were last heard
// before the time, ordered by VM.
func (t *Table) Unheard(domain string, before time.Time) []Entry {
	return t.collect(func(m *member) bool {
		return m.entry.FailureDomain == domain && m.live() && m.heard.Before(before)
	})
}

// Missing returns the VMs of a failure domain that were removed after the
// time, ordered by VM. They may still serve under an old configuration.
func (t *Table) Missing(domain string, after time.Time) []Entry {
	return t.collect(func(m *member) bool {
		return m.entry.FailureDomain == domain && m.removed && m.removedAt.After(after)
	})
}

// Hidden reports whether a failure domain is unheard as a whole.
func (t *Table) Hidden(domain string) bool {
	for _, m := range t.members {
		if m.entry.FailureDomain == domain && m.hidden {
			return true
		}
	}
	return false
}

// HeardAt returns when a VM was last heard; zero if it is not live.
func (t *Table) HeardAt(vm string) time.Time {
	if m, ok := t.members[vm]; ok && m.live() {
		return m.heard
	}
	return time.Time{}
}

// Changes returns the records that changed after the sequence number and for
// which match returns true.
func (t *Table) Changes(after uint64, match func(Record) bool) []Record {
	var records []Record
	for _, m := range t.members {
		record := Record{Entry: m.entry, Removed: !m.live()}
		if m.sequence > after && match(record) {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Entry.VM, b.Entry.VM) })
	return records
}

// Entries returns the entries of all live VMs, ordered by VM.
func (t *Table) Entries() []Entry { return t.collect((*member).live) }

// Domain returns the live VMs of a failure domain, ordered by VM.
func (t *Table) Domain(domain string) []Entry {
	return t.collect(func(m *member) bool { return m.live() && m.entry.FailureDomain == domain })
}

// Known returns the VMs of a failure domain that were not removed, also while
// the domain is hidden, ordered by VM.
func (t *Table) Known(domain string) []Entry {
	return t.collect(func(m *member) bool { return !m.removed && m.entry.FailureDomain == domain })
}

// Domains returns the failure domains with VMs that were not removed, sorted.
func (t *Table) Domains() []string {
	seen := map[string]bool{}
	for _, m := range t.members {
		if !m.removed {
			seen[m.entry.FailureDomain] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *Table) collect(match func(*member) bool) []Entry {
	var entries []Entry
	for _, m := range t.members {
		if match(m) {
			entries = append(entries, m.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return entries
}
