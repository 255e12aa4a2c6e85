package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

// simulation is one run of a plan.
type simulation struct {
	eventLoop
	plan       *Plan
	random     *rand.Rand
	startTime  time.Time
	allVMs     []*vm
	vmsByName  map[string]*vm
	candidates map[string][]membership.Entry
	kinds      map[string]*Kind
	result     *Result
}

// Simulate runs a simulation of the plan. The same seed gives the same result.
func Simulate(plan *Plan, seed uint64) *Result {
	start := time.Unix(0, 0)
	s := &simulation{
		eventLoop: eventLoop{now: start}, plan: plan, startTime: start, random: rand.New(rand.NewPCG(seed, seed)),
		vmsByName: map[string]*vm{}, candidates: map[string][]membership.Entry{}, kinds: map[string]*Kind{},
		result: newResult(plan),
	}
	for i := range plan.Services {
		service := &plan.Services[i]
		for number := range service.VMs {
			v := s.newVM(service, number, len(s.allVMs))
			s.allVMs = append(s.allVMs, v)
			s.vmsByName[v.entry.VM] = v
			s.candidates[service.ID] = append(s.candidates[service.ID], v.entry)
		}
	}
	for i := range plan.Kinds {
		s.kinds[plan.Kinds[i].ID] = &plan.Kinds[i]
	}
	for i := range plan.Kinds {
		if kind := &plan.Kinds[i]; kind.PerSecond > 0 {
			s.scheduleArrival(kind)
		}
	}
	s.run()
	s.result.computeWindows()
	return s.result
}

// activeChange returns the change that applies now to a service, or to the load
// if service is empty.
func (s *simulation) activeChange(service string) Change {
	now := s.now.Sub(s.startTime)
	for _, change := range s.plan.Changes {
		if change.Service == service && now >= change.At.Std() && now < (change.At+change.For).Std() {
			return change
		}
	}
	return Change{}
}

// scheduleArrival schedules the next caller's request of the kind. Arrivals are
// a Poisson process.
func (s *simulation) scheduleArrival(kind *Kind) {
	rate := kind.PerSecond
	if load := s.activeChange("").Load; load > 0 {
		rate *= load
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.Sub(s.startTime) >= s.plan.Length.Std() {
			return
		}
		caller := &caller{simulation: s, kind: kind, firstSent: s.now, retriesLeft: kind.CallerRetries}
		s.result.recordRequest(kind, s.now.Sub(s.startTime))
		caller.sendAttempt()
		s.scheduleArrival(kind)
	})
}

// caller sends one request and retries it after refusals.
type caller struct {
	*simulation
	kind        *Kind
	firstSent   time.Time
	retriesLeft int
}

// sendAttempt sends the request to a VM chosen at random.
func (c *caller) sendAttempt() {
	entryVM := c.allVMs[c.random.IntN(len(c.allVMs))]
	entryVM.send(c.kind, c.firstSent.Add(c.kind.Deadline.Std()), nil, c.handleReply)
}

func (c *caller) handleReply(reply *call.Reply) {
	latency := c.now.Sub(c.firstSent)
	refused := reply.Outcome == call.Refused
	if refused && c.retriesLeft > 0 && latency < c.kind.Deadline.Std() {
		c.retriesLeft--
		c.schedule(time.Duration((0.5+c.random.Float64())*float64(c.kind.CallerRetryDelay)), c.sendAttempt)
		return
	}
	c.result.recordOutcome(c.kind, c.firstSent.Sub(c.startTime), latency, served(reply), refused)
}

// delay returns the one-way network delay between two VMs.
func (s *simulation) delay(a, b membership.Entry) time.Duration {
	switch {
	case a.VM == b.VM:
		return 0
	case a.FailureDomain == b.FailureDomain:
		return s.plan.Delays.OwnDomain.Std()
	case a.Region == b.Region:
		return s.plan.Delays.OwnRegion.Std()
	}
	return s.plan.Delays.OtherRegion.Std()
}
