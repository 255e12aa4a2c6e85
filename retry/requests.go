package retry

import (
	"container/list"
	"sync"
	"time"
)

// Claim names a caller's request by what the caller itself says of it.
type Claim struct {
	Organisation string
	Route        string
	// ID is the caller's Idempotency-Key or the request ID that it repeats.
	ID string
}

// Requests remembers the budgets of callers' requests for a while, so that a
// request that its caller sends again goes on with the budget that is left.
// Each send spends one unit; the one of a send that ran nowhere is refunded.
// The table is bounded: the request that was quiet for longest is forgotten
// first. It is safe for concurrent use.
type Requests struct {
	mu       sync.Mutex
	capacity int
	window   time.Duration
	byClaim  map[Claim]*list.Element
	// recent is ordered from the last to the first used.
	recent list.List
}

// request is what is remembered of one claim.
type request struct {
	claim  Claim
	budget *Budget
	seen   time.Time
}

// NewRequests returns a table of at most capacity requests, each remembered
// for window after its last use.
func NewRequests(capacity int, window time.Duration) *Requests {
	return &Requests{capacity: capacity, window: window, byClaim: map[Claim]*list.Element{}}
}

// Open returns the budget of the request, which begins with 1 + retries units.
// Again reports whether an earlier send of the request may have run.
func (r *Requests) Open(claim Claim, retries int, now time.Time) (budget *Budget, again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if element, ok := r.byClaim[claim]; ok {
		known := element.Value.(*request)
		known.seen = now
		r.recent.MoveToFront(element)
		return known.budget, known.budget.Touched()
	}
	added := &request{claim: claim, budget: NewBudget(1 + max(0, retries)), seen: now}
	r.byClaim[claim] = r.recent.PushFront(added)
	if r.recent.Len() > r.capacity {
		r.remove(r.recent.Back())
	}
	return added.budget, false
}

// Len returns the number of requests that are remembered.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recent.Len()
}

func (r *Requests) expire(now time.Time) {
	for {
		oldest := r.recent.Back()
		if oldest == nil || now.Sub(oldest.Value.(*request).seen) <= r.window {
			return
		}
		r.remove(oldest)
	}
}

func (r *Requests) remove(element *list.Element) {
	r.recent.Remove(element)
	delete(r.byClaim, element.Value.(*request).claim)
}
