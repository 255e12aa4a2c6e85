package emulator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/attempt"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/retry"
	"github.com/mangomast/mangomast/routing"
)

// declineTime is how long an upstream takes to decline a request.
const declineTime = time.Millisecond

// vm is a node with its upstream.
type vm struct {
	*play
	entry      membership.Entry
	service    *Service
	speed      float64
	picker     routing.Picker
	throttles  *retry.Throttles
	controller *admission.Controller
	running    int
	ticking    bool
	waiting    map[*admission.Request]*trip
}

func (p *play) newVM(service *Service, number, place int) *vm {
	domain := p.plan.Domains[number%len(p.plan.Domains)]
	v := &vm{play: p, service: service, speed: 1, waiting: map[*admission.Request]*trip{}}
	if len(service.Speeds) > 0 {
		v.speed = service.Speeds[number%len(service.Speeds)]
	}
	v.entry = membership.Entry{
		VM: fmt.Sprintf("%s-%d", service.ID, number), FailureDomain: domain.ID, Region: domain.Region,
		Service: service.ID, State: membership.Ready, Slots: service.Slots,
	}
	v.controller = admission.NewController(admission.SlotsOptions(service.Slots, admission.SlotsMaxWait), p.now)
	o := routing.DefaultOptions()
	o.Self, o.Rand, o.Ramp = v.entry.VM, p.random.Float64, routing.UpstreamRamp
	o.Place = routing.Place{FailureDomain: domain.ID, Region: domain.Region}
	v.picker = routing.NewBalancer(o)
	fleet := func() float64 { return float64(max(1, len(p.vms))) }
	v.throttles = retry.NewThrottles(p.plan.Retries.Ratio,
		func() float64 { return p.plan.Retries.Reserve / fleet() },
		retry.EvenSequence(func() float64 { return float64(place) / fleet() }))
	return v
}

// request is one attempt of a caller, or a call of an upstream.
type request struct {
	kind     *Kind
	at       *vm
	deadline time.Time
	head     call.Head
	tried    []string
	course   attempt.Tracker
	done     func(*call.Reply)
}

// send begins a request at the VM; called is true for calls of its upstream.
// Done is called once, at the end.
func (v *vm) send(kind *Kind, deadline time.Time, called bool, done func(*call.Reply)) {
	r := &request{kind: kind, at: v, deadline: deadline, done: done}
	r.course = attempt.Tracker{Idempotent: kind.Idempotent, MaxSends: kind.Attempts}
	r.head = call.Head{Service: kind.Service, Route: kind.ID, Importance: kind.Importance}
	if called {
		r.head.Importance = call.UpstreamImportance
	} else {
		v.throttles.RecordFirst(kind.Service)
	}
	r.offer()
}

func (r *request) wanted() routing.Attempt {
	return routing.Attempt{Head: &r.head, Tried: r.tried, Now: r.at.now}
}

// offer sends the request to a VM.
func (r *request) offer() {
	v := r.at
	entry, ok := v.picker.Pick(r.wanted(), v.candidates[r.kind.Service])
	if !ok {
		r.done(r.course.CallerReply(call.Refuse(call.CodeNoUpstream, "no VM is left")))
		return
	}
	target := v.vms[entry.VM]
	t := &trip{request: r, target: target, started: v.now, delay: v.delay(v.entry, entry)}
	v.picker.Begin(r.wanted(), entry)
	v.after(t.delay, t.arrive)
}

// trip is a request on its way to one VM and back.
type trip struct {
	*request
	target  *vm
	started time.Time
	delay   time.Duration
	slot    *admission.Request
}

func (t *trip) arrive() {
	v := t.target
	t.slot = &admission.Request{
		Importance: t.head.Importance, Weight: 1, Deadline: t.deadline, Kind: t.kind.ID,
	}
	v.waiting[t.slot] = t
	v.carryOut(v.controller.Submit(t.slot, v.now))
}

// carryOut starts or refuses what the controller says, and has it looked after
// while requests wait.
func (v *vm) carryOut(actions []admission.Action) {
	for _, action := range actions {
		t := v.waiting[action.Request]
		delete(v.waiting, action.Request)
		if action.Run {
			t.run()
			continue
		}
		t.reply(call.Refuse(action.Code, "the upstream is overloaded"))
	}
	if len(v.waiting) > 0 && !v.ticking {
		v.ticking = true
		v.after(admission.TickInterval, func() {
			v.ticking = false
			v.carryOut(v.controller.Tick(v.now))
		})
	}
}

func (t *trip) run() {
	v := t.target
	if change := v.changeOf(v.service.ID); v.random.Float64() < change.Declines {
		v.after(declineTime, func() { t.finish(call.Refuse(call.CodeUpstreamFailed, "the upstream declined the request")) })
		return
	}
	v.running++
	v.after(v.workTime(t.kind), func() { t.callNext(0, 0) })
}

// callNext makes the next call of the run, or ends it.
func (t *trip) callNext(calls, times int) {
	for calls < len(t.kind.Calls) && times >= t.kind.Calls[calls].Times {
		calls, times = calls+1, 0
	}
	v := t.target
	if calls == len(t.kind.Calls) {
		v.running--
		t.finish(&call.Reply{Outcome: call.Answered, Status: http.StatusOK})
		return
	}
	kind := v.kinds[t.kind.Calls[calls].Kind]
	deadline := v.now.Add(kind.Deadline.Std())
	if t.deadline.Before(deadline) {
		deadline = t.deadline
	}
	v.send(kind, deadline, true, func(reply *call.Reply) {
		if !served(reply) {
			v.running--
			t.finish(&call.Reply{Outcome: call.Answered, Status: http.StatusInternalServerError})
			return
		}
		t.callNext(calls, times+1)
	})
}

// finish gives the slot back.
func (t *trip) finish(reply *call.Reply) {
	v := t.target
	actions := v.controller.Finish(admission.Completion{Request: t.slot, Answered: reply.Outcome == call.Answered}, v.now)
	t.reply(reply)
	v.carryOut(actions)
}

// reply brings the reply back to where the request entered.
func (t *trip) reply(reply *call.Reply) {
	state := t.target.controller.State(t.target.now)
	reply.Load = call.Load{Running: state.Running, Queued: state.Queued, Limit: state.Limit}
	t.target.after(t.delay, func() { t.replied(reply) })
}

func (t *trip) replied(reply *call.Reply) {
	v := t.at
	v.picker.Done(routing.Result{Entry: t.target.entry, Head: &t.head, Reply: reply, Latency: v.now.Sub(t.started), Now: v.now})
	t.tried = append(t.tried, t.target.entry.VM)
	inTime := v.now.Before(t.deadline)
	if t.course.ShouldRetry(reply, func() bool { return inTime && v.throttles.Retry(t.kind.Service) }) && inTime {
		t.offer()
		return
	}
	if !inTime {
		reply = call.UnknownOutcome(call.CodeDeadline, "the deadline has passed")
	}
	t.done(t.course.CallerReply(reply))
}

func served(reply *call.Reply) bool {
	return reply.Outcome == call.Answered && reply.Status == http.StatusOK
}

// workTime is how long the own work of a run takes.
func (v *vm) workTime(kind *Kind) time.Duration {
	const spread = 0.5
	factor := v.speed * (1 + spread*(2*v.random.Float64()-1))
	if v.now.Sub(v.begun) < v.service.Cold.Std() {
		factor *= max(1, v.service.ColdFactor)
	}
	if v.service.Knee > 0 && float64(v.running) > v.service.Knee*float64(v.service.Slots) {
		factor *= max(1, v.service.KneeFactor)
	}
	factor *= max(1, v.changeOf(v.service.ID).Slow)
	return time.Duration(factor * float64(kind.Work))
}
