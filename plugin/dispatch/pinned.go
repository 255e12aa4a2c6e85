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
	// pinRetryTimeout is how long sending to the pinned VM is retried after its
	// connection was lost.
	pinRetryTimeout  = 1500 * time.Millisecond
	pinRetryInterval = 50 * time.Millisecond
	// handoverQueryInterval is the minimum time between two queries for the
	// answers that a stopped pin has handed over.
	handoverQueryInterval = 250 * time.Millisecond
)

// Pin implements Dispatcher.
func (m *Module) Pin(head *call.Head) *call.Reply {
	attempt := routing.Attempt{Head: head, Now: m.clock.Now(), Excluded: m.excluded(head)}
	entry, ok := m.picker.Pick(attempt, m.members.View().Service(head.Service))
	if !ok {
		return call.Refuse(call.CodeNoUpstream, "no VM takes work for the service")
	}
	return m.pinTo(head, entry)
}

// pinTo mints an ID under which only this VM may run the request.
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
	// resent means that the ID may have been sent before, by the caller or
	// through another node.
	resent bool
	// mayHaveRun means that the pinned node may have received the ID.
	mayHaveRun bool
	// handoverQueriedAt is the time of the last query to the nodes that a
	// stopped pin may have handed its answers to.
	handoverQueriedAt time.Time
}

// run pins the request to one VM after another until one accepts it. Another VM
// is picked only if the pinned one has closed the ID, so that its ledger never
// runs it, or cannot have received it.
func (d *pinnedDispatch) run(ctx context.Context) (*call.Reply, io.ReadCloser) {
	if d.resent {
		d.mayHaveRun = true
		return d.sendToPin(ctx)
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
		reply, answer := d.sendToPin(ctx)
		if reply.Outcome != call.Refused {
			return reply, answer
		}
		d.tried = append(d.tried, entry.VM)
		if entry, ok = d.pickRetry(ctx, reply); !ok {
			return reply, answer
		}
		d.head.Attempt++
	}
}

// sendToPin sends the request to its pin. A refusal that does not come from the
// pin's ledger becomes an unknown outcome if the request may have run.
func (d *pinnedDispatch) sendToPin(ctx context.Context) (*call.Reply, io.ReadCloser) {
	reply, answer := d.sendUntilFinal(ctx)
	if d.mayHaveRun && reply.Outcome == call.Refused && !reply.Final {
		unknown := *reply
		unknown.Outcome = call.Unknown
		return &unknown, answer
	}
	return reply, answer
}

// sendUntilFinal sends the request to its pin until the pin answers or is lost.
// Repeated sends are safe: the pin's ledger runs an ID once.
func (d *pinnedDispatch) sendUntilFinal(ctx context.Context) (*call.Reply, io.ReadCloser) {
	var lostAt time.Time
	for {
		d.head.Timeout = d.deadline.Sub(d.clock.Now())
		if d.head.Timeout <= 0 {
			return d.pinFailure(call.CodeDeadline, "the deadline passed"), nil
		}
		reply, answer := d.sendOnce(ctx)
		if reply.Code != call.CodeConnectionLost || reply.Final {
			return reply, answer
		}
		if !d.mayHaveRun {
			return reply, nil
		}
		now := d.clock.Now()
		if lostAt.IsZero() {
			lostAt = now
		}
		if now.Sub(lostAt) > pinRetryTimeout {
			return d.pinFailure(call.CodeConnectionLost, "the VM that may have run the request is out of reach"), nil
		}
		select {
		case <-ctx.Done():
			return d.pinFailure(call.CodeCancelled, "the request was cancelled"), nil
		case <-d.clock.After(pinRetryInterval):
		}
	}
}

// sendOnce sends the request to its pin once.
func (d *pinnedDispatch) sendOnce(ctx context.Context) (*call.Reply, io.ReadCloser) {
	entry, known := d.pinnedEntry()
	switch {
	case known && entry.Incarnation > d.head.Pin.Incarnation:
		reply := call.UnknownOutcome(call.CodePinLost, "the node that may have run the request was replaced; it will not be run again")
		reply.Final = true
		return d.queryHandover(ctx, reply)
	case !known || entry.State == membership.Gone:
		failure := d.pinFailure(call.CodeConnectionLost, "the VM of the request is not a member")
		if !d.mayHaveRun {
			return failure, nil
		}
		return d.queryHandover(ctx, failure)
	}
	reply, answer := d.try(ctx, entry)
	if reply.Outcome == call.Unknown {
		d.mayHaveRun = true
	}
	// The connection of a leaving pin can be lost because the pin has stopped,
	// before this node's membership table shows it.
	pinStopped := reply.Code == call.CodeConnectionLost && entry.State == membership.Leaving && d.mayHaveRun
	if reply.Code == call.CodePinLost || pinStopped {
		return d.queryHandover(ctx, reply)
	}
	return reply, answer
}

// queryHandover queries for the answer that a pin handed over before it
// stopped. It returns lostReply, the reply for a lost pin, only if every node
// that may have the answer was reached and none has it; until then it treats
// the loss as a lost connection.
func (d *pinnedDispatch) queryHandover(ctx context.Context, lostReply *call.Reply) (*call.Reply, io.ReadCloser) {
	d.mayHaveRun = true
	unreachable := call.UnknownOutcome(call.CodeConnectionLost, "a VM that may have the request's answer is out of reach")
	if d.clock.Since(d.handoverQueriedAt) < handoverQueryInterval {
		return unreachable, nil
	}
	d.handoverQueriedAt = d.clock.Now()
	reply, answer, reached := d.local.FindHandedOver(ctx, &d.head, d.body)
	switch {
	case reply != nil:
		return reply, answer
	case reached:
		return lostReply, nil
	}
	return unreachable, nil
}

// pinnedEntry returns the entry of the pinned VM. If this node has not sent to
// the service yet, looking up the service loads its VMs first.
func (d *pinnedDispatch) pinnedEntry() (membership.Entry, bool) {
	if entry, known := d.members.View().Get(d.head.Pin.VM); known {
		return entry, true
	}
	d.members.View().Service(d.head.Service)
	return d.members.View().Get(d.head.Pin.VM)
}

// pinFailure returns the reply to a request whose pin gave none.
func (d *pinnedDispatch) pinFailure(code call.Code, message string) *call.Reply {
	if d.mayHaveRun {
		return call.UnknownOutcome(code, message)
	}
	return call.Refuse(code, message)
}
