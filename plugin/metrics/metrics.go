// Package metrics serves the node's Prometheus metrics on the admin address. It
// is for nodes that do not run the admin module.
package metrics

import (
	"context"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/internal/httpserver"
	"github.com/mangomast/mangomast/kernel"
)

// ID is the module's ID.
const ID kernel.ID = "metrics"

func init() {
	kernel.Register(kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Module{} }})
}

// Module serves the metrics listener.
type Module struct {
	server *httpserver.Server
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Starter     = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(ctx.Registry, promhttp.HandlerOpts{})))
	m.server = httpserver.NewForListener(ctx, "admin", ctx.Node.Listen.Admin, e, intake.ServiceShare)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error { return m.server.Listen() }

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "serve", Run: m.server.Run}}
}
