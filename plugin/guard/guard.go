// Package guard controls all access to the local upstream. It admits requests
// in order of importance up to the upstream's slots, refuses those that cannot
// run, and forwards the others only to the upstream that announced itself.
package guard

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/dialect"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/internal/bodymemory"
	"github.com/mangomast/mangomast/internal/connpool"
	"github.com/mangomast/mangomast/internal/meshcall"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/lineage"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/evacuation"
	"github.com/mangomast/mangomast/plugin/follower"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	"github.com/mangomast/mangomast/plugin/roster"
	"github.com/mangomast/mangomast/retry"
)

// ID is the module's ID.
const ID kernel.ID = "guard"

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the idle timeout of upstreams, so that no
	// request is sent on a connection that the upstream is closing.
	idleTimeout = 7 * time.Second
	// maxIdleConnections exceeds the slots of any upstream, so that connections
	// are reused: each new connection costs the upstream work.
	maxIdleConnections = 1024
	// defaultAnnouncementInterval is the default of Module.BeatInterval.
	defaultAnnouncementInterval = 1500 * time.Millisecond
	// maxResponseHeaderBytes bounds the header of an upstream's response.
	maxResponseHeaderBytes = 64 << 10
	// maxBufferedBytes is the size up to which an answer is buffered before it
	// is forwarded, so that another attempt can replace a truncated one.
	maxBufferedBytes = 256 << 10
	// answerMemoryBytes bounds the answers that are buffered at once. Without free
	// memory an answer is forwarded as it comes. It leaves most of the smallest VM's
	// memory (184 MB) to other uses.
	answerMemoryBytes = 16 << 20
	// runsPerCostReport sets how often a reply reports the calls that one run
	// causes further down the call graph: once per runsPerCostReport runs.
	runsPerCostReport = 8
	// maxRetryAfter bounds the backoff sent to refused callers.
	maxRetryAfter = 2 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{roster.ID, follower.ID, follower.DialectID, evacuation.ID, quarantineplugin.ID},
		New: func() kernel.Module {
			return &Module{MaxWait: jsonc.Duration(admission.SlotsMaxWait), BeatInterval: jsonc.Duration(defaultAnnouncementInterval)}
		},
	})
}

// Module admits requests to the local upstream and forwards them.
type Module struct {
	// Address is the upstream's IP:port; empty if the VM has none.
	Address string `json:"address"`
	// BeatInterval is the interval between announcements of the upstream.
	BeatInterval jsonc.Duration `json:"beat_interval"`
	// MaxWait is the maximum time in the queue. If the mean run time of requests
	// is longer, they may wait for that time instead.
	MaxWait jsonc.Duration `json:"max_wait"`
	// ColdTolerance is how far a cold upstream may be loaded above its rate.
	ColdTolerance ColdTolerance `json:"cold_tolerance"`

	cold    *coldLimit
	config  config.Source
	clock   clockwork.Clock
	log     log.Interface
	roster  *roster.Module
	dialect dialect.Upstreams
	places  *places
	metrics *metrics
	pool    *connpool.Pool
	answers *bodymemory.Budget
	fanout  *retry.Fanout
	lineage lineage.Table
	crashes *crashes
	// quarantine knows which requests are suspected of crashing upstreams.
	quarantine *quarantineplugin.Module
	runs       atomic.Int64
	active     atomic.Int64
	leaving    atomic.Bool

	mu               sync.Mutex
	upstream         Announcement
	state            membership.State
	lastAnnouncement time.Time
	gate             *gate
	// departures are the upstreams that gave notice of leaving.
	departures departures
	// unconfirmed is the incarnation that announces itself while the departures before
	// this node's start are not known, and since when.
	unconfirmed struct {
		upstream incarnation
		since    time.Time
	}
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ kernel.Leaver      = (*Module)(nil)
	_ kernel.Drainer     = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.Address != "" {
		if _, _, err := net.SplitHostPort(m.Address); err != nil {
			findings.Addf(prefix+"/address", "%q must be IP:port", m.Address)
		}
	}
	if m.BeatInterval <= 0 {
		findings.Addf(prefix+"/beat_interval", "must be above 0s")
	}
	if m.MaxWait <= 0 {
		findings.Addf(prefix+"/max_wait", "must be above 0s")
	}
	m.ColdTolerance.validate(prefix+"/cold_tolerance", findings)
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.roster, &m.dialect, &m.config, &m.quarantine); err != nil {
		return err
	}
	fabric, err := kernel.Require[*mesh.Mesh](ctx)
	if err != nil {
		return err
	}
	m.clock, m.log = ctx.Clock, ctx.Log
	if m.places, err = newPlaces(ctx); err != nil {
		return err
	}
	m.metrics = newMetrics(ctx.Registry, m.load)
	m.cold = newColdLimit(m)
	m.gate = newGate(m, 1)
	m.crashes = newCrashes(m)
	m.fanout = retry.NewFanout()
	m.answers = bodymemory.NewBudget(answerMemoryBytes, 0)
	m.pool = connpool.New(connpool.Options{
		DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdle: maxIdleConnections, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
	m.roster.OnDeparture(m.inheritDeparture)
	fabric.Handle(mesh.KindCall, meshcall.Handler(m.log, m.Serve))
	kernel.Provide(ctx, m)
	return nil
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "watch upstream", Run: m.watchAnnouncements}}
}

// Leave implements kernel.Leaver: it refuses new requests from now on.
func (m *Module) Leave() { m.leaving.Store(true) }

// Drain implements kernel.Drainer: it waits until no request waits or runs.
func (m *Module) Drain(ctx context.Context) error {
	for m.Busy() {
		if err := kernel.Sleep(ctx, m.clock, admission.TickInterval); err != nil {
			return err
		}
	}
	return nil
}

// Busy reports whether a request waits for or runs on the local upstream.
func (m *Module) Busy() bool { return m.active.Load() > 0 }

func (m *Module) load() call.Load { return m.currentGate().load() }

func (m *Module) currentGate() *gate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gate
}

// Serve runs a request on the local upstream, or refuses it. It blocks until
// the answer is complete, as much of it has arrived as is buffered, or the context
// ends. The caller must close the returned body, which may be nil.
func (m *Module) Serve(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	upstream, g, refusal := m.readyUpstream(head)
	if refusal == nil {
		refusal = m.checkPlace(head)
	}
	if refusal != nil {
		refusal.Load = m.load()
		return refusal, nil
	}
	m.active.Add(1)
	ctx, cancel := context.WithTimeout(ctx, head.Timeout)
	var end meshcall.Ending
	defer end.Close()
	end.Add(func() {
		cancel()
		m.active.Add(-1)
	})
	m.cold.configure(m.config.Snapshot())
	r := newRun(head, body, upstream)
	slot, refusal := m.admit(ctx, g, r)
	if refusal != nil {
		refusal.Load = g.load()
		return refusal, nil
	}
	// The reply of a run that panics.
	reply := call.FailedInNode()
	end.Add(func() {
		g.release(slot, reply)
		g.suspects.release(r.weight)
	})
	// An evacuation may have begun while the request waited.
	if refusal := m.checkPlace(head); refusal != nil {
		reply = refusal
		end.Close()
		refusal.Load = g.load()
		return refusal, nil
	}
	m.fanout.RecordRun()
	end.Add(m.lineage.Add(m.deadline(ctx, head), lineage.ParentOf(head)))
	reply, answer := m.forward(m.cold.watchWrite(ctx, slot), r)
	if m.runs.Add(1)%runsPerCostReport == 0 {
		reply.CalleeCosts = m.fanout.Costs()
	}
	if answer == nil {
		end.Close()
		reply.Load = g.load()
		return reply, nil
	}
	reply.Load = g.load()
	return reply, end.With(answer)
}

// deadline returns the deadline that the upstream gets with a request.
func (m *Module) deadline(ctx context.Context, head *call.Head) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return m.clock.Now().Add(head.Timeout)
}

// ParentOf returns the request of the local upstream that a call with the deadline
// belongs to, and whether there is one.
func (m *Module) ParentOf(deadline time.Time) (lineage.Parent, bool) { return m.lineage.Find(deadline) }

// RecordCall records a call that the local upstream makes to a service.
func (m *Module) RecordCall(service string) { m.fanout.RecordCall(service) }

// RecordDownstreamCosts records the calls that one run of a service, which the
// local upstream calls, causes further down the call graph.
func (m *Module) RecordDownstreamCosts(service string, costs []retry.Cost) {
	m.fanout.SetCalleeCosts(service, costs)
}

// readyUpstream returns the upstream and its gate if it accepts requests for
// the head's service, and a refusal otherwise.
func (m *Module) readyUpstream(head *call.Head) (Announcement, *gate, *call.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.leaving.Load() || m.state == membership.Leaving:
		return m.upstream, nil, call.Refuse(call.CodeLeaving, "the VM is leaving")
	case m.state != membership.Ready || m.upstream.Service != head.Service:
		return m.upstream, nil, call.Refuse(call.CodeNoUpstream, "the VM has no upstream for the service")
	}
	return m.upstream, m.gate, nil
}
