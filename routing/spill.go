package routing

import "time"

// spillBudget is a token bucket for the bytes sent to other regions. All such
// bytes are charged, but only requests that spill because of load are limited.
// The mean size of a route is charged when a request is sent and the difference
// when its size is known, so the bucket can go into debt by the requests in
// flight.
type spillBudget struct {
	// bytesPerSecond and burst are the rate and the size of the bucket.
	bytesPerSecond, burst float64
	tokens                float64
	refilled              time.Time
	// meanBytes is the moving average size of a request and its answer, by
	// route.
	meanBytes map[string]float64
}

const (
	// maxRoutes is the maximum number of routes in meanBytes.
	maxRoutes = 10000
	// maxChargedBytes bounds the size of a request and its answer. Longer answers are
	// not passed on, whatever length an upstream states.
	maxChargedBytes = 128 << 20
)

func newSpillBudget(bytesPerSecond float64, burst int) *spillBudget {
	return &spillBudget{bytesPerSecond: bytesPerSecond, burst: float64(burst), tokens: float64(burst), meanBytes: map[string]float64{}}
}

// allows reports whether a request of the route may spill now.
func (s *spillBudget) allows(route string, now time.Time) bool {
	s.refill(now)
	return s.tokens >= min(s.meanBytes[route], s.burst)
}

func (s *spillBudget) refill(now time.Time) {
	if elapsed := now.Sub(s.refilled); elapsed > 0 {
		s.tokens = min(s.burst, s.tokens+s.bytesPerSecond*elapsed.Seconds())
		s.refilled = now
	}
}

// begin charges the mean size of the route.
func (s *spillBudget) begin(route string, now time.Time) {
	s.charge(s.meanBytes[route], now)
}

// done charges the bytes of a request beyond the mean size.
func (s *spillBudget) done(route string, bytes int, now time.Time) {
	s.charge(chargedBytes(bytes)-s.meanBytes[route], now)
}

func (s *spillBudget) charge(bytes float64, now time.Time) {
	s.refill(now)
	s.tokens -= max(0, bytes)
}

func chargedBytes(bytes int) float64 { return float64(max(0, min(bytes, maxChargedBytes))) }

// recordSize adds the size of a request to the route's moving average.
func (s *spillBudget) recordSize(route string, bytes int) {
	const gain = 0.1
	mean, ok := s.meanBytes[route]
	switch {
	case ok:
		s.meanBytes[route] = mean + gain*(chargedBytes(bytes)-mean)
	case len(s.meanBytes) < maxRoutes:
		s.meanBytes[route] = chargedBytes(bytes)
	}
}
