// Package shedding decides which requests an ingress refuses because a
// service deeper in the route's call graph would refuse them. A Publisher
// works out what one VM still accepts; a Table collects that at an ingress.
// Neither has a goroutine, socket, clock or random source of its own, and
// neither is safe for concurrent use.
package shedding

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
)

const (
	// importances is one more than the highest importance.
	importances = config.MaxImportance + 1
	// maxOrganisations bounds the organisations listed in a level.
	maxOrganisations = 16
	// demandWindow is the time over which demands are averaged; risingWindow
	// that of a rise while requests are dropped.
	demandWindow = 300 * time.Millisecond
	risingWindow = 100 * time.Millisecond
	// leastDemand is a rate, in requests a second, that counts as none.
	leastDemand = 0.1
	// leastPassed bounds how much one arrival can stand for.
	leastPassed = 0.02
)

// PublisherOptions are the parameters of a Publisher; zero values stand for
// defaults.
type PublisherOptions struct {
	Service, VM string
	// Growth is the relative growth in a second that the share of an
	// importance may have.
	Growth float64
	// QueueShare is the length of the queue, as a share of the limit, that
	// the publisher aims at.
	QueueShare float64
}

// Defaults of PublisherOptions.
const (
	DefaultGrowth     = 4.0
	DefaultQueueShare = 0.5
)

const (
	// openShare is the share by which an importance starts to be accepted.
	openShare = 0.03
	// Bounds and speed of the correction of the capacity.
	leastCorrection = 0.8
	mostCorrection  = 1.5
	// correctionRate is the relative change in a second.
	correctionRate = 0.3
	idleBelow      = 0.95
	// A queue that is longQueue times as long as aimed at changes it faster.
	longQueue = 3
)

// demand is the requests of one organisation in one importance.
type demand struct {
	weight float64
	// arrived counts the current interval, with each arrival standing for
	// those that an ingress refused.
	arrived float64
	// rate is the average in requests a second.
	rate float64
}

// Publisher works out which requests a VM accepts from the demand that it
// sees and the capacity that it has.
type Publisher struct {
	opts    PublisherOptions
	demands [importances]map[string]*demand
	shares  [importances]float64
	// correction scales the capacity by what the queue shows.
	correction float64
	samples    int
	busy       float64
	queued     float64
	dropped    int
	level      call.Level
}

// NewPublisher returns a publisher that accepts everything.
func NewPublisher(opts PublisherOptions) *Publisher {
	if opts.Growth == 0 {
		opts.Growth = DefaultGrowth
	}
	if opts.QueueShare == 0 {
		opts.QueueShare = DefaultQueueShare
	}
	p := &Publisher{opts: opts, correction: 1, level: call.Level{Service: opts.Service, VM: opts.VM}}
	for i := range p.demands {
		p.demands[i] = map[string]*demand{}
		p.shares[i] = 1
	}
	return p
}

// Arrived records a request. Passed is the share of such requests that its
// ingress let pass; 0 if it shed none.
func (p *Publisher) Arrived(importance uint8, organisation string, weight, passed float64) {
	if importance >= importances {
		importance = importances - 1
	}
	if passed == 0 {
		passed = 1
	}
	demands := p.demands[importance]
	d := demands[organisation]
	if d == nil {
		d = &demand{}
		demands[organisation] = d
	}
	d.weight = weight
	d.arrived += 1 / max(leastPassed, passed)
}

// Observe records the state of the admission, several times in an interval.
func (p *Publisher) Observe(state admission.State) {
	p.samples++
	p.busy += float64(state.Running) / float64(state.Limit)
	p.queued += float64(state.Queued) / float64(state.Limit)
}

// Update ends an interval of the given length.
func (p *Publisher) Update(interval time.Duration, state admission.State) {
	dropping := state.Dropped > p.dropped
	p.dropped = state.Dropped
	total := p.measure(interval, dropping)
	p.correct(interval)
	if state.Service == 0 {
		return
	}
	capacity := float64(state.Limit) / state.Service.Seconds() * p.correction
	if total <= capacity && p.open() {
		p.correction = max(1, p.correction)
		return
	}
	p.share(capacity, math.Exp(p.opts.Growth*interval.Seconds()))
}

// Level returns the level of the last update.
func (p *Publisher) Level() call.Level { return p.level }

// measure averages the demands and returns the total. While requests are
// dropped, demands that rise count sooner.
func (p *Publisher) measure(interval time.Duration, dropping bool) float64 {
	total := 0.0
	for _, demands := range p.demands {
		for organisation, d := range demands {
			rate := d.arrived / interval.Seconds()
			d.arrived = 0
			window := demandWindow
			if dropping && rate > d.rate {
				window = risingWindow
			}
			d.rate += (rate - d.rate) * -math.Expm1(-interval.Seconds()/window.Seconds())
			total += d.rate
			if d.rate < leastDemand {
				delete(demands, organisation)
			}
		}
	}
	return total
}

// correct adapts the correction to the queue: a long one means that too much
// is accepted, an idle upstream too little.
func (p *Publisher) correct(interval time.Duration) {
	if p.samples == 0 {
		return
	}
	busy, queued := p.busy/float64(p.samples), p.queued/float64(p.samples)
	p.samples, p.busy, p.queued = 0, 0, 0
	rate := 0.0
	switch {
	case queued > longQueue*p.opts.QueueShare:
		rate = -3 * correctionRate
	case queued > p.opts.QueueShare:
		rate = -correctionRate
	case busy < idleBelow:
		rate = 3 * correctionRate
	case queued < p.opts.QueueShare/2:
		rate = correctionRate
	}
	p.correction *= math.Exp(rate * interval.Seconds())
	p.correction = min(mostCorrection, max(leastCorrection, p.correction))
}

func (p *Publisher) open() bool { return len(p.level.Accepted) == 0 }

// share gives the capacity to the importances from the highest down. None has
// a larger share than one above it, and none grows faster than the options say.
func (p *Publisher) share(capacity, growth float64) {
	level := call.Level{Service: p.opts.Service, VM: p.opts.VM, Accepted: make([]byte, importances-1)}
	open, most := true, 1.0
	for i := importances - 1; i > 0; i-- {
		fair := fairShares(p.demands[i], max(0, capacity))
		most = min(most, growth*p.shares[i]+openShare)
		share := min(fair.share, most)
		if fair.share > 0 {
			fair.scale(share / fair.share)
		}
		p.shares[i], most = share, share
		capacity -= share * fair.demand
		level.Accepted[i-1] = call.ShareByte(share)
		if level.Importance == 0 && share < 1 && len(fair.organisations) > 0 {
			level.Importance = uint8(i)
			level.Organisations = fair.list()
		}
		open = open && share == 1
	}
	if open {
		level.Accepted = nil
	}
	p.level = level
}

// shares is how much of each organisation's demand is accepted.
type shares struct {
	demand        float64
	share         float64
	organisations map[string]float64
}

// fairShares divides a capacity between organisations in proportion to their
// weights, none getting more than its demand. Without any demand the share
// is 1 if capacity is left.
func fairShares(demands map[string]*demand, capacity float64) shares {
	s := shares{organisations: make(map[string]float64, len(demands))}
	names := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		da, db := demands[a], demands[b]
		return cmp.Or(cmp.Compare(da.rate/da.weight, db.rate/db.weight), cmp.Compare(a, b))
	})
	weight := 0.0
	for _, d := range demands {
		s.demand += d.rate
		weight += d.weight
	}
	left := capacity
	for _, name := range names {
		d := demands[name]
		got := min(d.rate, left*d.weight/weight)
		s.organisations[name] = got / d.rate
		left -= got
		weight -= d.weight
	}
	switch {
	case s.demand > 0:
		s.share = min(1, (capacity-left)/s.demand)
	case capacity > 0:
		s.share = 1
	}
	return s
}

func (s *shares) scale(factor float64) {
	for name := range s.organisations {
		s.organisations[name] *= factor
	}
}

// list returns the organisations with the most demand refused.
func (s *shares) list() []call.OrganisationShare {
	list := make([]call.OrganisationShare, 0, len(s.organisations))
	for name, share := range s.organisations {
		list = append(list, call.OrganisationShare{Organisation: name, Accepted: call.ShareByte(share)})
	}
	slices.SortFunc(list, func(a, b call.OrganisationShare) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(len(list), maxOrganisations)]
}
