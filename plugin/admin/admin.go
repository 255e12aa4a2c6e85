// Package admin runs the admin HTTP listener, which serves metrics and the
// status of the node. It provides its *echo.Echo, on which other modules
// register their routes.
package admin

import (
	"context"
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/internal/httpserver"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/operator"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
)

// ID is the module's ID.
const ID kernel.ID = "admin"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{membershipplugin.ID, configplugin.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module serves the admin listener.
type Module struct {
	// Profiling serves /debug/pprof on the admin listener.
	Profiling bool `json:"profiling"`

	members membership.Source
	fleet   membership.Directory
	config  config.Source
	server  *httpserver.Server
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Starter     = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.members, &m.fleet, &m.config); err != nil {
		return err
	}
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(ctx.Registry, promhttp.HandlerOpts{})))
	e.GET(operator.PathStatus, m.serveStatus)
	if m.Profiling {
		e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
		e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	}
	m.server = httpserver.NewForListener(ctx, "admin", ctx.Node.Listen.Admin, e, intake.ServiceShare)
	kernel.Provide(ctx, e)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error { return m.server.Listen() }

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "serve", Run: m.server.Run}}
}

func (m *Module) serveStatus(c echo.Context) error {
	status := operator.Status{VM: m.members.Self().VM, Fresh: m.config.Fresh(), Accepted: m.config.Accepted()}
	if snapshot := m.config.Snapshot(); snapshot != nil {
		status.Revision, status.Stream = snapshot.Revision, snapshot.Stream
		status.Owned = snapshot.Owned() && status.Accepted >= snapshot.Owners.StreamRevision()
	}
	if c.QueryParam("members") != "no" {
		status.Members = m.listMembers(c.Request().Context())
	}
	return c.JSON(http.StatusOK, status)
}

// listMembers returns the members of the fleet as listed by the relays. If none
// answers, it returns this node's own membership view.
func (m *Module) listMembers(ctx context.Context) []membership.Entry {
	members, err := m.fleet.Members(ctx)
	if err != nil {
		return m.members.View().All()
	}
	return members
}
