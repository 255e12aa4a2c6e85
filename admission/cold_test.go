package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

// coldStart sends requests at a rate to an upstream that has just started, whose
// latency is spread evenly between 0 and twice the mean, and returns how many
// were refused.
func coldStart(seed uint64, rate int, mean, length time.Duration) (refused int) {
	random := rand.New(rand.NewPCG(seed, 1))
	c := NewController(Options{Slots: 40, Queue: 160, MaxWait: 100 * time.Millisecond}, start)
	ends := map[*Request]time.Time{}
	now := start
	carryOut := func(actions []Action) {
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
				carryOut(c.Finish(Completion{Request: request, Answered: true}, now))
			}
		}
		if step*rate/1000 != (step+1)*rate/1000 {
			carryOut(c.Arrive(&Request{Weight: 1, Rank: uint16(random.Uint32()), Deadline: now.Add(5 * time.Second)}, now))
		}
		if step%20 == 0 {
			carryOut(c.Tick(now))
		}
	}
	return refused
}

func TestColdUpstreamKeepsWhatItWillSoonRun(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		refused := coldStart(seed, 300, 80*time.Millisecond, 3*time.Second)
		assert.Check(t, refused == 0, "seed %d: %d of 900 refused", seed, refused)
	}
}
