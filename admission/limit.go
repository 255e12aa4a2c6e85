package admission

import (
	"math"
	"time"
)

// LimitOptions are the parameters of a Limit; zero values stand for defaults.
type LimitOptions struct {
	// Tolerance is the factor by which latency may exceed the baseline before
	// a lower limit is probed.
	Tolerance float64
	// ProbeShare is the fraction of the limit that is kept during a probe.
	ProbeShare float64
	// Fixed keeps the limit at the number of slots, for upstreams whose slots
	// are their actual concurrency.
	Fixed bool
}

const (
	defaultTolerance  = 1.5
	defaultProbeShare = 0.75
	// initialShare is the fraction of the slots that the limit starts at. It is
	// small so that the first latencies are those of an unloaded upstream.
	initialShare = 1.0 / 16
	// growthDivisor sets the step after the ramp: the limit grows by
	// 1/growthDivisor per epoch.
	growthDivisor = 10
	// overloadedShare is the share of an epoch's requests that may signal
	// overload. If more do, the limit is multiplied by backoffShare.
	overloadedShare = 0.1
	backoffShare    = 0.8
	// An epoch ends after epochMin if it has epochSamples samples, and otherwise
	// after epochMax. During the ramp, rampEpochMin and as many samples as the
	// limit are enough.
	rampEpochMin = 50 * time.Millisecond
	epochMin     = 100 * time.Millisecond
	epochMax     = 1 * time.Second
	epochSamples = 10
	// significantErrors is the number of standard errors up to which a
	// difference between mean latencies is treated as noise.
	significantErrors = 2
)

// Limit is an adaptive concurrency limit between 1 and the upstream's slots.
// It grows while latency stays near the baseline. If latency rises while the
// limit is fully used, a lower limit is probed for one epoch. If throughput
// holds, requests were only queueing inside the upstream and the lower limit
// stays. If throughput falls with the limit, the upstream itself has become
// slower and the former limit is restored.
type Limit struct {
	slots int
	opts  LimitOptions
	value int
	// ramping is true until latency first rises or the upstream signals
	// overload. The limit doubles in each epoch during the ramp.
	ramping bool
	// initial collects the first samples of a cold upstream until there are
	// enough for a baseline.
	initial samples
	// baseline is the mean latency that epochs are compared with: the lowest so
	// far, reset when a probe shows that the upstream has become slower.
	// baselineError is its standard error.
	baseline      time.Duration
	baselineError time.Duration
	epoch         epoch
	probe         *probe
}

// samples accumulates latencies: their count, sum, and sum of squares in
// seconds.
type samples struct {
	count   int
	total   time.Duration
	squares float64
}

func (s *samples) add(other samples) {
	s.count += other.count
	s.total += other.total
	s.squares += other.squares
}

func (s *samples) mean() time.Duration { return s.total / time.Duration(s.count) }

// standardError returns the standard error of the mean.
func (s *samples) standardError() time.Duration {
	count, mean := float64(s.count), s.mean().Seconds()
	variance := max(0, s.squares/count-mean*mean)
	return time.Duration(math.Sqrt(variance/count) * float64(time.Second))
}

// epoch is one measurement interval.
type epoch struct {
	samples
	started     time.Time
	overloaded  int
	peakRunning int
	// underused is true if at some time the queue was empty and fewer requests
	// ran than the limit allows.
	underused bool
}

// probe is a temporary reduction of the limit.
type probe struct {
	previous   int
	throughput float64
	// drainedAt is when the requests that started before the probe are expected
	// to have ended. Epochs are discarded until then.
	drainedAt time.Time
}

// NewLimit returns the limit for an upstream that has just started.
func NewLimit(slots int, opts LimitOptions, now time.Time) *Limit {
	if opts.Tolerance == 0 {
		opts.Tolerance = defaultTolerance
	}
	if opts.ProbeShare == 0 {
		opts.ProbeShare = defaultProbeShare
	}
	l := &Limit{slots: max(1, slots), opts: opts, ramping: true, epoch: epoch{started: now}}
	l.set(math.Ceil(initialShare * float64(slots)))
	if opts.Fixed {
		l.ramping = false
		l.set(float64(slots))
	}
	return l
}

// Value returns the current limit.
func (l *Limit) Value() int { return l.value }

// Cold reports whether the limit is still ramping up and below half of the
// slots.
func (l *Limit) Cold() bool { return l.ramping && 2*l.value < l.slots }

// RecordRunning records the number of running requests and whether others wait.
func (l *Limit) RecordRunning(running int, waiting bool) {
	l.epoch.peakRunning = max(l.epoch.peakRunning, running)
	if !waiting && running < l.value {
		l.epoch.underused = true
	}
}

// RecordFinished records the latency of a request and whether it signalled overload.
func (l *Limit) RecordFinished(latency time.Duration, overloaded bool) {
	l.epoch.add(samples{count: 1, total: latency, squares: latency.Seconds() * latency.Seconds()})
	if overloaded {
		l.epoch.overloaded++
	}
}

// Tick ends the epoch and adjusts the limit if the epoch is long enough.
func (l *Limit) Tick(now time.Time) {
	if l.opts.Fixed {
		return
	}
	if l.probe != nil && now.Before(l.probe.drainedAt) {
		l.epoch = epoch{started: now}
		return
	}
	length := now.Sub(l.epoch.started)
	minLength, minSamples := epochMin, epochSamples
	if l.ramping {
		minLength, minSamples = rampEpochMin, min(epochSamples, l.value)
	}
	if length < minLength || (l.epoch.count < minSamples && length < epochMax) {
		return
	}
	if l.epoch.count > 0 {
		l.adjust(now, length)
	}
	l.epoch = epoch{started: now}
}

func (l *Limit) adjust(now time.Time, length time.Duration) {
	e := l.epoch
	latency := e.mean()
	throughput := float64(e.count) / length.Seconds()
	risen := l.latencyRisen(latency)
	switch {
	case float64(e.overloaded) > overloadedShare*float64(e.count):
		l.probe, l.ramping = nil, false
		l.set(backoffShare * float64(l.value))
	case l.probe != nil:
		l.finishProbe(latency, throughput, e.underused)
	case risen && !e.underused && l.value > 1:
		l.ramping = false
		l.probe = &probe{previous: l.value, throughput: throughput, drainedAt: now.Add(latency)}
		l.set(l.opts.ProbeShare * float64(l.value))
	case !risen && 2*e.peakRunning >= l.value:
		l.grow()
	}
}

// latencyRisen reports whether the epoch's latency exceeds the tolerated
// multiple of the baseline, and lowers the baseline if latency fell. The first
// epochs of a cold upstream have few samples, so they only set the baseline.
// During the ramp a rise must also be statistically significant.
func (l *Limit) latencyRisen(latency time.Duration) bool {
	if l.initial.count < epochSamples {
		l.initial.add(l.epoch.samples)
		l.baseline, l.baselineError = l.initial.mean(), l.initial.standardError()
		return false
	}
	if latency < l.baseline {
		l.baseline, l.baselineError = latency, l.epoch.standardError()
	}
	if !l.ramping {
		return float64(latency) > l.opts.Tolerance*float64(l.baseline)
	}
	lowest := latency - significantErrors*l.epoch.standardError()
	highest := l.baseline + significantErrors*l.baselineError
	return float64(lowest) > l.opts.Tolerance*float64(highest)
}

// finishProbe ends a probe. If throughput fell by more than half as much as the
// limit, the upstream needs the concurrency: the former limit is restored and
// the current latency becomes the baseline. The same applies if the epoch was
// underused, as its throughput was then not bounded by the limit.
func (l *Limit) finishProbe(latency time.Duration, throughput float64, underused bool) {
	needed := l.probe.throughput * (1 + l.opts.ProbeShare) / 2
	if underused || throughput < needed {
		l.set(float64(l.probe.previous))
		l.baseline = latency
	}
	l.probe = nil
}

func (l *Limit) grow() {
	step := float64(max(1, l.value/growthDivisor))
	if l.ramping {
		step = float64(l.value)
	}
	l.set(float64(l.value) + step)
}

func (l *Limit) set(value float64) {
	l.value = min(l.slots, max(1, toInt(value)))
}

// toInt converts a number that is not negative. One that does not fit into an int, whose
// conversion Go does not define, becomes the largest int.
func toInt(value float64) int {
	if value >= math.MaxInt {
		return math.MaxInt
	}
	return int(value)
}
