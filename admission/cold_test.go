package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

// coldStart sends requests at a constant rate to an upstream that has just
// started, and returns how many were refused as overloaded. The latency is
// distributed uniformly between 0 and twice the mean.
func coldStart(seed uint64, rate int, mean, length time.Duration) (refused int) {
	random := rand.New(rand.NewPCG(seed, 1))
	c := NewController(Options{Slots: 40, Queue: 160, MaxWait: 100 * time.Millisecond}, start)
	ends := map[*Request]time.Time{}
	now := start
	apply := func(actions []Action) {
		for _, action := range actions {
			if action.Run {
				ends[action.Request] = now.Add(time.Duration(2 * random.Float64() * float64(mean)))
			} else if action.Code == call.CodeOverloaded {
				refused++
			}
		}
	}
	for step := 0; now.Sub(start) < length; step++ {
		now = start.Add(time.Duration(step) * time.Millisecond)
		for request, end := range ends {
			if !end.After(now) {
				delete(ends, request)
				apply(c.Finish(Completion{Request: request, Answered: true}, now))
			}
		}
		if step*rate/1000 != (step+1)*rate/1000 {
			apply(c.Submit(&Request{Weight: 1, Rank: uint16(random.Uint32()), Deadline: now.Add(5 * time.Second)}, now))
		}
		if step%20 == 0 {
			apply(c.Tick(now))
		}
	}
	return refused
}

// TestColdUpstreamQueuesInsteadOfRefusing guards against refusals during
// warm-up: the limit starts low, so the queue must hold the requests that the
// upstream can serve once its limit has grown.
func TestColdUpstreamQueuesInsteadOfRefusing(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		refused := coldStart(seed, 300, 80*time.Millisecond, 3*time.Second)
		assert.Check(t, refused == 0, "seed %d: %d of 900 refused", seed, refused)
	}
}
