// Package store provides the client of the platform's key-value store to the
// other modules.
package store

import (
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/store"
	"github.com/mangomast/mangomast/store/etcd"
)

// ID is the module's ID.
const ID kernel.ID = "store"

func init() {
	kernel.Register(kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Module{} }})
}

// Module provides store.Store.
type Module struct{}

var _ kernel.Module = (*Module)(nil)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	kernel.Provide[store.Store](ctx, etcd.New(etcd.Options{
		Endpoints: ctx.Node.Store.Endpoints,
		LocalIP:   ctx.Node.Listen.MeshIP(),
	}))
	return nil
}
