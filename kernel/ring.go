package kernel

import (
	"context"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrRingFull is returned by Push if the ring is full and has the Refuse policy.
var ErrRingFull = errors.New("ring is full")

// OverflowPolicy determines what Push does when the ring is full.
type OverflowPolicy int

const (
	// Wait blocks until there is room or the context ends.
	Wait OverflowPolicy = iota
	// Refuse returns ErrRingFull.
	Refuse
	// DropOldest discards the oldest element to make room.
	DropOldest
)

// String returns the policy's value in metric labels.
func (p OverflowPolicy) String() string {
	return [...]string{"wait", "refuse", "drop_oldest"}[p]
}

// Ring is a bounded FIFO queue between goroutines. Any number of goroutines may
// push and pop.
type Ring[T any] struct {
	elements chan T
	policy   OverflowPolicy
	full     prometheus.Counter
}

// NewRing returns a ring of the given capacity. The counter full, which may be
// nil, is incremented by each push to a full ring.
func NewRing[T any](capacity int, policy OverflowPolicy, full prometheus.Counter) *Ring[T] {
	return &Ring[T]{elements: make(chan T, capacity), policy: policy, full: full}
}

// Push adds an element. It blocks only with the Wait policy; if the context
// ends while it is blocked, it returns the context's error.
func (r *Ring[T]) Push(ctx context.Context, element T) error {
	select {
	case r.elements <- element:
		return nil
	default:
	}
	if r.full != nil {
		r.full.Inc()
	}
	switch r.policy {
	case Refuse:
		return ErrRingFull
	case DropOldest:
		r.replaceOldest(element)
		return nil
	default:
		return r.pushBlocking(ctx, element)
	}
}

func (r *Ring[T]) pushBlocking(ctx context.Context, element T) error {
	select {
	case r.elements <- element:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// replaceOldest discards elements until the new one fits.
func (r *Ring[T]) replaceOldest(element T) {
	for {
		select {
		case r.elements <- element:
			return
		default:
		}
		select {
		case <-r.elements:
		default:
		}
	}
}

// C returns the channel from which elements are popped.
func (r *Ring[T]) C() <-chan T { return r.elements }

// Len returns the number of queued elements.
func (r *Ring[T]) Len() int { return len(r.elements) }
