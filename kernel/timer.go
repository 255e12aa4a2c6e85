package kernel

import (
	"context"
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
