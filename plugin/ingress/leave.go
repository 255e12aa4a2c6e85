package ingress

import (
	"context"
	"time"
)

const defaultLeaveGrace = 3 * time.Second

// Leave implements kernel.Leaver: every further answer asks its caller to close
// the connection.
func (m *Module) Leave() { m.server.DisableKeepAlives() }

// Drain implements kernel.Drainer. It serves callers with open connections
// until they have closed them or the grace period is over, then waits for the
// requests in flight.
func (m *Module) Drain(ctx context.Context) error {
	grace, cancel := context.WithTimeout(ctx, m.LeaveGrace.Std())
	defer cancel()
	m.server.WaitConnectionsClosed(grace)
	return m.server.Shutdown(ctx)
}
