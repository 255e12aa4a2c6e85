package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/ledger"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	poison = ledger.Fingerprint{1}
)

func newTestTable() *Table {
	return NewTable(Options{SuspectFor: time.Minute, QuarantineFor: 2 * time.Minute, MaxRecords: 3})
}

func record(number uint64, fingerprint ledger.Fingerprint, kind Kind) Record {
	return Record{ID: RecordID{VM: "a", Incarnation: 1, Number: number}, Fingerprint: fingerprint, Kind: kind}
}

func TestSuspectRunsIsolatedUntilSettled(t *testing.T) {
	table := newTestTable()
	assert.Equal(t, table.Verdict(poison, start), RunConcurrently)
	assert.Assert(t, table.Merge([]Record{record(1, poison, Suspect)}, start))
	assert.Equal(t, table.Verdict(poison, start), RunWithSuspects)
	assert.Equal(t, len(table.Settle(poison, start)), 1)
	assert.Equal(t, table.Verdict(poison, start), RunConcurrently)
	// A stale, unsettled copy of the record from another node changes nothing.
	assert.Assert(t, !table.Merge([]Record{record(1, poison, Suspect)}, start))
	assert.Equal(t, table.Verdict(poison, start), RunConcurrently)
	table.Merge([]Record{record(2, poison, Suspect)}, start)
	assert.Equal(t, table.Verdict(poison, start), RunWithSuspects)
	table.Merge([]Record{record(3, poison, Suspect)}, start)
	assert.Equal(t, table.Verdict(poison, start), RunAlone)
}

// TestOnlySuspectInACrashIsQuarantined guards against sound requests that are
// quarantined because they were running beside the one that crashes upstreams.
func TestOnlySuspectInACrashIsQuarantined(t *testing.T) {
	sound, other := ledger.Fingerprint{2}, ledger.Fingerprint{3}
	table := NewTable(Options{SuspectFor: time.Minute, QuarantineFor: 2 * time.Minute, MaxRecords: 100})
	number := uint64(0)
	crash := func(running ...ledger.Fingerprint) map[ledger.Fingerprint]Kind {
		var runs []Run
		for _, fingerprint := range running {
			runs = append(runs, Run{Fingerprint: fingerprint, Isolated: table.Verdict(fingerprint, start) != RunConcurrently})
		}
		kinds := table.Accuse(runs, start)
		for fingerprint, kind := range kinds {
			number++
			table.Merge([]Record{record(number, fingerprint, kind)}, start)
		}
		return kinds
	}
	all := map[ledger.Fingerprint]Kind{poison: Suspect, sound: Suspect}
	assert.DeepEqual(t, crash(poison, sound, poison), all)
	assert.DeepEqual(t, crash(poison, sound), all)
	assert.DeepEqual(t, crash(poison, other), map[ledger.Fingerprint]Kind{poison: Quarantined, other: Suspect})
	assert.Equal(t, table.Verdict(poison, start), Refuse)
	assert.Equal(t, table.Left(poison, start.Add(time.Second)), 2*time.Minute-time.Second)
	assert.Equal(t, table.Verdict(sound, start), RunAlone)
	assert.Equal(t, table.Left(sound, start), time.Duration(0))
}

// TestRunsBeforeTheSuspicionProveNothing guards against a sound request that is
// quarantined because it runs on every upstream, and two of them crash shortly after each
// other.
func TestRunsBeforeTheSuspicionProveNothing(t *testing.T) {
	table := newTestTable()
	table.Merge([]Record{record(1, poison, Suspect)}, start)
	running := []Run{{Fingerprint: poison}, {Fingerprint: poison}}
	assert.DeepEqual(t, table.Accuse(running, start), map[ledger.Fingerprint]Kind{poison: Suspect})
	running[1].Isolated = true
	assert.DeepEqual(t, table.Accuse(running, start), map[ledger.Fingerprint]Kind{poison: Quarantined})
	running = append(running, Run{Fingerprint: ledger.Fingerprint{2}, Isolated: true})
	assert.DeepEqual(t, table.Accuse(running, start), map[ledger.Fingerprint]Kind{poison: Quarantined, {2}: Suspect})
}

// TestAnswerEndsQuarantine guards against a wrong quarantine that lasts although the
// request is answered on another VM, or by a run that began before.
func TestAnswerEndsQuarantine(t *testing.T) {
	first, second := newTestTable(), newTestTable()
	beside := record(3, ledger.Fingerprint{2}, Suspect)
	quarantined, suspect := record(2, poison, Quarantined), record(1, poison, Suspect)
	for _, r := range []*Record{&beside, &quarantined, &suspect} {
		r.Crash = 7
	}
	for _, table := range []*Table{first, second} {
		table.Merge([]Record{suspect, quarantined, beside}, start)
		assert.Equal(t, table.Verdict(poison, start), Refuse)
		assert.Equal(t, table.Verdict(beside.Fingerprint, start), RunConcurrently)
	}
	assert.Equal(t, len(first.Settle(poison, start)), 2)
	assert.Equal(t, first.Verdict(poison, start), RunConcurrently)
	assert.Equal(t, first.Verdict(beside.Fingerprint, start), RunWithSuspects, "the crash has no known cause any more")
	// The settled records also reach a table that missed them when they were sent.
	assert.Assert(t, first.Digest() != second.Digest())
	second.Merge(first.Missing(second.Records(start), start), start)
	assert.Equal(t, first.Digest(), second.Digest())
	assert.Equal(t, second.Verdict(poison, start), RunConcurrently)
	assert.Equal(t, second.Verdict(beside.Fingerprint, start), RunWithSuspects)
	assert.Equal(t, len(second.Missing(first.Records(start), start)), 0)
}

// TestQuarantinedRequestIsTriedAgain guards against a wrong quarantine that no run can
// end, because none is left.
func TestQuarantinedRequestIsTriedAgain(t *testing.T) {
	const trialAfter = 10 * time.Second
	opts := Options{SuspectFor: time.Minute, QuarantineFor: time.Minute, MaxRecords: 10, TrialAfter: trialAfter}
	elsewhere := NewTable(opts)
	opts.VM = "a"
	table := NewTable(opts)
	quarantine := func(number uint64, at time.Time) {
		for _, table := range []*Table{table, elsewhere} {
			table.Merge([]Record{record(number, poison, Quarantined)}, at)
		}
	}
	quarantine(1, start)
	assert.Equal(t, table.Verdict(poison, start.Add(trialAfter-1)), Refuse)
	assert.Equal(t, table.Left(poison, start.Add(time.Second)), trialAfter-time.Second)
	assert.Equal(t, table.Verdict(poison, start.Add(trialAfter)), RunAlone)
	assert.Equal(t, elsewhere.Verdict(poison, start.Add(trialAfter)), Refuse)
	assert.Equal(t, elsewhere.Left(poison, start.Add(trialAfter)), time.Duration(0))
	again := start.Add(trialAfter)
	assert.DeepEqual(t, table.Accuse([]Run{{Fingerprint: poison, Isolated: true}}, again), map[ledger.Fingerprint]Kind{poison: Quarantined})
	quarantine(2, again)
	assert.Equal(t, table.Verdict(poison, again.Add(2*trialAfter-1)), Refuse, "twice as long after the second crash")
	assert.Equal(t, table.Verdict(poison, again.Add(2*trialAfter)), RunAlone)
	table.Settle(poison, again.Add(2*trialAfter))
	assert.Equal(t, table.Verdict(poison, again.Add(2*trialAfter)), RunConcurrently)
}

// TestExplainedCrashClearsTheOthers guards against sound requests that stay suspects of a
// crash whose cause is known.
func TestExplainedCrashClearsTheOthers(t *testing.T) {
	sound := ledger.Fingerprint{2}
	inCrash := func(number uint64, fingerprint ledger.Fingerprint, kind Kind, crash uint64) Record {
		r := record(number, fingerprint, kind)
		r.Crash = crash
		return r
	}
	cause := inCrash(3, poison, Quarantined, 2)
	for _, records := range [][]Record{
		{inCrash(1, poison, Suspect, 1), inCrash(2, sound, Suspect, 1), cause},
		{cause, inCrash(2, sound, Suspect, 1), inCrash(1, poison, Suspect, 1)},
	} {
		table := newTestTable()
		table.Merge(records, start)
		assert.Equal(t, table.Verdict(poison, start), Refuse)
		assert.Equal(t, table.Verdict(sound, start), RunConcurrently)
	}
	table := newTestTable()
	table.Merge([]Record{inCrash(2, sound, Suspect, 3), cause}, start)
	assert.Equal(t, table.Verdict(sound, start), RunWithSuspects, "a crash that the quarantined request was not in")
}

func TestDigestTellsWhichRecordsAreMissing(t *testing.T) {
	first, second := newTestTable(), newTestTable()
	assert.Equal(t, first.Digest(), uint64(0))
	first.Merge([]Record{record(1, poison, Suspect), record(2, poison, Suspect)}, start)
	second.Merge([]Record{record(2, poison, Suspect)}, start)
	assert.Assert(t, first.Digest() != second.Digest())
	second.Merge(first.Missing(second.Records(start), start), start)
	assert.Equal(t, first.Digest(), second.Digest())
}

func TestQuarantinedRecordsAreEvictedLast(t *testing.T) {
	table := newTestTable()
	table.Merge([]Record{record(0, poison, Quarantined)}, start)
	for i := range uint64(10) {
		table.Merge([]Record{record(i+1, ledger.Fingerprint{byte(i + 2)}, Suspect)}, start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, table.Len(), 3)
	assert.Equal(t, table.Verdict(poison, start.Add(10*time.Second)), Refuse)
}

func TestQuarantineEndsByExpiryAndByOperator(t *testing.T) {
	table := newTestTable()
	table.Merge([]Record{record(1, poison, Suspect), record(2, poison, Quarantined)}, start)
	assert.Equal(t, table.Verdict(poison, start), Refuse)
	assert.Equal(t, table.Verdict(poison, start.Add(2*time.Minute)), RunConcurrently)
	assert.Assert(t, table.Lift(poison, start))
	assert.Assert(t, !table.Lift(poison, start))
	assert.Equal(t, table.Verdict(poison, start), RunConcurrently)
}

func TestMergeIsCommutative(t *testing.T) {
	settled := record(1, poison, Suspect)
	settled.Settled = true
	first, second := newTestTable(), newTestTable()
	first.Merge([]Record{record(1, poison, Suspect), settled}, start)
	second.Merge([]Record{settled, record(1, poison, Suspect)}, start)
	assert.DeepEqual(t, first.Records(start), second.Records(start))
}

func TestTableIsBounded(t *testing.T) {
	table := newTestTable()
	for i := range uint64(10) {
		table.Merge([]Record{record(i, ledger.Fingerprint{byte(i)}, Suspect)}, start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, table.Len(), 3)
	assert.Equal(t, table.Verdict(ledger.Fingerprint{9}, start.Add(10*time.Second)), RunWithSuspects)
	table.Merge(nil, start.Add(time.Hour))
	assert.Equal(t, table.Len(), 0)
}

func TestOnlyCompleteAnswerClearsRequest(t *testing.T) {
	const alone, crashed, answered = true, true, true
	assert.Equal(t, Classify(alone, !crashed, answered), FoundHarmless)
	assert.Equal(t, Classify(alone, !crashed, !answered), NothingFound)
	assert.Equal(t, Classify(!alone, !crashed, answered), FoundHarmless)
	assert.Equal(t, Classify(!alone, !crashed, !answered), NothingFound)
	assert.Equal(t, Classify(!alone, crashed, !answered), FoundSuspect)
	assert.Equal(t, Classify(alone, crashed, !answered), FoundCause)
}

func TestSummaryCountsRecordsInEffect(t *testing.T) {
	table := newTestTable()
	table.Merge([]Record{record(1, poison, Suspect)}, start)
	table.Merge([]Record{record(2, poison, Quarantined)}, start.Add(10*time.Second))
	summaries := table.Summaries(start.Add(20 * time.Second))
	assert.Equal(t, len(summaries), 1)
	assert.DeepEqual(t, summaries[0], Summary{
		Fingerprint: poison, Kind: Quarantined, Crashes: 2, VMs: []string{"a"},
		Since: 20 * time.Second, Left: 110 * time.Second,
	})
	table.Lift(poison, start)
	assert.Equal(t, len(table.Summaries(start.Add(20*time.Second))), 0)
}
