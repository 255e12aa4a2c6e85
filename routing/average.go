package routing

import (
	"math"
	"time"
)

// decayingSum is a sum whose terms decay exponentially with age. sum is its
// value at the time updated.
type decayingSum struct {
	sum     float64
	updated time.Time
}

func (a *decayingSum) valueAt(now time.Time, timeConstant time.Duration) float64 {
	return a.sum * decay(now.Sub(a.updated), timeConstant)
}

func (a *decayingSum) add(now time.Time, amount float64, timeConstant time.Duration) {
	a.sum = a.valueAt(now, timeConstant) + amount
	a.updated = now
}

// latencyEWMA is a mean latency in which the weight of each sample decays
// exponentially with age.
type latencyEWMA struct {
	seconds decayingSum
	count   decayingSum
}

func (l *latencyEWMA) add(now time.Time, latency, timeConstant time.Duration) {
	l.seconds.add(now, latency.Seconds(), timeConstant)
	l.count.add(now, 1, timeConstant)
}

// mean returns the mean in seconds, or 0 before the first sample.
func (l *latencyEWMA) mean() float64 {
	if l.count.sum == 0 {
		return 0
	}
	return l.seconds.sum / l.count.sum
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / timeConstant.Seconds())
}
