package routing

import (
	"slices"
	"time"

	"github.com/mangomast/mangomast/membership"
)

func (a *Attempt) excludes(entry membership.Entry) bool {
	return a.Excluded != nil && a.Excluded(entry)
}

// beyondSubsets picks a random VM among all candidates that are neither excluded
// nor tried. The load that it answers is that of requests whose few allowed VMs are
// not among the subsets of this node: without it they would be refused although
// there is room for them.
func (c *choice) beyondSubsets() (membership.Entry, bool) {
	var allowed []membership.Entry
	for _, entry := range c.service.source {
		if !c.attempt.excludes(entry) && !slices.Contains(c.attempt.Tried, entry.VM) {
			allowed = append(allowed, entry)
		}
	}
	if len(allowed) == 0 {
		return membership.Entry{}, false
	}
	return allowed[int(c.opts.Rand()*float64(len(allowed)))], true
}

// RestartRamp restarts the ramps of the matching VMs. The load that it answers is
// that of a failure domain that is taken back: its VMs have been idle, and may be
// slow for a while as after a start.
func (b *Balancer) RestartRamp(match func(membership.Entry) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for _, subset := range s.subsets {
			for _, m := range subset {
				if match(m.entry) {
					m.vm.rampStart = now
				}
			}
		}
	}
}
