package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/kernel"
)

const (
	// defaultLeaveGrace covers two readiness probes one second apart, after
	// which callers use another node.
	defaultLeaveGrace = 2500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping node. It is short
	// because other nodes serve the caller at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// callTime is the time that a call of the local upstream may need to finish.
	// Calls are short beside the requests that make them.
	callTime = time.Second
)

// stopPolicy decides which requests a stopping node still takes. The load that it
// answers is that of callers that go on sending because they have not noticed the
// stop or have no other node. What the node takes late may still run when it ends,
// and would be cut.
type stopPolicy struct {
	// grace is how long requests of callers are taken.
	grace time.Duration
	// drain is the time until the node ends. It is longer than grace.
	drain time.Duration
}

// newStopPolicy limits the grace to half of the drain, so that what is taken last
// has as much time as the node has served on.
func newStopPolicy(grace, drain time.Duration) stopPolicy {
	return stopPolicy{grace: min(grace, drain/2), drain: drain}
}

// takes reports whether the node takes a request at the time since the stop began.
// Calls of requests that still run on the local upstream are taken for longer,
// because those requests fail without them.
func (p stopPolicy) takes(since time.Duration, isCall bool) bool {
	if isCall {
		return since <= max(p.grace, p.drain-callTime)
	}
	return since <= p.grace
}

// Leave implements kernel.Leaver.
func (m *Module) Leave() {
	now := m.clock.Now()
	m.stoppingSince.Store(&now)
	m.server.DisableKeepAlives()
	m.log.WithField("active", m.active.Load()).Info("shutting down: not ready for new callers, closing keep-alive connections")
}

// takes reports whether the node still takes a request. It always does while it
// is not stopping.
func (m *Module) takes(isCall bool) bool {
	since := m.stoppingSince.Load()
	return since == nil || m.stopPolicy.takes(m.clock.Since(*since), isCall)
}

// refuseWhenStopping refuses a request that might not finish before the process
// exits.
func (m *Module) refuseWhenStopping(_ *http.Request, req *request) *call.Reply {
	if m.takes(false) {
		return nil
	}
	if _, isCall := m.parent(req); isCall && m.takes(true) {
		return nil
	}
	refusal := call.Refuse(call.CodeLeaving, "the node is stopping")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// Drain implements kernel.Drainer. It serves callers that have not noticed the
// stop until the grace period is over, and waits until no request is in flight.
// Requests that other nodes sent to the local upstream count too, because the
// upstream makes their calls through this node.
func (m *Module) Drain(ctx context.Context) error {
	for m.takes(false) || m.active.Load() > 0 || m.guard.Busy() {
		if err := kernel.Sleep(ctx, m.clock, drainPollInterval); err != nil {
			return err
		}
	}
	return m.server.Shutdown(ctx)
}
