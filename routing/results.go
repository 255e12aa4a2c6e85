package routing

import (
	"time"

	"github.com/mangomast/mangomast/membership"
)

// reviewInterval is the time between two comparisons of a service's VMs;
// failures are looked at once.
const reviewInterval = 100 * time.Millisecond

// forgetAfter is how long a VM that is no candidate is remembered.
const forgetAfter = time.Minute

// Begin implements Picker.
func (b *Balancer) Begin(attempt Attempt, entry membership.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.vms[entry.VM]; v != nil {
		v.outstanding++
	}
	if b.opts.Place.tier(entry) == otherRegion {
		b.spill.begin(attempt.Head.Route, attempt.Now)
	}
}

// Done implements Picker.
func (b *Balancer) Done(result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.vms[result.Entry.VM]
	if v == nil {
		return
	}
	v.observe(result, b.opts.Outliers.Memory)
	if b.opts.Place.tier(result.Entry) == otherRegion {
		b.spill.done(result.Head.Route, result.Bytes, result.Now)
	}
	b.spill.learn(result.Head.Route, result.Bytes)
	if s := b.services[result.Head.Service]; s != nil {
		b.review(s, v, result)
	}
}

// review ejects VMs that stand out, and forgets those that are gone.
func (b *Balancer) review(s *service, v *vm, result Result) {
	p := b.peers(s)
	if judge(result.Reply) == failed {
		p.review(v, result.Now)
	}
	if result.Now.Sub(s.reviewed) < reviewInterval {
		return
	}
	s.reviewed = result.Now
	s.median = p.medianLatency(nil)
	for _, other := range p.vms {
		p.review(other, result.Now)
	}
	for name, other := range b.vms {
		if other.outstanding == 0 && result.Now.Sub(other.listed) > forgetAfter {
			delete(b.vms, name)
		}
	}
}

func (b *Balancer) peers(s *service) peers {
	p := peers{opts: b.opts.Outliers, halfLife: b.opts.LoadHalfLife, ramp: b.opts.Ramp}
	for _, subset := range s.subsets {
		for _, m := range subset {
			p.vms = append(p.vms, m.vm)
		}
	}
	return p
}
