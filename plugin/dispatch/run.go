package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
	"github.com/mangomast/mangomast/retry"
	"github.com/mangomast/mangomast/routing"
)

// maxReroutes is the maximum number of further VMs that a call is sent to after
// VMs that cannot have run it. These attempts reach no upstream and use no
// retries.
const maxReroutes = 3

// dispatch is the state of one call over its attempts.
type dispatch struct {
	*Module
	head     call.Head
	body     []byte
	deadline time.Time
	// budget is the part of the request's retries held by this call.
	budget   *retry.Budget
	tried    []string
	reroutes int
	// possiblyRan is set once an attempt may have reached an upstream.
	possiblyRan bool
}

// run tries VMs until one answers or no further attempt is allowed.
func (d *dispatch) run(ctx context.Context) (*call.Reply, io.ReadCloser) {
	entry, ok := d.pick()
	if !ok {
		return call.Refuse(call.CodeNoUpstream, "no VM takes work for the service"), nil
	}
	for {
		d.head.Timeout = d.deadline.Sub(d.clock.Now())
		if d.head.Timeout <= 0 {
			return d.callerReply(call.Refuse(call.CodeDeadline, "the deadline passed before a VM took the request")), nil
		}
		reply, answer := d.try(ctx, entry)
		d.possiblyRan = d.possiblyRan || reply.Outcome != call.Refused
		d.tried = append(d.tried, entry.VM)
		if entry, ok = d.pickRetry(ctx, reply); !ok {
			return d.callerReply(reply), answer
		}
		if answer != nil {
			_ = answer.Close()
		}
		d.head.Attempt++
	}
}

func (d *dispatch) pick() (membership.Entry, bool) {
	return d.picker.Pick(d.attempt(), d.members.View().Service(d.head.Service))
}

func (d *dispatch) attempt() routing.Attempt {
	return routing.Attempt{Head: &d.head, Tried: d.tried, Now: d.clock.Now(), Excluded: d.excluded(&d.head)}
}

// excluded returns the function that reports the VMs outside the regions that the
// request's route and organisation are bound to, and nil if they are not bound.
func (m *Module) excluded(head *call.Head) func(membership.Entry) bool {
	snapshot := m.config.Snapshot()
	if snapshot == nil || !snapshot.BoundToRegions(head.Route, head.Organisation) {
		return nil
	}
	return func(entry membership.Entry) bool {
		return !snapshot.MayServe(head.Route, head.Organisation, entry.Region)
	}
}

// callerReply turns a refusal into an unknown outcome if an earlier attempt of
// the call may have run.
func (d *dispatch) callerReply(reply *call.Reply) *call.Reply {
	if reply.Outcome == call.Refused && d.possiblyRan {
		reply.Outcome = call.Unknown
	}
	return reply
}

// pickRetry picks another VM if the call may be retried. It charges the retry
// to the budget unless the last VM could not accept the call.
func (d *dispatch) pickRetry(ctx context.Context, reply *call.Reply) (membership.Entry, bool) {
	if ctx.Err() != nil || !retriable(reply, d.head.Idempotent) {
		return membership.Entry{}, false
	}
	entry, ok := d.pick()
	if !ok {
		return entry, false
	}
	if reachedNoUpstream(reply) && d.reroutes < maxReroutes {
		d.reroutes++
		return entry, true
	}
	return entry, d.retries.Allow(retryplugin.Node, d.head.Service, d.budget)
}

// lendRetries returns the number of retries lent to an attempt. A service that
// makes no calls of its own needs none. Otherwise one retry is kept back, so
// that a lost connection does not consume all of them.
func (d *dispatch) lendRetries() int {
	if d.retries.Unbounded || d.leafServices.contains(d.head.Service) {
		return 0
	}
	return d.budget.LendAllBut(1)
}
