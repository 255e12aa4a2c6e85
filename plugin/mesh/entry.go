package mesh

import (
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
)

// OwnEntry returns the membership entry that this node announces when it starts.
func OwnEntry(ctx *kernel.Context) membership.Entry {
	return membership.Entry{
		VM: ctx.Node.VM, Incarnation: ctx.Incarnation, Version: 1,
		FailureDomain: ctx.Node.FailureDomain, Region: ctx.Node.Region,
		MeshAddress:   ctx.Node.Advertise.Mesh,
		CallerAddress: ctx.Node.Advertise.Callers,
		AdminAddress:  ctx.Node.Advertise.Admin,
	}
}
