package retry

import (
	"container/list"
	"sync"
	"time"
)

// Claim identifies a caller's request by the ID that the caller gave it.
type Claim struct {
	Organisation string `cbor:"1,keyasint"`
	Route        string `cbor:"2,keyasint"`
	// ID is the caller's Idempotency-Key, or the request ID of the send that it
	// repeats.
	ID string `cbor:"3,keyasint"`
}

// Grant is the response to a request for a send.
type Grant struct {
	// Allowed is false if the request has no sends left.
	Allowed bool `cbor:"1,keyasint,omitempty"`
	// Resend means that an earlier send may have run.
	Resend bool `cbor:"2,keyasint,omitempty"`
	// Loan is the number of retries lent to the send.
	Loan int `cbor:"3,keyasint,omitempty"`
	// Number identifies the send in its Settlement.
	Number uint64 `cbor:"4,keyasint,omitempty"`
}

// Settlement ends an allowed send.
type Settlement struct {
	// Number is the Number of the Grant; Used is how much of its loan was used.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Used   int    `cbor:"2,keyasint,omitempty"`
	// Ran is false if the send did not run anywhere.
	Ran bool `cbor:"3,keyasint,omitempty"`
}

// Requests keeps the retry budgets of callers' requests for a limited time, so
// that a request that its caller repeats continues with the remaining budget.
// Each send takes one unit, which is refunded if the send did not run anywhere.
// The table is bounded; the least recently used request is evicted first. It is
// safe for concurrent use.
type Requests struct {
	mu       sync.Mutex
	capacity int
	window   time.Duration
	byClaim  map[Claim]*list.Element
	// lru is ordered from the most to the least recently used request.
	lru list.List
	// lastNumber is the number of the last send.
	lastNumber uint64
}

// request is the entry of one claim.
type request struct {
	claim    Claim
	budget   *Budget
	lastUsed time.Time
	// loans holds the loans of the sends in progress by number.
	loans map[uint64]int
}

// NewRequests returns a table of at most capacity requests, each kept for
// window after its last use.
func NewRequests(capacity int, window time.Duration) *Requests {
	return &Requests{capacity: capacity, window: window, byClaim: map[Claim]*list.Element{}}
}

// Begin requests a send of the request. A new request has 1 + retries units. If
// the send is allowed, End must follow; until then its loan is outstanding.
func (r *Requests) Begin(claim Claim, retries int, now time.Time) Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := r.find(claim, retries, now)
	grant := Grant{Resend: req.budget.InUse(), Allowed: req.budget.Spend()}
	if !grant.Allowed {
		return grant
	}
	r.lastNumber++
	grant.Number, grant.Loan = r.lastNumber, req.budget.LendAllBut(1)
	req.loans[grant.Number] = grant.Loan
	return grant
}

// End settles a send. Settling it again, or after its request was evicted, has
// no effect.
func (r *Requests) End(claim Claim, s Settlement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element, ok := r.byClaim[claim]
	if !ok {
		return
	}
	req := element.Value.(*request)
	loan, ok := req.loans[s.Number]
	if !ok {
		return
	}
	delete(req.loans, s.Number)
	req.budget.Settle(loan, s.Used)
	if !s.Ran {
		req.budget.Refund()
	}
}

// Len returns the number of requests in the table.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lru.Len()
}

func (r *Requests) find(claim Claim, retries int, now time.Time) *request {
	r.expire(now)
	if element, ok := r.byClaim[claim]; ok {
		existing := element.Value.(*request)
		existing.lastUsed = now
		r.lru.MoveToFront(element)
		return existing
	}
	added := &request{claim: claim, budget: NewBudget(1 + max(0, retries)), lastUsed: now, loans: map[uint64]int{}}
	r.byClaim[claim] = r.lru.PushFront(added)
	if r.lru.Len() > r.capacity {
		r.remove(r.lru.Back())
	}
	return added
}

func (r *Requests) expire(now time.Time) {
	for {
		oldest := r.lru.Back()
		if oldest == nil || now.Sub(oldest.Value.(*request).lastUsed) <= r.window {
			return
		}
		r.remove(oldest)
	}
}

func (r *Requests) remove(element *list.Element) {
	r.lru.Remove(element)
	delete(r.byClaim, element.Value.(*request).claim)
}
