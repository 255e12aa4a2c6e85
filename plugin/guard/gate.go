package guard

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/waitqueue"
)

// gate is the wait queue in front of the upstream. It is safe for concurrent
// use.
type gate struct {
	module *Module
	queue  *waitqueue.Queue
	// suspects limits the requests that were running when an upstream crashed.
	suspects *suspects
	// tickScheduled is true while a timer for the next tick is pending.
	tickScheduled atomic.Bool
}

func newGate(m *Module, slots int) *gate {
	g := &gate{module: m, suspects: newSuspects(slots)}
	opts := admission.SlotsOptions(slots, m.MaxWait.Std())
	opts.Pacer = m.cold
	g.queue = waitqueue.NewQueue(opts, m.clock, g.scheduleTick)
	return g
}

// acquire waits until the request may run, or returns a refusal.
func (g *gate) acquire(ctx context.Context, head *call.Head) (*admission.Request, *call.Reply) {
	request := &admission.Request{
		Importance: head.Importance, Rank: head.Rank, Organisation: head.Organisation,
		Weight: 1, Deadline: g.module.deadline(ctx, head), Kind: head.Route,
	}
	action := g.queue.Wait(ctx, request)
	if action.Run {
		g.module.metrics.queueWait.Observe(request.Waited().Seconds())
		return request, nil
	}
	g.module.metrics.refused.WithLabelValues(action.Code.String()).Inc()
	refusal := call.Refuse(action.Code, "the request was not run because the upstream is overloaded")
	refusal.RetryAfter = g.retryAfter()
	return nil, refusal
}

// scheduleTick starts the timer for the next tick, unless it is pending.
func (g *gate) scheduleTick() {
	if g.tickScheduled.CompareAndSwap(false, true) {
		g.module.clock.AfterFunc(admission.TickInterval, g.tick)
	}
}

// tick ticks the queue and schedules the next tick while requests wait.
func (g *gate) tick() {
	g.tickScheduled.Store(false)
	if g.queue.Tick() {
		g.scheduleTick()
	}
}

// release frees the slot of a request.
func (g *gate) release(request *admission.Request, reply *call.Reply) {
	answered := reply.Outcome == call.Answered
	g.queue.Finish(admission.Completion{
		Request: request, Answered: answered,
		Overloaded: answered && reply.Status == http.StatusServiceUnavailable,
	})
}

func (g *gate) load() call.Load {
	state := g.queue.State()
	return call.Load{Running: state.Running, Queued: state.Queued, Limit: state.Limit}
}

// retryAfter returns a backoff for a refused caller: the estimated time to
// drain the queue, with jitter so that refused callers do not retry at once.
func (g *gate) retryAfter() time.Duration {
	state := g.queue.State()
	drain := time.Duration(float64(state.Service) * float64(state.Queued+state.Running) / float64(max(1, state.Limit)))
	if wait := g.module.cold.wait(state.Queued); wait > drain {
		drain = wait
	}
	return min(maxRetryAfter, time.Duration((0.5+rand.Float64())*float64(drain)))
}
