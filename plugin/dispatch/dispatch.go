// Package dispatch sends requests to VMs of their service: it picks VMs,
// retries within the retry budget, and distinguishes refusals from unknown
// outcomes. The ingress and the egress share it.
package dispatch

import (
	"context"
	"io"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/inbound"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
	"github.com/mangomast/mangomast/retry"
	"github.com/mangomast/mangomast/routing"
)

// ID is the module's ID.
const ID kernel.ID = "dispatch"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, membershipplugin.ID, inbound.ID, retryplugin.ID},
		New:   func() kernel.Module { return &Module{Routing: defaultRouting()} },
	})
}

// Dispatcher sends requests. It is safe for concurrent use. Dispatch blocks
// until the head of the answer has been received or the context ends. The body,
// which may be nil, must be closed; a read error means that it is incomplete.
type Dispatcher interface {
	Dispatch(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser)
	// Pin picks the only VM that may run the request and sets the head's ID and
	// Pin. It returns a refusal if no VM of the service accepts requests.
	Pin(head *call.Head) *call.Reply
}

// Module implements Dispatcher over the mesh.
type Module struct {
	// Routing configures how VMs are picked.
	Routing Routing `json:"routing"`

	clock        clockwork.Clock
	log          log.Interface
	mesh         *mesh.Mesh
	members      membership.Source
	config       config.Source
	local        *inbound.Module
	picker       routing.Picker
	retries      *retryplugin.Module
	leafServices leafServices
	signer       *ledger.Signer
}

var (
	_ kernel.Module    = (*Module)(nil)
	_ kernel.Validator = (*Module)(nil)
	_ Dispatcher       = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	m.Routing.validate(prefix+"/routing", findings)
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.mesh, &m.members, &m.config, &m.local, &m.retries); err != nil {
		return err
	}
	m.clock, m.log = ctx.Clock, ctx.Log
	m.signer = ledger.NewSigner(ctx.Node.FleetSecret)
	m.picker = m.Routing.picker(ctx.Node)
	kernel.Provide[Dispatcher](ctx, m)
	return nil
}

// Dispatch implements Dispatcher.
func (m *Module) Dispatch(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	if head.Attempt == 0 {
		m.retries.RecordFirst(head.Service)
	}
	d := &dispatch{
		Module: m, head: *head, body: body,
		deadline: m.clock.Now().Add(head.Timeout),
		budget:   retry.NewBudget(head.RetryBudget),
	}
	run := d.run
	if !head.Idempotent {
		pinned := &pinnedDispatch{dispatch: d, resent: !head.Pin.IsZero()}
		defer func() { head.ID, head.Root, head.Pin = d.head.ID, d.head.Root, d.head.Pin }()
		run = pinned.run
	}
	reply, answer := run(ctx)
	reply.RetriesUsed = d.budget.Close()
	if reply.Outcome == call.Refused && reply.RetryAfter == 0 {
		reply.RetryAfter = m.retries.Delay()
	}
	return reply, answer
}
