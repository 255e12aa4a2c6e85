package retry

import "time"

// Advice spreads the retries of refused callers over time.
type Advice struct {
	// Min and Max bound the delay; it is uniform between them.
	Min, Max time.Duration
}

// Delay returns how long a refused caller should wait. The random number is
// uniform in [0, 1).
func (a Advice) Delay(random float64) time.Duration {
	return a.Min + time.Duration(random*float64(a.Max-a.Min))
}
