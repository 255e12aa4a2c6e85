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
	// answerTime is the time to write the answer of a request whose deadline has
	// passed, before the node ends.
	answerTime = 100 * time.Millisecond
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
// Requests that may be calls of the local upstream are taken for longer, because
// their parents fail without them, but only if their timeout is over before the node
// ends: a caller's request may look like a call, and either may last until then.
func (p stopPolicy) takes(since, timeout time.Duration, mayBeCall bool) bool {
	if since <= p.grace {
		return true
	}
	return mayBeCall && since+timeout <= p.drain-answerTime
}

// Leave implements kernel.Leaver.
func (m *Module) Leave() {
	now := m.clock.Now()
	m.stoppingSince.Store(&now)
	m.server.DisableKeepAlives()
	m.log.WithField("active", m.active.Load()).Info("shutting down: not ready for new callers, closing keep-alive connections")
}

// takesCallers reports whether the node still takes any request. It always does while
// it is not stopping.
func (m *Module) takesCallers() bool {
	since := m.stoppingSince.Load()
	return since == nil || m.stopPolicy.takes(m.clock.Since(*since), 0, false)
}

// refuseWhenStopping refuses a request that might not finish before the process
// exits.
func (m *Module) refuseWhenStopping(_ *http.Request, req *request) *call.Reply {
	since := m.stoppingSince.Load()
	if since == nil {
		return nil
	}
	_, mayBeCall := m.parent(req)
	now := m.clock.Now()
	if m.stopPolicy.takes(now.Sub(*since), req.started.Add(m.timeout(req)).Sub(now), mayBeCall) {
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
	for m.takesCallers() || m.active.Load() > 0 || m.guard.Busy() {
		if err := kernel.Sleep(ctx, m.clock, drainPollInterval); err != nil {
			return err
		}
	}
	return m.server.Shutdown(ctx)
}
