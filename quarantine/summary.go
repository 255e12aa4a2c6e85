package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangomast/mangomast/ledger"
)

// Summary is what the records in effect say together of one fingerprint.
type Summary struct {
	Fingerprint ledger.Fingerprint
	// Kind is the graver of the records' kinds.
	Kind         Kind
	Organisation string
	Route        string
	// Crashes is the number of runs that ended with a crash.
	Crashes int
	// VMs are where they ran, in order.
	VMs []string
	// Since is how long ago the first crash was; Left is how long the last
	// record holds.
	Since, Left time.Duration
}

// Summaries returns what is known of each fingerprint that is suspected or
// quarantined at the time now: the quarantined first, then the newest.
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

func (t *Table) summarize(records []*held, now time.Time) Summary {
	var s Summary
	for _, h := range records {
		if h.record.Settled || t.over(h, now) {
			continue
		}
		age := now.Sub(h.seen)
		s.Kind = max(s.Kind, h.record.Kind)
		s.Organisation, s.Route = h.record.Organisation, h.record.Route
		s.Crashes++
		s.VMs = append(s.VMs, h.record.ID.VM)
		s.Since = max(s.Since, age)
		s.Left = max(s.Left, t.length(h)-age)
	}
	slices.Sort(s.VMs)
	s.VMs = slices.Compact(s.VMs)
	return s
}
