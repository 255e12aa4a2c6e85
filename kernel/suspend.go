package kernel

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// minSuspension is the shortest suspension that is detected. It exceeds what
// the correction of the wall clock's rate adds between two readings.
const minSuspension = 200 * time.Millisecond

// suspendAwareClock is a clock whose time also advances while the machine is
// suspended.
type suspendAwareClock struct {
	clockwork.Clock
	// read returns the wall clock and the monotonic clock.
	read func() (wall, monotonic time.Duration)

	mu              sync.Mutex
	wall, monotonic time.Duration
	suspended       time.Duration
}

// SuspendAware returns a clock for the validity of leases and of other
// permissions that were granted for a time. The monotonic clock stands still
// while a machine is suspended, so that by it an expired permission seems valid
// after the machine wakes. Suspensions are detected from the wall clock, which
// runs on; a wall clock that is set forward counts as a suspension too, and only
// ends permissions early.
//
// Only Now, Since and Until include suspensions, not timers. Its times must not be
// compared with those of other clocks, nor used as deadlines of contexts. A
// clock other than the real one is returned unchanged.
func SuspendAware(clock clockwork.Clock) clockwork.Clock {
	if clock != clockwork.NewRealClock() {
		return clock
	}
	start := time.Now()
	return newSuspendAwareClock(clock, func() (time.Duration, time.Duration) {
		now := time.Now()
		return now.Round(0).Sub(start.Round(0)), now.Sub(start)
	})
}

func newSuspendAwareClock(clock clockwork.Clock, read func() (wall, monotonic time.Duration)) *suspendAwareClock {
	c := &suspendAwareClock{Clock: clock, read: read}
	c.wall, c.monotonic = read()
	return c
}

// Now implements clockwork.Clock.
func (c *suspendAwareClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, monotonic := c.read()
	if suspended := (wall - c.wall) - (monotonic - c.monotonic); suspended >= minSuspension {
		c.suspended += suspended
	}
	c.wall, c.monotonic = wall, monotonic
	return c.Clock.Now().Add(c.suspended)
}

// Since implements clockwork.Clock.
func (c *suspendAwareClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *suspendAwareClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
