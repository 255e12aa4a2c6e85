package routing

import (
	"time"

	"github.com/mangomast/mangomast/membership"
)

// evaluationInterval is the time between two periodic outlier checks of a
// service's VMs. A failure triggers a check of its VM at once.
const evaluationInterval = 100 * time.Millisecond

// evictAfter is how long the state of a VM that is no longer a candidate is
// kept.
const evictAfter = time.Minute

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
	b.spill.recordSize(result.Head.Route, result.Bytes)
	if s := b.services[result.Head.Service]; s != nil {
		b.evaluate(s, v, result)
	}
}

// evaluate checks VMs for outliers and evicts the state of VMs that have not
// been candidates for evictAfter.
func (b *Balancer) evaluate(s *service, v *vm, result Result) {
	p := b.peers(s)
	if classify(result.Reply) == failed {
		p.evaluate(v, result.Now)
	}
	if result.Now.Sub(s.lastEvaluation) < evaluationInterval {
		return
	}
	s.lastEvaluation = result.Now
	s.latencyMedian = p.medianLatency(nil)
	for _, other := range p.vms {
		p.evaluate(other, result.Now)
	}
	for name, other := range b.vms {
		if other.outstanding == 0 && result.Now.Sub(other.lastListed) > evictAfter {
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
