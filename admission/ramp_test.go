package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rampUp saturates an upstream for the given length of time and returns the
// resulting limit. The latency is distributed uniformly between 0 and twice the
// mean and does not depend on the load.
func rampUp(seed uint64, slots int, mean, length time.Duration) int {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	limit := NewLimit(slots, LimitOptions{}, start)
	type run struct{ started, ends time.Time }
	var running []run
	for now := start; now.Sub(start) < length; now = now.Add(time.Millisecond) {
		var remaining []run
		for _, r := range running {
			if r.ends.After(now) {
				remaining = append(remaining, r)
				continue
			}
			limit.RecordFinished(now.Sub(r.started), false)
		}
		running = remaining
		for len(running) < limit.Value() {
			running = append(running, run{now, now.Add(time.Duration(2 * random.Float64() * float64(mean)))})
		}
		limit.RecordRunning(len(running), true)
		if now.Sub(start)%(20*time.Millisecond) == 0 {
			limit.Tick(now)
		}
	}
	return limit.Value()
}

// TestColdLimitRampsUpDespiteNoise guards against a ramp that ends early: with
// few samples, random variation of latency can look like a rise.
func TestColdLimitRampsUpDespiteNoise(t *testing.T) {
	const slots, seeds = 40, 50
	for seed := range uint64(seeds) {
		limit := rampUp(seed, slots, 80*time.Millisecond, 2*time.Second)
		assert.Check(t, limit >= slots*3/4, "seed %d: limit %d after 2 s", seed, limit)
	}
}
