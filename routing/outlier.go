package routing

import (
	"slices"
	"time"
)

// minLatencyExcess is how much slower than its peers an ejected VM must be,
// so that differences no caller notices eject nobody.
const minLatencyExcess = 0.005

// uselessStreak is the number of failures in a row from which a VM's loss
// cannot harm the others.
const uselessStreak = 5

// peers are the VMs of one service that this node uses.
type peers struct {
	vms      []*vm
	opts     OutlierOptions
	halfLife time.Duration
	ramp     time.Duration
}

// review ejects the VM if what was seen of it stands out from its peers and
// the rest can bear it. If its peers fail like it, the cause is elsewhere, and
// those that were ejected for failures come back.
func (p peers) review(v *vm, now time.Time) {
	if v.ejected(now) {
		return
	}
	if v.ejections > 0 && now.Sub(v.since) > p.ramp+p.opts.MinEjection {
		v.ejections = 0
	}
	failing, alike := p.fails(v, now)
	if alike {
		p.release(now)
		return
	}
	slow := !failing && now.Sub(v.since) > p.ramp && p.isSlow(v, now)
	if (failing || slow) && p.spares(v, now) {
		p.eject(v, now, slow)
	}
}

// fails reports whether the VM fails often while most of its peers do not
// (failing), or most of them do (alike). Peers of which nothing is known are
// left out: the requests that they get next then tell.
func (p peers) fails(v *vm, now time.Time) (failing, alike bool) {
	const rounding = 0.5
	needed := p.opts.MinFailures
	if v.ejections > 0 {
		needed = min(needed, 2)
	}
	if v.failures.at(now, p.opts.Memory) < needed-rounding {
		return false, false
	}
	var rates []float64
	for _, other := range p.vms {
		if rate, ok := other.evidence(now, p.opts.Memory); ok && other != v {
			rates = append(rates, rate)
		}
	}
	typical := lowerMedian(rates)
	if typical >= p.opts.FailureMargin {
		return false, true
	}
	return v.failureRate >= typical+p.opts.FailureMargin, false
}

// release ends the ejections for failures; the VMs come back at full weight.
func (p peers) release(now time.Time) {
	for _, other := range p.vms {
		if other.ejected(now) && !other.slow {
			other.ejectedUntil, other.since = now, now.Add(-p.ramp)
			other.ejections = 0
		}
	}
}

func (p peers) isSlow(v *vm, now time.Time) bool {
	if v.latency.count.at(now, p.opts.Memory) < p.opts.MinLatencies {
		return false
	}
	median := p.medianLatency(v)
	return median > 0 && v.latency.mean() > max(p.opts.LatencyFactor*median, median+minLatencyExcess)
}

// medianLatency returns the median of the VMs other than v; 0 if none is
// known.
func (p peers) medianLatency(v *vm) float64 {
	var means []float64
	for _, other := range p.vms {
		if mean := other.latency.mean(); other != v && mean > 0 {
			means = append(means, mean)
		}
	}
	return lowerMedian(means)
}

// lowerMedian returns the median, the lower of two, or 0 of no values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// spares reports whether the service can do without the VM.
func (p peers) spares(v *vm, now time.Time) bool {
	ejected, demand, capacity := 1, 0.0, 0.0
	for _, other := range p.vms {
		demand += other.running(now, p.halfLife)
		switch {
		case other == v:
		case other.ejected(now):
			ejected++
		default:
			capacity += other.capacity()
		}
	}
	if float64(ejected) > p.opts.MaxShare*float64(len(p.vms)) {
		return false
	}
	return v.streak >= uselessStreak || demand <= p.opts.MaxLoad*capacity
}

func (p peers) eject(v *vm, now time.Time, slow bool) {
	length := p.opts.MinEjection << min(v.ejections, 16)
	length = min(length, p.opts.MaxEjection)
	v.ejections++
	v.slow = slow
	v.ejectedUntil = now.Add(length)
	// The VM starts cold when it comes back, and is judged anew; one failure
	// less is needed then.
	v.since = v.ejectedUntil
	v.pastRate, v.pastTime = v.failureRate, now
	v.failureRate = resultGain
	v.failures, v.latency = average{}, latencyAverage{}
}
