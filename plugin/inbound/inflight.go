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
func (f *inFlightRun) join() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters++
}

// wait blocks until the run has finished or the waiter's context ends.
func (f *inFlightRun) wait(ctx context.Context) (*call.Reply, io.ReadCloser) {
	select {
	case <-f.done:
		return f.result()
	case <-ctx.Done():
		f.abandon()
		code := call.CodeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			code = call.CodeDeadline
		}
		return call.Unsure(code, "the request still runs; ask again with its id"), nil
	}
}

// result returns the result of a finished run to one waiter.
func (f *inFlightRun) result() (*call.Reply, io.ReadCloser) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters--
	if f.stream != nil {
		stream := f.stream
		f.stream = nil
		return f.reply, stream
	}
	return replay(f.stored)
}

// abandon removes a waiter whose context has ended.
func (f *inFlightRun) abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters--
	f.closeUnclaimed()
}

// finish publishes the result to all waiters.
func (f *inFlightRun) finish(stored *ledger.Answer, reply *call.Reply, stream io.ReadCloser) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished, f.stored, f.reply, f.stream = true, stored, reply, stream
	f.closeUnclaimed()
	close(f.done)
}

// closeUnclaimed closes the stream of a finished run that has no waiters left.
func (f *inFlightRun) closeUnclaimed() {
	if f.finished && f.waiters == 0 && f.stream != nil {
		_ = f.stream.Close()
		f.stream = nil
	}
}
