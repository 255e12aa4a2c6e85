package admission

import (
	"context"
	"sync/atomic"

	"github.com/mangomast/mangomast/call"
)

// Slots is a semaphore that admits a fixed number of requests at once. A
// bounded number of others wait in order of arrival. It is safe for concurrent
// use.
type Slots struct {
	slots  chan struct{}
	queue  int64
	queued atomic.Int64
}

// NewSlots returns a semaphore with the given number of slots and queue length.
func NewSlots(slots, queue int) *Slots {
	return &Slots{slots: make(chan struct{}, slots), queue: int64(queue)}
}

// Acquire blocks until a slot is free or the context ends, unless the queue is
// full. It returns a refusal if the request must not run. Otherwise it returns
// nil, and the caller must call Release when the request has ended.
func (s *Slots) Acquire(ctx context.Context, _ *call.Head) *call.Reply {
	if s.queued.Add(1) > s.queue {
		s.queued.Add(-1)
		return call.Refuse(call.CodeOverloaded, "the queue is full")
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return call.Refuse(call.CodeDeadline, "the deadline passed in the queue")
	}
}

// Release frees the slot acquired for a request.
func (s *Slots) Release() { <-s.slots }

// Load returns the current load.
func (s *Slots) Load() call.Load {
	return call.Load{Running: len(s.slots), Queued: int(s.queued.Load()), Limit: cap(s.slots)}
}
