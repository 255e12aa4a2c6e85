package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// runTree simulates one call of a random call tree: it spends and lends at
// random, and some of its calls lose their answers. It returns the retries
// actually used at and below the call.
func runTree(t *rapid.T, budget *Budget, depth int) int {
	used := 0
	type loan struct{ lent, reported int }
	var loans []loan
	for range rapid.IntRange(0, 4).Draw(t, "steps") {
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			if budget.Spend() {
				used++
			}
		case 1:
			if budget.Spend() {
				budget.Refund()
			}
		default:
			if depth == 0 {
				continue
			}
			lent := lendSome(t, budget)
			child := NewBudget(lent)
			used += runTree(t, child, depth-1)
			reported := child.Close()
			if rapid.Bool().Draw(t, "answer lost") {
				reported = lent
			}
			loans = append(loans, loan{lent, reported})
		}
		if len(loans) > 0 && rapid.Bool().Draw(t, "settle") {
			budget.Settle(loans[0].lent, loans[0].reported)
			loans = loans[1:]
		}
	}
	return used
}

func lendSome(t *rapid.T, budget *Budget) int {
	switch rapid.IntRange(0, 2).Draw(t, "rule") {
	case 0:
		return budget.LendHalf()
	case 1:
		return budget.LendAllBut(1)
	}
	return budget.Lend(rapid.IntRange(-1, 10).Draw(t, "want"))
}

func TestBudgetIsConservedOverTreesWithLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 10).Draw(t, "total")
		root := NewBudget(total)
		used := runTree(t, root, 4)
		reported := root.Close()
		assert.Assert(t, used <= reported, "used %d, reported %d", used, reported)
		assert.Assert(t, reported <= total, "reported %d of %d", reported, total)
		assert.Assert(t, !root.Spend() && root.LendHalf() == 0, "a closed budget allowed a retry")
	})
}

func TestSettleClampsUsageToTheLoan(t *testing.T) {
	b := NewBudget(5)
	loan := b.Lend(2)
	b.Settle(loan, -7)
	assert.Equal(t, b.Left(), 5)
	b.Settle(b.Lend(2), 99)
	assert.Equal(t, b.Left(), 3)
}

// TestSendsDetectEveryResend begins and ends calls with equal signatures in
// random order. The calls counted as first ones must not exceed the successes by
// more than one, and the resends must not exceed the failures.
func TestSendsDetectEveryResend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sends
		firsts, resends, successes, failures := 0, 0, 0, 0
		running := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if running && rapid.Bool().Draw(t, "end") {
				ok := rapid.Bool().Draw(t, "ok")
				s.End(1, ok)
				running = false
				if ok {
					successes++
				} else {
					failures++
				}
				continue
			}
			kind, done := s.Begin(1)
			assert.Equal(t, kind == Busy, running)
			switch kind {
			case First:
				firsts++
			case Resend:
				resends++
			case Busy:
				assert.Assert(t, done != nil)
			}
			running = true
		}
		assert.Assert(t, firsts <= successes+1, "%d first calls after %d successes", firsts, successes)
		assert.Assert(t, resends <= failures)
	})
}

func TestThrottleBoundsRetriesInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		reserve := float64(rapid.IntRange(0, 5).Draw(t, "reserve"))
		throttle := NewThrottle(ratio, reserve)
		var firsts, retries []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f, r := 0, 0
			if rapid.Bool().Draw(t, "first") {
				throttle.RecordFirst()
				f = 1
			} else if throttle.Retry() {
				r = 1
			}
			firsts, retries = append(firsts, f), append(retries, r)
		}
		for from := range firsts {
			f, r := 0, 0
			for i := from; i < len(firsts); i++ {
				f, r = f+firsts[i], r+retries[i]
				assert.Assert(t, float64(r) <= reserve+ratio*float64(f)+1e-9, "span %d..%d", from, i)
			}
		}
	})
}

func TestRequestsShareTheBudgetAndStayBounded(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewRequests(2, time.Minute)
	claim := Claim{Organisation: "beach", Route: "quote", ID: "1"}
	sends := 0
	for range 10 {
		grant := table.Begin(claim, 3, now)
		assert.Equal(t, grant.Resend, sends > 0)
		if grant.Allowed {
			sends++
			table.End(claim, Settlement{Number: grant.Number, Ran: true})
		}
	}
	assert.Equal(t, sends, 4)
	for i := range 5 {
		table.Begin(Claim{ID: fmt.Sprint(i)}, 3, now)
	}
	assert.Equal(t, table.Len(), 2)
	now = now.Add(2 * time.Minute)
	assert.Assert(t, !table.Begin(claim, 3, now).Resend)
	assert.Equal(t, table.Len(), 1)
}

func TestRequestsRefundSendsThatDidNotRun(t *testing.T) {
	table, claim := NewRequests(2, time.Minute), Claim{ID: "1"}
	for range 10 {
		grant := table.Begin(claim, 0, time.Unix(0, 0))
		assert.Assert(t, grant.Allowed && !grant.Resend)
		table.End(claim, Settlement{Number: grant.Number})
	}
}

// TestRequestsBoundConcurrentSends begins and ends sends at random; some are
// never ended. The sends that ran and the retries they used must together stay
// within 1 + retries.
func TestRequestsBoundConcurrentSends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, claim := NewRequests(2, time.Minute), Claim{ID: "1"}
		retries := rapid.IntRange(0, 5).Draw(t, "retries")
		ran := 0
		var open []Grant
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				used := rapid.IntRange(0, open[0].Loan).Draw(t, "used")
				executed := rapid.Bool().Draw(t, "ran")
				if executed {
					ran += 1 + used
				} else {
					used = 0
				}
				for range rapid.IntRange(1, 2).Draw(t, "copies of the settlement") {
					table.End(claim, Settlement{Number: open[0].Number, Used: used, Ran: executed})
				}
				open = open[1:]
				continue
			}
			if grant := table.Begin(claim, retries, time.Unix(0, 0)); grant.Allowed {
				open = append(open, grant)
			}
		}
		for _, grant := range open {
			ran += 1 + grant.Loan
		}
		assert.Assert(t, ran <= 1+retries, "%d runs with %d retries", ran, retries)
	})
}

func TestDelayIsUniformBetweenBounds(t *testing.T) {
	a := Advice{Min: time.Second, Max: 3 * time.Second}
	assert.Equal(t, a.Delay(0), time.Second)
	assert.Equal(t, a.Delay(0.5), 2*time.Second)
}

func TestRegionRoundTripsThroughID(t *testing.T) {
	for _, region := range []string{"", "riga", "riga@north/1 %"} {
		assert.Equal(t, RegionOf(WithRegion("3f2a", region)), region)
	}
	assert.Equal(t, RegionOf("order@riga"), "riga")
	assert.Equal(t, RegionOf("order@%zz"), "")
}
