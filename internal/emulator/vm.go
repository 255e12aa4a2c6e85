package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/attempt"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/lineage"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/retry"
	"github.com/mangomast/mangomast/routing"
)

// declineLatency is the time that an upstream takes to decline a request.
const declineLatency = time.Millisecond

// vm is a simulated node with its upstream.
type vm struct {
	*simulation
	entry         membership.Entry
	service       *Service
	workFactor    float64
	picker        routing.Picker
	throttles     *retry.Throttles
	controller    *admission.Controller
	running       int
	tickScheduled bool
	waiting       map[*admission.Request]*roundTrip
}

// newVM returns a VM. number is its index within the service, fleetIndex its
// index within the fleet.
func (s *simulation) newVM(service *Service, number, fleetIndex int) *vm {
	domain := s.plan.Domains[number%len(s.plan.Domains)]
	v := &vm{simulation: s, service: service, workFactor: 1, waiting: map[*admission.Request]*roundTrip{}}
	if len(service.Speeds) > 0 {
		v.workFactor = service.Speeds[number%len(service.Speeds)]
	}
	v.entry = membership.Entry{
		VM: fmt.Sprintf("%s-%d", service.ID, number), FailureDomain: domain.ID, Region: domain.Region,
		Service: service.ID, State: membership.Ready, Slots: service.Slots,
	}
	v.controller = admission.NewController(admission.SlotsOptions(service.Slots, admission.SlotsMaxWait), s.now)
	opts := routing.DefaultOptions()
	opts.Self, opts.Rand, opts.Ramp = v.entry.VM, s.random.Float64, routing.UpstreamRamp
	opts.Place = routing.Place{FailureDomain: domain.ID, Region: domain.Region}
	v.picker = routing.NewBalancer(opts)
	fleetSize := func() float64 { return float64(max(1, len(s.vmsByName))) }
	v.throttles = retry.NewThrottles(s.plan.RetryBudget.Ratio,
		func() float64 { return s.plan.RetryBudget.Reserve / fleetSize() },
		retry.EvenSequence(func() float64 { return float64(fleetIndex) / fleetSize() }))
	return v
}

// request is one request sent by a caller, or a call made by an upstream.
type request struct {
	kind     *Kind
	entryVM  *vm
	deadline time.Time
	head     call.Head
	tried    []string
	tracker  attempt.Tracker
	done     func(*call.Reply)
}

// send starts a request that enters the fleet at this VM. parent is the request
// that makes it, or nil for a caller's request. done is called once, with the
// final reply.
func (v *vm) send(kind *Kind, deadline time.Time, parent *call.Head, done func(*call.Reply)) {
	r := &request{kind: kind, entryVM: v, deadline: deadline, done: done}
	r.tracker = attempt.Tracker{Idempotent: kind.Idempotent, MaxSends: kind.Attempts}
	r.head = call.Head{Service: kind.Service, Route: kind.ID}
	switch {
	case parent == nil:
		r.head.ID, r.head.Importance = strconv.FormatUint(v.random.Uint64(), 16), lineage.CallerImportance(kind.Importance)
		v.throttles.RecordFirst(kind.Service)
	case v.plan.Unrelated:
		r.head.Importance = call.UpstreamImportance
	default:
		inherited := lineage.ParentOf(parent)
		r.head.Importance, r.head.Rank = lineage.CallImportance(inherited), inherited.Rank
	}
	r.dispatch()
}

func (r *request) routingAttempt() routing.Attempt {
	return routing.Attempt{Head: &r.head, Tried: r.tried, Now: r.entryVM.now}
}

// dispatch picks a VM and sends the request to it.
func (r *request) dispatch() {
	v := r.entryVM
	entry, ok := v.picker.Pick(r.routingAttempt(), v.candidates[r.kind.Service])
	if !ok {
		r.done(r.tracker.CallerReply(call.Refuse(call.CodeNoUpstream, "no VM is left")))
		return
	}
	target := v.vmsByName[entry.VM]
	t := &roundTrip{request: r, target: target, started: v.now, delay: v.delay(v.entry, entry)}
	v.picker.Begin(r.routingAttempt(), entry)
	v.schedule(t.delay, t.arrive)
}

// roundTrip is one attempt of a request: it is sent to one VM, admitted or
// refused there, and the reply is sent back.
type roundTrip struct {
	*request
	target           *vm
	started          time.Time
	delay            time.Duration
	admissionRequest *admission.Request
}

func (t *roundTrip) arrive() {
	v := t.target
	t.admissionRequest = &admission.Request{
		Importance: t.head.Importance, Rank: t.head.Rank, Weight: 1, Deadline: t.deadline, Kind: t.kind.ID,
	}
	v.waiting[t.admissionRequest] = t
	v.applyActions(v.controller.Submit(t.admissionRequest, v.now))
}

// applyActions runs or refuses requests as the controller decided, and calls
// Tick periodically while requests wait.
func (v *vm) applyActions(actions []admission.Action) {
	for _, action := range actions {
		t := v.waiting[action.Request]
		delete(v.waiting, action.Request)
		if action.Run {
			t.run()
			continue
		}
		t.reply(call.Refuse(action.Code, "the upstream is overloaded"))
	}
	if len(v.waiting) > 0 && !v.tickScheduled {
		v.tickScheduled = true
		v.schedule(admission.TickInterval, func() {
			v.tickScheduled = false
			v.applyActions(v.controller.Tick(v.now))
		})
	}
}

func (t *roundTrip) run() {
	v := t.target
	if change := v.activeChange(v.service.ID); v.random.Float64() < change.Declines {
		v.schedule(declineLatency, func() { t.finish(call.Refuse(call.CodeUpstreamFailed, "the upstream declined the request")) })
		return
	}
	v.running++
	v.schedule(v.workTime(t.kind), func() { t.callNext(0, 0) })
}

// callNext makes the next call of the run, or ends the run after the last one.
// repeated counts the calls already made for the entry callIndex of Calls.
func (t *roundTrip) callNext(callIndex, repeated int) {
	for callIndex < len(t.kind.Calls) && repeated >= t.kind.Calls[callIndex].Times {
		callIndex, repeated = callIndex+1, 0
	}
	v := t.target
	if callIndex == len(t.kind.Calls) {
		v.running--
		t.finish(&call.Reply{Outcome: call.Answered, Status: http.StatusOK})
		return
	}
	kind := v.kinds[t.kind.Calls[callIndex].Kind]
	deadline := v.now.Add(kind.Deadline.Std())
	if t.deadline.Before(deadline) {
		deadline = t.deadline
	}
	v.send(kind, deadline, &t.head, func(reply *call.Reply) {
		if !served(reply) {
			v.running--
			t.finish(&call.Reply{Outcome: call.Answered, Status: http.StatusInternalServerError})
			return
		}
		t.callNext(callIndex, repeated+1)
	})
}

// finish releases the slot and sends the reply.
func (t *roundTrip) finish(reply *call.Reply) {
	v := t.target
	actions := v.controller.Finish(admission.Completion{Request: t.admissionRequest, Answered: reply.Outcome == call.Answered}, v.now)
	t.reply(reply)
	v.applyActions(actions)
}

// reply returns the reply to the VM where the request entered.
func (t *roundTrip) reply(reply *call.Reply) {
	state := t.target.controller.State(t.target.now)
	reply.Load = call.Load{Running: state.Running, Queued: state.Queued, Limit: state.Limit}
	t.target.schedule(t.delay, func() { t.handleReply(reply) })
}

// handleReply retries the request or ends it.
func (t *roundTrip) handleReply(reply *call.Reply) {
	v := t.entryVM
	v.picker.Done(routing.Result{Entry: t.target.entry, Head: &t.head, Reply: reply, Latency: v.now.Sub(t.started), Now: v.now})
	t.tried = append(t.tried, t.target.entry.VM)
	inTime := v.now.Before(t.deadline)
	if t.tracker.ShouldRetry(reply, func() bool { return inTime && v.throttles.Retry(t.kind.Service) }) && inTime {
		t.dispatch()
		return
	}
	if !inTime {
		reply = call.UnknownOutcome(call.CodeDeadline, "the deadline has passed")
	}
	t.done(t.tracker.CallerReply(reply))
}

func served(reply *call.Reply) bool {
	return reply.Outcome == call.Answered && reply.Status == http.StatusOK
}

// workTime returns the duration of a run's own work, without its calls.
func (v *vm) workTime(kind *Kind) time.Duration {
	const maxDeviation = 0.5
	factor := v.workFactor * (1 + maxDeviation*(2*v.random.Float64()-1))
	if v.now.Sub(v.startTime) < v.service.Cold.Std() {
		factor *= max(1, v.service.ColdFactor)
	}
	if v.service.Knee > 0 && float64(v.running) > v.service.Knee*float64(v.service.Slots) {
		factor *= max(1, v.service.KneeFactor)
	}
	factor *= max(1, v.activeChange(v.service.ID).Slow)
	return time.Duration(factor * float64(kind.Work))
}
