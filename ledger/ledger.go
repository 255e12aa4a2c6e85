// Package ledger decides whether a request that must run at most once runs,
// waits for the run under way, or gets the answer that was kept. It has no
// goroutine, clock or random source of its own.
//
// An ID names the one node incarnation that may run its request, so the
// decision is local to that node. Entries are dropped by their mint time, and
// the ledger remembers the highest mint time it dropped: an unknown ID that is
// not newer may have run before, so it is never run.
package ledger

import (
	"container/heap"
	"time"

	"github.com/mangomast/mangomast/call"
)

// Options bound a Ledger.
type Options struct {
	// Validity is how long after its mint time an ID may be run.
	Validity time.Duration
	// MaxEntries bounds the IDs that are remembered.
	MaxEntries int
	// MaxAnswerBytes bounds the bodies of all kept answers together.
	MaxAnswerBytes int64
}

// Answer is a reply that is kept to be given again.
type Answer struct {
	Reply *call.Reply
	Body  []byte
}

// Action is what to do with a request.
type Action uint8

// Actions that Begin decides on.
const (
	// Run means that the request must be run now, and Finish be called.
	Run Action = iota + 1
	// Join means that the request runs already; its answer will do.
	Join
	// Replay means that Answer is the request's answer.
	Replay
)

// Decision is what Begin decided.
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

// Ledger remembers the requests of one node incarnation. It is not safe for
// concurrent use.
type Ledger struct {
	opts    Options
	entries map[string]*entry
	// oldest orders the entries that do not run by mint time.
	oldest mintHeap
	// kept lists the IDs whose answers have bodies, oldest first.
	kept      []string
	keptBytes int64
	// floor is the latest mint time of an entry that may have been dropped.
	floor time.Time
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	return &Ledger{opts: opts, entries: map[string]*entry{}}
}

// Len returns the number of remembered IDs.
func (l *Ledger) Len() int { return len(l.entries) }

// AnswerBytes returns the size of the kept answers' bodies.
func (l *Ledger) AnswerBytes() int64 { return l.keptBytes }

// Begin decides on a request that arrived at the time now.
func (l *Ledger) Begin(text string, minted time.Time, fingerprint Fingerprint, now time.Time) Decision {
	l.expire(now)
	known, ok := l.entries[text]
	switch {
	case ok && known.fingerprint != fingerprint:
		return replay(conflict())
	case ok && known.answer == nil:
		return Decision{Action: Join}
	case ok:
		return Decision{Action: Replay, Answer: known.answer}
	case !minted.After(l.floor):
		return replay(call.Unsure(call.CodeIDExpired, "the request id is too old; it may have run and will not be run again"))
	}
	l.entries[text] = &entry{id: text, minted: minted, fingerprint: fingerprint}
	return Decision{Action: Run}
}

func conflict() *call.Reply {
	return call.Refuse(call.CodeConflict, "the request id was used with another method, path or body")
}

func replay(reply *call.Reply) Decision {
	reply.Settled = true
	return Decision{Action: Replay, Answer: &Answer{Reply: reply}}
}

// Finish records the answer of a request that Begin said to run. The answer
// of a request that was refused closes its ID for good.
func (l *Ledger) Finish(text string, answer *Answer) {
	e, ok := l.entries[text]
	if !ok || e.answer != nil {
		return
	}
	e.answer = answer
	heap.Push(&l.oldest, e)
	if len(answer.Body) > 0 {
		l.kept = append(l.kept, text)
		l.keptBytes += int64(len(answer.Body))
	}
	l.bound()
}

// expire drops the entries whose validity is over.
func (l *Ledger) expire(now time.Time) {
	l.raise(now.Add(-l.opts.Validity))
	for len(l.oldest) > 0 && !l.oldest[0].minted.After(l.floor) {
		l.dropOldest()
	}
}

func (l *Ledger) raise(floor time.Time) {
	if floor.After(l.floor) {
		l.floor = floor
	}
}

// bound drops the oldest entries and the oldest bodies above the bounds.
func (l *Ledger) bound() {
	for len(l.entries) > l.opts.MaxEntries && len(l.oldest) > 0 {
		l.raise(l.oldest[0].minted)
		l.dropOldest()
	}
	for len(l.kept) > 0 {
		e, ok := l.entries[l.kept[0]]
		if ok && l.keptBytes <= l.opts.MaxAnswerBytes {
			return
		}
		if ok {
			l.forgetBody(e)
		}
		l.kept = l.kept[1:]
	}
}

func (l *Ledger) dropOldest() {
	e := heap.Pop(&l.oldest).(*entry)
	l.keptBytes -= int64(len(e.answer.Body))
	delete(l.entries, e.id)
}

// forgetBody replaces an answer by the statement that it is no longer kept.
func (l *Ledger) forgetBody(e *entry) {
	l.keptBytes -= int64(len(e.answer.Body))
	e.answer = NotKept()
}

// NotKept is the answer to further askers of a request whose answer was too
// large to keep.
func NotKept() *Answer {
	reply := call.Unsure(call.CodeAnswerNotKept, "the request has run and will not be run again; its answer is no longer kept")
	reply.Settled = true
	return &Answer{Reply: reply}
}

// mintHeap is a heap of entries by mint time.
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
