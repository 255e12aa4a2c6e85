package retry

import "time"

// Advice computes the Retry-After of refused callers with jitter, so that their
// retries spread over time.
type Advice struct {
	// Min and Max are the bounds of the uniformly distributed delay.
	Min, Max time.Duration
}

// Delay returns how long a refused caller should wait. The random number is
// uniform in [0, 1).
func (a Advice) Delay(random float64) time.Duration {
	return a.Min + time.Duration(random*float64(a.Max-a.Min))
}
