package dispatch

import (
	"context"
	"io"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/meshcall"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/routing"
)

// try sends the call to one VM, reports the result to the picker and settles
// the lent retries.
func (d *dispatch) try(ctx context.Context, entry membership.Entry) (*call.Reply, io.ReadCloser) {
	head := d.head
	head.RetryBudget = d.lendRetries()
	reply, answer := d.sendRecorded(ctx, entry, &head)
	d.leafServices.observe(d.head.Service, reply)
	d.budget.Settle(head.RetryBudget, reply.RetriesUsed)
	return reply, answer
}

// sendRecorded sends the call and reports the result to the picker, also if it panics.
func (d *dispatch) sendRecorded(ctx context.Context, entry membership.Entry, head *call.Head) (reply *call.Reply, answer io.ReadCloser) {
	started := d.clock.Now()
	d.picker.Begin(d.attempt(), entry)
	defer func() {
		if reply == nil {
			reply = call.FailedInNode()
		}
		now := d.clock.Now()
		d.picker.Done(routing.Result{
			Entry: entry, Head: &d.head, Reply: reply, Latency: now.Sub(started),
			Bytes: routing.TransferredBytes(d.body, reply), Now: now,
		})
	}()
	return d.send(ctx, entry, head)
}

// send returns the VM's reply, or a reply that states the outcome if there was
// none. If the outcome is unknown, all lent retries count as used.
func (d *dispatch) send(ctx context.Context, entry membership.Entry, head *call.Head) (*call.Reply, io.ReadCloser) {
	if entry.VM == d.mesh.Self().VM {
		return d.local.Serve(ctx, head, d.body)
	}
	sendCtx, cancel := context.WithTimeout(ctx, head.Timeout)
	defer cancel()
	reply, answer, err := meshcall.Send(sendCtx, d.mesh, mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}, head, d.body)
	if err != nil {
		d.log.WithError(err).WithField("request_id", head.ID).Debug("no reply from the node; the call is sent again if a retry is allowed")
		if reply.Outcome == call.Unknown {
			reply.RetriesUsed = head.RetryBudget
		}
	}
	return reply, answer
}
