package shedding

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
)

const interval = 100 * time.Millisecond

func TestSharesAreOrderedByImportance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPublisher(PublisherOptions{Service: "s", VM: "v"})
		state := admission.State{Limit: 8}
		for range rapid.IntRange(1, 30).Draw(t, "intervals") {
			for range rapid.IntRange(0, 40).Draw(t, "arrivals") {
				p.RecordArrival(uint8(rapid.IntRange(1, 9).Draw(t, "importance")),
					rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					rapid.Float64Range(0.1, 10).Draw(t, "weight"), rapid.Float64Range(0, 1).Draw(t, "passed"))
			}
			state.Running = rapid.IntRange(0, 8).Draw(t, "running")
			state.Queued = rapid.IntRange(0, 32).Draw(t, "queued")
			state.Service = time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			state.Dropped += rapid.IntRange(0, 5).Draw(t, "dropped")
			p.Observe(state)
			p.Update(interval, state)
			level := p.Level()
			for i := 1; i < len(level.Accepted); i++ {
				if level.Accepted[i-1] > level.Accepted[i] {
					t.Fatalf("importance %d is accepted more than %d: %v", i, i+1, level.Accepted)
				}
			}
		}
	})
}

func TestFairSharesStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := map[string]*demand{}
		for i := range rapid.IntRange(1, 8).Draw(t, "organisations") {
			demands[fmt.Sprint(i)] = &demand{
				rate:   rapid.Float64Range(minDemand, 1000).Draw(t, "rate"),
				weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"),
			}
		}
		capacity := rapid.Float64Range(1, 3000).Draw(t, "capacity")
		total, weights := 0.0, 0.0
		for _, d := range demands {
			weights += d.weight
		}
		for name, share := range fairShares(demands, capacity).organisations {
			d := demands[name]
			got := share * d.rate
			total += got
			if fair := min(d.rate, capacity*d.weight/weights); got < 0.999*fair {
				t.Fatalf("%s got %g, want at least its fair share %g", name, got, fair)
			}
		}
		if total > 1.001*capacity {
			t.Fatalf("organisations got %g in total, above the capacity of %g", total, capacity)
		}
	})
}

// simulatedVM simulates a VM, and an ingress that sheds for it, in steps of one
// interval.
type simulatedVM struct {
	publisher *Publisher
	table     *Table
	now       time.Time
	random    uint64
	state     admission.State
}

// step sends requests at the given rates, by importance, for one interval and
// returns the accepted rates.
func (s *simulatedVM) step(rates map[uint8]float64, limit int, latency time.Duration) map[uint8]float64 {
	accepted := map[uint8]float64{}
	total := 0.0
	for importance, rate := range rates {
		for range int(rate * interval.Seconds()) {
			s.random = s.random*6364136223846793005 + 1442695040888963407
			d := s.table.Decide("r", importance, "o", uint16(s.random>>48), s.now)
			if d.Accept {
				s.publisher.RecordArrival(importance, "o", 1, d.Passed)
				accepted[importance] += 1 / interval.Seconds()
				total += 1 / interval.Seconds()
			}
		}
	}
	capacity := float64(limit) / latency.Seconds()
	s.state.Running = int(min(1, total/capacity) * float64(limit))
	s.state.Queued = int(max(0, total/capacity-1) * float64(limit))
	s.state.Limit, s.state.Service = limit, latency
	s.state.Dropped += int(max(0, total-capacity) * interval.Seconds())
	s.publisher.Observe(s.state)
	s.publisher.Update(interval, s.state)
	s.now = s.now.Add(interval)
	s.table.Record("r", true, []call.Level{s.publisher.Level()}, s.now)
	return accepted
}

func TestOverloadKeepsTopImportanceAndRecovers(t *testing.T) {
	s := &simulatedVM{
		publisher: NewPublisher(PublisherOptions{Service: "s", VM: "v"}),
		table:     NewTable(TableOptions{}), now: time.Unix(1_000_000, 0),
	}
	surge := map[uint8]float64{9: 400, 5: 2000, 2: 2000}
	var accepted map[uint8]float64
	for range 50 {
		accepted = s.step(surge, 64, 100*time.Millisecond)
	}
	assert.Equal(t, accepted[9], 400.0)
	total := accepted[9] + accepted[5] + accepted[2]
	assert.Assert(t, total >= 500 && total <= 1000, "%v", accepted)
	assert.Assert(t, accepted[2] < 100, "%v", accepted)
	normal := map[uint8]float64{9: 100, 5: 200, 2: 200}
	for range 20 {
		accepted = s.step(normal, 64, 100*time.Millisecond)
	}
	assert.DeepEqual(t, accepted, normal)
}

func TestTableRecordsCallGraphAndExpiresLevels(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := NewTable(TableOptions{})
	refusesAll := call.Level{Service: "often", VM: "1", Accepted: make([]byte, 9)}
	acceptsAll := call.Level{Service: "often", VM: "2"}
	rarelyCalled := call.Level{Service: "rarely", VM: "3", Accepted: make([]byte, 9)}
	for i := range 100 {
		levels := []call.Level{refusesAll, acceptsAll}
		if i%10 == 0 {
			levels = append(levels, rarelyCalled)
		}
		table.Record("r", true, levels, now)
	}
	d := table.Decide("r", 5, "o", 0, now)
	assert.Assert(t, !d.Accept)
	assert.Equal(t, d.Service, "often")
	assert.Equal(t, d.Passed, 0.5)
	assert.Assert(t, table.Decide("other", 5, "o", 0, now).Accept)
	later := now.Add(DefaultHold + DefaultFade)
	assert.Assert(t, table.Decide("r", 5, "o", 0, later).Accept)
	table.Expire(later.Add(time.Millisecond))
	assert.Equal(t, len(table.services), 0)
}

func TestShareIsPerOrganisation(t *testing.T) {
	p := NewPublisher(PublisherOptions{Service: "s", VM: "v"})
	state := admission.State{Running: 10, Queued: 1, Limit: 10, Service: 50 * time.Millisecond}
	for range 30 {
		for range 90 {
			p.RecordArrival(5, "greedy", 1, 0)
		}
		for range 5 {
			p.RecordArrival(5, "modest", 1, 0)
		}
		p.Observe(state)
		p.Update(interval, state)
	}
	level := p.Level()
	assert.Assert(t, level.Share(5, "modest") > 0.95, "%+v", level)
	assert.Assert(t, level.Share(5, "greedy") < 0.4, "%+v", level)
	importance, _ := level.MinAccepted()
	assert.Equal(t, importance, uint8(5))
}
