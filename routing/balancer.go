package routing

import (
	"sync"
	"time"

	"github.com/mangomast/mangomast/membership"
)

// Balancer is a Picker that learns from results.
type Balancer struct {
	opts Options

	mu       sync.Mutex
	vms      map[string]*vm
	services map[string]*service
	spill    *spillBytes
}

var _ Picker = (*Balancer)(nil)

// NewBalancer returns a balancer that has seen nothing yet.
func NewBalancer(opts Options) *Balancer {
	return &Balancer{
		opts: opts,
		vms:  map[string]*vm{}, services: map[string]*service{},
		spill: newSpillBytes(opts.SpillBytesPerSecond, opts.SpillBurstBytes),
	}
}

// service is the subset of a service's VMs, by tier.
type service struct {
	// source is the list of candidates that the subset was made from.
	source  []membership.Entry
	subsets [tiers][]member
	median  float64
	// reviewed is when the VMs were last compared.
	reviewed time.Time
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
	return c.run()
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

// sameList reports whether two lists are the same memory. Views are immutable,
// so such lists need no further look.
func sameList(a, b []membership.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rebuild makes the service's subset anew.
func (b *Balancer) rebuild(s *service, candidates []membership.Entry, now time.Time) {
	known := s.names()
	var byTier [tiers][]membership.Entry
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
			s.subsets[t] = append(s.subsets[t], member{entry, b.vm(entry, !known[entry.VM], now)})
		}
	}
}

func (b *Balancer) vm(entry membership.Entry, returned bool, now time.Time) *vm {
	v := b.vms[entry.VM]
	if v == nil {
		v = &vm{}
		b.vms[entry.VM] = v
	}
	v.list(entry, returned, now)
	return v
}

// names returns the VMs of the subset.
func (s *service) names() map[string]bool {
	names := map[string]bool{}
	for _, subset := range s.subsets {
		for _, m := range subset {
			names[m.entry.VM] = true
		}
	}
	return names
}

// maxRamp returns the ramp of the VM that is furthest in it. Ramps count
// relative to it, so that a service that starts as a whole is not held back.
func (s *service) maxRamp(now time.Time, length time.Duration) float64 {
	highest := 0.0
	for _, subset := range s.subsets {
		for _, m := range subset {
			highest = max(highest, m.vm.ramp(now, length))
		}
	}
	return highest
}
