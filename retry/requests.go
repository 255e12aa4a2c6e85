package retry

import (
	"container/list"
	"sync"
	"time"
)

// Claim names a caller's request by what the caller itself says of it.
type Claim struct {
	Organisation string `cbor:"1,keyasint"`
	Route        string `cbor:"2,keyasint"`
	// ID is the caller's Idempotency-Key or the request ID that it repeats.
	ID string `cbor:"3,keyasint"`
}

// Grant is the answer to a caller's wish to send its request.
type Grant struct {
	// Allowed is false if the request has no send left.
	Allowed bool `cbor:"1,keyasint,omitempty"`
	// Again means that an earlier send may have run.
	Again bool `cbor:"2,keyasint,omitempty"`
	// Loan is the number of retries that go along with the send.
	Loan int `cbor:"3,keyasint,omitempty"`
	// Number names the send in its settlement.
	Number uint64 `cbor:"4,keyasint,omitempty"`
}

// Settlement ends a send that was allowed.
type Settlement struct {
	// Number is that of the grant; Used is how much of its loan was used.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Used   int    `cbor:"2,keyasint,omitempty"`
	// Ran is false if the send ran nowhere.
	Ran bool `cbor:"3,keyasint,omitempty"`
}

// Requests remembers the budgets of callers' requests for a while, so that a
// request that its caller sends again goes on with the budget that is left.
// Each send takes one unit; the one of a send that ran nowhere is given back.
// The table is bounded: the request that was quiet for longest is forgotten
// first. It is safe for concurrent use.
type Requests struct {
	mu       sync.Mutex
	capacity int
	window   time.Duration
	byClaim  map[Claim]*list.Element
	// recent is ordered from the last to the first used.
	recent list.List
	// last is the number of the last send.
	last uint64
}

// request is what is remembered of one claim.
type request struct {
	claim  Claim
	budget *Budget
	seen   time.Time
	// open has the loans of the sends in progress by their number.
	open map[uint64]int
}

// NewRequests returns a table of at most capacity requests, each remembered
// for window after its last use.
func NewRequests(capacity int, window time.Duration) *Requests {
	return &Requests{capacity: capacity, window: window, byClaim: map[Claim]*list.Element{}}
}

// Begin asks for a send of the request, which has 1 + retries units when it is
// new. If the send is allowed, End must follow; until then its loan is out.
func (r *Requests) Begin(claim Claim, retries int, now time.Time) Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.find(claim, retries, now)
	grant := Grant{Again: q.budget.Touched(), Allowed: q.budget.Spend()}
	if !grant.Allowed {
		return grant
	}
	r.last++
	grant.Number, grant.Loan = r.last, q.budget.LendKeeping(1)
	q.open[grant.Number] = grant.Loan
	return grant
}

// End settles a send. Settling it again, or after its request was forgotten,
// changes nothing.
func (r *Requests) End(claim Claim, s Settlement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element, ok := r.byClaim[claim]
	if !ok {
		return
	}
	q := element.Value.(*request)
	loan, ok := q.open[s.Number]
	if !ok {
		return
	}
	delete(q.open, s.Number)
	q.budget.Settle(loan, s.Used)
	if !s.Ran {
		q.budget.Refund()
	}
}

// Len returns the number of requests that are remembered.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recent.Len()
}

func (r *Requests) find(claim Claim, retries int, now time.Time) *request {
	r.expire(now)
	if element, ok := r.byClaim[claim]; ok {
		known := element.Value.(*request)
		known.seen = now
		r.recent.MoveToFront(element)
		return known
	}
	added := &request{claim: claim, budget: NewBudget(1 + max(0, retries)), seen: now, open: map[uint64]int{}}
	r.byClaim[claim] = r.recent.PushFront(added)
	if r.recent.Len() > r.capacity {
		r.remove(r.recent.Back())
	}
	return added
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
