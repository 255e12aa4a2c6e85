package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fakeHolder is a node that admits requests. Its clock has an error.
type fakeHolder struct {
	id          HolderID
	holder      *Holder
	drift       float64
	term        uint64
	waiting     int
	pausedUntil time.Duration
}

// fakeOwner is one owner with its clock's error; stopped once fenced off.
type fakeOwner struct {
	owner       *Owner
	drift       float64
	stopped     bool
	pausedUntil time.Duration
}

// world joins holders and owners by messages with delay and loss.
type world struct {
	random     *rand.Rand
	now        time.Duration
	queue      events
	seq        int
	limit      Limit
	loss       float64
	maxDelay   time.Duration
	holders    []*fakeHolder
	owners     map[uint64]*fakeOwner
	term       uint64
	admissions []time.Time
	sent       int
}

var epoch = time.Unix(1_800_000_000, 0)

func clock(now time.Duration, drift float64) time.Time {
	return epoch.Add(time.Duration(float64(now) * (1 + drift)))
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
}

func (w *world) drift() float64 { return (2*w.random.Float64() - 1) * ClockDrift }

// send delivers a message after a delay, or loses it. A paused receiver gets
// it when it resumes.
func (w *world) send(pausedUntil *time.Duration, deliver func()) {
	if w.random.Float64() < w.loss {
		return
	}
	var arrive func()
	arrive = func() {
		if w.now < *pausedUntil {
			w.after(*pausedUntil-w.now, arrive)
			return
		}
		deliver()
	}
	w.after(time.Duration(w.random.Int64N(int64(w.maxDelay))), arrive)
}

func (w *world) addHolder(incarnation uint64, vm string) *fakeHolder {
	h := &fakeHolder{id: HolderID{VM: vm, Incarnation: incarnation}, holder: NewHolder("org", w.limit), drift: w.drift(), term: w.term}
	w.holders = append(w.holders, h)
	return h
}

// changeOwner fences off the owner and starts a successor after a gap, by
// when every holder knows the new term.
func (w *world) changeOwner(gap time.Duration) {
	term := w.term + 1
	w.term = term
	if old := w.owners[term-1]; old != nil {
		old.stopped = true
	}
	for _, h := range w.holders {
		w.after(time.Duration(w.random.Int64N(int64(gap))), func() { h.term = max(h.term, term) })
	}
	w.after(gap, func() {
		f := &fakeOwner{drift: w.drift()}
		f.owner = NewOwner(clock(w.now, f.drift), term, w.limit, term == 1)
		f.stopped = w.term != term
		w.owners[term] = f
	})
}

func (w *world) arrive(h *fakeHolder) {
	if w.now < h.pausedUntil {
		return
	}
	w.sent++
	now := clock(w.now, h.drift)
	h.holder.Arrive(now)
	w.take(h)
	w.step(h)
}

func (w *world) take(h *fakeHolder) {
	switch h.holder.Take(clock(w.now, h.drift)) {
	case Admitted:
		w.admissions = append(w.admissions, epoch.Add(w.now))
	case Wait:
		const maxWaiting = 50
		h.waiting = min(h.waiting+1, maxWaiting)
	case Exhausted:
	}
}

// step sends an ask if one is due.
func (w *world) step(h *fakeHolder) {
	now := clock(w.now, h.drift)
	if w.now < h.pausedUntil || !h.holder.Due(now, h.waiting) {
		return
	}
	ask := h.holder.Ask(now, h.term, h.waiting)
	w.after(300*time.Millisecond, func() { h.holder.Abandon(clock(w.now, h.drift), ask.Number, 50*time.Millisecond) })
	f := w.owners[ask.Term]
	if f == nil {
		return
	}
	w.send(&f.pausedUntil, func() { w.answer(f, h, ask) })
}

func (w *world) answer(f *fakeOwner, h *fakeHolder, ask Ask) {
	if f.stopped {
		return
	}
	answer, recalls, err := f.owner.Handle(clock(w.now, f.drift), h.id, ask)
	if err != nil {
		return
	}
	w.send(&h.pausedUntil, func() {
		if h.holder.Apply(clock(w.now, h.drift), answer) {
			for range h.waiting {
				h.waiting--
				w.take(h)
			}
			w.step(h)
		}
	})
	for _, id := range recalls {
		for _, other := range w.holders {
			if other.id == id {
				w.send(&other.pausedUntil, func() { other.holder.Recall(); w.step(other) })
			}
		}
	}
}

// tick keeps the holder's timers going.
func (w *world) tick(h *fakeHolder) {
	w.step(h)
	w.after(20*time.Millisecond, func() { w.tick(h) })
}

// load sends requests at a node at a rate that changes each second.
func (w *world) load(h *fakeHolder, rate func() float64) {
	r := rate()
	for i := range int(r) {
		w.after(time.Duration((float64(i)+w.random.Float64())/r*float64(time.Second)), func() { w.arrive(h) })
	}
	w.after(time.Second, func() { w.load(h, rate) })
}

func newWorld(seed uint64, limit Limit, holders int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), limit: limit, owners: map[uint64]*fakeOwner{}, maxDelay: 60 * time.Millisecond}
	w.changeOwner(time.Millisecond)
	for i := range holders {
		h := w.addHolder(1, fmt.Sprintf("vm-%d", i))
		w.tick(h)
	}
	return w
}

// faults makes the world lose messages, pause nodes, replace holders and
// change owners, at random.
func (w *world) faults() {
	w.after(time.Duration(1+w.random.IntN(3000))*time.Millisecond, func() {
		pause := time.Duration(w.random.Int64N(int64(Lease + 4*time.Second)))
		h := w.holders[w.random.IntN(len(w.holders))]
		switch w.random.IntN(4) {
		case 0:
			h.pausedUntil = w.now + pause
		case 1:
			if f := w.owners[w.term]; f != nil {
				f.pausedUntil = w.now + pause
			}
		case 2:
			w.changeOwner(100*time.Millisecond + pause/4)
		case 3:
			h.holder = NewHolder("org", w.limit)
			h.id.Incarnation++
			h.waiting = 0
		}
		w.faults()
	})
}

// TestEveryWindowHoldsUnderFaults drives several holders and a chain of owners
// over a network that delays and loses messages, with clocks that drift, nodes
// that pause beyond their lease and owners that change, at several times the
// rate, and checks the history of admissions over all windows.
func TestEveryWindowHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  rapid.Float64Range(1, 200).Draw(t, "rate"),
			Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst")),
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), limit, rapid.IntRange(1, 6).Draw(t, "holders"))
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		w.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 60 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
		peak := rapid.Float64Range(0.2, 4).Draw(t, "peak") * limit.Rate / float64(len(w.holders))
		for _, h := range w.holders {
			w.load(h, func() float64 { return w.random.Float64() * 2 * peak })
		}
		w.faults()
		w.run(30 * time.Second)
		const rounding = 1e-6
		if excess := Excess(w.admissions, limit); excess > rounding {
			t.Fatalf("a window has %f requests too many of %d admitted", excess, len(w.admissions))
		}
	})
}

// TestDemandWithinTheRateIsAdmitted moves a demand of 0.8 of the rate between
// nodes each three seconds, without faults.
func TestDemandWithinTheRateIsAdmitted(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 50}
	w := newWorld(1, limit, 4)
	w.run(100 * time.Millisecond)
	for i, h := range w.holders {
		w.load(h, func() float64 {
			if int(w.now/(3*time.Second))%4 == i {
				return 71
			}
			return 3
		})
	}
	w.run(24 * time.Second)
	refused := w.sent - len(w.admissions)
	assert.Assert(t, Excess(w.admissions, limit) <= 0)
	assert.Assert(t, refused <= w.sent/100, "%d of %d refused", refused, w.sent)
}
