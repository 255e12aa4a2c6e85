// Package routing decides which VM serves a request. It has no goroutine,
// socket, clock or random source of its own.
//
// Balancer is the picker of ordinary nodes. It works on a subset of the VMs of
// each service, prefers near ones, chooses the better of two at random by load
// and latency, and leaves out VMs that were seen to fail.
package routing

import (
	"slices"
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
	Entry   membership.Entry
	Head    *call.Head
	Reply   *call.Reply
	Latency time.Duration
	// Bytes is the size of the request and its answer, as far as known.
	Bytes int
	Now   time.Time
}

// Picker chooses VMs. It is safe for concurrent use.
type Picker interface {
	// Pick returns one of the candidates; ok is false if none fits.
	Pick(attempt Attempt, candidates []membership.Entry) (entry membership.Entry, ok bool)
	// Begin records that a try is sent to the VM; Done must follow.
	Begin(attempt Attempt, entry membership.Entry)
	// Done records the result of a try.
	Done(result Result)
}

// Place is where a node is.
type Place struct {
	FailureDomain string
	Region        string
}

// tier says how near a VM is.
type tier int

const (
	ownDomain tier = iota
	ownRegion
	otherRegion
	tiers
)

func (p Place) tier(entry membership.Entry) tier {
	switch {
	case entry.FailureDomain == p.FailureDomain:
		return ownDomain
	case entry.Region == p.Region:
		return ownRegion
	default:
		return otherRegion
	}
}

// Near is a picker that chooses at random among the nearest VMs and learns
// nothing. It is the baseline that Balancer is measured against.
type Near struct {
	Place Place
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
}

var _ Picker = (*Near)(nil)

// Pick implements Picker.
func (p *Near) Pick(attempt Attempt, candidates []membership.Entry) (membership.Entry, bool) {
	var nearest []membership.Entry
	best := tiers
	for _, entry := range candidates {
		t := p.Place.tier(entry)
		if t > best || slices.Contains(attempt.Tried, entry.VM) {
			continue
		}
		if t < best {
			nearest, best = nearest[:0], t
		}
		nearest = append(nearest, entry)
	}
	if len(nearest) == 0 {
		return membership.Entry{}, false
	}
	return nearest[int(p.Rand()*float64(len(nearest)))], true
}

// Begin implements Picker.
func (p *Near) Begin(Attempt, membership.Entry) {}

// Done implements Picker.
func (p *Near) Done(Result) {}
