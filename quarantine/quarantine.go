// Package quarantine decides which requests are suspected of crashing the
// upstreams that run them, and which are refused for that reason. It uses no
// goroutine, clock or random source.
//
// Every request that was running when an upstream crashed becomes a suspect,
// identified by the fingerprint of its contents. Suspects run isolated from each
// other: if the upstream crashes again and the only suspect there had begun to run as
// one, its fingerprint is quarantined. A complete answer to any run of a fingerprint
// ends both, since a request that crashes upstreams gets none. If no run is left that
// could be answered, one VM runs a quarantined request again from time to time.
// Nodes exchange records and may merge them in any order.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/ledger"
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records.
const (
	// Suspect marks a request that was running when an upstream crashed.
	Suspect Kind = iota + 1
	// Quarantined marks a request that crashed an upstream while it ran alone.
	Quarantined
)

// String returns the name of the kind for display.
func (k Kind) String() string {
	if k == Quarantined {
		return "quarantined"
	}
	return "suspect"
}

// FingerprintOf hashes what a request has in common with its repetitions: the
// organisation, host, method, target and body. A repetition has another ID and may
// enter at another node, and a change of the configuration may give it another route.
func FingerprintOf(head *call.Head, body []byte) ledger.Fingerprint {
	shape := call.Head{Organisation: head.Organisation, Route: head.Host, Method: head.Method, Target: head.Target}
	return ledger.FingerprintOf(&shape, body)
}

// Record is one observation about a fingerprint.
type Record struct {
	// ID identifies the observation by the node incarnation and a number.
	ID          RecordID           `cbor:"1,keyasint"`
	Fingerprint ledger.Fingerprint `cbor:"2,keyasint"`
	Kind        Kind               `cbor:"3,keyasint"`
	// Settled is true once the record has no effect: the request ran alone
	// without a crash, or an operator lifted the quarantine.
	Settled bool `cbor:"4,keyasint,omitempty"`
	// Age is the age of the observation when the record was sent.
	Age time.Duration `cbor:"5,keyasint"`
	// Organisation and Route describe the request to operators.
	Organisation string `cbor:"6,keyasint"`
	Route        string `cbor:"7,keyasint"`
	// Crash is the number of the crash that the node incarnation observed; 0 if the
	// record tells nothing of other requests in it.
	Crash uint64 `cbor:"8,keyasint,omitempty"`
}

// crash identifies the crash of a record by a record ID with the number of the crash.
func (r *Record) crash() RecordID {
	return RecordID{VM: r.ID.VM, Incarnation: r.ID.Incarnation, Number: r.Crash}
}

// RecordID identifies an observation.
type RecordID struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
}

// Options bound a Table.
type Options struct {
	// SuspectFor and QuarantineFor are the times after which records of each
	// kind expire.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// MaxRecords bounds the table.
	MaxRecords int
	// VM is the VM of the table. A quarantined fingerprint may run again on the VM that
	// recorded it after TrialAfter, twice that after a failed trial and so on; never if
	// TrialAfter is 0.
	VM         string
	TrialAfter time.Duration
}

// Verdict is how a request must be treated.
type Verdict uint8

// Verdicts.
const (
	// RunConcurrently lets a request run concurrently with others.
	RunConcurrently Verdict = iota
	// RunWithSuspects makes a suspect of one crash run beside a limited number of
	// other suspects.
	RunWithSuspects
	// RunAlone makes a suspect of several crashes, and the trial of a quarantined
	// request, run while no other suspect does.
	RunAlone
	// Refuse refuses a quarantined request.
	Refuse
)

// Finding is the conclusion from one run of a request.
type Finding uint8

// Findings.
const (
	// NothingFound changes nothing: a suspect stays a suspect.
	NothingFound Finding = iota
	// FoundSuspect means that the upstream crashed while several requests ran.
	FoundSuspect
	// FoundCause means that the upstream crashed while no other suspect ran.
	FoundCause
	// FoundHarmless means that the request was answered completely.
	FoundHarmless
)

// Classify returns the finding for one run. Only a complete answer clears a request,
// isolated or not: a run that was refused, cancelled or truncated proves nothing.
func Classify(alone, crashed, answered bool) Finding {
	switch {
	case crashed && alone:
		return FoundCause
	case crashed:
		return FoundSuspect
	case answered:
		return FoundHarmless
	}
	return NothingFound
}

// tableEntry is a record with the time of its observation by the local clock.
type tableEntry struct {
	record     Record
	observedAt time.Time
}

// Table holds the records of a node. It is not safe for concurrent use.
type Table struct {
	opts          Options
	records       map[RecordID]*tableEntry
	byFingerprint map[ledger.Fingerprint][]*tableEntry
	// explained has the crashes in which a fingerprint ran that is quarantined. The other
	// requests in them are no suspects.
	explained map[RecordID]bool
	// digest is the exclusive or of the hashes of the records.
	digest uint64
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts: opts, records: map[RecordID]*tableEntry{}, byFingerprint: map[ledger.Fingerprint][]*tableEntry{}, explained: map[RecordID]bool{},
	}
}

// Len returns the number of records, settled ones included.
func (t *Table) Len() int { return len(t.records) }

// Merge adds records to the table and reports whether that changed it. A
// settled record stays settled.
func (t *Table) Merge(records []Record, now time.Time) bool {
	changed := false
	for _, record := range records {
		changed = t.merge(record, now) || changed
	}
	t.expire(now)
	return changed
}

func (t *Table) merge(record Record, now time.Time) bool {
	observedAt := now.Add(-max(0, record.Age))
	if existing, ok := t.records[record.ID]; ok {
		return record.Settled && t.settleEntry(existing)
	}
	entry := &tableEntry{record: record, observedAt: observedAt}
	if t.expired(entry, now) {
		return false
	}
	t.records[record.ID] = entry
	t.digest ^= record.hash()
	t.byFingerprint[record.Fingerprint] = append(t.byFingerprint[record.Fingerprint], entry)
	t.explain(record.Fingerprint)
	return true
}

// explain marks the crashes of a quarantined fingerprint as explained.
func (t *Table) explain(fingerprint ledger.Fingerprint) {
	entries := t.byFingerprint[fingerprint]
	if !slices.ContainsFunc(entries, (*tableEntry).quarantined) {
		return
	}
	for _, entry := range entries {
		if entry.record.Crash != 0 {
			t.explained[entry.record.crash()] = true
		}
	}
}

func (e *tableEntry) quarantined() bool { return e.record.Kind == Quarantined && !e.record.Settled }

// Verdict returns how a request with the fingerprint must be treated.
func (t *Table) Verdict(fingerprint ledger.Fingerprint, now time.Time) Verdict {
	crashes := 0
	for _, entry := range t.byFingerprint[fingerprint] {
		switch {
		case entry.record.Settled || t.expired(entry, now):
			continue
		case entry.record.Kind == Quarantined:
			if _, trial, _ := t.trial(fingerprint); t.opts.TrialAfter > 0 && !now.Before(trial) {
				return RunAlone
			}
			return Refuse
		case !t.explained[entry.record.crash()]:
			crashes++
		}
	}
	switch crashes {
	case 0:
		return RunConcurrently
	case 1:
		return RunWithSuspects
	}
	return RunAlone
}

// trial returns when a quarantined fingerprint may run again on the first VM, and on
// this one, and whether it is quarantined. VMs that recorded the quarantine at about the
// same time take turns, so that the next one tries if the first one is gone. The wait
// doubles with each failed trial.
func (t *Table) trial(fingerprint ledger.Fingerprint) (first, here time.Time, quarantined bool) {
	var quarantines []*tableEntry
	for _, entry := range t.byFingerprint[fingerprint] {
		if entry.quarantined() {
			quarantines = append(quarantines, entry)
		}
	}
	if len(quarantines) == 0 {
		return first, here, false
	}
	slices.SortFunc(quarantines, func(a, b *tableEntry) int { return a.observedAt.Compare(b.observedAt) })
	wait, round := t.opts.TrialAfter, 0
	for i, entry := range quarantines {
		if entry.observedAt.Sub(quarantines[round].observedAt) >= wait {
			wait, round = 2*wait, i
		}
	}
	var vms []string
	for _, entry := range quarantines[round:] {
		vms = append(vms, entry.record.ID.VM)
	}
	slices.Sort(vms)
	first = quarantines[round].observedAt.Add(wait)
	turn := slices.Index(slices.Compact(vms), t.opts.VM)
	if turn < 0 {
		return first, first.Add(t.opts.QuarantineFor), true
	}
	return first, first.Add(time.Duration(turn) * wait), true
}

// Left returns how long the fingerprint stays refused; 0 if it is not, or if its trial
// is due on one of the VMs.
func (t *Table) Left(fingerprint ledger.Fingerprint, now time.Time) time.Duration {
	var left time.Duration
	for _, entry := range t.byFingerprint[fingerprint] {
		if entry.quarantined() {
			left = max(left, t.retention(entry)-now.Sub(entry.observedAt))
		}
	}
	if first, _, quarantined := t.trial(fingerprint); quarantined && t.opts.TrialAfter > 0 {
		left = min(left, max(0, first.Sub(now)))
	}
	return left
}

// Run is a request that was running when the upstream crashed.
type Run struct {
	Fingerprint ledger.Fingerprint
	// Isolated is true if the request had begun to run as a suspect.
	Isolated bool
}

// Accuse returns what each of the fingerprints becomes by a crash of the upstream that
// ran them: if one of them alone was a suspect and had begun as one, it is quarantined.
// Runs that began before the suspicion prove nothing: requests that many callers send
// alike run on every upstream that crashes for another reason.
func (t *Table) Accuse(runs []Run, now time.Time) map[ledger.Fingerprint]Kind {
	kinds := make(map[ledger.Fingerprint]Kind, len(runs))
	suspects, isolated := map[ledger.Fingerprint]bool{}, map[ledger.Fingerprint]bool{}
	for _, run := range runs {
		kinds[run.Fingerprint] = Suspect
		if t.Verdict(run.Fingerprint, now) != RunConcurrently {
			suspects[run.Fingerprint] = true
			isolated[run.Fingerprint] = isolated[run.Fingerprint] || run.Isolated
		}
	}
	if len(suspects) == 1 {
		for fingerprint := range suspects {
			if isolated[fingerprint] {
				kinds[fingerprint] = Quarantined
			}
		}
	}
	return kinds
}

// Settle settles the records of a fingerprint that was answered completely, and returns
// those that were in effect.
func (t *Table) Settle(fingerprint ledger.Fingerprint, now time.Time) []Record {
	var settled []Record
	for _, entry := range t.byFingerprint[fingerprint] {
		if t.settleEntry(entry) {
			settled = append(settled, entry.at(now))
		}
	}
	return settled
}

// settleEntry settles a record and reports whether it was in effect.
func (t *Table) settleEntry(entry *tableEntry) bool {
	if entry.record.Settled {
		return false
	}
	t.digest ^= entry.record.hash()
	entry.record.Settled = true
	t.digest ^= entry.record.hash()
	if entry.record.Kind == Quarantined {
		// Its crashes have no known cause any more.
		clear(t.explained)
		for fingerprint := range t.byFingerprint {
			t.explain(fingerprint)
		}
	}
	return true
}

// Lift settles all records of a fingerprint for an operator. It reports whether any were
// in effect.
func (t *Table) Lift(fingerprint ledger.Fingerprint, now time.Time) bool {
	return len(t.Settle(fingerprint, now)) > 0
}

// at returns the record with its age.
func (e *tableEntry) at(now time.Time) Record {
	record := e.record
	record.Age = now.Sub(e.observedAt)
	return record
}

// Digest returns a number that is the same for tables with the same records, of which
// the same are settled, and 0 for an empty one.
func (t *Table) Digest() uint64 {
	return t.digest
}

// hash returns a hash of the ID and of whether the record is settled.
func (r *Record) hash() uint64 {
	return xxh3.HashString(fmt.Sprintf("%s/%d/%d/%t", r.ID.VM, r.ID.Incarnation, r.ID.Number, r.Settled))
}

// Missing returns the table's records that are not among the given ones, or not as
// settled ones, newest first.
func (t *Table) Missing(from []Record, now time.Time) []Record {
	type state struct {
		id      RecordID
		settled bool
	}
	known := make(map[state]bool, len(from))
	for _, record := range from {
		known[state{record.ID, record.Settled}] = true
	}
	return slices.DeleteFunc(t.Records(now), func(record Record) bool {
		return known[state{record.ID, true}] || known[state{record.ID, record.Settled}]
	})
}

// Records returns all records with their ages, newest first.
func (t *Table) Records(now time.Time) []Record {
	records := make([]Record, 0, len(t.records))
	for _, entry := range t.records {
		records = append(records, entry.at(now))
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Age, b.Age) })
	return records
}

func (t *Table) expired(entry *tableEntry, now time.Time) bool {
	return now.Sub(entry.observedAt) >= t.retention(entry)
}

// retention returns how long a record is kept.
func (t *Table) retention(entry *tableEntry) time.Duration {
	if entry.record.Kind == Quarantined {
		return t.opts.QuarantineFor
	}
	return t.opts.SuspectFor
}

// expire drops expired records and, beyond MaxRecords, settled ones first, then
// suspects, and of each the oldest first.
func (t *Table) expire(now time.Time) {
	for id, entry := range t.records {
		if t.expired(entry, now) {
			t.drop(id, entry)
		}
	}
	if len(t.records) <= t.opts.MaxRecords {
		return
	}
	records := t.Records(now)
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(b.rank(), a.rank()) })
	for _, record := range records[t.opts.MaxRecords:] {
		t.drop(record.ID, t.records[record.ID])
	}
}

// rank orders records by how long they are kept in a full table.
func (r *Record) rank() int {
	switch {
	case r.Settled:
		return 0
	case r.Kind == Quarantined:
		return 2
	}
	return 1
}

// forgetExplained drops the crashes of which the table has no record.
func (t *Table) forgetExplained() {
	known := map[RecordID]bool{}
	for _, entry := range t.records {
		known[entry.record.crash()] = true
	}
	for crash := range t.explained {
		if !known[crash] {
			delete(t.explained, crash)
		}
	}
}

func (t *Table) drop(id RecordID, entry *tableEntry) {
	delete(t.records, id)
	t.digest ^= entry.record.hash()
	if entry.record.Kind == Quarantined || len(t.records) == 0 {
		t.forgetExplained()
	}
	fingerprint := entry.record.Fingerprint
	remaining := slices.DeleteFunc(t.byFingerprint[fingerprint], func(other *tableEntry) bool { return other == entry })
	if len(remaining) == 0 {
		delete(t.byFingerprint, fingerprint)
		return
	}
	t.byFingerprint[fingerprint] = remaining
}
