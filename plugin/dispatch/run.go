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

// maxMoves bounds the further VMs that a call goes to after VMs that cannot
// have run it. These moves reach no upstream and take no retry.
const maxMoves = 3

// dispatch is the state of one call over its tries.
type dispatch struct {
	*Module
	head     call.Head
	body     []byte
	deadline time.Time
	// budget is the part of the request's retries that this call holds.
	budget *retry.Budget
	tried  []string
	moves  int
	// ran is set once a try may have reached an upstream.
	ran bool
}

// run tries VMs until there is an answer or no try is left.
func (d *dispatch) run(ctx context.Context) (*call.Reply, io.ReadCloser) {
	entry, ok := d.pick()
	if !ok {
		return call.Refuse(call.CodeNoUpstream, "no VM takes work for the service"), nil
	}
	for {
		d.head.Timeout = d.deadline.Sub(d.clock.Now())
		if d.head.Timeout <= 0 {
			return d.truthful(call.Refuse(call.CodeDeadline, "the deadline passed before a VM took the request")), nil
		}
		reply, answer := d.try(ctx, entry)
		d.ran = d.ran || reply.Outcome != call.Refused
		d.tried = append(d.tried, entry.VM)
		if entry, ok = d.again(ctx, reply); !ok {
			return d.truthful(reply), answer
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
	return routing.Attempt{Head: &d.head, Tried: d.tried, Now: d.clock.Now()}
}

// truthful turns a refusal into an unknown outcome if an earlier try of the
// call may have run.
func (d *dispatch) truthful(reply *call.Reply) *call.Reply {
	if reply.Outcome == call.Refused && d.ran {
		reply.Outcome = call.Unknown
	}
	return reply
}

// again decides whether another VM is tried, picks it, and pays for the retry.
func (d *dispatch) again(ctx context.Context, reply *call.Reply) (membership.Entry, bool) {
	if ctx.Err() != nil || !retriable(reply, d.head.Idempotent) {
		return membership.Entry{}, false
	}
	entry, ok := d.pick()
	if !ok {
		return entry, false
	}
	if reachedNoUpstream(reply) && d.moves < maxMoves {
		d.moves++
		return entry, true
	}
	return entry, d.retries.Allow(retryplugin.Node, d.head.Service, d.budget)
}

// lend returns the retries that go along with a try. A service that makes no
// calls of its own has no use for any; otherwise one is kept back, so that a
// lost connection does not take all of them.
func (d *dispatch) lend() int {
	if d.retries.Unbounded || d.leaves.is(d.head.Service) {
		return 0
	}
	return d.budget.LendKeeping(1)
}
