package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/mangomast/mangomast/attempt"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/meshcall"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/routing"
)

// defaultRetryAfter is the mean Retry-After of refusals that have none of their
// own.
const defaultRetryAfter = 300 * time.Millisecond

// dispatch is the state of one request over its attempts.
type dispatch struct {
	*Module
	req      *request
	body     []byte
	deadline time.Time
	tracker  attempt.Tracker
	// evacuated are the failure domains whose guards refused the request because of
	// an evacuation that this node does not know yet.
	evacuated []string
	// lastReply is the last reply with an answer of an upstream, and answer its
	// body.
	lastReply *call.Reply
	answer    io.ReadCloser
}

// dispatch sends the request to one VM after another until one answers or no
// further attempt is allowed.
func (m *Module) dispatch(ctx context.Context, req *request, body []byte) (*call.Reply, io.ReadCloser) {
	d := &dispatch{Module: m, req: req, body: body, deadline: req.started.Add(m.timeout(req))}
	d.tracker = attempt.Tracker{Idempotent: req.route.Idempotent, MaxSends: req.route.Attempts}
	ctx, cancel := context.WithDeadline(ctx, d.deadline)
	reply, answer := d.run(ctx)
	if answer == nil {
		cancel()
		return reply, nil
	}
	return reply, &meshcall.FinishingBody{ReadCloser: answer, Finish: cancel}
}

func (d *dispatch) run(ctx context.Context) (*call.Reply, io.ReadCloser) {
	if d.req.org != nil {
		d.retries.RecordFirst(d.req.head.Service)
	} else {
		d.guard.RecordCall(d.req.head.Service)
	}
	reply := d.noUpstream()
	for {
		entry, ok := d.pick()
		if !ok {
			break
		}
		var answer io.ReadCloser
		reply, answer = d.try(ctx, entry)
		if reply.Outcome == call.Answered {
			d.keepAnswer(reply, answer)
		}
		shouldRetry := d.tracker.ShouldRetry(reply, func() bool { return ctx.Err() == nil && d.retries.Retry(d.req.head.Service) })
		if !shouldRetry || ctx.Err() != nil {
			break
		}
	}
	if d.lastReply != nil {
		return d.lastReply, d.answer
	}
	return d.tracker.CallerReply(withRetryAfter(reply)), nil
}

// keepAnswer keeps an upstream's answer and drops an earlier one. Even if it is
// a failure, the caller gets it unless a later attempt is answered.
func (d *dispatch) keepAnswer(reply *call.Reply, answer io.ReadCloser) {
	if d.answer != nil {
		_ = d.answer.Close()
	}
	d.lastReply, d.answer = reply, answer
}

// withRetryAfter sets the Retry-After of a refusal that has none. It is unknown
// when a VM will accept requests again, so callers are told to retry soon, with
// jitter.
func withRetryAfter(reply *call.Reply) *call.Reply {
	if reply.Outcome == call.Refused && reply.RetryAfter == 0 {
		reply.RetryAfter = time.Duration((0.5 + rand.Float64()) * float64(defaultRetryAfter))
	}
	return reply
}

func (d *dispatch) pick() (membership.Entry, bool) {
	return d.picker.Pick(d.routingAttempt(), d.members.View().Service(d.req.head.Service))
}

func (d *dispatch) routingAttempt() routing.Attempt {
	return routing.Attempt{Head: &d.req.head, Tried: d.req.triedVMs, Now: d.clock.Now(), Excluded: d.excluded()}
}

// try sends the request to one VM.
func (d *dispatch) try(ctx context.Context, entry membership.Entry) (*call.Reply, io.ReadCloser) {
	head := d.req.head
	started := d.clock.Now()
	head.Timeout = d.deadline.Sub(started)
	head.Attempt = d.tracker.Sends()
	reply, answer := d.sendRecorded(ctx, entry, &head)
	d.req.triedVMs = append(d.req.triedVMs, entry.VM)
	d.req.attempts = append(d.req.attempts, fmt.Sprintf("%s %s %s %d %dms", entry.VM, reply.Outcome, reply.Code, reply.Status, d.clock.Since(started).Milliseconds()))
	d.recordCosts(reply)
	if reply.Code == call.CodeEvacuated {
		d.evacuated = append(d.evacuated, entry.FailureDomain)
	}
	return reply, answer
}

// sendRecorded sends the request and reports the result to the picker, also if it panics.
func (d *dispatch) sendRecorded(ctx context.Context, entry membership.Entry, head *call.Head) (reply *call.Reply, answer io.ReadCloser) {
	started := d.clock.Now()
	d.picker.Begin(d.routingAttempt(), entry)
	defer func() {
		if reply == nil {
			reply = call.FailedInNode()
		}
		now := d.clock.Now()
		d.picker.Done(routing.Result{
			Entry: entry, Head: head, Reply: reply, Latency: now.Sub(started),
			Bytes: routing.TransferredBytes(d.body, reply), Now: now,
		})
	}()
	return d.send(ctx, entry, head)
}

// recordCosts records the calls that one run of the service causes at other
// services.
func (d *dispatch) recordCosts(reply *call.Reply) {
	if reply.CalleeCosts == nil {
		return
	}
	d.retries.SetCalleeCosts(d.req.head.Service, reply.CalleeCosts)
	if d.req.org == nil {
		d.guard.RecordDownstreamCosts(d.req.head.Service, reply.CalleeCosts)
	}
}

// send returns the guard's reply, or a reply that states the outcome if there
// was none.
func (d *dispatch) send(ctx context.Context, entry membership.Entry, head *call.Head) (*call.Reply, io.ReadCloser) {
	if entry.VM == d.mesh.Self().VM {
		return d.guard.Serve(ctx, head, d.body)
	}
	reply, answer, err := meshcall.Send(ctx, d.mesh, mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}, head, d.body)
	if err != nil {
		d.log.WithError(err).WithField("request_id", head.ID).WithField("vm", entry.VM).Info("no reply from the VM's guard; trying another VM if a retry is allowed")
	}
	return reply, answer
}
