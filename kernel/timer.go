package kernel

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Sleep waits for the given duration. If the context ends first, it returns
// the context's error.
func Sleep(ctx context.Context, clock clockwork.Clock, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-clock.After(duration):
		return nil
	}
}

// SleepWithJitter is like Sleep for a random time between half of the duration and
// all of it, so that nodes that failed together do not try again together.
func SleepWithJitter(ctx context.Context, clock clockwork.Clock, duration time.Duration) error {
	return Sleep(ctx, clock, time.Duration((0.5+rand.Float64()/2)*float64(duration)))
}

// Every calls step once per interval until the context ends, and returns the
// context's error. The first call is made after one interval. Intervals that
// elapse while step runs result in at most one further call.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, step func(context.Context)) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			step(ctx)
		}
	}
}
