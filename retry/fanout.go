package retry

import (
	"cmp"
	"math"
	"slices"
	"sync"
)

// Cost is the mean number of calls that one run of a service makes to another
// service, directly or indirectly.
type Cost struct {
	Service string  `cbor:"1,keyasint"`
	Calls   float64 `cbor:"2,keyasint"`
}

const (
	// fanoutHalfLifeRuns is the number of counted runs at which all counts are
	// halved, so that older runs count less.
	fanoutHalfLifeRuns = 500
	// minCost is the mean number of calls below which a service is omitted.
	minCost = 0.05
)

// Fanout measures the calls that one run of the local upstream causes at other
// services, because a repeated run repeats its calls. The costs of services
// further down the call graph are taken from their replies, so no node needs
// the whole graph. It is safe for concurrent use.
type Fanout struct {
	mu          sync.Mutex
	runs        float64
	calls       map[string]float64
	calleeCosts map[string][]Cost
}

// NewFanout returns an empty Fanout.
func NewFanout() *Fanout {
	return &Fanout{calls: map[string]float64{}, calleeCosts: map[string][]Cost{}}
}

// RecordRun counts a run of the local upstream.
func (f *Fanout) RecordRun() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	if f.runs < fanoutHalfLifeRuns {
		return
	}
	f.runs /= 2
	for service := range f.calls {
		f.calls[service] /= 2
	}
}

// RecordCall counts a call made by the local upstream.
func (f *Fanout) RecordCall(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[service]++
}

// SetCalleeCosts stores the calls that one run of a called service causes at
// other services.
func (f *Fanout) SetCalleeCosts(service string, calleeCosts []Cost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calleeCosts[service] = calleeCosts
}

// Costs returns the calls caused by one run of the local upstream, ordered by
// service.
func (f *Fanout) Costs() []Cost {
	f.mu.Lock()
	defer f.mu.Unlock()
	sums := map[string]float64{}
	for service, calls := range f.calls {
		mean := calls / max(1, f.runs)
		sums[service] += mean
		for _, cost := range f.calleeCosts[service] {
			sums[cost.Service] += mean * cost.Calls
		}
	}
	var costs []Cost
	for service, calls := range sums {
		if calls >= minCost {
			costs = append(costs, Cost{Service: service, Calls: calls})
		}
	}
	slices.SortFunc(costs, func(a, b Cost) int { return cmp.Compare(a.Service, b.Service) })
	return costs
}

// Throttles holds a Throttle for each service and charges a retry to all
// services that it reaches. In a fleet of many nodes, each node's part of the
// reserve can be less than one token or less than the cost of one retry. Such a
// retry is allowed with a probability equal to the share of its cost that the
// tokens cover, and the tokens are charged either way, so that the limit holds
// for the sum over all nodes. It is safe for concurrent use.
type Throttles struct {
	ratio   float64
	reserve func() float64
	random  func() float64

	mu          sync.Mutex
	services    map[string]*Throttle
	calleeCosts map[string][]Cost
}

// NewThrottles returns throttles with the ratio. reserve returns this node's
// part of the reserve; random returns a number in [0, 1), as the function
// returned by EvenSequence does.
func NewThrottles(ratio float64, reserve, random func() float64) *Throttles {
	return &Throttles{ratio: ratio, reserve: reserve, random: random, services: map[string]*Throttle{}, calleeCosts: map[string][]Cost{}}
}

// forService returns the service's throttle. The caller holds t.mu.
func (t *Throttles) forService(service string) *Throttle {
	throttle := t.services[service]
	if throttle == nil {
		throttle = NewThrottle(t.ratio, t.reserve())
		t.services[service] = throttle
	}
	return throttle
}

// RecordFirst records a caller's request to the service.
func (t *Throttles) RecordFirst(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forService(service).RecordFirst()
}

// SetCalleeCosts stores the calls that one run of the service causes at other
// services.
func (t *Throttles) SetCalleeCosts(service string, calleeCosts []Cost) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calleeCosts[service] = calleeCosts
}

// Retry charges a retry to the service and to those that its run calls, and
// reports whether it is allowed.
func (t *Throttles) Retry(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	costs := append([]Cost{{Service: service, Calls: 1}}, t.calleeCosts[service]...)
	covered := 1.0
	for _, cost := range costs {
		covered = min(covered, t.forService(cost.Service).available()/cost.Calls)
	}
	if covered <= 0 {
		return false
	}
	for _, cost := range costs {
		t.forService(cost.Service).charge(covered * cost.Calls)
	}
	return t.random() < covered
}

// EvenSequence returns a function that returns numbers in [0, 1). They are
// evenly distributed over the nodes of a fleet and over time: if many nodes
// compare one each with a small probability, the number of successes is close
// to the sum of the probabilities. position returns this node's relative
// position in the fleet, in [0, 1); it is called once. The returned function is
// not safe for concurrent use.
func EvenSequence(position func() float64) func() float64 {
	// The fractional parts of multiples of the golden ratio are evenly
	// distributed.
	const step = math.Phi - 1
	origin := sync.OnceValue(position)
	count := 0
	return func() float64 {
		_, fraction := math.Modf(origin() + float64(count)*step)
		count++
		return fraction
	}
}
