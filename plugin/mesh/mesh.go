// Package mesh runs the node's listener for other nodes and provides
// *mesh.Mesh to the other modules.
package mesh

import (
	"context"
	"net/http"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/internal/httpserver"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/mesh"
)

// ID is the module's ID.
const ID kernel.ID = "mesh"

func init() {
	kernel.Register(kernel.ModuleInfo{ID: ID, New: func() kernel.Module {
		return &Module{PingInterval: jsonc.Duration(mesh.DefaultPingInterval), PingTimeout: jsonc.Duration(mesh.DefaultPingTimeout)}
	}})
}

// Module runs the mesh and its HTTP listener.
type Module struct {
	// PingInterval is the interval at which connections are checked for activity
	// and inactive ones are pinged. A ping without a pong within PingTimeout
	// closes the link to the other node.
	PingInterval jsonc.Duration `json:"ping_interval"`
	PingTimeout  jsonc.Duration `json:"ping_timeout"`

	// SharedConnection sends bulk data on the connection used for calls; for
	// experiments only.
	SharedConnection bool `json:"shared_connection"`

	mesh   *mesh.Mesh
	server *httpserver.Server
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.Starter     = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ kernel.Drainer     = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.PingInterval <= 0 {
		findings.Addf(prefix+"/ping_interval", "must be above 0s")
	}
	if m.PingTimeout <= 0 {
		findings.Addf(prefix+"/ping_timeout", "must be above 0s")
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	self := mesh.Identity{
		VM:            ctx.Node.VM,
		Incarnation:   ctx.Incarnation,
		FailureDomain: ctx.Node.FailureDomain,
		Region:        ctx.Node.Region,
	}
	nodeMesh, err := mesh.New(mesh.Options{
		Self: self, Secret: ctx.Node.FleetSecret, Log: ctx.Log, Registerer: ctx.Registry,
		LocalIP:      ctx.Node.Listen.MeshIP(),
		PingInterval: m.PingInterval.Std(), PingTimeout: m.PingTimeout.Std(),
		SharedConnection: m.SharedConnection,
		OnAccept:         httpserver.MarkEstablished,
	})
	if err != nil {
		return err
	}
	m.mesh = nodeMesh
	mux := http.NewServeMux()
	mux.Handle(mesh.Path, nodeMesh)
	m.server = httpserver.NewForListener(ctx, "mesh", ctx.Node.Listen.Mesh, mux, intake.PeersShare)
	kernel.Provide(ctx, nodeMesh)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error { return m.server.Listen() }

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "serve", Run: m.serve}}
}

func (m *Module) serve(ctx context.Context) error {
	defer m.mesh.Close()
	return m.server.Run(ctx)
}

// Drain implements kernel.Drainer. It waits until all pending answers to other
// nodes are written.
func (m *Module) Drain(ctx context.Context) error { return m.mesh.Drain(ctx) }
