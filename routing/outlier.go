package routing

import (
	"slices"
	"time"
)

// minLatencyExcess is how much slower than its peers an ejected VM must be,
// so that differences no caller notices eject nobody.
const minLatencyExcess = 0.005

// uselessFailureRate is the share of failures above which a VM's loss cannot
// harm the others.
const uselessFailureRate = 0.9

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

// fails reports whether the VM fails often, and then either more than its
// peers (failing) or like them (alike). Peers of which nothing is known are
// taken for good: the requests that they get then tell.
func (p peers) fails(v *vm, now time.Time) (failing, alike bool) {
	const rounding = 0.5
	needed := p.opts.MinFailures
	if v.ejections > 0 {
		needed = min(needed, 2)
	}
	if v.failures.at(now, p.opts.Memory) < needed-rounding {
		return false, false
	}
	failures, all := 0.0, 0.0
	for _, other := range p.vms {
		if other != v {
			f := other.failures.at(now, p.opts.Memory) + other.pastFailures.at(now, p.opts.Memory)
			failures += f
			all += f + other.successes.at(now, p.opts.Memory) + other.pastSuccesses.at(now, p.opts.Memory)
		}
	}
	peerRate := 0.0
	if all > 0 {
		peerRate = failures / all
	}
	rate := v.failureRate(now, p.opts.Memory)
	failing = rate >= peerRate+p.opts.FailureMargin
	return failing, !failing && peerRate >= p.opts.FailureMargin
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
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
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
	useless := v.failureRate(now, p.opts.Memory) >= uselessFailureRate
	return useless || demand <= p.opts.MaxLoad*capacity
}

func (p peers) eject(v *vm, now time.Time, slow bool) {
	length := p.opts.MinEjection << min(v.ejections, 16)
	length = min(length, p.opts.MaxEjection)
	v.ejections++
	v.slow = slow
	v.ejectedUntil = now.Add(length)
	// The VM starts cold when it comes back, and is judged anew.
	v.since = v.ejectedUntil
	v.pastSuccesses, v.pastFailures = v.successes, v.failures
	v.successes, v.failures, v.latency = average{}, average{}, latencyAverage{}
}
