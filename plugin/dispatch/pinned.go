package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/routing"
)

const (
	// settleTimeout bounds how long the pinned VM is asked again after a
	// connection was lost.
	settleTimeout = 1500 * time.Millisecond
	settlePause   = 50 * time.Millisecond
	// heirsPause is the least time between two questions for the answer of a
	// pin that stopped.
	heirsPause = 250 * time.Millisecond
)

// Pin implements Dispatcher.
func (m *Module) Pin(head *call.Head) *call.Reply {
	attempt := routing.Attempt{Head: head, Now: m.clock.Now()}
	entry, ok := m.picker.Pick(attempt, m.members.View().Service(head.Service))
	if !ok {
		return call.Refuse(call.CodeNoUpstream, "no VM takes work for the service")
	}
	return m.pinTo(head, entry)
}

// pinTo mints the ID under which the VM alone may run the request.
func (m *Module) pinTo(head *call.Head, entry membership.Entry) *call.Reply {
	pin := call.Pin{VM: entry.VM, Incarnation: entry.Incarnation}
	scope := ledger.Scope{Organisation: head.Organisation, Route: head.Route}
	id, err := m.signer.Mint(scope, pin, ledger.NewNonce(), m.clock.Now())
	if err != nil {
		return call.Refuse(call.CodeInternal, "no request id can be made")
	}
	head.ID, head.Pin = id, pin
	if head.Depth == 0 {
		head.Root = id
	}
	return nil
}

// pinnedDispatch is the state of one request that must run at most once.
type pinnedDispatch struct {
	*dispatch
	// resent means that someone else may have sent the ID before.
	resent bool
	// mayHaveRun means that the pinned node may have seen the ID.
	mayHaveRun bool
	// heirsAsked is when those were last asked that a stopped pin may have
	// handed its answers to.
	heirsAsked time.Time
}

// run pins the request to one VM after another until one takes it. Another VM
// is chosen only after the pinned one closed the ID, or cannot have seen it.
func (d *pinnedDispatch) run(ctx context.Context) (*call.Reply, io.ReadCloser) {
	if d.resent {
		d.mayHaveRun = true
		return d.settle(ctx)
	}
	entry, ok := d.pick()
	if !ok {
		return call.Refuse(call.CodeNoUpstream, "no VM takes work for the service"), nil
	}
	for {
		if refusal := d.pinTo(&d.head, entry); refusal != nil {
			return refusal, nil
		}
		d.mayHaveRun = false
		reply, answer := d.settle(ctx)
		if reply.Outcome != call.Refused {
			return reply, answer
		}
		d.tried = append(d.tried, entry.VM)
		if entry, ok = d.again(ctx, reply); !ok {
			return reply, answer
		}
		d.head.Attempt++
	}
}

// settle sends the request to its pin and tells a refusal that is not the
// pin's from an unknown outcome.
func (d *pinnedDispatch) settle(ctx context.Context) (*call.Reply, io.ReadCloser) {
	reply, answer := d.askUntilSettled(ctx)
	if d.mayHaveRun && reply.Outcome == call.Refused && !reply.Settled {
		unsure := *reply
		unsure.Outcome = call.Unknown
		return &unsure, answer
	}
	return reply, answer
}

// askUntilSettled sends the request to its pin until there is an answer from it, or
// the pin is lost. Sending again is safe: the pin's ledger runs an ID once.
func (d *pinnedDispatch) askUntilSettled(ctx context.Context) (*call.Reply, io.ReadCloser) {
	var lostAt time.Time
	for {
		d.head.Timeout = d.deadline.Sub(d.clock.Now())
		if d.head.Timeout <= 0 {
			return d.unsettled(call.CodeDeadline, "the deadline passed"), nil
		}
		reply, answer := d.ask(ctx)
		if reply.Code != call.CodeConnectionLost || reply.Settled {
			return reply, answer
		}
		if !d.mayHaveRun {
			return reply, nil
		}
		now := d.clock.Now()
		if lostAt.IsZero() {
			lostAt = now
		}
		if now.Sub(lostAt) > settleTimeout {
			return d.unsettled(call.CodeConnectionLost, "the VM that may have run the request is out of reach"), nil
		}
		select {
		case <-ctx.Done():
			return d.unsettled(call.CodeCancelled, "the request was cancelled"), nil
		case <-d.clock.After(settlePause):
		}
	}
}

// ask sends the request to its pin once.
func (d *pinnedDispatch) ask(ctx context.Context) (*call.Reply, io.ReadCloser) {
	entry, known := d.pinned()
	switch {
	case known && entry.Incarnation > d.head.Pin.Incarnation:
		reply := call.Unsure(call.CodePinLost, "the node that may have run the request was replaced; it will not be run again")
		reply.Settled = true
		return d.inherited(ctx, reply)
	case !known || entry.State == membership.Gone:
		lost := d.unsettled(call.CodeConnectionLost, "the VM of the request is not a member")
		if !d.mayHaveRun {
			return lost, nil
		}
		return d.inherited(ctx, lost)
	}
	reply, answer := d.try(ctx, entry)
	if reply.Outcome == call.Unknown {
		d.mayHaveRun = true
	}
	// A pin that was leaving may have stopped before this node hears of it.
	stopped := reply.Code == call.CodeConnectionLost && entry.State == membership.Leaving && d.mayHaveRun
	if reply.Code == call.CodePinLost || stopped {
		return d.inherited(ctx, reply)
	}
	return reply, answer
}

// inherited looks for the answer that a pin handed on before it stopped. The
// loss of the pin is final only if everyone who may have the answer was asked;
// until then the connection to them counts as lost.
func (d *pinnedDispatch) inherited(ctx context.Context, lost *call.Reply) (*call.Reply, io.ReadCloser) {
	d.mayHaveRun = true
	unreached := call.Unsure(call.CodeConnectionLost, "a VM that may have the request's answer is out of reach")
	if d.clock.Since(d.heirsAsked) < heirsPause {
		return unreached, nil
	}
	d.heirsAsked = d.clock.Now()
	reply, answer, reached := d.local.Inherited(ctx, &d.head, d.body)
	switch {
	case reply != nil:
		return reply, answer
	case reached:
		return lost, nil
	}
	return unreached, nil
}

// pinned returns the entry of the pinned VM. A node that has not sent to the
// service yet learns its VMs first.
func (d *pinnedDispatch) pinned() (membership.Entry, bool) {
	if entry, known := d.members.View().Get(d.head.Pin.VM); known {
		return entry, true
	}
	d.members.View().Service(d.head.Service)
	return d.members.View().Get(d.head.Pin.VM)
}

// unsettled is the reply of a request whose pin gave none.
func (d *pinnedDispatch) unsettled(code call.Code, message string) *call.Reply {
	if d.mayHaveRun {
		return call.Unsure(code, message)
	}
	return call.Refuse(code, message)
}
