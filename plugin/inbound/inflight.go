package inbound

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/ledger"
)

// inFlightRun is the single run of a pinned request. All callers with the same
// request ID wait for its result.
type inFlightRun struct {
	done chan struct{}

	mu       sync.Mutex
	waiters  int
	finished bool
	stored   *ledger.Answer
	// stream is the body of an answer that is too large to store. Only the first
	// waiter gets it, with reply; the others get stored.
	reply  *call.Reply
	stream io.ReadCloser
}

// newInFlightRun returns a run with one waiter.
func newInFlightRun() *inFlightRun { return &inFlightRun{done: make(chan struct{}), waiters: 1} }

// join adds a waiter.
func (r *inFlightRun) join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters++
}

// wait blocks until the run has finished or the waiter's context ends.
func (r *inFlightRun) wait(ctx context.Context) (*call.Reply, io.ReadCloser) {
	select {
	case <-r.done:
		return r.result()
	case <-ctx.Done():
		r.abandon()
		code := call.CodeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			code = call.CodeDeadline
		}
		return call.UnknownOutcome(code, "the request still runs; ask again with its id"), nil
	}
}

// result returns the result of a finished run to one waiter.
func (r *inFlightRun) result() (*call.Reply, io.ReadCloser) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters--
	if r.stream != nil {
		stream := r.stream
		r.stream = nil
		return r.reply, stream
	}
	return replay(r.stored)
}

// abandon removes a waiter whose context has ended.
func (r *inFlightRun) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters--
	r.closeUnclaimed()
}

// finish publishes the result to all waiters.
func (r *inFlightRun) finish(stored *ledger.Answer, reply *call.Reply, stream io.ReadCloser) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished, r.stored, r.reply, r.stream = true, stored, reply, stream
	r.closeUnclaimed()
	close(r.done)
}

// closeUnclaimed closes the stream of a finished run that has no waiters left.
func (r *inFlightRun) closeUnclaimed() {
	if r.finished && r.waiters == 0 && r.stream != nil {
		_ = r.stream.Close()
		r.stream = nil
	}
}
