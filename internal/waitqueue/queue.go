// Package waitqueue blocks the goroutines of requests until an
// admission.Controller decides whether they run.
package waitqueue

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
)

// Queue is the wait queue in front of a controller. It is safe for concurrent
// use.
type Queue struct {
	clock clockwork.Clock
	// onWait is called for each request that is not decided immediately. It may
	// be nil.
	onWait func()

	mu         sync.Mutex
	controller *admission.Controller
	decisions  map[*admission.Request]chan admission.Action
}

// NewQueue returns an empty Queue. onWait, which may be nil, is called for each
// request that is not decided immediately, so that the owner can call Tick
// while requests wait.
func NewQueue(opts admission.Options, clock clockwork.Clock, onWait func()) *Queue {
	return &Queue{
		clock: clock, onWait: onWait,
		controller: admission.NewController(opts, clock.Now()),
		decisions:  map[*admission.Request]chan admission.Action{},
	}
}

// Wait blocks until the request may run, is refused, or the context ends. The
// caller must call Finish for a request that may run.
func (q *Queue) Wait(ctx context.Context, request *admission.Request) admission.Action {
	decision := q.submit(request)
	select {
	case action := <-decision:
		return action
	default:
	}
	if q.onWait != nil {
		q.onWait()
	}
	select {
	case action := <-decision:
		return action
	case <-ctx.Done():
		return q.cancel(ctx, request, decision)
	}
}

// submit passes the request to the controller and returns the channel of its decision.
func (q *Queue) submit(request *admission.Request) <-chan admission.Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	actions := q.controller.Submit(request, q.clock.Now())
	decision := make(chan admission.Action, 1)
	q.decisions[request] = decision
	q.deliver(actions)
	return decision
}

// cancel removes a request whose context has ended. If the controller has
// already started the request, its slot is freed.
func (q *Queue) cancel(ctx context.Context, request *admission.Request, decision <-chan admission.Action) admission.Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.decisions, request)
	cancelled := admission.Action{Request: request, Code: call.CodeCancelled}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		cancelled.Code = call.CodeDeadline
	}
	if q.controller.Cancel(request) {
		return cancelled
	}
	action := <-decision
	if action.Run {
		q.deliver(q.controller.Finish(admission.Completion{Request: request}, q.clock.Now()))
		return cancelled
	}
	return action
}

// deliver sends actions to the goroutines of the waiting requests. The caller
// holds q.mu.
func (q *Queue) deliver(actions []admission.Action) {
	for _, action := range actions {
		if decision, ok := q.decisions[action.Request]; ok {
			decision <- action
			delete(q.decisions, action.Request)
		}
	}
}

// Finish frees the slot of a request that ran.
func (q *Queue) Finish(done admission.Completion) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.controller.Finish(done, q.clock.Now()))
}

// Tick drops requests that waited too long. It reports whether others still
// wait.
func (q *Queue) Tick() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.controller.Tick(q.clock.Now()))
	return len(q.decisions) > 0
}

// State returns the controller's state.
func (q *Queue) State() admission.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.State(q.clock.Now())
}
