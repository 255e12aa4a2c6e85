package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangomast/mangomast/retry"
)

// event is a caller's request to a service, or with repeats > 0 a retry that
// causes that many further arrivals.
type event struct {
	at      time.Duration
	repeats float64
}

// maxExcess returns the largest excess of repeated arrivals over the budget's
// ratio in any window. The ratio applies to the requests of the window or of
// the one before it, whichever has more.
func maxExcess(events []event, window time.Duration, ratio float64) float64 {
	largest := 0.0
	for _, end := range events {
		repeats, requests, earlierRequests := 0.0, 0, 0
		for _, e := range events {
			switch age := end.at - e.at; {
			case age < 0 || age >= 2*window:
			case age >= window:
				if e.repeats == 0 {
					earlierRequests++
				}
			case e.repeats > 0:
				repeats += e.repeats
			default:
				requests++
			}
		}
		largest = max(largest, repeats-ratio*float64(max(requests, earlierRequests)))
	}
	return largest
}

// TestRetriesHoldTheFleetsBudget guards against a fleet whose nodes together
// retry more than the budget allows. Callers request a service that fails and
// whose runs call another one; at both services, the retries in any window of
// ten seconds must not exceed a fifth of the callers' requests plus fifty.
func TestRetriesHoldTheFleetsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, length = 10 * time.Second, 30 * time.Second
		settings := Retries{Ratio: 0.2, Reserve: 50}
		nodes := rapid.IntRange(2, 40).Draw(t, "nodes")
		rate := rapid.IntRange(1, 30).Draw(t, "requests a second")
		calls := rapid.IntRange(0, 5).Draw(t, "calls of a run")
		failing := rapid.Float64Range(0, 1).Draw(t, "failing")
		var throttles []*retry.Throttles
		for index := range nodes {
			nodeThrottles := settings.throttles(func() (int, int) { return nodes, index })
			nodeThrottles.SetCalleeCosts("front", []retry.Cost{{Service: "back", Calls: float64(calls)}})
			throttles = append(throttles, nodeThrottles)
		}
		var front, back []event
		random := rapid.Float64Range(0, 1)
		for i, step := 0, time.Second/time.Duration(rate); time.Duration(i)*step < length; i++ {
			at := time.Duration(i) * step
			node := throttles[i%nodes]
			node.RecordFirst("front")
			front = append(front, event{at: at})
			if i%4 == 0 {
				node.RecordFirst("back")
				back = append(back, event{at: at})
			}
			if random.Draw(t, "random") < failing && node.Retry("front") {
				front = append(front, event{at: at, repeats: 1})
				back = append(back, event{at: at, repeats: float64(calls)})
			}
		}
		assert.Assert(t, maxExcess(front, window, settings.Ratio) <= settings.Reserve)
		assert.Assert(t, maxExcess(back, window, settings.Ratio) <= settings.Reserve)
	})
}
