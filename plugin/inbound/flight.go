package inbound

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/ledger"
)

// flight is a pinned request that runs, with everyone who waits for it.
type flight struct {
	done chan struct{}

	mu       sync.Mutex
	waiting  int
	finished bool
	kept     *ledger.Answer
	// rest is an answer that is too large to keep; the first waiter to take
	// it gets it with reply.
	reply *call.Reply
	rest  io.ReadCloser
}

// newFlight returns a flight with one waiter.
func newFlight() *flight { return &flight{done: make(chan struct{}), waiting: 1} }

// join adds a waiter.
func (f *flight) join() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting++
}

// wait blocks until the request has run or the waiter's context ends.
func (f *flight) wait(ctx context.Context) (*call.Reply, io.ReadCloser) {
	select {
	case <-f.done:
		return f.take()
	case <-ctx.Done():
		f.leave()
		code := call.CodeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			code = call.CodeDeadline
		}
		return call.Unsure(code, "the request still runs; ask again with its id"), nil
	}
}

func (f *flight) take() (*call.Reply, io.ReadCloser) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting--
	if f.rest != nil {
		rest := f.rest
		f.rest = nil
		return f.reply, rest
	}
	return giveAgain(f.kept)
}

// leave removes a waiter that does not want the answer any more.
func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting--
	f.closeUnwanted()
}

// finish hands the answer to all waiters.
func (f *flight) finish(kept *ledger.Answer, reply *call.Reply, rest io.ReadCloser) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished, f.kept, f.reply, f.rest = true, kept, reply, rest
	f.closeUnwanted()
	close(f.done)
}

// closeUnwanted frees a large answer that nobody waits for.
func (f *flight) closeUnwanted() {
	if f.finished && f.waiting == 0 && f.rest != nil {
		_ = f.rest.Close()
		f.rest = nil
	}
}
