package membership

import (
	"cmp"
	"slices"
	"time"
)

// RosterOptions are the parameters of a Roster.
type RosterOptions struct {
	// MissingAfter is how long an entry may be absent from the store before
	// its VM is removed, unless the VM was in direct contact in that time.
	MissingAfter time.Duration
	// ForgetAfter is how long the record of a VM that has left is retained, so
	// that a stale copy of its entry does not re-add it.
	ForgetAfter time.Duration
}

// Roster is one node's membership table, built from listings of the leased
// entries in the store and from exchanges with other nodes. It tolerates a
// store that is unavailable to some or all nodes: an entry received from the
// VM itself takes precedence over the store, and an expired lease does not
// remove a VM that is still in direct contact. Roster is not safe for
// concurrent use.
type Roster struct {
	opts    RosterOptions
	records map[string]*rosterRecord
	// sequence increases with each change of an entry or of whether it is listed.
	sequence uint64
	// listing is the newest listing of the store that the records reflect.
	listing listing
}

type rosterRecord struct {
	entry Entry
	// changedAt is the roster's sequence of the entry's last change, and
	// changedTime its time on this node.
	changedAt   uint64
	changedTime time.Time
	// storedAt is the store's revision of the first listing that had this version
	// of the entry; 0 if this node has made none.
	storedAt int64
	// listedChangedAt and listedChangedTime are those of the last change of whether
	// the entry is listed.
	listedChangedAt   uint64
	listedChangedTime time.Time
	// seen is the time of the last direct contact with the VM.
	seen time.Time
	// unlistedSince is when the VM's entry was first absent from the store's
	// listing; zero if it is listed.
	unlistedSince time.Time
	// removed is when the VM was removed; zero while it is a member. Nodes
	// detect a loss at different times, so a copy of the entry from another
	// node must not re-add the VM.
	removed time.Time
}

// NewRoster returns an empty roster.
func NewRoster(opts RosterOptions) *Roster {
	return &Roster{opts: opts, records: map[string]*rosterRecord{}}
}

// Merge merges an entry forwarded by another node and reports whether it was
// unknown or newer than the known one.
func (r *Roster) Merge(entry Entry, now time.Time) bool {
	record := r.records[entry.VM]
	switch {
	case record == nil:
		record = &rosterRecord{unlistedSince: now}
		r.records[entry.VM] = record
	case !entry.Newer(record.entry):
		return false
	}
	record.entry = entry
	record.restore()
	r.sequence++
	record.changedAt, record.changedTime, record.storedAt = r.sequence, now, 0
	return true
}

// Sequence returns the number of the last change of an entry or of whether it is
// listed.
func (r *Roster) Sequence() uint64 { return r.sequence }

// Predecessor returns the known entry of an earlier incarnation of the entry's
// VM, and whether there is one.
func (r *Roster) Predecessor(entry Entry) (Entry, bool) {
	record := r.records[entry.VM]
	if record == nil || record.entry.Incarnation >= entry.Incarnation {
		return Entry{}, false
	}
	return record.entry, true
}

// restore makes a removed VM a member again and reports whether it was removed.
func (r *rosterRecord) restore() bool {
	removed := !r.removed.IsZero()
	r.removed = time.Time{}
	return removed
}

// Observe merges an entry received from the VM itself and reports whether the
// roster changed.
func (r *Roster) Observe(entry Entry, now time.Time) bool {
	changed := r.Merge(entry, now)
	record := r.records[entry.VM]
	if entry.Incarnation >= record.entry.Incarnation {
		record.seen = now
		changed = record.restore() || changed
	}
	return changed
}

// MergeListing merges a listing of the store and reports whether the roster
// changed.
func (r *Roster) MergeListing(entries []Entry, now time.Time) bool {
	return r.mergeListing(entries, now, func(Entry) bool { return true })
}

// MergeDomainListing merges a listing of one failure domain and reports whether
// the roster changed.
func (r *Roster) MergeDomainListing(domain string, entries []Entry, now time.Time) bool {
	return r.mergeListing(entries, now, func(e Entry) bool { return e.FailureDomain == domain })
}

// mergeListing merges a listing of the VMs for which covers returns true.
func (r *Roster) mergeListing(entries []Entry, now time.Time, covers func(Entry) bool) bool {
	changed := false
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.VM] = true
		changed = r.Merge(entry, now) || changed
		record := r.records[entry.VM]
		r.setListed(record, true, now)
		changed = record.restore() || changed
	}
	for vm, record := range r.records {
		if !listed[vm] && covers(record.entry) {
			r.setListed(record, false, now)
		}
	}
	return changed
}

// setListed records whether the store lists the VM.
func (r *Roster) setListed(record *rosterRecord, listed bool, now time.Time) {
	if listed == record.unlistedSince.IsZero() {
		return
	}
	record.unlistedSince = time.Time{}
	if !listed {
		record.unlistedSince = now
	}
	r.sequence++
	record.listedChangedAt, record.listedChangedTime = r.sequence, now
}

// Expire removes lost VMs and deletes the records of VMs that have been removed,
// or have left and been absent from the listing, for longer than ForgetAfter.
// It reports whether the member list changed. Self is never removed.
func (r *Roster) Expire(self string, now time.Time) bool {
	changed := false
	for vm, record := range r.records {
		switch {
		case vm == self || record.unlistedSince.IsZero():
		case !record.removed.IsZero():
			if now.Sub(record.removed) > r.opts.ForgetAfter {
				delete(r.records, vm)
			}
		case record.entry.State == Gone:
			if now.Sub(record.unlistedSince) > r.opts.ForgetAfter {
				delete(r.records, vm)
				changed = true
			}
		case now.Sub(record.unlistedSince) > r.opts.MissingAfter && now.Sub(record.seen) > r.opts.MissingAfter:
			record.removed = now
			changed = true
		}
	}
	return changed
}

// CountReachable returns how many of the other VMs count as reachable because of
// direct contact since the given time, and the number of other VMs. VMs that
// have left or were removed are not counted. Where the node corresponds with only
// some VMs of a failure domain, contact with one of them counts for all of the
// domain, as they are cut off together.
func (r *Roster) CountReachable(self string, correspondents []Entry, since time.Time) (reachable, others int) {
	size, seen, asked := map[string]int{}, map[string]int{}, map[string]int{}
	for vm, record := range r.records {
		if vm == self || record.entry.State == Gone || !record.removed.IsZero() {
			continue
		}
		others++
		size[record.entry.FailureDomain]++
		if record.seen.After(since) {
			seen[record.entry.FailureDomain]++
		}
	}
	for _, entry := range correspondents {
		asked[entry.FailureDomain]++
	}
	for domain, n := range seen {
		if asked[domain] < size[domain] {
			n = size[domain]
		}
		reachable += n
	}
	return reachable, others
}

// Unlisted returns the VMs that are absent from the store's listing and have
// neither left nor been removed, ordered by name. The caller contacts them
// directly to check whether they are alive.
func (r *Roster) Unlisted() []Entry {
	return r.collect(func(record *rosterRecord) bool {
		return !record.unlistedSince.IsZero() && record.entry.State != Gone
	})
}

// Entries returns the entries of all VMs that have not been removed, ordered
// by name.
func (r *Roster) Entries() []Entry {
	return r.collect(func(*rosterRecord) bool { return true })
}

func (r *Roster) collect(match func(*rosterRecord) bool) []Entry {
	entries := make([]Entry, 0, len(r.records))
	for _, record := range r.records {
		if record.removed.IsZero() && match(record) {
			entries = append(entries, record.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return entries
}
