package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRetriesAreChargedToTheServicesBelow has quotes call tills once, tills
// call sheets once and sheets call boards four times. A retry at quotes must be
// charged to all of them in these proportions.
func TestRetriesAreChargedToTheServicesBelow(t *testing.T) {
	sheets, tills, quotes := NewFanout(), NewFanout(), NewFanout()
	for range 100 {
		sheets.RecordRun()
		for range 4 {
			sheets.RecordCall("boards")
		}
		tills.RecordRun()
		tills.RecordCall("sheets")
		quotes.RecordRun()
		quotes.RecordCall("tills")
	}
	tills.SetCalleeCosts("sheets", sheets.Costs())
	quotes.SetCalleeCosts("tills", tills.Costs())
	assert.DeepEqual(t, quotes.Costs(), []Cost{{"boards", 4}, {"sheets", 1}, {"tills", 1}})

	throttles := NewThrottles(0.1, func() float64 { return 6 }, func() float64 { return 0.6 })
	throttles.SetCalleeCosts("quotes", quotes.Costs())
	assert.Assert(t, throttles.Retry("quotes"))
	// Two tokens of boards are left for four calls: a probability of one half.
	assert.Assert(t, !throttles.Retry("quotes"))
	assert.Assert(t, throttles.Retry("tills"), "tills has tokens, and its calls are not charged without recorded costs")
	for range 30 {
		throttles.RecordFirst("boards")
	}
	assert.Assert(t, throttles.Retry("quotes"), "boards has tokens for three of the four calls")
}

// TestEvenSequenceMatchesExpectedSuccesses draws several rounds, once per node
// of a fleet, with the same small probability. The successes per round must be
// close to their expected number.
func TestEvenSequenceMatchesExpectedSuccesses(t *testing.T) {
	const nodes, probability = 37, 0.16
	draws := make([]func() float64, nodes)
	for index := range draws {
		draws[index] = EvenSequence(func() float64 { return float64(index) / nodes })
	}
	for range 5 {
		succeeded := 0
		for _, draw := range draws {
			if draw() < probability {
				succeeded++
			}
		}
		assert.Assert(t, succeeded >= 5 && succeeded <= 7, "%d of %d succeeded", succeeded, nodes)
	}
}
