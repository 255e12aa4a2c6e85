package routing

import (
	"slices"

	"github.com/mangomast/mangomast/membership"
)

// choice is one call of Pick.
type choice struct {
	*Balancer
	attempt Attempt
	service *service
	// maxRamp is the ramp that others are relative to.
	maxRamp float64
}

// eligibility says which ejected VMs a choice may take.
type eligibility int

const (
	healthyOnly eligibility = iota
	withSlow
	anyVM
)

// saturated is the load from which a VM that was ejected for its latency is
// better than none.
const saturated = 1

func (c *choice) run() (membership.Entry, bool) {
	m, load, ok := c.choose(healthyOnly)
	switch {
	case !ok:
		m, _, ok = c.choose(anyVM)
	case load >= saturated:
		if other, otherLoad, found := c.choose(withSlow); found && otherLoad < load {
			m = other
		}
	}
	return m.entry, ok
}

// choose goes from tier to tier until a VM has room. If none has, it returns
// the least loaded of those it met.
func (c *choice) choose(who eligibility) (best member, bestLoad float64, found bool) {
	for t := range tiers {
		if t == otherRegion && found && !c.spill.allows(c.attempt.Head.Route, c.attempt.Now) {
			break
		}
		m, ok := c.pickOfTwo(c.usable(t, who))
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

// spillLoad returns the load from which the tier after t is looked at.
func (c *choice) spillLoad(t tier) float64 {
	if t == ownDomain {
		return c.opts.SpillDomain
	}
	return c.opts.SpillRegion
}

// usable returns the members of the tier that may be tried.
func (c *choice) usable(t tier, who eligibility) []member {
	var members []member
	for _, m := range c.service.subsets[t] {
		if slices.Contains(c.attempt.Tried, m.entry.VM) {
			continue
		}
		if !m.vm.ejected(c.attempt.Now) || who == anyVM || (who == withSlow && m.vm.slow) {
			members = append(members, m)
		}
	}
	return members
}

// pickOfTwo draws two members by their weight and returns the cheaper one.
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

// draw returns an index with a probability in proportion to its weight; random
// is uniform in [0, 1).
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

// ramp returns the VM's weight relative to that of the other VMs.
func (c *choice) ramp(m member) float64 {
	return m.vm.ramp(c.attempt.Now, c.opts.Ramp) / c.maxRamp
}

// room returns the requests that the VM can carry so far, at least 1.
func (c *choice) room(m member) float64 {
	return max(1, m.vm.capacity()*c.ramp(m))
}

func (c *choice) running(m member) float64 {
	return m.vm.running(c.attempt.Now, c.opts.LoadHalfLife)
}

// load returns the VM's load as a share of its room.
func (c *choice) load(m member) float64 { return c.running(m) / c.room(m) }

// cost weighs the load with one more request by the latency relative to the other VMs and by the
// share of failures.
func (c *choice) cost(m member) float64 {
	const minFactor, maxFactor = 0.5, 4
	factor := 1.0
	if mean := m.vm.latency.mean(); mean > 0 && c.service.median > 0 {
		factor = max(minFactor, min(maxFactor, mean/c.service.median))
	}
	return (c.running(m) + 1) / c.room(m) * factor * (1 + maxFactor*m.vm.failureRate)
}
