package routing

import (
	"time"

	"golang.org/x/time/rate"
)

// spillBudget is a token bucket for the bytes sent to other regions. All such
// bytes are charged, but only requests that spill because of load are limited.
// The mean size of a route is charged when a request is sent and the difference
// when its size is known, so the bucket can go into debt by the requests in
// flight.
type spillBudget struct {
	limiter *rate.Limiter
	// meanBytes is the moving average size of a request and its answer, by
	// route.
	meanBytes map[string]float64
}

// maxRoutes is the maximum number of routes in meanBytes.
const maxRoutes = 10000

func newSpillBudget(bytesPerSecond float64, burst int) *spillBudget {
	return &spillBudget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst), meanBytes: map[string]float64{}}
}

// allows reports whether a request of the route may spill now.
func (s *spillBudget) allows(route string, now time.Time) bool {
	return s.limiter.TokensAt(now) >= min(s.meanBytes[route], float64(s.limiter.Burst()))
}

// begin charges the mean size of the route.
func (s *spillBudget) begin(route string, now time.Time) {
	s.charge(int(s.meanBytes[route]), now)
}

// done charges the bytes of a request beyond the mean size.
func (s *spillBudget) done(route string, bytes int, now time.Time) {
	s.charge(bytes-int(s.meanBytes[route]), now)
}

func (s *spillBudget) charge(bytes int, now time.Time) {
	for bytes > 0 {
		part := min(bytes, s.limiter.Burst())
		if part == 0 || !s.limiter.ReserveN(now, part).OK() {
			return
		}
		bytes -= part
	}
}

// recordSize adds the size of a request to the route's moving average.
func (s *spillBudget) recordSize(route string, bytes int) {
	const gain = 0.1
	mean, ok := s.meanBytes[route]
	switch {
	case ok:
		s.meanBytes[route] = mean + gain*(float64(bytes)-mean)
	case len(s.meanBytes) < maxRoutes:
		s.meanBytes[route] = float64(bytes)
	}
}
