package dispatch

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/routing"
)

// try sends the call to one VM and takes back the retries that it lent.
func (d *dispatch) try(ctx context.Context, entry membership.Entry) (*call.Reply, io.ReadCloser) {
	head := d.head
	head.RetryBudget = d.lend()
	started := d.clock.Now()
	d.picker.Begin(d.attempt(), entry)
	reply, answer := d.send(ctx, entry, &head)
	now := d.clock.Now()
	d.picker.Done(routing.Result{
		Entry: entry, Head: &d.head, Reply: reply, Latency: now.Sub(started),
		Bytes: len(d.body) + max(0, int(reply.Length)), Now: now,
	})
	d.leaves.observe(d.head.Service, reply)
	d.budget.Settle(head.RetryBudget, reply.RetriesUsed)
	return reply, answer
}

// send returns the VM's reply, or one that tells what became of the call. A
// call whose reply was lost has used all that it was lent.
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
		reply = call.Unsure(call.CodeInternal, "the reply cannot be decoded")
		reply.RetriesUsed = head.RetryBudget
		return reply, nil
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
