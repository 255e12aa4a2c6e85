package routing

import (
	"slices"

	"github.com/mangomast/mangomast/membership"
)

// choice is the state of one Pick call.
type choice struct {
	*Balancer
	attempt Attempt
	service *service
	// maxRamp is the highest ramp in the service; the ramps of its VMs are
	// divided by it.
	maxRamp float64
}

// eligibility selects which ejected VMs may be picked.
type eligibility int

const (
	// healthyOnly excludes all ejected VMs.
	healthyOnly eligibility = iota
	// withSlow includes VMs ejected for their latency.
	withSlow
	// anyVM includes all ejected VMs.
	anyVM
)

// saturatedLoad is the load of the best healthy VM from which VMs ejected for
// their latency become eligible again.
const saturatedLoad = 1

// run picks a healthy VM. If there is none, it picks an ejected one; if the
// best one is saturated, it also considers VMs ejected for their latency.
func (c *choice) run() (membership.Entry, bool) {
	m, load, ok := c.choose(healthyOnly)
	switch {
	case !ok:
		m, _, ok = c.choose(anyVM)
	case load >= saturatedLoad:
		if other, otherLoad, found := c.choose(withSlow); found && otherLoad < load {
			m = other
		}
	}
	return m.entry, ok
}

// choose goes through the tiers, nearest first, until it finds a VM below the
// tier's spill threshold. If there is none, it returns the least loaded of the
// VMs it picked.
func (c *choice) choose(eligible eligibility) (best member, bestLoad float64, found bool) {
	for t := range tierCount {
		if t == otherRegion && found && !c.spill.allows(c.attempt.Head.Route, c.attempt.Now) {
			break
		}
		m, ok := c.pickOfTwo(c.usable(t, eligible))
		if !ok {
			continue
		}
		if load := c.load(m); !found || load < bestLoad {
			best, bestLoad, found = m, load, true
		}
		if bestLoad < c.spillLoad(t) {
			break
		}
	}
	return best, bestLoad, found
}

// spillLoad returns the load of a VM in tier t from which the next tier is
// tried.
func (c *choice) spillLoad(t tier) float64 {
	if t == ownDomain {
		return c.opts.SpillDomain
	}
	return c.opts.SpillRegion
}

// usable returns the tier's members that are eligible, not excluded and have not
// been tried.
func (c *choice) usable(t tier, eligible eligibility) []member {
	var members []member
	for _, m := range c.service.subsets[t] {
		if slices.Contains(c.attempt.Tried, m.entry.VM) || c.attempt.excludes(m.entry) {
			continue
		}
		if !m.vm.ejected(c.attempt.Now) || eligible == anyVM || (eligible == withSlow && m.vm.ejectedForLatency) {
			members = append(members, m)
		}
	}
	return members
}

// pickOfTwo draws two members at random by weight and returns the one with the
// lower cost (power of two choices).
func (c *choice) pickOfTwo(members []member) (member, bool) {
	if len(members) == 0 {
		return member{}, false
	}
	weights := make([]float64, len(members))
	for i, m := range members {
		weights[i] = c.ramp(m)
	}
	i := draw(weights, c.opts.Rand())
	if len(members) == 1 {
		return members[i], true
	}
	weights[i] = 0
	j := draw(weights, c.opts.Rand())
	if c.cost(members[j]) < c.cost(members[i]) {
		return members[j], true
	}
	return members[i], true
}

// draw returns a random index with probability proportional to its weight;
// random is uniform in [0, 1).
func draw(weights []float64, random float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	target := random * sum
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if target -= w; target < 0 {
			return i
		}
	}
	return last
}

// ramp returns the VM's weight relative to that of the service's other VMs.
func (c *choice) ramp(m member) float64 {
	return m.vm.ramp(c.attempt.Now, c.opts.Ramp) / c.maxRamp
}

// effectiveCapacity returns the number of concurrent requests that the VM can
// take at its current ramp, at least 1.
func (c *choice) effectiveCapacity(m member) float64 {
	return max(1, m.vm.capacity()*c.ramp(m))
}

func (c *choice) running(m member) float64 {
	return m.vm.running(c.attempt.Now, c.opts.LoadHalfLife)
}

// load returns the VM's load as a share of its effective capacity.
func (c *choice) load(m member) float64 { return c.running(m) / c.effectiveCapacity(m) }

// cost is the load with one more request, multiplied by factors for the latency
// relative to the median and for the failure rate.
func (c *choice) cost(m member) float64 {
	const minFactor, maxFactor = 0.5, 4
	factor := 1.0
	if mean := m.vm.latency.mean(); mean > 0 && c.service.latencyMedian > 0 {
		factor = max(minFactor, min(maxFactor, mean/c.service.latencyMedian))
	}
	return (c.running(m) + 1) / c.effectiveCapacity(m) * factor * (1 + maxFactor*m.vm.failureRate)
}
