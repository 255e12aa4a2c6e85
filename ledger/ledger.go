// Package ledger deduplicates requests that must run at most once. For each
// request ID it decides whether the request runs, joins the run in progress, or
// gets the recorded answer. It has no goroutine, clock or random source of its
// own.
//
// An ID contains the one node incarnation that may run its request, so the
// decision is local to that node. Entries are evicted in the order of their
// mint time, and the ledger records the latest evicted mint time as a
// watermark. An unknown ID that is not newer than the watermark may have run
// before, so it is never run.
package ledger

import (
	"container/heap"
	"time"

	"github.com/mangomast/mangomast/call"
)

// Options are the limits of a Ledger.
type Options struct {
	// Validity is how long after its mint time a request ID may be run.
	Validity time.Duration
	// MaxEntries is the maximum number of recorded IDs. Running requests are
	// not evicted, so they may exceed it.
	MaxEntries int
	// MaxAnswerBytes is the maximum total size of the recorded answers' bodies.
	MaxAnswerBytes int64
}

// Answer is a reply and its body, recorded to be replayed.
type Answer struct {
	Reply *call.Reply
	Body  []byte
}

// Action tells the caller of Begin what to do with a request.
type Action uint8

// Actions returned by Begin.
const (
	// Run means that the caller must run the request now and then call Finish.
	Run Action = iota + 1
	// Join means that the request is already running; the caller waits for the
	// answer of that run.
	Join
	// Replay means that the request must not run; Answer is its answer.
	Replay
)

// Decision is the result of Begin.
type Decision struct {
	Action Action
	// Answer is set for Replay.
	Answer *Answer
}

type entry struct {
	id          string
	minted      time.Time
	fingerprint Fingerprint
	// answer is nil while the request runs.
	answer *Answer
}

// Ledger records the requests of one node incarnation. It is not safe for
// concurrent use.
type Ledger struct {
	opts    Options
	entries map[string]*entry
	// finished is a heap of the entries with an answer; the oldest mint time
	// comes first.
	finished mintHeap
	// bodyIDs lists the IDs whose answers were recorded with a body, in the
	// order of recording. An ID may already have been evicted.
	bodyIDs   []string
	bodyBytes int64
	// watermark is the latest mint time of an entry that may have been evicted.
	watermark time.Time
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	return &Ledger{opts: opts, entries: map[string]*entry{}}
}

// Len returns the number of recorded IDs.
func (l *Ledger) Len() int { return len(l.entries) }

// AnswerBytes returns the total size of the recorded answers' bodies.
func (l *Ledger) AnswerBytes() int64 { return l.bodyBytes }

// Begin decides whether a request that arrived at the time now is run, joined
// or answered, and records it if it is run.
func (l *Ledger) Begin(text string, minted time.Time, fingerprint Fingerprint, now time.Time) Decision {
	l.expire(now)
	existing, ok := l.entries[text]
	switch {
	case ok && existing.fingerprint != fingerprint:
		return replayDecision(conflictReply())
	case ok && existing.answer == nil:
		return Decision{Action: Join}
	case ok:
		return Decision{Action: Replay, Answer: existing.answer}
	case !minted.After(l.watermark):
		return replayDecision(call.UnknownOutcome(call.CodeIDExpired, "the request id is too old; it may have run and will not be run again"))
	}
	l.entries[text] = &entry{id: text, minted: minted, fingerprint: fingerprint}
	return Decision{Action: Run}
}

func conflictReply() *call.Reply {
	return call.Refuse(call.CodeConflict, "the request id was used with another method, path or body")
}

func replayDecision(reply *call.Reply) Decision {
	reply.Final = true
	return Decision{Action: Replay, Answer: &Answer{Reply: reply}}
}

// Finish records the answer of a request for which Begin returned Run. The
// answer is final even if it is a refusal: the ID is never run again.
func (l *Ledger) Finish(text string, answer *Answer) {
	e, ok := l.entries[text]
	if !ok || e.answer != nil {
		return
	}
	e.answer = answer
	heap.Push(&l.finished, e)
	if len(answer.Body) > 0 {
		l.bodyIDs = append(l.bodyIDs, text)
		l.bodyBytes += int64(len(answer.Body))
	}
	l.enforceLimits()
}

// expire raises the watermark to now minus the validity and evicts the finished
// entries up to it.
func (l *Ledger) expire(now time.Time) {
	l.raiseWatermark(now.Add(-l.opts.Validity))
	for len(l.finished) > 0 && !l.finished[0].minted.After(l.watermark) {
		l.evictOldest()
	}
}

func (l *Ledger) raiseWatermark(watermark time.Time) {
	if watermark.After(l.watermark) {
		l.watermark = watermark
	}
}

// enforceLimits evicts the oldest finished entries and drops the oldest bodies
// until both limits are met.
func (l *Ledger) enforceLimits() {
	for len(l.entries) > l.opts.MaxEntries && len(l.finished) > 0 {
		l.raiseWatermark(l.finished[0].minted)
		l.evictOldest()
	}
	for len(l.bodyIDs) > 0 {
		e, ok := l.entries[l.bodyIDs[0]]
		if ok && l.bodyBytes <= l.opts.MaxAnswerBytes {
			return
		}
		if ok {
			l.dropBody(e)
		}
		l.bodyIDs = l.bodyIDs[1:]
	}
}

func (l *Ledger) evictOldest() {
	e := heap.Pop(&l.finished).(*entry)
	l.bodyBytes -= int64(len(e.answer.Body))
	delete(l.entries, e.id)
}

// dropBody replaces an entry's answer by DroppedAnswer, which preserves the fact
// that the request was run.
func (l *Ledger) dropBody(e *entry) {
	l.bodyBytes -= int64(len(e.answer.Body))
	e.answer = DroppedAnswer()
}

// DroppedAnswer returns the answer to repeated sends of a request that was run but
// whose answer was dropped or too large to record.
func DroppedAnswer() *Answer {
	reply := call.UnknownOutcome(call.CodeAnswerNotKept, "the request has run and will not be run again; its answer is no longer kept")
	reply.Final = true
	return &Answer{Reply: reply}
}

// mintHeap is a min-heap of entries by mint time.
type mintHeap []*entry

// Len implements heap.Interface.
func (h mintHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h mintHeap) Less(i, j int) bool { return h[i].minted.Before(h[j].minted) }

// Swap implements heap.Interface.
func (h mintHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *mintHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *mintHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
