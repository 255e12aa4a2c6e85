package routing

import (
	"sync"
	"time"

	"github.com/mangomast/mangomast/membership"
)

// Balancer is a Picker that weighs VMs by load, latency and failures and ejects
// outliers.
type Balancer struct {
	opts Options

	mu       sync.Mutex
	vms      map[string]*vm
	services map[string]*service
	spill    *spillBudget
}

var _ Picker = (*Balancer)(nil)

// NewBalancer returns a Balancer without any recorded results.
func NewBalancer(opts Options) *Balancer {
	return &Balancer{
		opts: opts,
		vms:  map[string]*vm{}, services: map[string]*service{},
		spill: newSpillBudget(opts.SpillBytesPerSecond, opts.SpillBurstBytes),
	}
}

// service is the subset of a service's VMs that this node uses, by tier.
type service struct {
	// source is the candidate list that the subsets were built from.
	source  []membership.Entry
	subsets [tierCount][]member
	// latencyMedian is the median of the VMs' mean latencies, in seconds.
	latencyMedian float64
	// lastEvaluation is when the VMs were last checked for outliers.
	lastEvaluation time.Time
}

type member struct {
	entry membership.Entry
	vm    *vm
}

// Pick implements Picker.
func (b *Balancer) Pick(attempt Attempt, candidates []membership.Entry) (membership.Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &choice{Balancer: b, attempt: attempt, service: b.service(attempt.Head.Service, candidates, attempt.Now)}
	c.maxRamp = c.service.maxRamp(attempt.Now, b.opts.Ramp)
	entry, ok := c.run()
	if !ok && attempt.Excluded != nil {
		return c.beyondSubsets()
	}
	return entry, ok
}

func (b *Balancer) service(name string, candidates []membership.Entry, now time.Time) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	if !sameList(s.source, candidates) {
		b.rebuild(s, candidates, now)
	}
	return s
}

// sameList reports whether two slices share their memory. Views are immutable,
// so the contents of such slices need no comparison.
func sameList(a, b []membership.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rebuild recomputes the service's subsets. VMs that were not in them before
// start their ramp.
func (b *Balancer) rebuild(s *service, candidates []membership.Entry, now time.Time) {
	previous := s.names()
	var byTier [tierCount][]membership.Entry
	for _, entry := range candidates {
		t := b.opts.Place.tier(entry)
		byTier[t] = append(byTier[t], entry)
	}
	s.source = candidates
	for t, entries := range byTier {
		size := b.opts.SubsetSize
		if tier(t) != ownDomain {
			size = (size + 1) / 2
		}
		s.subsets[t] = s.subsets[t][:0]
		for _, entry := range Subset(b.opts.Self, entries, size) {
			s.subsets[t] = append(s.subsets[t], member{entry, b.vm(entry, !previous[entry.VM], now)})
		}
	}
}

func (b *Balancer) vm(entry membership.Entry, added bool, now time.Time) *vm {
	v := b.vms[entry.VM]
	if v == nil {
		v = &vm{}
		b.vms[entry.VM] = v
	}
	v.markListed(entry, added, now)
	return v
}

// names returns the set of VMs in the subsets.
func (s *service) names() map[string]bool {
	names := map[string]bool{}
	for _, subset := range s.subsets {
		for _, m := range subset {
			names[m.entry.VM] = true
		}
	}
	return names
}

// maxRamp returns the highest ramp among the VMs. Ramps are applied relative to
// it, so that a service whose VMs all start together gets its full capacity.
func (s *service) maxRamp(now time.Time, length time.Duration) float64 {
	highest := 0.0
	for _, subset := range s.subsets {
		for _, m := range subset {
			highest = max(highest, m.vm.ramp(now, length))
		}
	}
	return highest
}
