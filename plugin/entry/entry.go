// Package entry serves callers and the local upstream's own calls on one
// listener. It matches the route, checks the key, takes a token of the
// organisation's rate, and sends the request to the guard of an upstream of the
// route's service.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/dialect"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/internal/httpcall"
	"github.com/mangomast/mangomast/internal/httpserver"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/lineage"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/evacuation"
	"github.com/mangomast/mangomast/plugin/follower"
	"github.com/mangomast/mangomast/plugin/guard"
	"github.com/mangomast/mangomast/plugin/pool"
	"github.com/mangomast/mangomast/plugin/roster"
	"github.com/mangomast/mangomast/retry"
	"github.com/mangomast/mangomast/routing"
)

// ID is the module's ID.
const ID kernel.ID = "entry"

// notReadyRetryAfter is the Retry-After of a node without a configuration.
const notReadyRetryAfter = 500 * time.Millisecond

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{follower.ID, follower.DialectID, guard.ID, pool.ID, roster.ID, evacuation.ID},
		New: func() kernel.Module {
			return &Module{
				LeaveGrace: jsonc.Duration(defaultLeaveGrace), Retries: defaultRetries(),
			}
		},
	})
}

// Module is the listener for callers and for the local upstream.
type Module struct {
	// Service is the service of the VM. It becomes the origin of requests that
	// enter here.
	Service string `json:"service"`
	// LeaveGrace is how long a stopping node still takes requests of callers that
	// have not noticed the stop; half of the time for draining at most.
	LeaveGrace jsonc.Duration `json:"leave_grace"`
	// Retries limits the retries of requests.
	Retries Retries `json:"retries"`

	clock         clockwork.Clock
	log           log.Interface
	config        config.Source
	callers       dialect.Callers
	members       *roster.Module
	pool          *pool.Module
	guard         *guard.Module
	mesh          *mesh.Mesh
	evacuations   *evacuation.Module
	picker        *routing.Balancer
	retries       *retry.Throttles
	metrics       *metrics
	server        *httpserver.Server
	bodies        *httpcall.BodyReader
	active        atomic.Int64
	stoppingSince atomic.Pointer[time.Time]
	stopPolicy    stopPolicy
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.Starter     = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ kernel.Leaver      = (*Module)(nil)
	_ kernel.Drainer     = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.LeaveGrace < 0 {
		findings.Addf(prefix+"/leave_grace", "must not be negative")
	}
	m.Retries.validate(prefix+"/retries", findings)
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.config, &m.callers, &m.members, &m.pool, &m.guard, &m.mesh, &m.evacuations); err != nil {
		return err
	}
	m.clock, m.log = ctx.Clock, ctx.Log
	m.stopPolicy = newStopPolicy(m.LeaveGrace.Std(), ctx.DrainTime())
	m.metrics = newMetrics(ctx.Registry)
	m.retries = m.Retries.throttles(m.fleetIndex)
	o := routing.DefaultOptions()
	o.Self, o.Rand = ctx.Node.VM, rand.Float64
	o.Ramp = routing.UpstreamRamp
	o.Place = routing.Place{FailureDomain: ctx.Node.FailureDomain, Region: ctx.Node.Region}
	m.picker = routing.NewBalancer(o)
	m.evacuations.OnEnd(m.rampUp)
	m.bodies = httpcall.NewBodyReader()
	e := echo.New()
	e.Any("/*", m.serve)
	m.server = httpserver.NewForListener(ctx, "callers", ctx.Node.Listen.Callers, e, intake.CallersShare)
	m.server.LimitHeader(m.maxHeaderBytes)
	kernel.Provide(ctx, m)
	return nil
}

// fleetIndex returns the number of known VMs and this one's index among them.
func (m *Module) fleetIndex() (nodes, fleetIndex int) {
	all, self := m.members.View().All(), m.mesh.Self().VM
	return len(all), slices.IndexFunc(all, func(e membership.Entry) bool { return e.VM == self })
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error { return m.server.Listen() }

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "serve", Run: m.server.Run}}
}

// Ready reports whether the node accepts new callers.
func (m *Module) Ready() bool {
	return m.stoppingSince.Load() == nil && m.config.Snapshot() != nil && m.members.Loaded()
}

// request is the state of one request.
type request struct {
	started  time.Time
	caller   dialect.Caller
	snapshot *config.Snapshot
	route    *config.Route
	org      *config.Organisation
	head     call.Head
	// triedVMs lists the VMs that the request was sent to, and attempts the
	// result of each attempt.
	triedVMs []string
	attempts []string
}

func (m *Module) serve(c echo.Context) error {
	m.active.Add(1)
	defer m.active.Add(-1)
	req := &request{started: m.clock.Now()}
	reply, answer := m.handle(c, req)
	m.callers.SetRetryAfter(c.Response().Header(), reply.RetryAfter)
	err := httpcall.WriteReply(c, req.caller.ID, reply, answer, config.MaxResponseBodyBytes)
	m.record(req, reply)
	return err
}

// handle runs the checks and dispatches the request.
func (m *Module) handle(c echo.Context, req *request) (*call.Reply, io.ReadCloser) {
	r := c.Request()
	for _, check := range []func(*http.Request, *request) *call.Reply{m.readCaller, m.readConfig, m.matchRoute, m.refuseWhenStopping, m.authenticate, m.checkRate} {
		if refusal := check(r, req); refusal != nil {
			return refusal, nil
		}
	}
	body, release, refusal := m.readBody(c, req)
	if refusal != nil {
		return refusal, nil
	}
	defer release()
	// A body may take seconds to arrive.
	if refusal := m.refuseWhenStopping(r, req); refusal != nil {
		return refusal, nil
	}
	m.fillHead(r, req)
	return m.dispatch(r.Context(), req, body)
}

// readBody reads the body within the request's timeout, so that a slow caller
// does not hold the connection for longer. The caller calls release once the
// body is no longer used.
func (m *Module) readBody(c echo.Context, req *request) (body []byte, release func(), refusal *call.Reply) {
	if c.Request().ContentLength == 0 {
		return nil, func() {}, nil
	}
	control := http.NewResponseController(c.Response())
	if err := control.SetReadDeadline(time.Now().Add(m.timeout(req))); err != nil {
		m.log.WithError(err).Warn("cannot set a read deadline for the request body; a slow caller may hold the connection")
	}
	body, release, refusal = m.bodies.Read(c, req.route.MaxRequestBytes)
	if refusal == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, release, refusal
}

// timeout returns the caller's timeout, limited by the route's deadline.
func (m *Module) timeout(req *request) time.Duration {
	timeout := req.route.Deadline.Std()
	if req.caller.Timeout > 0 {
		timeout = min(timeout, req.caller.Timeout)
	}
	return timeout
}

// headerBytes returns the size of a header on the wire.
func headerBytes(header http.Header) int64 {
	const separators = len(": \r\n")
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

// readCaller reads the caller's data from the header.
func (m *Module) readCaller(r *http.Request, req *request) *call.Reply {
	var err error
	if req.caller, err = m.callers.Extract(r.Header); err != nil {
		return call.Refuse(call.CodeBadRequest, err.Error())
	}
	return nil
}

// readConfig reads the configuration in force and checks the size of the header
// against its limits.
func (m *Module) readConfig(r *http.Request, req *request) *call.Reply {
	req.snapshot = m.config.Snapshot()
	if req.snapshot == nil {
		refusal := call.Refuse(call.CodeStaleConfig, "the node has no configuration yet")
		refusal.RetryAfter = notReadyRetryAfter
		return refusal
	}
	if limit := m.maxHeaderBytes(); limit > 0 && headerBytes(r.Header) > limit {
		return call.Refuse(call.CodeHeaderTooLarge, "the header is larger than the configuration allows")
	}
	return nil
}

// maxHeaderBytes returns the size of a header that the configuration allows, or 0 for
// no limit of its own.
func (m *Module) maxHeaderBytes() int64 {
	snapshot := m.config.Snapshot()
	if snapshot == nil || snapshot.Document.Limits == nil {
		return 0
	}
	return snapshot.Document.Limits.HeaderBytes
}

func (m *Module) matchRoute(r *http.Request, req *request) *call.Reply {
	req.route = req.snapshot.Route(r.Host, r.Method, r.URL.Path)
	if req.route == nil {
		return call.Refuse(call.CodeNoRoute, "no route matches the request")
	}
	req.head.Route = req.route.ID
	if req.route.Unavailable {
		refusal := call.Refuse(call.CodeStaleConfig, "the route's configuration is invalid")
		refusal.RetryAfter = notReadyRetryAfter
		return refusal
	}
	return nil
}

// authenticate finds the organisation of the key. A request without a key may
// use keyless routes, which are those that upstreams call.
func (m *Module) authenticate(_ *http.Request, req *request) *call.Reply {
	if !req.caller.HasKey {
		if req.route.Keyless {
			return nil
		}
		return call.Refuse(call.CodeUnauthenticated, "a key must come with the request")
	}
	key := req.snapshot.KeyByHash(config.HashKey(req.caller.Key))
	if key == nil {
		return call.Refuse(call.CodeUnauthenticated, "the key is unknown or was withdrawn")
	}
	req.head.Organisation = key.Organisation
	req.org = req.snapshot.Organisation(key.Organisation)
	if req.org == nil || req.org.Suspended || !req.route.Allows(key.Organisation) {
		return call.Refuse(call.CodeForbidden, "the route is not open to the organisation")
	}
	return nil
}

// checkRate takes a token of the organisation's rate.
func (m *Module) checkRate(r *http.Request, req *request) *call.Reply {
	if req.org == nil {
		return nil
	}
	return m.pool.Admit(r.Context(), req.org)
}

// rank returns the importance and the rank of a request. Requests of callers are
// ranked by their organisation's importance first and their route's second. Calls
// inherit those of the request that makes them.
func (m *Module) rank(req *request) (importance uint8, rank uint16) {
	if req.org != nil {
		const routeLevels = config.MaxImportance + 1
		return lineage.CallerImportance(req.org.Importance*routeLevels + req.route.Importance), 0
	}
	if parent, ok := m.parent(req); ok {
		return lineage.CallImportance(parent), parent.Rank
	}
	return call.UpstreamImportance, 0
}

// parent returns the request on the local upstream that the request is a call of,
// and false if there is none. Callers may use keyless routes too.
func (m *Module) parent(req *request) (lineage.Parent, bool) {
	if req.caller.HasKey || req.caller.Timeout <= 0 {
		return lineage.Parent{}, false
	}
	return m.guard.ParentOf(req.started.Add(req.caller.Timeout))
}

// fillHead sets the fields of the head that are the same for all attempts.
func (m *Module) fillHead(r *http.Request, req *request) {
	call.StripHeader(r.Header)
	head := &req.head
	head.ID = req.caller.ID
	head.Service = req.route.PickService(rand.Float64())
	head.Importance, head.Rank = m.rank(req)
	head.Idempotent = req.route.Idempotent
	head.Method, head.Host, head.Target = r.Method, r.Host, r.RequestURI
	head.Origin = m.Service
	head.Header = call.HeaderFields(r.Header)
}
