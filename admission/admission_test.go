package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangomast/mangomast/call"
)

var start = time.Unix(1_000_000, 0)

// workload drives a controller and tracks the state of each request.
type workload struct {
	t          *rapid.T
	slots      int
	controller *Controller
	now        time.Time
	waiting    map[*Request]bool
	running    []*Request
	refused    int
}

func newWorkload(t *rapid.T) *workload {
	w := &workload{t: t, now: start, waiting: map[*Request]bool{}, slots: rapid.IntRange(1, 20).Draw(t, "slots")}
	w.controller = NewController(Options{Slots: w.slots, Queue: 10, MaxWait: 100 * time.Millisecond}, w.now)
	return w
}

// apply applies actions. It checks that each request gets one action and that
// no request runs while a more important one waits.
func (w *workload) apply(actions []Action) {
	for _, a := range actions {
		if !w.waiting[a.Request] {
			w.t.Fatalf("action for a request that does not wait")
		}
		delete(w.waiting, a.Request)
		if !a.Run {
			w.refused++
			continue
		}
		w.running = append(w.running, a.Request)
		for r := range w.waiting {
			if r.Importance > a.Request.Importance && !w.hasAction(actions, r) {
				w.t.Fatalf("a request of importance %d runs while one of importance %d waits", a.Request.Importance, r.Importance)
			}
		}
	}
}

func (w *workload) hasAction(actions []Action, r *Request) bool {
	for _, a := range actions {
		if a.Request == r {
			return true
		}
	}
	return false
}

func (w *workload) arrive() {
	r := &Request{
		Importance:   uint8(rapid.IntRange(1, 9).Draw(w.t, "importance")),
		Rank:         rapid.Uint16().Draw(w.t, "rank"),
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "organisation"),
		Weight:       rapid.Float64Range(0.1, 10).Draw(w.t, "weight"),
		Deadline:     w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "deadline")) * time.Millisecond),
	}
	w.waiting[r] = true
	actions := w.controller.Submit(r, w.now)
	for _, a := range actions {
		if a.Code != call.CodeOverloaded {
			continue
		}
		for other := range w.waiting {
			if other.Importance < a.Request.Importance && !w.hasAction(actions, other) {
				w.t.Fatalf("a request of importance %d was shed while one of importance %d waits", a.Request.Importance, other.Importance)
			}
		}
	}
	w.apply(actions)
}

func (w *workload) finish() {
	if len(w.running) == 0 {
		return
	}
	r := w.running[0]
	w.running = w.running[1:]
	done := Completion{Request: r, Answered: rapid.Bool().Draw(w.t, "answered"), Overloaded: rapid.Bool().Draw(w.t, "overloaded")}
	w.apply(w.controller.Finish(done, w.now))
}

func (w *workload) cancel() {
	for r := range w.waiting {
		if !w.controller.Cancel(r) {
			w.t.Fatalf("a waiting request could not be cancelled")
		}
		delete(w.waiting, r)
		return
	}
}

func (w *workload) check(before State) {
	state := w.controller.State(w.now)
	if state.Limit < 1 || state.Limit > w.slots {
		w.t.Fatalf("limit %d is outside 1 to %d", state.Limit, w.slots)
	}
	if state.Running != len(w.running) || state.Queued != len(w.waiting) || state.Queued > 10 {
		w.t.Fatalf("state %+v, but %d run and %d wait", state, len(w.running), len(w.waiting))
	}
	if state.Running > max(state.Limit, before.Running) {
		w.t.Fatalf("%d requests run, above the limit of %d", state.Running, state.Limit)
	}
}

func TestControllerShedsLeastImportantAndKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorkload(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			before := w.controller.State(w.now)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				w.arrive()
			case 2, 3:
				w.finish()
			case 4:
				w.cancel()
			case 5:
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				w.apply(w.controller.Tick(w.now))
			}
			w.check(before)
		}
	})
}

// TestOrganisationsRunInProportionToWeight keeps requests of several
// organisations waiting and checks that none is starved: each organisation
// runs in proportion to its weight.
func TestOrganisationsRunInProportionToWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const starts = 400
		weights := rapid.SliceOfN(rapid.Float64Range(0.05, 5), 2, 6).Draw(t, "weights")
		total := 0.0
		c := NewController(Options{Slots: 1, Queue: 1000, MaxWait: time.Hour}, start)
		push := func(i int) []Action {
			return c.Submit(&Request{
				Importance: 5, Rank: rapid.Uint16().Draw(t, "rank"), Organisation: fmt.Sprint(i),
				Weight: weights[i], Deadline: start.Add(time.Hour),
			}, start)
		}
		var running *Request
		for i, weight := range weights {
			total += weight
			for range 3 {
				for _, a := range push(i) {
					running = a.Request
				}
			}
		}
		counts := map[string]int{}
		for range starts {
			counts[running.Organisation]++
			var i int
			_, _ = fmt.Sscan(running.Organisation, &i)
			push(i)
			running = c.Finish(Completion{Request: running}, start)[0].Request
		}
		for i, weight := range weights {
			minimum := starts*weight/total - float64(len(weights)) - 1
			if got := counts[fmt.Sprint(i)]; float64(got) < minimum {
				t.Fatalf("organisation %d of weight %g ran %d times, want at least %g", i, weight, got, minimum)
			}
		}
	})
}

func TestRequestThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	c := NewController(Options{Slots: 1, Queue: 10, MaxWait: time.Second}, start)
	first := &Request{Weight: 1, Deadline: start.Add(time.Second)}
	assert.Assert(t, c.Submit(first, start)[0].Run)
	urgent := &Request{Weight: 1, Deadline: start.Add(250 * time.Millisecond)}
	assert.Equal(t, len(c.Submit(urgent, start)), 0)
	actions := c.Finish(Completion{Request: first, Answered: true}, start.Add(200*time.Millisecond))
	assert.DeepEqual(t, actions[0].Code, call.CodeDeadline)
	assert.Assert(t, !actions[0].Run)
}

// simulate runs a saturated upstream. latency gives the time a request takes
// for a number of running requests. It returns the end time and the throughput
// over the last second.
func simulate(l *Limit, now time.Time, length time.Duration, latency func(running int) time.Duration) (time.Time, float64) {
	const step = time.Millisecond
	progress, done, lastSecond := 0.0, 0, 0
	for at := time.Duration(0); at < length; at += step {
		now = now.Add(step)
		took := latency(l.Value())
		l.RecordRunning(l.Value(), true)
		for progress += float64(l.Value()) * float64(step) / float64(took); progress >= 1; progress-- {
			l.RecordFinished(took, false)
			done++
			if length-at <= time.Second {
				lastSecond++
			}
		}
		l.Tick(now)
	}
	return now, float64(lastSecond)
}

func TestLimitFindsParallelismBelowSlots(t *testing.T) {
	const cores, slots = 8, 100
	work := 10 * time.Millisecond
	l := NewLimit(slots, LimitOptions{}, start)
	_, throughput := simulate(l, start, 20*time.Second, func(running int) time.Duration {
		return work * time.Duration(max(cores, running)) / cores
	})
	assert.Assert(t, l.Value() <= 3*cores, "limit %d", l.Value())
	assert.Assert(t, throughput >= 0.9*cores/work.Seconds(), "throughput %g", throughput)
}

func TestLimitKeepsSlotsOfSlowerUpstream(t *testing.T) {
	const slots = 16
	l := NewLimit(slots, LimitOptions{}, start)
	now, _ := simulate(l, start, 5*time.Second, func(int) time.Duration { return 40 * time.Millisecond })
	assert.Equal(t, l.Value(), slots)
	_, throughput := simulate(l, now, 5*time.Second, func(int) time.Duration { return 120 * time.Millisecond })
	assert.Equal(t, l.Value(), slots)
	assert.Assert(t, throughput >= 0.9*slots/0.120, "throughput %g", throughput)
}
