// Package waiting blocks the goroutines of requests until an
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

// Room is the wait queue in front of a controller. It is safe for concurrent
// use.
type Queue struct {
	clock clockwork.Clock
	// onWait is called for each request that is not decided at once. It may be
	// nil.
	onWait func()

	mu         sync.Mutex
	controller *admission.Controller
	outcomes   map[*admission.Request]chan admission.Action
}

// NewRoom returns an empty Room. onWait, which may be nil, is called for each
// request that is not decided at once; the owner uses it to call Tick while
// requests wait.
func NewQueue(opts admission.Options, clock clockwork.Clock, onWait func()) *Queue {
	return &Queue{
		clock: clock, onWait: onWait,
		controller: admission.NewController(opts, clock.Now()),
		outcomes:   map[*admission.Request]chan admission.Action{},
	}
}

// Enter blocks until the request may run, is refused, or the context ends. The
// caller must call Finish for a request that may run.
func (r *Queue) Wait(ctx context.Context, request *admission.Request) admission.Action {
	outcome := make(chan admission.Action, 1)
	r.mu.Lock()
	r.outcomes[request] = outcome
	r.deliver(r.controller.Arrive(request, r.clock.Now()))
	r.mu.Unlock()
	select {
	case action := <-outcome:
		return action
	default:
	}
	if r.onWait != nil {
		r.onWait()
	}
	select {
	case action := <-outcome:
		return action
	case <-ctx.Done():
		return r.cancel(ctx, request, outcome)
	}
}

// cancel removes a request whose context has ended. If the controller has
// already started the request, its slot is freed.
func (r *Queue) cancel(ctx context.Context, request *admission.Request, outcome <-chan admission.Action) admission.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outcomes, request)
	cancelled := admission.Action{Request: request, Code: call.CodeCancelled}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		cancelled.Code = call.CodeDeadline
	}
	if r.controller.Cancel(request) {
		return cancelled
	}
	action := <-outcome
	if action.Run {
		r.deliver(r.controller.Finish(admission.Completion{Request: request}, r.clock.Now()))
		return cancelled
	}
	return action
}

// deliver sends actions to the goroutines of the waiting requests. The caller
// holds r.mu.
func (r *Queue) deliver(actions []admission.Action) {
	for _, action := range actions {
		if outcome, ok := r.outcomes[action.Request]; ok {
			outcome <- action
			delete(r.outcomes, action.Request)
		}
	}
}

// Finish frees the slot of a request that ran.
func (r *Queue) Finish(done admission.Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.controller.Finish(done, r.clock.Now()))
}

// Tick drops requests that waited too long. It reports whether others still
// wait.
func (r *Queue) Tick() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.controller.Tick(r.clock.Now()))
	return len(r.outcomes) > 0
}

// State returns the controller's state.
func (r *Queue) State() admission.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controller.State(r.clock.Now())
}
