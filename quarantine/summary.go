package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangomast/mangomast/ledger"
)

// Summary aggregates the records in effect for one fingerprint.
type Summary struct {
	Fingerprint ledger.Fingerprint
	// Kind is Quarantined if any record is.
	Kind         Kind
	Organisation string
	Route        string
	// Crashes is the number of runs that ended in a crash.
	Crashes int
	// VMs are the VMs of these runs, sorted.
	VMs []string
	// Since is the age of the oldest record; Left is the time until the last
	// record expires.
	Since, Left time.Duration
}

// Summaries returns a summary of each fingerprint that is suspected or
// quarantined at the time now: quarantined ones first, then by the age of the
// first crash, newest first.
func (t *Table) Summaries(now time.Time) []Summary {
	var list []Summary
	for fingerprint, records := range t.byFingerprint {
		if s := t.summarize(records, now); s.Crashes > 0 {
			s.Fingerprint = fingerprint
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.Kind, a.Kind), cmp.Compare(a.Since, b.Since), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

func (t *Table) summarize(records []*tableEntry, now time.Time) Summary {
	var s Summary
	for _, entry := range records {
		if entry.record.Settled || t.expired(entry, now) {
			continue
		}
		age := now.Sub(entry.observedAt)
		s.Kind = max(s.Kind, entry.record.Kind)
		s.Organisation, s.Route = entry.record.Organisation, entry.record.Route
		s.Crashes++
		s.VMs = append(s.VMs, entry.record.ID.VM)
		s.Since = max(s.Since, age)
		s.Left = max(s.Left, t.retention(entry)-age)
	}
	slices.Sort(s.VMs)
	s.VMs = slices.Compact(s.VMs)
	return s
}
