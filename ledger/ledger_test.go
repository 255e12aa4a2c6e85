package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

var start = time.Unix(1_800_000_000, 0)

func newTestLedger() *Ledger {
	return New(Options{Validity: time.Minute, MaxEntries: 3, MaxAnswerBytes: 10})
}

func answerWithBody(body string) *Answer {
	return &Answer{Reply: &call.Reply{Outcome: call.Answered, Final: true}, Body: []byte(body)}
}

func TestLedgerRunsAnIDOnce(t *testing.T) {
	l := newTestLedger()
	assert.Equal(t, l.Begin("a", start, Fingerprint{1}, start).Action, Run)
	assert.Equal(t, l.Begin("a", start, Fingerprint{1}, start).Action, Join)
	l.Finish("a", answerWithBody("done"))
	again := l.Begin("a", start, Fingerprint{1}, start)
	assert.Equal(t, again.Action, Replay)
	assert.Equal(t, string(again.Answer.Body), "done")
}

func TestLedgerRefusesDifferentRequestWithSameID(t *testing.T) {
	l := newTestLedger()
	l.Begin("a", start, Fingerprint{1}, start)
	other := l.Begin("a", start, Fingerprint{2}, start)
	assert.Equal(t, other.Action, Replay)
	assert.Equal(t, other.Answer.Reply.Code, call.CodeConflict)
	assert.Equal(t, other.Answer.Reply.Outcome, call.Refused)
}

func TestLedgerDoesNotRerunEvictedID(t *testing.T) {
	l := newTestLedger()
	l.Begin("a", start, Fingerprint{1}, start)
	l.Finish("a", answerWithBody(""))
	late := start.Add(2 * time.Minute)
	aged := l.Begin("a", start, Fingerprint{1}, late)
	assert.Equal(t, l.Len(), 0)
	assert.Equal(t, aged.Answer.Reply.Code, call.CodeIDExpired)
	assert.Equal(t, aged.Answer.Reply.Outcome, call.Unknown)
	// A wall clock that is set back does not make the ID valid again.
	assert.Equal(t, l.Begin("a", start, Fingerprint{1}, start).Action, Replay)
}

func TestLedgerDoesNotExpireRunningRequest(t *testing.T) {
	l := newTestLedger()
	l.Begin("a", start, Fingerprint{1}, start)
	assert.Equal(t, l.Begin("a", start, Fingerprint{1}, start.Add(time.Hour)).Action, Join)
}

func TestLedgerEvictsOldestMintedEntry(t *testing.T) {
	l := newTestLedger()
	for i, id := range []string{"a", "b", "c", "d"} {
		l.Begin(id, start.Add(time.Duration(i)*time.Second), Fingerprint{1}, start)
		l.Finish(id, answerWithBody(""))
	}
	assert.Equal(t, l.Len(), 3)
	assert.Equal(t, l.Begin("a", start, Fingerprint{1}, start).Answer.Reply.Code, call.CodeIDExpired)
	assert.Equal(t, l.Begin("late", start, Fingerprint{1}, start).Action, Replay)
	assert.Equal(t, l.Begin("new", start.Add(time.Minute), Fingerprint{1}, start).Action, Run)
}

func TestLedgerDropsBodiesButNotOutcomes(t *testing.T) {
	l := newTestLedger()
	for _, id := range []string{"a", "b"} {
		l.Begin(id, start, Fingerprint{1}, start)
		l.Finish(id, answerWithBody("12345678"))
	}
	assert.Equal(t, l.AnswerBytes(), int64(8))
	assert.Equal(t, l.Begin("a", start, Fingerprint{1}, start).Answer.Reply.Code, call.CodeAnswerNotKept)
	assert.Equal(t, string(l.Begin("b", start, Fingerprint{1}, start).Answer.Body), "12345678")
}

func TestIDIsBoundToItsScope(t *testing.T) {
	signer := NewSigner("0123456789abcdef")
	scope := Scope{Organisation: "beach", Route: "charge"}
	pin := call.Pin{VM: "fares-1", Incarnation: 7}
	text, err := signer.Mint(scope, pin, NewNonce(), start)
	assert.NilError(t, err)
	id, err := signer.Verify(scope, text)
	assert.NilError(t, err)
	assert.Equal(t, id.Pin(), pin)
	assert.Assert(t, id.Minted().Equal(start))
	for _, other := range []Scope{{"beach", "refund"}, {"shop", "charge"}, {"beachc", "harge"}} {
		_, err = signer.Verify(other, text)
		assert.ErrorIs(t, err, ErrWrongScope)
	}
	_, err = NewSigner("another secret..").Verify(scope, text)
	assert.ErrorIs(t, err, ErrWrongScope)
	_, err = signer.Verify(scope, "x"+text)
	assert.Assert(t, err != nil)
	_, err = signer.Verify(scope, "short")
	assert.ErrorIs(t, err, ErrMalformed)
}
