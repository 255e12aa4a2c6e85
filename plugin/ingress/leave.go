package ingress

import (
	"context"
	"time"
)

const defaultLeaveGrace = 3 * time.Second

// Leave implements kernel.Leaver: every further answer tells its caller to
// close the connection.
func (m *Module) Leave() { m.server.RefuseKeepAlive() }

// Drain implements kernel.Drainer. It serves callers whose connections are
// open until they have closed them or the grace is over, then finishes the
// callers' requests.
func (m *Module) Drain(ctx context.Context) error {
	grace, cancel := context.WithTimeout(ctx, m.LeaveGrace.Std())
	defer cancel()
	m.server.AwaitClosed(grace)
	return m.server.Shutdown(ctx)
}
