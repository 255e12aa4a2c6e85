package inbound

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/waitqueue"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/settings"
	"github.com/mangomast/mangomast/shedding"
)

const (
	// tickInterval is the interval between ticks of the gate; a new level is
	// computed every ticksPerLevel ticks.
	tickInterval  = 20 * time.Millisecond
	ticksPerLevel = 3
)

// gate admits requests to the local upstream. It is safe for concurrent use.
type gate interface {
	// Acquire waits until the request may run. It returns a slot that must be
	// released, or a refusal.
	Acquire(ctx context.Context, head *call.Head) (slot, *call.Reply)
	// Load returns the gate's state.
	Load() call.Load
	// Level returns the shares of requests that the gate accepts; ok is false
	// if the gate does not compute them.
	Level() (level call.Level, ok bool)
	// Tick is called at every tickInterval.
	Tick()
}

// slot is the right to run one request.
type slot interface {
	// Release frees the slot. refused is true if a call made on behalf of the
	// request got no answer; the reply then does not count as overload of the
	// local upstream.
	Release(reply *call.Reply, refused bool)
}

// newGate returns a gate for the upstream.
func (m *Module) newGate(upstream settings.Upstream) gate {
	queue := queuePerSlot * upstream.Slots
	if !m.Shedding {
		return fifoGate{admission.NewSlots(upstream.Slots, queue)}
	}
	opts := admission.Options{Slots: upstream.Slots, Queue: queue, MaxWait: m.MaxWait.Std()}
	return &sheddingGate{
		module:    m,
		waitQueue: waitqueue.NewQueue(opts, m.clock, nil),
		publisher: shedding.NewPublisher(shedding.PublisherOptions{
			Service: upstream.Service, VM: m.vm, QueueShare: m.QueueShare, Growth: m.Growth,
		}),
	}
}

// load returns the state of the current gate.
func (m *Module) load() call.Load { return m.localUpstream.Load().gate.Load() }

// tickGate ticks the current gate periodically.
func (m *Module) tickGate(ctx context.Context) error {
	return kernel.Every(ctx, m.clock, tickInterval, func(context.Context) { m.localUpstream.Load().gate.Tick() })
}

// sheddingGate drives an admission.Controller and a shedding.Publisher.
type sheddingGate struct {
	module    *Module
	waitQueue *waitqueue.Queue

	mu         sync.Mutex
	publisher  *shedding.Publisher
	ticks      int
	lastUpdate time.Time
}

// Acquire implements gate.
func (g *sheddingGate) Acquire(ctx context.Context, head *call.Head) (slot, *call.Reply) {
	request := &admission.Request{
		Importance: head.Importance, Rank: head.Rank, Organisation: head.Organisation,
		Weight: organisationWeight(g.module.config.Snapshot(), head.Organisation), Deadline: g.module.clock.Now().Add(head.Timeout),
	}
	g.recordArrival(request, head)
	action := g.waitQueue.Wait(ctx, request)
	if !action.Run {
		g.module.metrics.countRefused(head, action.Code)
		return nil, call.Refuse(action.Code, "the request was not run because the upstream is overloaded")
	}
	g.module.metrics.observeWait(head, request.Waited())
	return &sheddingSlot{gate: g, request: request}, nil
}

func (g *sheddingGate) recordArrival(request *admission.Request, head *call.Head) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.publisher.RecordArrival(request.Importance, request.Organisation, request.Weight, head.Passed)
}

// Load implements gate.
func (g *sheddingGate) Load() call.Load {
	state := g.waitQueue.State()
	return call.Load{Running: state.Running, Queued: state.Queued, Limit: state.Limit}
}

// Level implements gate.
func (g *sheddingGate) Level() (call.Level, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.publisher.Level(), true
}

// Tick implements gate.
func (g *sheddingGate) Tick() {
	g.waitQueue.Tick()
	state := g.waitQueue.State()
	// During warm-up the limit does not reflect the upstream's capacity.
	state.Limit = state.Expected
	g.mu.Lock()
	defer g.mu.Unlock()
	g.publisher.Observe(state)
	g.ticks++
	if g.ticks%ticksPerLevel != 0 {
		return
	}
	now := g.module.clock.Now()
	if !g.lastUpdate.IsZero() {
		g.publisher.Update(now.Sub(g.lastUpdate), state)
	}
	g.lastUpdate = now
}

// sheddingSlot is a slot of a sheddingGate.
type sheddingSlot struct {
	gate    *sheddingGate
	request *admission.Request
}

// Release implements slot.
func (s *sheddingSlot) Release(reply *call.Reply, refused bool) {
	answered := reply.Outcome == call.Answered
	busy := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests
	done := admission.Completion{
		Request:    s.request,
		Answered:   answered,
		Overloaded: !refused && (reply.Code == call.CodeUpstreamFailed || (answered && busy)),
	}
	s.gate.waitQueue.Finish(done)
}

// organisationWeight returns the organisation's weight; 1 if it is not
// configured.
func organisationWeight(snapshot *config.Snapshot, organisation string) float64 {
	if snapshot == nil {
		return 1
	}
	org := snapshot.Organisation(organisation)
	if org == nil || org.Weight <= 0 {
		return 1
	}
	return org.Weight
}

// fifoGate admits requests in order of arrival up to the upstream's slots.
type fifoGate struct {
	*admission.Slots
}

// Acquire implements gate.
func (g fifoGate) Acquire(ctx context.Context, head *call.Head) (slot, *call.Reply) {
	if refusal := g.Slots.Acquire(ctx, head); refusal != nil {
		return nil, refusal
	}
	return fifoSlot(g), nil
}

// Level implements gate.
func (fifoGate) Level() (call.Level, bool) { return call.Level{}, false }

// Tick implements gate.
func (fifoGate) Tick() {}

// fifoSlot is a slot of a fifoGate.
type fifoSlot fifoGate

// Release implements slot.
func (s fifoSlot) Release(*call.Reply, bool) { s.Slots.Release() }
