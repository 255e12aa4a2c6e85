package membership

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Record is an entry as one node forwards it to another.
type Record struct {
	Entry Entry `cbor:"1,keyasint"`
	// Removed is true if the VM was removed or is hidden on the sending node.
	Removed bool `cbor:"2,keyasint,omitempty"`
}

type member struct {
	entry Entry
	// sequence is the table's sequence number of the member's last change.
	sequence uint64
	// seen is the time of the last contact with the VM's node, or with a relay
	// that is in contact with it.
	seen time.Time
	// removed members have expired or were reported as removed; hidden members
	// are in a failure domain that is unreachable as a whole.
	removed   bool
	hidden    bool
	removedAt time.Time
	// element is the member's element in Table.order.
	element *list.Element
	// unlistedSince is when the relay unlistedBy omitted the VM from a list of
	// its whole failure domain; zero once a record of the VM arrives again.
	unlistedSince time.Time
	unlistedBy    string
}

func (m *member) live() bool { return !m.removed && !m.hidden }

// Table is a membership table: it stores the newest entry of each VM and
// numbers the changes, so that other nodes can request the changes since a
// sequence number. It is not safe for concurrent use.
type Table struct {
	members map[string]*member
	domains map[string]*domainMembers
	// order lists the members by the sequence number of their last change.
	order    *list.List
	sequence uint64
}

// domainMembers holds the members of one failure domain and caches its relays
// until a member changes.
type domainMembers struct {
	members map[string]*member
	relays  []Entry
	// knownRelays are the relays chosen among all known VMs, hidden ones
	// included.
	knownRelays []Entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[string]*member{}, domains: map[string]*domainMembers{}, order: list.New()}
}

// membersOf returns the members of a failure domain, by VM.
func (t *Table) membersOf(domain string) map[string]*member {
	if d := t.domains[domain]; d != nil {
		return d.members
	}
	return nil
}

// insert adds a member with its first entry.
func (t *Table) insert(entry Entry) *member {
	m := &member{}
	m.element = t.order.PushBack(m)
	t.members[entry.VM] = m
	t.replace(m, entry)
	return m
}

// replace sets a member's entry and updates the index of failure domains, since
// a VM may restart in a different one.
func (t *Table) replace(m *member, entry Entry) {
	if m.entry.FailureDomain != entry.FailureDomain {
		t.removeFromDomain(m)
	}
	m.entry = entry
	domain := t.domains[entry.FailureDomain]
	if domain == nil {
		domain = &domainMembers{members: map[string]*member{}}
		t.domains[entry.FailureDomain] = domain
	}
	domain.members[entry.VM] = m
}

func (t *Table) removeFromDomain(m *member) {
	domain := t.domains[m.entry.FailureDomain]
	if domain == nil {
		return
	}
	domain.relays, domain.knownRelays = nil, nil
	delete(domain.members, m.entry.VM)
	if len(domain.members) == 0 {
		delete(t.domains, m.entry.FailureDomain)
	}
}

// Sequence returns the number of the last change.
func (t *Table) Sequence() uint64 { return t.sequence }

func (t *Table) recordChange(m *member) {
	t.sequence++
	m.sequence = t.sequence
	t.order.MoveToBack(m.element)
	domain := t.domains[m.entry.FailureDomain]
	domain.relays, domain.knownRelays = nil, nil
}

// Observe merges an entry received from the VM's own node.
func (t *Table) Observe(entry Entry, now time.Time) {
	m, known := t.members[entry.VM]
	switch {
	case !known:
		m = t.insert(entry)
	case m.entry.Newer(entry):
		return
	}
	changed := !known || entry.Newer(m.entry) || !m.live()
	t.replace(m, entry)
	m.seen, m.removed, m.hidden = now, false, false
	if changed {
		t.recordChange(m)
	}
}

// Heartbeat processes a heartbeat, which carries no entry. It has the same
// effect as Observe with the known entry and the revision held. It returns false
// if the table has no entry of this incarnation with this or a later version.
func (t *Table) Heartbeat(vm string, incarnation, version uint64, held int64, now time.Time) bool {
	m, known := t.members[vm]
	if !known || m.entry.Incarnation != incarnation || m.entry.Version < version {
		return false
	}
	entry := m.entry
	entry.ConfigRevision = max(entry.ConfigRevision, held)
	t.Observe(entry, now)
	return true
}

// Merge merges a record forwarded by another node. Without a newer entry, a
// record removes or restores the VM only if it comes from an authority on
// whether the VM is alive, such as a relay of its failure domain.
func (t *Table) Merge(record Record, authority bool, now time.Time) {
	m, known := t.members[record.Entry.VM]
	if !known {
		if record.Removed {
			return
		}
		m = t.insert(record.Entry)
		m.seen = now
		t.recordChange(m)
		return
	}
	m.unlistedSince = time.Time{}
	if record.Entry.Newer(m.entry) {
		t.replace(m, record.Entry)
		m.seen, m.removed = now, false
		t.recordChange(m)
	}
	if !authority || m.entry.Newer(record.Entry) || m.removed == record.Removed {
		return
	}
	if record.Removed {
		t.remove(m, now)
		return
	}
	m.removed, m.seen = false, now
	t.recordChange(m)
}

// RecordContact records that some node was in contact with the VM's node at the
// given time.
func (t *Table) RecordContact(vm string, seen time.Time) {
	if m, ok := t.members[vm]; ok && seen.After(m.seen) {
		m.seen = seen
	}
}

// RecordDomainContact records contact with a relay of a failure domain and
// unhides the domain's VMs. A VM that the same relay omitted from a list of the
// whole domain before unlistedBefore, and that has not been reported since, is
// removed.
func (t *Table) RecordDomainContact(domain, relay string, unlistedBefore, seen time.Time) {
	for _, m := range t.membersOf(domain) {
		if m.removed {
			continue
		}
		if m.unlistedBy != relay {
			m.unlistedSince = time.Time{}
		}
		if !m.unlistedSince.IsZero() && m.unlistedSince.Before(unlistedBefore) {
			t.remove(m, seen)
			continue
		}
		if seen.After(m.seen) {
			m.seen = seen
		}
		if m.hidden {
			m.hidden = false
			t.recordChange(m)
		}
	}
}

// MarkUnlisted processes a relay's list of its whole failure domain: VMs missing
// from it are marked, not removed, because the relay may have started recently
// and may not know every VM yet.
func (t *Table) MarkUnlisted(domain, relay string, records []Record, now time.Time) {
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.Entry.VM] = true
	}
	for _, m := range t.membersOf(domain) {
		if !listed[m.entry.VM] && m.unlistedSince.IsZero() {
			m.unlistedSince, m.unlistedBy = now, relay
		}
	}
}

// HideDomain hides the VMs of a failure domain that is unreachable as a whole.
func (t *Table) HideDomain(domain string) {
	for _, m := range t.membersOf(domain) {
		if m.live() {
			m.hidden = true
			t.recordChange(m)
		}
	}
}

// Remove marks a VM as removed.
func (t *Table) Remove(vm string, now time.Time) {
	if m, ok := t.members[vm]; ok && !m.removed {
		t.remove(m, now)
	}
}

func (t *Table) remove(m *member, now time.Time) {
	m.removed, m.removedAt = true, now
	t.recordChange(m)
}

// PurgeRemoved deletes the VMs that were removed before the given time.
func (t *Table) PurgeRemoved(before time.Time) {
	for vm, m := range t.members {
		if m.removed && m.removedAt.Before(before) {
			t.removeFromDomain(m)
			t.order.Remove(m.element)
			delete(t.members, vm)
		}
	}
}

// LastSeenBefore returns the live VMs of a failure domain whose last contact was
// before the given time, ordered by VM.
func (t *Table) LastSeenBefore(domain string, before time.Time) []Entry {
	return collect(t.membersOf(domain), func(m *member) bool { return m.live() && m.seen.Before(before) })
}

// RemovedAfter returns the VMs of a failure domain that were removed after the
// given time, ordered by VM. They may still serve under an old configuration.
func (t *Table) RemovedAfter(domain string, after time.Time) []Entry {
	return collect(t.membersOf(domain), func(m *member) bool { return m.removed && m.removedAt.After(after) })
}

// Held returns the lowest revision applied on a live VM of a failure domain, 0
// if it has no live VM, and whether a VM was removed after the given time. It
// is on a hot path, so it neither sorts nor copies.
func (t *Table) Held(domain string, after time.Time) (lowest int64, missing bool) {
	first := true
	for _, m := range t.membersOf(domain) {
		switch {
		case m.removed:
			missing = missing || m.removedAt.After(after)
		case m.hidden:
		case first || m.entry.ConfigRevision < lowest:
			lowest, first = m.entry.ConfigRevision, false
		}
	}
	return lowest, missing
}

// Hidden reports whether VMs of a failure domain are hidden.
func (t *Table) Hidden(domain string) bool {
	for _, m := range t.membersOf(domain) {
		if m.hidden {
			return true
		}
	}
	return false
}

// LastSeen returns the time of the last contact with a VM; zero if the VM is
// not live.
func (t *Table) LastSeen(vm string) time.Time {
	if m, ok := t.members[vm]; ok && m.live() {
		return m.seen
	}
	return time.Time{}
}

// Changes returns the records that changed after the sequence number and for
// which match returns true, ordered by VM. Its cost is proportional to the
// number of changes.
func (t *Table) Changes(after uint64, match func(Record) bool) []Record {
	var records []Record
	for position := t.order.Back(); position != nil; position = position.Prev() {
		m := position.Value.(*member)
		if m.sequence <= after {
			break
		}
		record := Record{Entry: m.entry, Removed: !m.live()}
		if match(record) {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Entry.VM, b.Entry.VM) })
	return records
}

// Latest returns the newest entry of a VM, including one that was removed and
// not yet deleted by PurgeRemoved.
func (t *Table) Latest(vm string) (Entry, bool) {
	m := t.members[vm]
	if m == nil {
		return Entry{}, false
	}
	return m.entry, true
}

// Entries returns the entries of all live VMs, ordered by VM.
func (t *Table) Entries() []Entry { return collect(t.members, (*member).live) }

// Domain returns the live VMs of a failure domain, ordered by VM.
func (t *Table) Domain(domain string) []Entry {
	return collect(t.membersOf(domain), (*member).live)
}

// Known returns the VMs of a failure domain that were not removed, including
// hidden ones, ordered by VM.
func (t *Table) Known(domain string) []Entry {
	return collect(t.membersOf(domain), func(m *member) bool { return !m.removed })
}

// Relays returns the relays of a failure domain among its live VMs. The result
// is cached until a VM of the domain changes.
func (t *Table) Relays(domain string) []Entry {
	d := t.domains[domain]
	if d == nil {
		return nil
	}
	if d.relays == nil {
		d.relays = Relays(t.Domain(domain))
	}
	return d.relays
}

// KnownRelays returns the relays of a failure domain among all its known VMs,
// hidden ones included. The result is cached until a VM of the domain changes.
func (t *Table) KnownRelays(domain string) []Entry {
	d := t.domains[domain]
	if d == nil {
		return nil
	}
	if d.knownRelays == nil {
		d.knownRelays = Relays(t.Known(domain))
	}
	return d.knownRelays
}

// Domains returns the failure domains that have at least one VM that was not
// removed, sorted.
func (t *Table) Domains() []string {
	var names []string
	for name, domain := range t.domains {
		for _, m := range domain.members {
			if !m.removed {
				names = append(names, name)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}

func collect(members map[string]*member, match func(*member) bool) []Entry {
	var entries []Entry
	for _, m := range members {
		if match(m) {
			entries = append(entries, m.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return entries
}
