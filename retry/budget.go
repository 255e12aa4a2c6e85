// Package retry limits how often a request may be sent again. It starts no
// goroutines and uses no sockets, clock or random source other than those
// passed in.
//
// Four limits work together. A Budget holds the retries of one root request:
// each call borrows a part of it and returns what it did not use, so the sum
// over the whole call tree never exceeds the root's budget. Sends distinguishes
// calls that an upstream repeats from first ones, and Requests does the same
// for callers, so that both are charged to the same budget. A Throttle limits
// the retries to a service to a small share of its first attempts.
package retry

import "sync"

// Budget is the part of a root request's retries held by one call. It is safe
// for concurrent use.
//
// At any time total = left + lent + used. Loans whose outcome is lost are
// settled as fully used, so the retries of a call tree are never undercounted.
type Budget struct {
	mu     sync.Mutex
	total  int
	used   int
	lent   int
	closed bool
}

// NewBudget returns a budget of total retries. A negative total counts as 0.
func NewBudget(total int) *Budget {
	return &Budget{total: max(0, total)}
}

// Spend uses one retry. It returns false if none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left() == 0 {
		return false
	}
	b.used++
	return true
}

// Refund returns a retry taken by Spend that reached no upstream.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && !b.closed {
		b.used--
	}
}

// Lend lends up to want retries to a call and returns their number. The caller
// must Settle the loan.
func (b *Budget) Lend(want int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	loan := max(0, min(want, b.left()))
	b.lent += loan
	return loan
}

// LendHalf lends half of the remaining retries, rounded up, so that concurrent
// calls share the budget.
func (b *Budget) LendHalf() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	loan := (b.left() + 1) / 2
	b.lent += loan
	return loan
}

// LendAllBut lends all remaining retries except keep. If at most keep remain,
// it still lends one of them.
func (b *Budget) LendAllBut(keep int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left()
	loan := max(left-keep, min(left, 1))
	b.lent += loan
	return loan
}

// Settle ends a loan of which used retries were used. The reported value is
// clamped to 0..loan. A loan whose answer was lost is settled with used equal
// to the loan.
func (b *Budget) Settle(loan, used int) {
	used = max(0, min(used, loan))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lent -= max(0, min(loan, b.lent))
	b.used += used
}

// Left returns the number of retries that may still be spent or lent.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left()
}

// InUse reports whether any retry is used or lent.
func (b *Budget) InUse() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used+b.lent > 0
}

// Close closes the budget and returns the number of retries used. Outstanding
// loans count as used. Afterwards nothing can be spent or lent, because the
// remainder has been returned to the lender.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return b.used + b.lent
}

func (b *Budget) left() int {
	if b.closed {
		return 0
	}
	return max(0, b.total-b.used-b.lent)
}
