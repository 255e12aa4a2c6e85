// Package dispatch sends a request to a VM of its service: it picks VMs,
// tries again within the retry budget, and tells refusals from unknown
// outcomes. The ingress and the egress share it.
package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/inbound"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	"github.com/mangomast/mangomast/routing"
)

// ID is the module's ID.
const ID kernel.ID = "dispatch"

// maxUnsent bounds the VMs that are tried after a connection that was never
// made; these tries reach no upstream and take no retry budget.
const maxUnsent = 3

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, membershipplugin.ID, inbound.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Dispatcher sends requests. It is safe for concurrent use and blocks until
// the head of the answer is there or the context ends. The body, which may be
// nil, must be closed; a read error means that it did not arrive whole.
type Dispatcher interface {
	Dispatch(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser)
}

// Module implements Dispatcher over the mesh.
type Module struct {
	clock   clockwork.Clock
	log     log.Interface
	mesh    *mesh.Mesh
	members membership.Source
	local   *inbound.Module
	picker  routing.Picker
}

var (
	_ kernel.Module = (*Module)(nil)
	_ Dispatcher    = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.mesh, err = kernel.Require[*mesh.Mesh](ctx); err != nil {
		return err
	}
	if m.members, err = kernel.Require[membership.Source](ctx); err != nil {
		return err
	}
	if m.local, err = kernel.Require[*inbound.Module](ctx); err != nil {
		return err
	}
	m.clock, m.log = ctx.Clock, ctx.Log
	m.picker = &routing.Near{FailureDomain: ctx.Node.FailureDomain, Region: ctx.Node.Region}
	kernel.Provide[Dispatcher](ctx, m)
	return nil
}

// Dispatch implements Dispatcher.
func (m *Module) Dispatch(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	d := &dispatch{Module: m, head: *head, body: body, deadline: m.clock.Now().Add(head.Timeout), budget: head.RetryBudget}
	reply, answer := d.run(ctx)
	reply.RetriesUsed = head.RetryBudget - d.budget
	return reply, answer
}

// dispatch is the state of one request over its tries.
type dispatch struct {
	*Module
	head     call.Head
	body     []byte
	deadline time.Time
	// budget is the number of retries left for this call and those below it.
	budget int
	tried  []string
	unsent int
}

// run tries VMs until there is an answer or no try is left.
func (d *dispatch) run(ctx context.Context) (*call.Reply, io.ReadCloser) {
	last := call.Refuse(call.CodeNoUpstream, "no VM takes work for the service")
	for {
		attempt := routing.Attempt{Head: &d.head, Tried: d.tried, Now: d.clock.Now()}
		entry, ok := d.picker.Pick(attempt, d.members.View().Service(d.head.Service))
		if !ok {
			return last, nil
		}
		d.head.Timeout = d.deadline.Sub(d.clock.Now())
		if d.head.Timeout <= 0 {
			return d.outOfTime(last), nil
		}
		reply, answer := d.try(ctx, entry)
		d.budget -= reply.RetriesUsed
		if !d.again(ctx, reply) {
			return reply, answer
		}
		last = reply
		d.tried = append(d.tried, entry.VM)
		d.head.Attempt++
	}
}

func (d *dispatch) outOfTime(last *call.Reply) *call.Reply {
	if last.Outcome == call.Unknown {
		return last
	}
	return call.Refuse(call.CodeDeadline, "the deadline passed before a VM took the request")
}

// again decides whether another VM may be tried, and pays for it.
func (d *dispatch) again(ctx context.Context, reply *call.Reply) bool {
	if ctx.Err() != nil || !retriable(reply, d.head.Idempotent) {
		return false
	}
	if reply.Code == call.CodeConnectionLost && reply.Outcome == call.Refused && d.unsent < maxUnsent {
		d.unsent++
		return true
	}
	if d.budget <= 0 {
		return false
	}
	d.budget--
	return true
}

// retriable reports whether running the request again is allowed and of use.
func retriable(reply *call.Reply, idempotent bool) bool {
	switch reply.Code {
	case call.CodeOverloaded, call.CodeLeaving, call.CodeNoUpstream:
		return reply.Outcome == call.Refused
	case call.CodeConnectionLost, call.CodeUpstreamFailed:
		return reply.Outcome == call.Refused || idempotent
	}
	return false
}

// try sends the request to one VM. The retry budget travels along, so that a
// connection that is lost counts all of it as used.
func (d *dispatch) try(ctx context.Context, entry membership.Entry) (*call.Reply, io.ReadCloser) {
	head := d.head
	head.RetryBudget = d.budget
	started := d.clock.Now()
	reply, answer := d.send(ctx, entry, &head)
	now := d.clock.Now()
	d.picker.Done(routing.Result{VM: entry.VM, Reply: reply, Latency: now.Sub(started), Now: now})
	return reply, answer
}

func (d *dispatch) send(ctx context.Context, entry membership.Entry, head *call.Head) (*call.Reply, io.ReadCloser) {
	if entry.VM == d.mesh.Self().VM {
		return d.local.Serve(ctx, head, d.body)
	}
	rawHead, err := mesh.Encode(head)
	if err != nil {
		return call.Refuse(call.CodeInternal, "the call cannot be encoded"), nil
	}
	sendCtx, cancel := context.WithTimeout(ctx, head.Timeout)
	defer cancel()
	request := &mesh.Request{Kind: mesh.KindCall, Class: mesh.Calls, Head: rawHead, Body: d.body}
	resp, err := d.mesh.Do(sendCtx, mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}, request)
	if err != nil {
		return d.transportFailure(sendCtx, head, err), nil
	}
	reply := &call.Reply{}
	if err := mesh.Decode(resp.Head, reply); err != nil {
		_ = resp.Body.Close()
		return call.Unsure(call.CodeInternal, "the reply cannot be decoded"), nil
	}
	return reply, resp.Body
}

// transportFailure turns an error of the mesh into a reply.
func (d *dispatch) transportFailure(ctx context.Context, head *call.Head, err error) *call.Reply {
	d.log.WithError(err).WithField("request_id", head.ID).Debug("call was not answered")
	code := call.CodeConnectionLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = call.CodeDeadline
	case ctx.Err() != nil:
		code = call.CodeCancelled
	}
	var transport *mesh.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return call.Refuse(code, "the request did not reach a VM")
	}
	reply := call.Unsure(code, "the connection to the VM was lost")
	reply.RetriesUsed = head.RetryBudget
	return reply
}
