package admission

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestControllersOfAnySizeRunRequests guards against slots, queue lengths or rates at the
// edges of their types that make Submit panic or leave no request running.
func TestControllersOfAnySizeRunRequests(t *testing.T) {
	for _, slots := range []int{math.MinInt, -1, 0, 1, 1 << 20, 1 << 31, 1 << 60, 1 << 61, 1<<61 + 1, 1 << 62, math.MaxInt} {
		for _, fixed := range []bool{true, false} {
			opts := SlotsOptions(slots, SlotsMaxWait)
			opts.Limit.Fixed = fixed
			assert.Check(t, slots < 1 || opts.Queue >= slots, "%d slots: a queue of %d", slots, opts.Queue)
			checkRunsRequests(t, opts)
		}
	}
	for _, queue := range []int{math.MinInt, -1, 0, math.MaxInt} {
		checkRunsRequests(t, Options{Slots: 1, Queue: queue, MaxWait: SlotsMaxWait})
	}
	for _, rate := range []float64{1e-300, 1, 1e19, 1e300, math.Inf(1)} {
		opts := SlotsOptions(64, SlotsMaxWait)
		opts.Pacer = fixedRate(rate)
		checkRunsRequests(t, opts)
	}
}

// checkRunsRequests submits requests to a controller until some must wait, and ends all.
func checkRunsRequests(t *testing.T, opts Options) {
	const submitted = 40
	now := start
	c := NewController(opts, now)
	running, refused := []*Request{}, 0
	record := func(actions []Action) {
		for _, a := range actions {
			if a.Run {
				running = append(running, a.Request)
			} else {
				refused++
			}
		}
	}
	for range submitted {
		record(c.Submit(&Request{Weight: 1, Deadline: now.Add(time.Hour)}, now))
		now = now.Add(time.Millisecond)
	}
	assert.Check(t, len(running) > 0, "%+v: none of %d requests runs", opts, submitted)
	for len(running) > 0 {
		r := running[0]
		running = running[1:]
		record(c.Finish(Completion{Request: r, Answered: true}, now))
		state := c.State(now)
		assert.Check(t, state.Limit >= 1 && state.Expected >= 1, "%+v: limit %d, %d expected", opts, state.Limit, state.Expected)
	}
	assert.Check(t, c.State(now).Running == 0 && c.State(now).Queued == 0, "%+v", opts)
}

// fixedRate is a Pacer that admits all requests and states a rate.
type fixedRate float64

func (fixedRate) Admit(*Request, time.Time) bool { return true }
func (fixedRate) Done(*Request)                  {}
func (r fixedRate) Rate(time.Time) float64       { return float64(r) }
