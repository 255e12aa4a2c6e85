package routing

import (
	"slices"
	"time"
)

// minLatencyExcess is the minimum excess over the median latency, in seconds,
// for an ejection. It prevents ejections for differences too small for callers
// to notice.
const minLatencyExcess = 0.005

// unusableStreak is the number of consecutive failures from which a VM counts
// as unusable. Ejecting such a VM takes no capacity from the service, so
// MaxLoad does not apply.
const unusableStreak = 5

// peers are the VMs of one service that this node uses.
type peers struct {
	vms      []*vm
	opts     OutlierOptions
	halfLife time.Duration
	ramp     time.Duration
}

// evaluate ejects the VM if it is an outlier among its peers and canEject
// allows it. If its peers fail as well, the cause is not the VM, and all VMs
// ejected for failures are returned to service.
func (p peers) evaluate(v *vm, now time.Time) {
	if v.ejected(now) {
		return
	}
	// The ejection length starts over once the VM has stayed in service for its
	// ramp and the shortest ejection.
	if v.ejections > 0 && now.Sub(v.rampStart) > p.ramp+p.opts.MinEjection {
		v.ejections = 0
	}
	failing, widespread := p.compareFailures(v, now)
	if widespread {
		p.unejectFailing(now)
		return
	}
	slow := !failing && now.Sub(v.rampStart) > p.ramp && p.isSlow(v, now)
	if (failing || slow) && p.canEject(v, now) {
		p.eject(v, now, slow)
	}
}

// compareFailures reports whether the VM fails often while most of its peers do
// not (outlier), or most of them do too (widespread). Peers without recent
// results are ignored; they are evaluated once they receive requests again.
func (p peers) compareFailures(v *vm, now time.Time) (outlier, widespread bool) {
	// The count decays, so n recent failures add up to slightly less than n.
	const decayAllowance = 0.5
	needed := p.opts.MinFailures
	if v.ejections > 0 {
		needed = min(needed, 2)
	}
	if v.failures.valueAt(now, p.opts.Memory) < needed-decayAllowance {
		return false, false
	}
	var rates []float64
	for _, other := range p.vms {
		if rate, ok := other.recentFailureRate(now, p.opts.Memory); ok && other != v {
			rates = append(rates, rate)
		}
	}
	medianRate := lowerMedian(rates)
	if medianRate >= p.opts.FailureMargin {
		return false, true
	}
	return v.failureRate >= medianRate+p.opts.FailureMargin, false
}

// unejectFailing ends all ejections for failures. The VMs return at full
// weight.
func (p peers) unejectFailing(now time.Time) {
	for _, other := range p.vms {
		if other.ejected(now) && !other.ejectedForLatency {
			other.ejectedUntil, other.rampStart = now, now.Add(-p.ramp)
			other.ejections = 0
		}
	}
}

// isSlow reports whether the VM has enough recent samples and its mean latency
// exceeds the median of its peers by LatencyFactor and minLatencyExcess.
func (p peers) isSlow(v *vm, now time.Time) bool {
	if v.latency.count.valueAt(now, p.opts.Memory) < p.opts.MinLatencies {
		return false
	}
	median := p.medianLatency(v)
	return median > 0 && v.latency.mean() > max(p.opts.LatencyFactor*median, median+minLatencyExcess)
}

// medianLatency returns the median of the mean latencies of the VMs other than
// v, or 0 if there are none.
func (p peers) medianLatency(v *vm) float64 {
	var means []float64
	for _, other := range p.vms {
		if mean := other.latency.mean(); other != v && mean > 0 {
			means = append(means, mean)
		}
	}
	return lowerMedian(means)
}

// lowerMedian returns the median, or the lower of the two middle values if
// their number is even. It returns 0 for no values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// canEject reports whether the VM may be ejected: the share of ejected VMs must
// stay within MaxShare, and the load of the remaining VMs within MaxLoad unless
// the VM is unusable.
func (p peers) canEject(v *vm, now time.Time) bool {
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
	return v.failureStreak >= unusableStreak || demand <= p.opts.MaxLoad*capacity
}

func (p peers) eject(v *vm, now time.Time, ejectedForLatency bool) {
	length := p.opts.MinEjection << min(v.ejections, 16)
	length = min(length, p.opts.MaxEjection)
	v.ejections++
	v.ejectedForLatency = ejectedForLatency
	v.ejectedUntil = now.Add(length)
	// The ramp and the statistics start over when the VM returns. The next
	// ejection needs one failure less.
	v.rampStart = v.ejectedUntil
	v.failureRateAtEjection, v.ejectedAt = v.failureRate, now
	v.failureRate = resultGain
	v.failures, v.latency = decayingSum{}, latencyEWMA{}
}
