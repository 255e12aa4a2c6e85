package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

func mintTestID(t *testing.T, age time.Duration) string {
	t.Helper()
	pin := call.Pin{VM: "fares-1", Incarnation: 7}
	text, err := NewSigner("0123456789abcdef").Mint(Scope{Organisation: "beach", Route: "charge"}, pin, NewNonce(), start.Add(-age))
	assert.NilError(t, err)
	return text
}

func TestImportedAnswersAreReplayedAndNotRun(t *testing.T) {
	stopping := New(Options{Validity: time.Minute, MaxEntries: 10, MaxAnswerBytes: 1000})
	done, running := mintTestID(t, time.Second), mintTestID(t, time.Second)
	for _, id := range []string{done, running} {
		assert.Equal(t, stopping.Begin(id, start.Add(-time.Second), Fingerprint{1}, start).Action, Run)
	}
	stopping.Finish(done, answerWithBody("done"))
	successor := New(Options{Validity: time.Minute, MaxEntries: 10, MaxAnswerBytes: 1000})
	for range 2 {
		successor.Import(stopping.Export(1000), start)
	}
	assert.Equal(t, successor.Len(), 1)
	answer, ok := successor.Find(done, Fingerprint{1}, start)
	assert.Assert(t, ok)
	assert.Equal(t, string(answer.Body), "done")
	answer, ok = successor.Find(done, Fingerprint{2}, start)
	assert.Assert(t, ok)
	assert.Equal(t, answer.Reply.Code, call.CodeConflict)
	_, ok = successor.Find(running, Fingerprint{1}, start)
	assert.Assert(t, !ok, "a request that was still running has no answer")
	_, ok = successor.Find(done, Fingerprint{1}, start.Add(2*time.Minute))
	assert.Assert(t, !ok, "an answer is not replayed after its ID expired")
}

func TestExportReturnsNewestRecordsWithinSizeLimit(t *testing.T) {
	stopping := New(Options{Validity: time.Minute, MaxEntries: 10, MaxAnswerBytes: 1 << 20})
	var ids []string
	for age := range 3 {
		id := mintTestID(t, time.Duration(age)*time.Second)
		ids = append(ids, id)
		stopping.Begin(id, start.Add(-time.Duration(age)*time.Second), Fingerprint{1}, start)
		stopping.Finish(id, answerWithBody(string(make([]byte, 1000))))
	}
	records := stopping.Export(2000)
	assert.Equal(t, records[0].ID, ids[0])
	assert.Equal(t, len(records[0].Body), 1000)
	assert.Equal(t, records[1].Reply.Code, call.CodeAnswerNotKept)
	total := int64(0)
	for i := range records {
		total += records[i].Size()
	}
	assert.Assert(t, total <= 2000)
	assert.Equal(t, len(stopping.Export(0)), 0)
}
