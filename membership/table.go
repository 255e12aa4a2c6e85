package membership

import (
	"cmp"
	"container/list"
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
	// position is the member's place in the order of changes.
	position *list.Element
	// doubted is when a relay listed its whole failure domain without the VM;
	// zero once a relay names it again.
	doubted   time.Time
	doubtedBy string
}

func (m *member) live() bool { return !m.removed && !m.hidden }

// Table holds the newest entry of each VM and numbers its changes, so that
// others can ask for what changed. It is not safe for concurrent use.
type Table struct {
	members map[string]*member
	domains map[string]*domainMembers
	// order has the members by the sequence of their last change.
	order    *list.List
	sequence uint64
}

// domainMembers has the members of one failure domain, and its relays until
// a member changes.
type domainMembers struct {
	members map[string]*member
	relays  []Entry
	// knownRelays count VMs of a hidden domain too.
	knownRelays []Entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[string]*member{}, domains: map[string]*domainMembers{}, order: list.New()}
}

// in returns the members of a failure domain.
func (t *Table) in(domain string) map[string]*member {
	if d := t.domains[domain]; d != nil {
		return d.members
	}
	return nil
}

// put adds a member with its first entry.
func (t *Table) put(entry Entry) *member {
	m := &member{}
	m.position = t.order.PushBack(m)
	t.members[entry.VM] = m
	t.replace(m, entry)
	return m
}

// replace sets a member's entry. A VM may come back in another failure domain.
func (t *Table) replace(m *member, entry Entry) {
	if m.entry.FailureDomain != entry.FailureDomain {
		t.leaveDomain(m)
	}
	m.entry = entry
	domain := t.domains[entry.FailureDomain]
	if domain == nil {
		domain = &domainMembers{members: map[string]*member{}}
		t.domains[entry.FailureDomain] = domain
	}
	domain.members[entry.VM] = m
}

func (t *Table) leaveDomain(m *member) {
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

func (t *Table) touch(m *member) {
	t.sequence++
	m.sequence = t.sequence
	t.order.MoveToBack(m.position)
	domain := t.domains[m.entry.FailureDomain]
	domain.relays, domain.knownRelays = nil, nil
}

// Hear takes in an entry that came from the VM's own node.
func (t *Table) Hear(entry Entry, now time.Time) {
	m, known := t.members[entry.VM]
	switch {
	case !known:
		m = t.put(entry)
	case m.entry.Newer(entry):
		return
	}
	changed := !known || entry.Newer(m.entry) || !m.live()
	t.replace(m, entry)
	m.heard, m.removed, m.hidden = now, false, false
	if changed {
		t.touch(m)
	}
}

// HearAgain takes in a heartbeat of a node whose entry is known: it is the
// same as hearing the entry again with the revision held. It returns false if
// the incarnation's entry, in this version or a later one, is not known.
func (t *Table) HearAgain(vm string, incarnation, version uint64, held int64, now time.Time) bool {
	m, known := t.members[vm]
	if !known || m.entry.Incarnation != incarnation || m.entry.Version < version {
		return false
	}
	entry := m.entry
	entry.ConfigRevision = max(entry.ConfigRevision, held)
	t.Hear(entry, now)
	return true
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
		m = t.put(record.Entry)
		m.heard = now
		t.touch(m)
		return
	}
	m.doubted = time.Time{}
	if record.Entry.Newer(m.entry) {
		t.replace(m, record.Entry)
		m.heard, m.removed = now, false
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
// domain's VMs again if they were hidden. A VM that the same relay left out of
// a list of the whole domain, and has not named since doubtLimit, is removed.
func (t *Table) VouchDomain(domain, relay string, doubtLimit, heard time.Time) {
	for _, m := range t.in(domain) {
		if m.removed {
			continue
		}
		if m.doubtedBy != relay {
			m.doubted = time.Time{}
		}
		if !m.doubted.IsZero() && m.doubted.Before(doubtLimit) {
			t.remove(m, heard)
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

// Doubt notes that a relay listed the whole of its failure domain as the
// records. It may have started lately and not have heard every VM yet, so the
// others are not removed at once.
func (t *Table) Doubt(domain, relay string, records []Record, now time.Time) {
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.Entry.VM] = true
	}
	for _, m := range t.in(domain) {
		if !listed[m.entry.VM] && m.doubted.IsZero() {
			m.doubted, m.doubtedBy = now, relay
		}
	}
}

// HideDomain hides the VMs of a failure domain that is unheard as a whole.
func (t *Table) HideDomain(domain string) {
	for _, m := range t.in(domain) {
		if m.live() {
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
			t.leaveDomain(m)
			t.order.Remove(m.position)
			delete(t.members, vm)
		}
	}
}

// Unheard returns the live VMs of a failure domain that were last heard
// before the time, ordered by VM.
func (t *Table) Unheard(domain string, before time.Time) []Entry {
	return collect(t.in(domain), func(m *member) bool { return m.live() && m.heard.Before(before) })
}

// Missing returns the VMs of a failure domain that were removed after the
// time, ordered by VM. They may still serve under an old configuration.
func (t *Table) Missing(domain string, after time.Time) []Entry {
	return collect(t.in(domain), func(m *member) bool { return m.removed && m.removedAt.After(after) })
}

// Held returns the lowest revision held by a live VM of a failure domain, 0 if
// there is none, and whether a VM was removed after the time. It sorts and
// copies nothing, for it is called often.
func (t *Table) Held(domain string, after time.Time) (lowest int64, missing bool) {
	first := true
	for _, m := range t.in(domain) {
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

// Hidden reports whether a failure domain is unheard as a whole.
func (t *Table) Hidden(domain string) bool {
	for _, m := range t.in(domain) {
		if m.hidden {
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
// which match returns true, ordered by VM. Its cost grows with what changed.
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

// Latest returns the newest entry of a VM, also of one that was removed but not
// forgotten yet.
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
	return collect(t.in(domain), (*member).live)
}

// Known returns the VMs of a failure domain that were not removed, also while
// the domain is hidden, ordered by VM.
func (t *Table) Known(domain string) []Entry {
	return collect(t.in(domain), func(m *member) bool { return !m.removed })
}

// Relays returns the relays of a failure domain among its live VMs. They are
// chosen anew only after a VM of the domain changed.
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

// KnownRelays returns the relays of a failure domain that may be hidden.
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

// Domains returns the failure domains with VMs that were not removed, sorted.
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
