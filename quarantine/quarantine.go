// Package quarantine decides which requests are suspected of crashing the
// upstreams that run them, and which are no longer run. It has no goroutine,
// clock or random source of its own.
//
// Every request that was running when an upstream crashed becomes a suspect,
// by the fingerprint of its contents. A suspect runs alone: if the upstream
// survives, the suspicion is settled; if it crashes again, the fingerprint is
// quarantined. Nodes exchange records and merge them in any order.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangomast/mangomast/ledger"
)

// Kind is what a record says of its fingerprint.
type Kind uint8

// Kinds of records.
const (
	// Suspect requests were running when an upstream crashed.
	Suspect Kind = iota + 1
	// Quarantined requests crashed an upstream while running alone.
	Quarantined
)

// String returns the kind's name on screens.
func (k Kind) String() string {
	if k == Quarantined {
		return "quarantined"
	}
	return "suspect"
}

// Record is one observation about a fingerprint.
type Record struct {
	// ID names the observation: the node incarnation and a number.
	ID          RecordID           `cbor:"1,keyasint"`
	Fingerprint ledger.Fingerprint `cbor:"2,keyasint"`
	Kind        Kind               `cbor:"3,keyasint"`
	// Settled records have no effect any more: the request ran alone and the
	// upstream survived, or an operator lifted the quarantine.
	Settled bool `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the observation was made, at the time of sending.
	Age time.Duration `cbor:"5,keyasint"`
	// Organisation and Route explain the fingerprint to operators.
	Organisation string `cbor:"6,keyasint"`
	Route        string `cbor:"7,keyasint"`
}

// RecordID names an observation.
type RecordID struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
}

// Options bound a Table.
type Options struct {
	// SuspectFor and QuarantineFor are how long records hold.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// MaxRecords bounds the table; the oldest records are dropped.
	MaxRecords int
}

// Verdict is how a request must be treated.
type Verdict uint8

// Verdicts.
const (
	// RunTogether is the verdict on ordinary requests.
	RunTogether Verdict = iota
	// RunAlone is the verdict on suspects.
	RunAlone
	// Refuse is the verdict on quarantined requests.
	Refuse
)

// Finding is what a run showed about its request.
type Finding uint8

// Findings.
const (
	// NothingFound changes nothing: a suspect stays one.
	NothingFound Finding = iota
	// FoundSuspect means that the upstream crashed beside other requests.
	FoundSuspect
	// FoundGuilty means that the upstream crashed while only this one ran.
	FoundGuilty
	// FoundHarmless means that the request ran alone to its end.
	FoundHarmless
)

// Judge returns what a run showed. Only an answer to the end clears a
// suspect: one that was refused, cancelled or cut off proves nothing.
func Judge(alone, crashed, answered bool) Finding {
	switch {
	case crashed && alone:
		return FoundGuilty
	case crashed:
		return FoundSuspect
	case alone && answered:
		return FoundHarmless
	}
	return NothingFound
}

type held struct {
	record Record
	seen   time.Time
}

// Table holds the records known to a node. It is not safe for concurrent use.
type Table struct {
	opts          Options
	records       map[RecordID]*held
	byFingerprint map[ledger.Fingerprint][]*held
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, records: map[RecordID]*held{}, byFingerprint: map[ledger.Fingerprint][]*held{}}
}

// Len returns the number of records, settled ones included.
func (t *Table) Len() int { return len(t.records) }

// Merge takes in records at the time now and reports whether any was news. A
// settled record stays settled.
func (t *Table) Merge(records []Record, now time.Time) bool {
	news := false
	for _, record := range records {
		news = t.merge(record, now) || news
	}
	t.expire(now)
	return news
}

func (t *Table) merge(record Record, now time.Time) bool {
	seen := now.Add(-max(0, record.Age))
	if known, ok := t.records[record.ID]; ok {
		settles := record.Settled && !known.record.Settled
		known.record.Settled = known.record.Settled || record.Settled
		return settles
	}
	h := &held{record: record, seen: seen}
	if t.over(h, now) {
		return false
	}
	t.records[record.ID] = h
	t.byFingerprint[record.Fingerprint] = append(t.byFingerprint[record.Fingerprint], h)
	return true
}

// Verdict returns how a request with the fingerprint must be treated.
func (t *Table) Verdict(fingerprint ledger.Fingerprint, now time.Time) Verdict {
	verdict := RunTogether
	for _, h := range t.byFingerprint[fingerprint] {
		switch {
		case h.record.Settled || t.over(h, now):
			continue
		case h.record.Kind == Quarantined:
			return Refuse
		default:
			verdict = RunAlone
		}
	}
	return verdict
}

// Settle ends the suspicion of a fingerprint that ran alone without a crash.
func (t *Table) Settle(fingerprint ledger.Fingerprint) { t.settle(fingerprint, Suspect) }

// Lift ends the quarantine of a fingerprint, and the suspicion that led to
// it. It reports whether there was any.
func (t *Table) Lift(fingerprint ledger.Fingerprint) bool {
	suspected := t.settle(fingerprint, Suspect)
	return t.settle(fingerprint, Quarantined) || suspected
}

func (t *Table) settle(fingerprint ledger.Fingerprint, kind Kind) bool {
	settled := false
	for _, h := range t.byFingerprint[fingerprint] {
		if h.record.Kind == kind && !h.record.Settled {
			h.record.Settled = true
			settled = true
		}
	}
	return settled
}

// Records returns all records with their age, the newest first.
func (t *Table) Records(now time.Time) []Record {
	records := make([]Record, 0, len(t.records))
	for _, h := range t.records {
		record := h.record
		record.Age = now.Sub(h.seen)
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Age, b.Age) })
	return records
}

func (t *Table) over(h *held, now time.Time) bool { return now.Sub(h.seen) >= t.length(h) }

// length returns how long a record holds.
func (t *Table) length(h *held) time.Duration {
	if h.record.Kind == Quarantined {
		return t.opts.QuarantineFor
	}
	return t.opts.SuspectFor
}

// expire drops the records that are over, and the oldest above the bound.
func (t *Table) expire(now time.Time) {
	for id, h := range t.records {
		if t.over(h, now) {
			t.drop(id, h)
		}
	}
	if len(t.records) <= t.opts.MaxRecords {
		return
	}
	for _, record := range t.Records(now)[t.opts.MaxRecords:] {
		t.drop(record.ID, t.records[record.ID])
	}
}

func (t *Table) drop(id RecordID, h *held) {
	delete(t.records, id)
	fingerprint := h.record.Fingerprint
	rest := slices.DeleteFunc(t.byFingerprint[fingerprint], func(other *held) bool { return other == h })
	if len(rest) == 0 {
		delete(t.byFingerprint, fingerprint)
		return
	}
	t.byFingerprint[fingerprint] = rest
}
