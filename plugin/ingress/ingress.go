// Package ingress serves callers over HTTP. It checks the key, determines the
// organisation, sets the request's importance and retry budget, and dispatches
// it.
package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/internal/httpcall"
	"github.com/mangomast/mangomast/internal/httpserver"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/claims"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	"github.com/mangomast/mangomast/plugin/dispatch"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	"github.com/mangomast/mangomast/plugin/quota"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
	"github.com/mangomast/mangomast/retry"
	"github.com/mangomast/mangomast/shedding"
)

// ID is the module's ID.
const ID kernel.ID = "ingress"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{configplugin.ID, dispatch.ID, claims.ID, quota.ID, retryplugin.ID, meshplugin.ID, membershipplugin.ID},
		New: func() kernel.Module {
			return &Module{
				Shedding: true, AskLevels: true, Hold: jsonc.Duration(shedding.DefaultHold), Fade: jsonc.Duration(shedding.DefaultFade),
				LeaveGrace: jsonc.Duration(defaultLeaveGrace),
			}
		},
	})
}

// Module is the listener for callers.
type Module struct {
	// Shedding refuses requests that a service deeper in the call graph would
	// refuse.
	Shedding bool `json:"shedding"`
	// Hold is how long the levels received from a VM apply in full; after that
	// they fade out over Fade.
	Hold jsonc.Duration `json:"hold"`
	Fade jsonc.Duration `json:"fade"`
	// AskLevels queries a VM of a route's first service for the levels of the
	// route's services if that VM sheds requests and no recent reply carried
	// them.
	AskLevels bool `json:"ask_levels"`
	// LeaveGrace is how long a planned stop still serves callers with open
	// connections and asks them to reconnect elsewhere, before it closes the
	// connections.
	LeaveGrace jsonc.Duration `json:"leave_grace"`
	// Experiments disable guarantees; for the bench only.
	Experiments Experiments `json:"experiments"`

	clock      clockwork.Clock
	log        log.Interface
	config     config.Source
	freshness  config.Freshness
	dispatcher dispatch.Dispatcher
	mesh       *mesh.Mesh
	members    membership.Source
	claims     *claims.Module
	quota      quota.Admitter
	retries    *retryplugin.Module
	metrics    *metrics
	signer     *ledger.Signer
	server     *httpserver.Server
	bodies     *httpcall.BodyReader
	levels     *levels
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
	if m.Hold <= 0 || m.Hold.Std() > maxLevelAge {
		findings.Addf(prefix+"/hold", "must be above 0 and at most %s", maxLevelAge)
	}
	if m.Fade <= 0 || m.Fade.Std() > maxLevelAge {
		findings.Addf(prefix+"/fade", "must be above 0 and at most %s", maxLevelAge)
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.config, &m.freshness, &m.dispatcher, &m.quota, &m.claims, &m.retries, &m.mesh, &m.members); err != nil {
		return err
	}
	m.clock, m.log = ctx.Clock, ctx.Log
	m.metrics = newMetrics(ctx.Registry)
	m.levels = newLevels(m, m.queryMesh)
	m.signer = ledger.NewSigner(ctx.Node.FleetSecret)
	m.bodies = httpcall.NewBodyReader()
	e := echo.New()
	e.POST(PathIDs, m.serveID)
	e.Any("/*", m.serve)
	m.server = httpserver.NewForListener(ctx, "callers", ctx.Node.Listen.Callers, e, intake.CallersShare)
	m.server.LimitHeader(func() int64 { return 0 })
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error { return m.server.Listen() }

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{
		{Name: "serve", Run: m.server.Run},
		{Name: "expire levels", Run: m.expireLevels},
	}
}

// request is the state of one caller's request.
type request struct {
	started  time.Time
	snapshot *config.Snapshot
	route    *config.Route
	key      *config.Key
	head     *call.Head
	// resent is set if the request came with a request ID or an idempotency
	// key, so it may have run before.
	resent bool
}

func (m *Module) serve(c echo.Context) error {
	req := &request{started: m.clock.Now(), head: &call.Head{ID: m.newID()}}
	req.head.Root = req.head.ID
	reply, err := m.handle(c, req)
	m.metrics.observe(req, reply, m.clock.Since(req.started))
	m.logRequest(req, reply)
	return err
}

// newID returns an ID with the name of the region that holds the request's
// retry budget, in case the caller repeats the request.
func (m *Module) newID() string { return retry.WithRegion(uuid.NewString(), m.members.Self().Region) }

func (m *Module) handle(c echo.Context, req *request) (*call.Reply, error) {
	r := c.Request()
	checks := []func(*http.Request, *request) *call.Reply{
		m.authenticate,
		m.matchRoute,
		m.applyRequestID,
		m.shed,
		m.checkRate,
	}
	req.resent = mayBeResent(r)
	for _, check := range checks {
		if refusal := check(r, req); refusal != nil {
			return writeReply(c, req, refusal, nil)
		}
	}
	body, release, refusal := m.bodies.Read(c, req.route.MaxRequestBytes)
	if refusal != nil {
		return writeReply(c, req, refusal, nil)
	}
	defer release()
	if refusal := m.recheckKey(req); refusal != nil {
		return writeReply(c, req, refusal, nil)
	}
	fillHead(r, req)
	reply, answer := m.dispatchClaimed(r, req, body)
	m.recordLevels(req, reply)
	reply, answer = m.Experiments.answer(reply, answer)
	return writeReply(c, req, reply, answer)
}

// authenticate removes the key from the request and finds its organisation.
func (m *Module) authenticate(r *http.Request, req *request) *call.Reply {
	key, ok := m.Experiments.key(r)
	req.snapshot = m.config.Snapshot()
	if req.snapshot == nil {
		return call.Refuse(call.CodeStaleConfig, "the node has no configuration yet; try another node")
	}
	if !ok {
		return call.Refuse(call.CodeUnauthenticated, "exactly one key must come with the request")
	}
	req.key = m.Experiments.lookupKey(req.snapshot, key)
	if req.key == nil {
		return call.Refuse(call.CodeUnauthenticated, "the key is unknown or was withdrawn")
	}
	if strings.Contains(r.URL.Path, key) {
		return call.Refuse(call.CodeBadRequest, "a key must not be part of the path")
	}
	org := req.snapshot.Organisation(req.key.Organisation)
	if org == nil || org.Suspended {
		return call.Refuse(call.CodeForbidden, "the organisation is suspended")
	}
	req.head.Organisation = org.ID
	return m.checkFreshness(org)
}

// matchRoute finds the route and checks that it is open to the organisation.
func (m *Module) matchRoute(r *http.Request, req *request) *call.Reply {
	route := req.snapshot.Route(r.Host, r.Method, r.URL.Path)
	if route == nil || route.Internal {
		return call.Refuse(call.CodeNoRoute, "no route matches the request")
	}
	if !route.Allows(req.head.Organisation) {
		return call.Refuse(call.CodeForbidden, "the route is not open to the organisation")
	}
	req.route = route
	return nil
}

// fillHead sets the fields of the head that are the same for the request's
// whole call tree.
func fillHead(r *http.Request, req *request) {
	header := r.Header.Clone()
	call.StripHeader(header)
	head := req.head
	head.Key = req.key.ID
	head.KeyRevision = req.snapshot.Stream
	head.Route = req.route.ID
	head.Service = req.route.Service
	head.Timeout = req.route.Deadline.Std()
	head.RetryBudget = req.route.RetryBudget
	head.Idempotent = req.route.Idempotent
	head.Method = r.Method
	head.Target = r.URL.RequestURI()
	head.Header = call.HeaderFields(header)
}

func (m *Module) logRequest(req *request, reply *call.Reply) {
	if reply.Outcome == call.Answered {
		return
	}
	m.log.WithFields(log.Fields{
		"request_id":   req.head.ID,
		"organisation": req.head.Organisation,
		"route":        req.head.Route,
		"outcome":      reply.Outcome.String(),
		"reason":       reply.Code.String(),
	}).Debug("request was not answered by an upstream")
}
