package routing

import (
	"time"

	"golang.org/x/time/rate"
)

// spillBytes bounds the bytes that go to other regions because of load. All
// bytes to other regions are charged; only moves because of load are held. A
// route's typical size is charged when a request is sent and the rest when its
// size is known, so the bucket may go into debt by what is in progress.
type spillBytes struct {
	limiter *rate.Limiter
	// typical is the mean size of a request and its answer by route.
	typical map[string]float64
}

// maxRoutes bounds the routes whose size is remembered.
const maxRoutes = 10000

func newSpillBytes(bytesPerSecond float64, burst int) *spillBytes {
	return &spillBytes{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst), typical: map[string]float64{}}
}

// allows reports whether a request of the route may be moved now.
func (s *spillBytes) allows(route string, now time.Time) bool {
	return s.limiter.TokensAt(now) >= min(s.typical[route], float64(s.limiter.Burst()))
}

// begin charges the typical size of the route.
func (s *spillBytes) begin(route string, now time.Time) {
	s.charge(int(s.typical[route]), now)
}

// done charges what a request took above the typical size.
func (s *spillBytes) done(route string, bytes int, now time.Time) {
	s.charge(bytes-int(s.typical[route]), now)
}

func (s *spillBytes) charge(bytes int, now time.Time) {
	for bytes > 0 {
		part := min(bytes, s.limiter.Burst())
		if part == 0 || !s.limiter.ReserveN(now, part).OK() {
			return
		}
		bytes -= part
	}
}

// learn takes in the size of a request of the route.
func (s *spillBytes) learn(route string, bytes int) {
	const gain = 0.1
	known, ok := s.typical[route]
	switch {
	case ok:
		s.typical[route] = known + gain*(float64(bytes)-known)
	case len(s.typical) < maxRoutes:
		s.typical[route] = float64(bytes)
	}
}
