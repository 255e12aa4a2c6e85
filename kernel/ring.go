package kernel

import (
	"context"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrRingFull is returned by Push on a full ring with the Refuse policy.
var ErrRingFull = errors.New("ring is full")

// Policy says what Push does when the ring is full.
type Policy int

const (
	// Wait blocks until there is room or the context ends.
	Wait Policy = iota
	// Refuse returns ErrRingFull.
	Refuse
	// DropOldest discards the oldest element.
	DropOldest
)

// String returns the policy's label in metrics.
func (p Policy) String() string {
	return [...]string{"wait", "refuse", "drop_oldest"}[p]
}

// Ring is a bounded queue that joins the goroutines of two duties.
// Any number of goroutines may push and pop.
type Ring[T any] struct {
	elements chan T
	policy   Policy
	full     prometheus.Counter
}

// NewRing returns a ring of the given capacity. The counter full, which may
// be nil, counts the pushes that found the ring full.
func NewRing[T any](capacity int, policy Policy, full prometheus.Counter) *Ring[T] {
	return &Ring[T]{elements: make(chan T, capacity), policy: policy, full: full}
}

// Push adds an element. It blocks only under the Wait policy, and then
// returns the context's error if that ends first.
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
		return r.wait(ctx, element)
	}
}

func (r *Ring[T]) wait(ctx context.Context, element T) error {
	select {
	case r.elements <- element:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

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
