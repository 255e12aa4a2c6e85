// Package shedding decides which requests an ingress refuses because a
// service deeper in the route's call graph would refuse them. A Publisher
// computes the share of requests that one VM accepts, its level. A Table
// collects the levels of VMs at an ingress. Neither uses a goroutine, socket,
// clock or random source, and neither is safe for concurrent use.
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
	// importanceCount is one more than the highest importance.
	importanceCount = config.MaxImportance + 1
	// maxOrganisations bounds the organisations listed in a level.
	maxOrganisations = 16
	// demandWindow is the time constant of the moving average of demand;
	// risingWindow replaces it for rising demand while requests are dropped.
	demandWindow = 300 * time.Millisecond
	risingWindow = 100 * time.Millisecond
	// minDemand is the rate, in requests per second, below which a demand is
	// deleted.
	minDemand = 0.1
	// minPassed bounds the weight of one arrival: it counts as at most
	// 1/minPassed requests.
	minPassed = 0.02
)

// PublisherOptions are the parameters of a Publisher; zero values stand for
// defaults.
type PublisherOptions struct {
	Service, VM string
	// Growth is the maximum relative growth per second of the share of an
	// importance.
	Growth float64
	// QueueShare is the target queue length under overload, as a share of the
	// concurrency limit.
	QueueShare float64
}

// Defaults of PublisherOptions.
const (
	DefaultGrowth     = 4.0
	DefaultQueueShare = 0.5
)

const (
	// initialShare is the share at which an importance with share 0 starts to be
	// accepted again.
	initialShare = 0.03
	// Bounds of the capacity correction.
	minCorrection = 0.8
	maxCorrection = 1.5
	// correctionRate is the relative change of the correction per second.
	correctionRate = 0.3
	// idleThreshold is the share of the limit in use below which the upstream
	// counts as idle.
	idleThreshold = 0.95
	// longQueueFactor is the multiple of the target queue length above which the
	// correction rate is tripled.
	longQueueFactor = 3
)

// demand is the request rate of one organisation in one importance.
type demand struct {
	weight float64
	// arrived counts the requests of the current interval, including an estimate
	// of those that ingresses refused.
	arrived float64
	// rate is the moving average in requests per second.
	rate float64
}

// Publisher computes which share of requests a VM accepts from the demand and
// the VM's capacity.
type Publisher struct {
	opts    PublisherOptions
	demands [importanceCount]map[string]*demand
	shares  [importanceCount]float64
	// correction scales the computed capacity; it is adapted to the measured
	// utilization and queue length.
	correction float64
	// busy and queued are sums, over samples observations, of the running and
	// the queued requests as shares of the limit.
	samples int
	busy    float64
	queued  float64
	dropped int
	level   call.Level
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

// RecordArrival records a request. passed is the share of such requests that
// the ingress accepted; 0 means that it shed none.
func (p *Publisher) RecordArrival(importance uint8, organisation string, weight, passed float64) {
	if importance >= importanceCount {
		importance = importanceCount - 1
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
	d.arrived += 1 / max(minPassed, passed)
}

// Observe records a sample of the admission state. It should be called several
// times per interval.
func (p *Publisher) Observe(state admission.State) {
	p.samples++
	p.busy += float64(state.Running) / float64(state.Limit)
	p.queued += float64(state.Queued) / float64(state.Limit)
}

// Update ends an interval of the given length and computes the next level.
func (p *Publisher) Update(interval time.Duration, state admission.State) {
	dropping := state.Dropped > p.dropped
	p.dropped = state.Dropped
	total := p.updateDemands(interval, dropping)
	p.updateCorrection(interval)
	if state.Service == 0 {
		return
	}
	capacity := float64(state.Limit) / state.Service.Seconds() * p.correction
	if total <= capacity && p.acceptsAll() {
		p.correction = max(1, p.correction)
		return
	}
	p.share(capacity, math.Exp(p.opts.Growth*interval.Seconds()))
}

// Level returns the level of the last update.
func (p *Publisher) Level() call.Level { return p.level }

// updateDemands updates the average demands and returns their total. While
// requests are dropped, rising demand is averaged over a shorter window.
func (p *Publisher) updateDemands(interval time.Duration, dropping bool) float64 {
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
			if d.rate < minDemand {
				delete(demands, organisation)
			}
		}
	}
	return total
}

// updateCorrection adapts the capacity correction. It is lowered if the queue
// is longer than the target, as too much is accepted, and raised if the queue
// is short or the upstream idle. It changes three times as fast if the queue is
// longer than longQueueFactor times the target or the upstream is idle.
func (p *Publisher) updateCorrection(interval time.Duration) {
	if p.samples == 0 {
		return
	}
	busy, queued := p.busy/float64(p.samples), p.queued/float64(p.samples)
	p.samples, p.busy, p.queued = 0, 0, 0
	rate := 0.0
	switch {
	case queued > longQueueFactor*p.opts.QueueShare:
		rate = -3 * correctionRate
	case queued > p.opts.QueueShare:
		rate = -correctionRate
	case busy < idleThreshold:
		rate = 3 * correctionRate
	case queued < p.opts.QueueShare/2:
		rate = correctionRate
	}
	p.correction *= math.Exp(rate * interval.Seconds())
	p.correction = min(maxCorrection, max(minCorrection, p.correction))
}

// acceptsAll reports whether the published level accepts all requests.
func (p *Publisher) acceptsAll() bool { return len(p.level.Accepted) == 0 }

// share distributes the capacity among the importances, highest first, and
// sets the level. No importance gets a larger share than a higher one, and no
// share grows by more than the factor growth, plus initialShare.
func (p *Publisher) share(capacity, growth float64) {
	level := call.Level{Service: p.opts.Service, VM: p.opts.VM, Accepted: make([]byte, importanceCount-1)}
	allAccepted, maxShare := true, 1.0
	for i := importanceCount - 1; i > 0; i-- {
		fair := fairShares(p.demands[i], max(0, capacity))
		maxShare = min(maxShare, growth*p.shares[i]+initialShare)
		share := min(fair.share, maxShare)
		if fair.share > 0 {
			fair.scale(share / fair.share)
		}
		p.shares[i], maxShare = share, share
		capacity -= share * fair.demand
		// What rounding leaves of a used-up capacity, which differs between
		// processors, is no capacity for lower importances.
		if capacity < minDemand {
			capacity = 0
		}
		level.Accepted[i-1] = call.EncodeShare(share)
		if level.Importance == 0 && share < 1 && len(fair.organisations) > 0 {
			level.Importance = uint8(i)
			level.Organisations = fair.list()
		}
		allAccepted = allAccepted && share == 1
	}
	if allAccepted {
		level.Accepted = nil
	}
	p.level = level
}

// allocation is the share of demand that is accepted, in total and for each
// organisation.
type allocation struct {
	demand        float64
	share         float64
	organisations map[string]float64
}

// fairShares computes the weighted max-min fair allocation of a capacity:
// organisations share it in proportion to their weights, and none gets more
// than its demand. Without any demand the share is 1 if there is capacity.
func fairShares(demands map[string]*demand, capacity float64) allocation {
	result := allocation{organisations: make(map[string]float64, len(demands))}
	byDemand := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		da, db := demands[a], demands[b]
		return cmp.Or(cmp.Compare(da.rate/da.weight, db.rate/db.weight), cmp.Compare(a, b))
	})
	weight := 0.0
	for _, d := range demands {
		result.demand += d.rate
		weight += d.weight
	}
	remaining := capacity
	for _, name := range byDemand {
		d := demands[name]
		granted := min(d.rate, remaining*d.weight/weight)
		result.organisations[name] = granted / d.rate
		remaining -= granted
		weight -= d.weight
	}
	switch {
	case result.demand > 0:
		result.share = min(1, (capacity-remaining)/result.demand)
	case capacity > 0:
		result.share = 1
	}
	return result
}

func (alloc *allocation) scale(factor float64) {
	for name := range alloc.organisations {
		alloc.organisations[name] *= factor
	}
}

// list returns the organisations with the lowest accepted shares, at most
// maxOrganisations.
func (alloc *allocation) list() []call.OrganisationShare {
	list := make([]call.OrganisationShare, 0, len(alloc.organisations))
	for name, share := range alloc.organisations {
		list = append(list, call.OrganisationShare{Organisation: name, Accepted: call.EncodeShare(share)})
	}
	slices.SortFunc(list, func(a, b call.OrganisationShare) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(len(list), maxOrganisations)]
}
