// Package egress serves the local upstream on loopback: it receives the
// upstream's announcements and its calls to other services.
package egress

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/internal/httpcall"
	"github.com/mangomast/mangomast/internal/httpserver"
	"github.com/mangomast/mangomast/kernel"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	"github.com/mangomast/mangomast/plugin/dispatch"
	"github.com/mangomast/mangomast/plugin/inbound"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
)

// ID is the module's ID.
const ID kernel.ID = "egress"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{configplugin.ID, dispatch.ID, inbound.ID, retryplugin.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module is the loopback listener for the local upstream.
type Module struct {
	clock      clockwork.Clock
	config     config.Source
	dispatcher dispatch.Dispatcher
	running    *call.Registry
	retries    *retryplugin.Module
	server     *httpserver.Server
	bodies     *httpcall.BodyReader
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Starter     = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.config, &m.dispatcher, &m.running, &m.retries); err != nil {
		return err
	}
	if ctx.Node.Listen.Egress == "" {
		return errors.New("listen.egress must be set: the egress module needs an address for the upstream's calls")
	}
	local, err := kernel.Require[*inbound.Module](ctx)
	if err != nil {
		return err
	}
	m.clock = ctx.Clock
	m.bodies = httpcall.NewBodyReader()
	e := echo.New()
	local.RegisterLoopback(e)
	e.Any("/*", m.serve)
	m.server = httpserver.NewForListener(ctx, "egress", ctx.Node.Listen.Egress, e, intake.PeersShare)
	m.server.LimitHeader(func() int64 { return 0 })
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error { return m.server.Listen() }

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "serve", Run: m.server.Run}}
}

// serve sends one call of the upstream on behalf of the request that it is
// serving.
func (m *Module) serve(c echo.Context) error {
	parent, ok := m.running.Lookup(c.Request().Header.Get(call.HeaderContext))
	if !ok {
		reply := call.Refuse(call.CodeForbidden, "the context token names no running request")
		return httpcall.WriteReply(c, "", reply, nil, 0)
	}
	head, route, refusal := m.head(c.Request(), parent)
	if refusal != nil {
		return httpcall.WriteReply(c, parent.Head.ID, refusal, nil, 0)
	}
	body, release, refusal := m.bodies.Read(c, route.MaxRequestBytes)
	if refusal != nil {
		return httpcall.WriteReply(c, head.ID, refusal, nil, 0)
	}
	defer release()
	return m.send(c, parent, head, route, body)
}

// head builds the head of a call made on behalf of the parent request.
func (m *Module) head(r *http.Request, parent *call.Running) (*call.Head, *config.Route, *call.Reply) {
	snapshot := m.config.Snapshot()
	if snapshot == nil {
		return nil, nil, call.Refuse(call.CodeStaleConfig, "the node has no configuration yet")
	}
	route := snapshot.Route(r.Host, r.Method, r.URL.Path)
	if route == nil {
		return nil, nil, call.Refuse(call.CodeNoRoute, "no route matches the call")
	}
	if !route.Allows(parent.Head.Organisation) {
		return nil, nil, call.Refuse(call.CodeForbidden, "the route is not open to the organisation")
	}
	header := r.Header.Clone()
	call.StripHeader(header)
	return &call.Head{
		ID:           parent.NextChildID(),
		Root:         parent.Head.Root,
		Organisation: parent.Head.Organisation,
		Route:        route.ID,
		Service:      route.Service,
		Importance:   parent.Head.Importance,
		Rank:         parent.Head.Rank,
		Timeout:      min(route.Deadline.Std(), parent.Deadline.Sub(m.clock.Now())),
		Idempotent:   route.Idempotent,
		Depth:        parent.Head.Depth + 1,
		Passed:       parent.Head.Passed,
		Method:       r.Method,
		Target:       r.URL.RequestURI(),
		Header:       call.HeaderFields(header),
	}, route, nil
}

// mergeContexts returns a context that ends when either of two ends.
func mergeContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
