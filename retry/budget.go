// Package retry decides how often a request may be sent again. It has no
// goroutine, socket, clock or random source of its own.
//
// Four limits work together. A Budget holds the retries of one root request:
// each call borrows a part of it and gives back what it did not use, so the
// sum over the whole call tree never exceeds the root's budget. Sends tells
// the calls that an upstream sends again from its first ones, and Requests
// does the same for callers, so that both are charged to the same budget. A
// Throttle holds the retries to a service to a small share of its first tries.
package retry

import "sync"

// Budget is the part of a root request's retries that one call holds. It is
// safe for concurrent use.
//
// At any time total = left + lent + used. Lost loans are settled as used, so
// the retries of a tree are never counted too low.
type Budget struct {
	mu     sync.Mutex
	total  int
	used   int
	lent   int
	sealed bool
}

// NewBudget returns a budget of total retries; negative counts as 0.
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

// Refund gives back a retry that Spend took and that reached no upstream.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && !b.sealed {
		b.used--
	}
}

// Lend takes up to want retries out for a call and returns how many it took.
// The caller must Settle the loan.
func (b *Budget) Lend(want int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	loan := max(0, min(want, b.left()))
	b.lent += loan
	return loan
}

// LendHalf lends half of what is left, rounded up, so that calls that run at
// the same time share the budget.
func (b *Budget) LendHalf() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	loan := (b.left() + 1) / 2
	b.lent += loan
	return loan
}

// LendKeeping lends all that is left but keep; it lends the last retry rather
// than keep it.
func (b *Budget) LendKeeping(keep int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left()
	loan := max(left-keep, min(left, 1))
	b.lent += loan
	return loan
}

// Settle ends a loan of which used retries were used. What the borrower
// reports is held to 0..loan. A loan whose answer was lost is settled with
// used equal to the loan.
func (b *Budget) Settle(loan, used int) {
	used = max(0, min(used, loan))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lent -= max(0, min(loan, b.lent))
	b.used += used
}

// Left returns how many retries may still be spent or lent.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left()
}

// Touched reports whether any retry is used or lent.
func (b *Budget) Touched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used+b.lent > 0
}

// Seal ends the budget and returns what it has used; loans that are still out
// count as used. From then on nothing can be spent or lent, because the rest
// has gone back to the lender.
func (b *Budget) Seal() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return b.used + b.lent
}

func (b *Budget) left() int {
	if b.sealed {
		return 0
	}
	return max(0, b.total-b.used-b.lent)
}
