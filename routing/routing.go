// Package routing selects the VM that serves a request. It starts no goroutines
// and uses no sockets, clock or random source other than those passed in.
//
// Balancer is the Picker of ordinary nodes. It works on a subset of each
// service's VMs, prefers near ones, picks the better of two random VMs by load
// and latency, and ejects failing VMs.
package routing

import (
	"slices"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

// Attempt describes the attempt that a VM is picked for.
type Attempt struct {
	Head *call.Head
	// Tried lists the VMs that the request has already been sent to.
	Tried []string
	Now   time.Time
	// Excluded reports the VMs that must not be picked, even if no other VM is
	// left; nil excludes none.
	Excluded func(membership.Entry) bool
}

// Result is the result of an attempt, reported to the Picker.
type Result struct {
	Entry   membership.Entry
	Head    *call.Head
	Reply   *call.Reply
	Latency time.Duration
	// Bytes is the size of the request and its answer; an answer of unknown
	// length counts as 0.
	Bytes int
	Now   time.Time
}

// TransferredBytes returns the Result.Bytes of a request with the body. An upstream may
// state any length of its answer; one that is too long is not passed on.
func TransferredBytes(body []byte, reply *call.Reply) int {
	return len(body) + int(max(0, min(reply.Length, maxChargedBytes)))
}

// Picker selects VMs. It is safe for concurrent use.
type Picker interface {
	// Pick returns one of the candidates; ok is false if none is eligible.
	Pick(attempt Attempt, candidates []membership.Entry) (entry membership.Entry, ok bool)
	// Begin records that an attempt is sent to the VM. Done must follow.
	Begin(attempt Attempt, entry membership.Entry)
	// Done records the result of an attempt.
	Done(result Result)
}

// Place is the location of a node.
type Place struct {
	FailureDomain string
	Region        string
}

// tier is the distance of a VM from this node.
type tier int

const (
	ownDomain tier = iota
	ownRegion
	otherRegion
	tierCount
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

// NearestPicker is a Picker that picks a random one of the nearest VMs and
// ignores results. It is the baseline that Balancer is compared with.
type NearestPicker struct {
	Place Place
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
}

var _ Picker = (*NearestPicker)(nil)

// Pick implements Picker.
func (p *NearestPicker) Pick(attempt Attempt, candidates []membership.Entry) (membership.Entry, bool) {
	var nearest []membership.Entry
	best := tierCount
	for _, entry := range candidates {
		t := p.Place.tier(entry)
		if t > best || slices.Contains(attempt.Tried, entry.VM) || attempt.excludes(entry) {
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
func (p *NearestPicker) Begin(Attempt, membership.Entry) {}

// Done implements Picker.
func (p *NearestPicker) Done(Result) {}
