package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDeadlineCheckUsesLatencyOfSameKind mixes long requests with short ones
// that have a short deadline. The short ones must not be refused because of the
// latency of the long ones.
func TestDeadlineCheckUsesLatencyOfSameKind(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(Options{Slots: 10, Queue: 40, MaxWait: 250 * time.Millisecond, Limit: LimitOptions{Fixed: true}}, now)
	run := func(kind string, takes, timeout time.Duration) bool {
		r := &Request{Importance: 1, Organisation: "o", Weight: 1, Deadline: now.Add(timeout), Kind: kind}
		actions := c.Submit(r, now)
		if len(actions) != 1 || !actions[0].Run {
			return false
		}
		now = now.Add(takes)
		c.Finish(Completion{Request: r, Answered: true}, now)
		return true
	}
	for range 20 {
		assert.Assert(t, run("board", 900*time.Millisecond, 8*time.Second))
		assert.Assert(t, run("roster", 40*time.Millisecond, 500*time.Millisecond))
	}
}

// TestSlowKindIsProbedAgain covers an upstream that was too slow for the
// deadlines of a kind and has recovered. Without probes the estimate would stay
// high and all requests of the kind would be refused.
func TestSlowKindIsProbedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(Options{Slots: 10, Queue: 40, MaxWait: 250 * time.Millisecond, Limit: LimitOptions{Fixed: true}}, now)
	refused, takes := 0, 3*time.Second
	for i := range 600 {
		if i == 50 {
			takes = 40 * time.Millisecond
		}
		r := &Request{Importance: 1, Organisation: "o", Weight: 1, Deadline: now.Add(time.Second), Kind: "charge"}
		if actions := c.Submit(r, now); actions[0].Run {
			now = now.Add(takes)
			c.Finish(Completion{Request: r, Answered: true}, now)
		} else if i >= 50 {
			refused++
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, refused < 500, "%d of 550 refused by an upstream that has recovered", refused)
}
