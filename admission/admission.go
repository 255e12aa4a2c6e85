// Package admission decides which requests run on the local upstream, which
// wait and which are refused. Controller and Limit use no goroutine, socket,
// clock or random source: callers pass in the time and carry out the returned
// actions.
package admission

import (
	"math"
	"time"

	"github.com/mangomast/mangomast/call"
)

// Request is one request submitted to a Controller.
type Request struct {
	// Importance and Rank order requests: those of the lowest importance are
	// shed first, and among them those of the lowest rank. Rank depends on the
	// user of the request.
	Importance uint8
	Rank       uint16
	// Organisation shares the upstream with others of the same importance in
	// proportion to Weight, which is above 0.
	Organisation string
	Weight       float64
	// Deadline is the time after which the caller no longer needs the answer.
	Deadline time.Time
	// Kind groups requests of similar duration. The latency of a kind is used
	// to predict whether a request of that kind can end before its deadline.
	Kind string

	arrived  time.Time
	started  time.Time
	sequence uint64
}

// Waited returns the time that the request spent in the queue. It is valid
// once the request runs.
func (r *Request) Waited() time.Duration { return r.started.Sub(r.arrived) }

// Action is the decision on a request.
type Action struct {
	Request *Request
	// Run is true if the request must run now. Otherwise it is refused with
	// Code and must not run.
	Run  bool
	Code call.Code
}

// Options are the inputs of NewController.
type Options struct {
	// Slots is the upper bound of the concurrency limit, at least 1.
	Slots int
	// Queue is the maximum number of waiting requests; a negative number counts as 0.
	Queue int
	// MaxWait is the maximum time in the queue. If the mean service time is
	// longer, requests may wait for that time instead. During warm-up either is
	// multiplied by coldWaitFactor.
	MaxWait time.Duration
	Limit   LimitOptions
	// Pacer, if set, bounds the rate at which requests start.
	Pacer Pacer
}

// Pacer bounds the rate at which requests start.
type Pacer interface {
	// Admit reports whether the request may start now. If not, it is asked again at
	// the next Submit, Finish or Tick.
	Admit(r *Request, now time.Time) bool
	// Done is called once for each admitted request, when it has ended.
	Done(r *Request)
	// Rate returns the requests a second that it admits at present; 0 if it does not
	// hold requests back.
	Rate(now time.Time) float64
}

const (
	// TickInterval is the time between two calls of Tick while requests wait.
	TickInterval = 25 * time.Millisecond
	// SlotsMaxWait is the default MaxWait for upstreams whose slots are known,
	// near an eighth of the usual latency objective of 1.5 s (190 ms).
	SlotsMaxWait = 250 * time.Millisecond
	// queuePerSlot is the maximum queue length per slot for such upstreams.
	queuePerSlot = 4
)

// SlotsOptions returns the options for an upstream whose slots are its actual
// concurrency, so that no limit has to be learned.
func SlotsOptions(slots int, maxWait time.Duration) Options {
	queue := math.MaxInt
	if slots <= math.MaxInt/queuePerSlot {
		queue = queuePerSlot * slots
	}
	return Options{Slots: slots, Queue: queue, MaxWait: maxWait, Limit: LimitOptions{Fixed: true}}
}

// Controller admits requests to one upstream. It is not safe for concurrent
// use.
type Controller struct {
	opts    Options
	limit   *Limit
	queue   queue
	running map[*Request]bool
	// dropped counts requests refused because the queue was full or because
	// they had waited too long.
	dropped int
	// serviceEstimate is the service time of all requests, kindEstimates that
	// of each kind.
	serviceEstimate estimate
	kindEstimates   map[string]*estimate
	// queueEmptyAt is when a submitted request last found the queue empty.
	queueEmptyAt time.Time
	sequence     uint64
	// warming is true from the start until the limit is no longer cold and the
	// queue has drained, for at most maxWarmup after lastCold, the last time at
	// which the limit was cold.
	warming  bool
	lastCold time.Time
}

// NewController returns a controller for an upstream that has just started.
func NewController(opts Options, now time.Time) *Controller {
	opts.Slots, opts.Queue = max(1, opts.Slots), max(0, opts.Queue)
	return &Controller{
		opts: opts, limit: NewLimit(opts.Slots, opts.Limit, now), queue: newQueue(),
		running: map[*Request]bool{}, kindEstimates: map[string]*estimate{}, queueEmptyAt: now, warming: true, lastCold: now,
	}
}

// overloadAfter is how long the queue must have been non-empty before requests
// are ordered by rank and newest first.
const overloadAfter = 50 * time.Millisecond

const (
	// coldWaitFactor multiplies the maximum queue time while the upstream warms
	// up.
	coldWaitFactor = 5
	// maxWarmup bounds the warm-up after the limit stopped being cold.
	maxWarmup = 1 * time.Second
)

// Submit enqueues a request and returns the actions that follow, which may
// concern other requests too. If none concerns r, then r waits.
func (c *Controller) Submit(r *Request, now time.Time) []Action {
	c.sequence++
	r.sequence = c.sequence
	r.arrived = now
	if c.queue.len() == 0 {
		c.queueEmptyAt = now
	}
	c.queue.push(r)
	actions := c.startQueued(nil, now)
	if c.queue.len() > c.queueCapacity(now) {
		c.dropped++
		actions = append(actions, Action{Request: c.queue.evict(), Code: call.CodeOverloaded})
	}
	return actions
}

// Cancel removes a waiting request. It returns false if the request is not in
// the queue because an action for it was already returned.
func (c *Controller) Cancel(r *Request) bool { return c.queue.remove(r) }

// Completion is the end of a request that ran.
type Completion struct {
	Request *Request
	// Answered is false if the upstream gave no complete answer.
	Answered bool
	// Overloaded is true if the outcome indicates that the upstream is
	// overloaded.
	Overloaded bool
}

// Finish frees the slot of a request, records its latency and returns the
// actions that follow.
func (c *Controller) Finish(done Completion, now time.Time) []Action {
	delete(c.running, done.Request)
	if c.opts.Pacer != nil {
		c.opts.Pacer.Done(done.Request)
	}
	latency := now.Sub(done.Request.started)
	if done.Answered {
		c.serviceEstimate.add(latency)
		c.estimateFor(done.Request).add(latency)
		c.estimateFor(done.Request).refreshedAt = now
	}
	c.limit.RecordFinished(latency, done.Overloaded)
	return c.startQueued(nil, now)
}

// Tick drops requests that waited too long and adjusts the limit. It must be
// called every few tens of milliseconds.
func (c *Controller) Tick(now time.Time) []Action {
	var actions []Action
	for _, r := range c.queue.expired(now, now.Add(-c.maxWait())) {
		c.dropped++
		actions = append(actions, Action{Request: r, Code: call.CodeOverloaded})
	}
	c.limit.Tick(now)
	c.updateWarmup(now)
	c.queue.pruneTags()
	return c.startQueued(actions, now)
}

// updateWarmup ends the warm-up, and with it the longer queue times, once the
// limit is no longer cold and the queue has drained or maxWarmup has passed.
func (c *Controller) updateWarmup(now time.Time) {
	if c.limit.Cold() {
		c.lastCold = now
		return
	}
	c.warming = c.warming && c.queue.len() > 0 && now.Sub(c.lastCold) < maxWarmup
}

// queueCapacity returns how many requests may wait: as many as are expected to
// start within maxWait, at least expectedLimit and at most Options.Queue. While the
// pacer holds requests back, it is the number that it admits within maxWait.
func (c *Controller) queueCapacity(now time.Time) int {
	if rate := c.pacedRate(now); rate > 0 {
		return min(c.opts.Queue, max(1, toInt(rate*c.maxWait().Seconds())))
	}
	if c.serviceEstimate.mean == 0 {
		return c.opts.Queue
	}
	limit := c.expectedLimit()
	served := float64(limit) * float64(c.maxWait()) / float64(c.serviceEstimate.mean)
	return min(c.opts.Queue, max(limit, toInt(served)))
}

// pacedRate returns the requests a second that the pacer admits; 0 if it does not
// hold requests back.
func (c *Controller) pacedRate(now time.Time) float64 {
	if c.opts.Pacer == nil {
		return 0
	}
	return c.opts.Pacer.Rate(now)
}

// concurrency returns the number of requests that may run: the limit, or those that
// run at once at the pacer's rate, so that others send no more.
func (c *Controller) concurrency(now time.Time) int {
	rate := c.pacedRate(now)
	if rate <= 0 {
		return c.limit.Value()
	}
	return max(1, min(c.limit.Value(), toInt(math.Ceil(rate*c.serviceEstimate.mean.Seconds()))))
}

// expectedLimit returns the number of slots during warm-up, as the limit is
// expected to reach it, and the current limit afterwards.
func (c *Controller) expectedLimit() int {
	if c.warming {
		return c.opts.Slots
	}
	return c.limit.Value()
}

// maxWait returns the maximum time in the queue. It is longer during warm-up,
// as the limit doubles while requests wait.
func (c *Controller) maxWait() time.Duration {
	wait := max(c.opts.MaxWait, c.serviceEstimate.mean)
	if c.warming {
		return coldWaitFactor * wait
	}
	return wait
}

// startQueued starts waiting requests while the limit allows it. It refuses
// those that are not expected to end before their deadline.
func (c *Controller) startQueued(actions []Action, now time.Time) []Action {
	overloaded := !c.warming && now.Sub(c.queueEmptyAt) > overloadAfter
	for len(c.running) < c.limit.Value() && c.queue.len() > 0 {
		r := c.queue.pop(overloaded)
		if e := c.estimateFor(r); now.Add(e.upperBound()).After(r.Deadline) && !e.allowProbe(now) {
			actions = append(actions, Action{Request: r, Code: call.CodeDeadline})
			continue
		}
		if c.opts.Pacer != nil && !c.opts.Pacer.Admit(r, now) {
			c.queue.push(r)
			break
		}
		c.running[r] = true
		r.started = now
		c.queue.started(r)
		actions = append(actions, Action{Request: r, Run: true})
	}
	c.limit.RecordRunning(len(c.running), c.queue.len() > 0)
	return actions
}

// estimateFor returns the estimate for the request's kind.
func (c *Controller) estimateFor(r *Request) *estimate {
	e := c.kindEstimates[r.Kind]
	if e == nil {
		e = &estimate{}
		c.kindEstimates[r.Kind] = e
	}
	return e
}

// State is a controller's state for metrics, routing and shedding.
type State struct {
	Running, Queued, Limit int
	// Expected is the number of slots during warm-up, and Limit afterwards.
	Expected int
	// Service is the mean service time; 0 if no request was answered yet.
	Service time.Duration
	// Dropped counts requests refused because the queue was full or because
	// they had waited too long.
	Dropped int
}

// State returns the current state.
func (c *Controller) State(now time.Time) State {
	return State{
		Running: len(c.running), Queued: c.queue.len(), Limit: c.concurrency(now), Expected: c.expectedLimit(),
		Service: c.serviceTime(now), Dropped: c.dropped,
	}
}

// serviceTime returns the mean service time. A running request that already
// takes longer than the mean counts with its elapsed time, so that a slowdown
// of the upstream is detected before any request ends.
func (c *Controller) serviceTime(now time.Time) time.Duration {
	if len(c.running) == 0 || c.serviceEstimate.mean == 0 {
		return c.serviceEstimate.mean
	}
	var total time.Duration
	for r := range c.running {
		total += max(c.serviceEstimate.mean, now.Sub(r.started))
	}
	return total / time.Duration(len(c.running))
}

// estimate is a moving average of latencies with their mean deviation.
type estimate struct {
	mean, deviation time.Duration
	// refreshedAt is when the last sample was added or the last probe allowed.
	refreshedAt time.Time
}

// probeInterval is the time without a sample after which one request runs even
// if it is not expected to end before its deadline. Without such probes the
// estimate of a kind whose requests are all refused would never change.
const probeInterval = 200 * time.Millisecond

// allowProbe reports whether a request may run as a probe to refresh the
// estimate.
func (e *estimate) allowProbe(now time.Time) bool {
	if now.Sub(e.refreshedAt) < probeInterval {
		return false
	}
	e.refreshedAt = now
	return true
}

const (
	// A sample has the weight 1/meanDivisor in the mean and 1/deviationDivisor in
	// the deviation.
	meanDivisor      = 8
	deviationDivisor = 4
)

func (e *estimate) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	delta := sample - e.mean
	e.mean += delta / meanDivisor
	e.deviation += (delta.Abs() - e.deviation) / deviationDivisor
}

// upperBound returns a latency that most requests stay below.
func (e *estimate) upperBound() time.Duration { return e.mean + e.deviation }
