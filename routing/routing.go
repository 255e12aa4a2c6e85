// Package routing decides which VM serves a request. It has no goroutine,
// socket, clock or random source of its own.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

// Attempt describes the try that a VM is wanted for.
type Attempt struct {
	Head *call.Head
	// Tried are the VMs that this request was sent to before.
	Tried []string
	Now   time.Time
}

// Result is what became of a try, handed back to the picker.
type Result struct {
	VM string
	// Reply is nil if the connection failed.
	Reply   *call.Reply
	Latency time.Duration
	Now     time.Time
}

// Picker chooses VMs. It is safe for concurrent use.
type Picker interface {
	// Pick returns one of the candidates; ok is false if none fits.
	Pick(attempt Attempt, candidates []membership.Entry) (entry membership.Entry, ok bool)
	// Begin records that a try is sent to a VM; Done must follow.
	Begin(vm string, now time.Time)
	// Done records the result of a try.
	Done(result Result)
}

// Near is a picker that prefers the own failure domain, then the own region,
// and chooses at random among the nearest.
type Near struct {
	FailureDomain string
	Region        string
	// Rand returns a uniform number in [0, n).
	Rand func(n int) int
}

var _ Picker = (*Near)(nil)

// Pick implements Picker.
func (p *Near) Pick(attempt Attempt, candidates []membership.Entry) (membership.Entry, bool) {
	nearest := p.nearest(attempt, candidates)
	if len(nearest) == 0 {
		return membership.Entry{}, false
	}
	random := p.Rand
	if random == nil {
		random = rand.IntN
	}
	return nearest[random(len(nearest))], true
}

// Begin implements Picker.
func (p *Near) Begin(string, time.Time) {}

// Done implements Picker.
func (p *Near) Done(Result) {}

func (p *Near) nearest(attempt Attempt, candidates []membership.Entry) []membership.Entry {
	var nearest []membership.Entry
	best := -1
	for _, entry := range candidates {
		if contains(attempt.Tried, entry.VM) {
			continue
		}
		proximity := p.proximity(entry)
		if proximity > best {
			nearest, best = nearest[:0], proximity
		}
		if proximity == best {
			nearest = append(nearest, entry)
		}
	}
	return nearest
}

func (p *Near) proximity(entry membership.Entry) int {
	switch {
	case entry.FailureDomain == p.FailureDomain:
		return 2
	case entry.Region == p.Region:
		return 1
	default:
		return 0
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
