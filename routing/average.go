package routing

import (
	"math"
	"time"
)

// average is a sum that fades with time.
type average struct {
	sum     float64
	updated time.Time
}

func (a *average) at(now time.Time, memory time.Duration) float64 {
	return a.sum * fade(now.Sub(a.updated), memory)
}

func (a *average) add(now time.Time, amount float64, memory time.Duration) {
	a.sum = a.at(now, memory) + amount
	a.updated = now
}

// latencyAverage is a mean latency in which old answers fade.
type latencyAverage struct {
	seconds average
	count   average
}

func (l *latencyAverage) add(now time.Time, latency, memory time.Duration) {
	l.seconds.add(now, latency.Seconds(), memory)
	l.count.add(now, 1, memory)
}

// mean returns the mean in seconds, or 0 before the first answer.
func (l *latencyAverage) mean() float64 {
	if l.count.sum == 0 {
		return 0
	}
	return l.seconds.sum / l.count.sum
}

func fade(age, memory time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / memory.Seconds())
}
