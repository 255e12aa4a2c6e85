package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
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
	waiting     []time.Duration
	pausedUntil time.Duration
	// cutUntil is the end of a time without messages from and to owners.
	cutUntil time.Duration
	arbiter  *Arbiter
	// granted are the answers on their way, by the number of the ask.
	granted map[uint64]Answer
}

// fakeOwner is one owner with its clock's error, the term that it knows and
// until when that is proven.
type fakeOwner struct {
	owner *Owner
	drift float64
	// number is its own term, term the latest that it knows.
	number, term uint64
	proven       time.Time
	pausedUntil  time.Duration
	// stops is true if it hands over its book once it knows the next term.
	stops    bool
	arbiters []HolderID
}

func (f *fakeOwner) fenced(now time.Time) bool {
	return f.owner == nil || f.term != f.owner.Term() || !now.Before(f.proven)
}

// proofBound is how long a proof counts that a term is the latest.
const proofBound = 3 * time.Second

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
	// faultGap is the longest time between two faults.
	faultGap time.Duration
	sent     int
	// withoutLoans keeps holders from lending to each other.
	withoutLoans bool
	// closings counts the arbiters' answers to owners.
	closings map[bool]int
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
	w.later(time.Duration(w.random.Int64N(int64(w.maxDelay))), pausedUntil, deliver)
}

// later runs something on a node after a delay, or when the node resumes.
func (w *world) later(delay time.Duration, pausedUntil *time.Duration, run func()) {
	var arrive func()
	arrive = func() {
		if w.now < *pausedUntil {
			w.after(*pausedUntil-w.now, arrive)
			return
		}
		run()
	}
	w.after(delay, arrive)
}

func (w *world) addHolder(incarnation uint64, vm string) *fakeHolder {
	h := &fakeHolder{id: HolderID{VM: vm, Incarnation: incarnation}, holder: NewHolder("org", w.limit), drift: w.drift(), arbiter: NewArbiter(), granted: map[uint64]Answer{}}
	w.holders = append(w.holders, h)
	return h
}

// changeOwner writes a new term. It is accepted, and its owner starts, once
// every proof of an earlier term has run out or every holder knows it.
func (w *world) changeOwner() {
	w.term++
	term, written := w.term, w.now
	f := &fakeOwner{drift: w.drift(), number: term}
	w.owners[term] = f
	var accept func()
	accept = func() {
		everyone := true
		for _, h := range w.holders {
			everyone = everyone && h.holder.term >= term
		}
		for _, old := range w.owners {
			everyone = everyone && (old.owner == nil || old.term >= term)
		}
		if !everyone && w.now < written+proofBound+proofBound/100 {
			w.after(20*time.Millisecond, accept)
			return
		}
		now := clock(w.now, f.drift)
		if f.owner == nil {
			f.owner = NewOwner(now, term, w.limit, proofBound)
		}
		if !everyone {
			f.owner.Supersede(now)
		}
	}
	w.proveOwner(f)
	w.closeOverdue(f)
	w.after(time.Millisecond, accept)
}

// stopOwner replaces the owner, which hands over its book if it still runs.
func (w *world) stopOwner() {
	if f := w.owners[w.term]; f != nil {
		f.stops = true
	}
	w.changeOwner()
}

// handOver sends the book to the next owner, sometimes twice.
func (w *world) handOver(f *fakeOwner) {
	next := w.owners[f.owner.Term()+1]
	if !f.stops || next == nil || f.term != next.number {
		return
	}
	f.stops = false
	book := f.owner.HandOver(clock(w.now, f.drift), "org")
	for range 1 + w.random.IntN(2) {
		w.send(&next.pausedUntil, func() { w.takeBook(next, book) })
	}
}

// takeBook begins the next term before it is accepted, as soon as the node
// knows of it.
func (w *world) takeBook(f *fakeOwner, book Book) {
	switch {
	case f.owner != nil || f.term > f.number:
	case f.term < f.number:
		w.later(20*time.Millisecond, &f.pausedUntil, func() { w.takeBook(f, book) })
	default:
		f.owner = NewOwnerFromBook(clock(w.now, f.drift), book)
	}
}

// prove gives the node a proof of the latest term again and again. A proof is
// on its way for a while, which its age includes.
func (w *world) prove(pausedUntil *time.Duration, drift float64, take func(term uint64, proven time.Time)) {
	read, term := w.now, w.term
	w.send(pausedUntil, func() {
		age := time.Duration(float64(w.now-read) * (1 + ClockDrift))
		take(term, clock(w.now, drift).Add(proofBound-age))
	})
	w.after(200*time.Millisecond, func() { w.prove(pausedUntil, drift, take) })
}

func (w *world) proveHolder(h *fakeHolder) {
	w.prove(&h.pausedUntil, h.drift, func(term uint64, proven time.Time) {
		h.holder.Follow(clock(w.now, h.drift), term, proven)
	})
}

func (w *world) proveOwner(f *fakeOwner) {
	w.prove(&f.pausedUntil, f.drift, func(term uint64, proven time.Time) {
		if term >= f.term {
			f.term, f.proven = term, proven
		}
		if f.owner != nil {
			w.handOver(f)
		}
	})
}

func (w *world) arrive(h *fakeHolder) {
	if w.now < h.pausedUntil {
		return
	}
	w.sent++
	h.holder.Arrive(clock(w.now, h.drift))
	h.waiting = append(h.waiting, w.now)
	w.retry(h)
	w.step(h)
}

// retry gives tokens to the requests that wait, and refuses those that may not
// wait any longer.
func (w *world) retry(h *fakeHolder) {
	const maxWait = 300 * time.Millisecond
	if w.now < h.pausedUntil {
		return
	}
	var left []time.Duration
	for _, since := range h.waiting {
		switch verdict := h.holder.Take(clock(w.now, h.drift)); {
		case verdict == Admitted:
			w.admissions = append(w.admissions, epoch.Add(w.now))
		case verdict == Wait && w.now-since < maxWait:
			left = append(left, since)
		}
	}
	h.waiting = left
}

// step sends an ask if one is due.
func (w *world) step(h *fakeHolder) {
	now := clock(w.now, h.drift)
	if w.now < h.pausedUntil || !h.holder.Due(now, len(h.waiting)) {
		return
	}
	w.ask(h, now)
}

// borrow asks all other holders for loans, sometimes twice.
func (w *world) borrow(h *fakeHolder) {
	if w.now < h.pausedUntil || w.withoutLoans {
		return
	}
	lenders := slices.DeleteFunc(slices.Clone(w.holders), func(other *fakeHolder) bool { return other == h })
	asks := h.holder.Borrow(clock(w.now, h.drift), len(h.waiting), len(lenders))
	for i, ask := range asks {
		for range 1 + w.random.IntN(20)/19 {
			w.send(&lenders[i].pausedUntil, func() { w.lend(lenders[i], h, ask) })
		}
	}
}

func (w *world) lend(lender, h *fakeHolder, ask Borrow) {
	from := h.id
	loan, err := lender.holder.Lend(clock(w.now, lender.drift), ask)
	if err != nil {
		return
	}
	for range 1 + w.random.IntN(20)/19 {
		w.send(&h.pausedUntil, func() {
			if h.id == from && h.holder.TakeLoan(clock(w.now, h.drift), loan) {
				w.retry(h)
			}
		})
	}
}

// ask sends an ask to the owner.
func (w *world) ask(h *fakeHolder, now time.Time) {
	ask := h.holder.Ask(now, len(h.waiting))
	w.later(300*time.Millisecond, &h.pausedUntil, func() { h.holder.Abandon(clock(w.now, h.drift), ask.Number, 50*time.Millisecond) })
	f := w.owners[ask.Term]
	if f == nil {
		return
	}
	from := h.id
	if w.now >= h.cutUntil {
		w.send(&f.pausedUntil, func() { w.answer(f, h, from, ask) })
	}
}

func (w *world) answer(f *fakeOwner, h *fakeHolder, from HolderID, ask Ask) {
	if f.fenced(clock(w.now, f.drift)) {
		return
	}
	w.nameArbiters(f)
	answer, recalls, err := f.owner.Handle(clock(w.now, f.drift), from, ask)
	if err != nil {
		return
	}
	if h.id == from {
		h.granted[answer.Number] = answer
	}
	w.send(&h.pausedUntil, func() {
		if h.id == from && w.now >= h.cutUntil && h.holder.Apply(clock(w.now, h.drift), answer) {
			w.retry(h)
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

// conserved returns by how much the shares that are in use now, the tokens on
// their way to a holder that may still take them in and what the owner has left exceed the limit.
func (w *world) conserved() (rate, burst float64) {
	for _, h := range w.holders {
		for _, loan := range h.holder.loans.borrowed {
			if clock(w.now, h.drift).Before(loan.until) {
				rate += loan.bucket.rate
				burst += loan.bucket.capacity
			}
		}
		if now := clock(w.now, h.drift); !now.Before(h.holder.expires) || !now.Before(h.holder.valid) {
			continue
		}
		rate += h.holder.bucket.rate
		burst += h.holder.bucket.capacity
		if h.holder.pending && clock(w.now, h.drift).Before(h.holder.askedAt.Add(h.granted[h.holder.number].valid())) {
			burst += h.granted[h.holder.number].Tokens
		}
	}
	for _, f := range w.owners {
		if !f.fenced(clock(w.now, f.drift)) {
			rate += f.owner.bucket.rate
			burst += f.owner.bucket.capacity
		}
	}
	return rate - w.limit.Rate, burst - w.limit.Burst
}

// tick keeps the holder's timers going.
func (w *world) tick(h *fakeHolder) {
	w.retry(h)
	w.borrow(h)
	w.extend(h)
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
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), limit: limit, owners: map[uint64]*fakeOwner{}, closings: map[bool]int{}, maxDelay: 35 * time.Millisecond}
	w.changeOwner()
	for i := range holders {
		h := w.addHolder(1, fmt.Sprintf("vm-%d", i))
		w.proveHolder(h)
		w.tick(h)
	}
	return w
}

// killOwner ends the owner for good and replaces it some seconds later.
func (w *world) killOwner() {
	const detection = 3300 * time.Millisecond
	w.owners[w.term].pausedUntil = time.Hour
	w.after(detection, w.changeOwner)
}

// nameArbiters names two nodes, others now and then.
func (w *world) nameArbiters(f *fakeOwner) {
	if f.arbiters == nil || w.random.IntN(100) == 0 {
		f.arbiters = nil
		for _, i := range w.random.Perm(len(w.holders))[:min(2, len(w.holders))] {
			f.arbiters = append(f.arbiters, w.holders[i].id)
		}
	}
	f.owner.NameArbiters(f.arbiters)
}

// node returns the node of an incarnation; nil if it was replaced.
func (w *world) node(id HolderID) *fakeHolder {
	for _, h := range w.holders {
		if h.id == id {
			return h
		}
	}
	return nil
}

// extend asks the arbiter for a longer share if that is due.
func (w *world) extend(h *fakeHolder) {
	if w.now < h.pausedUntil || w.now < h.cutUntil {
		return
	}
	ask, due := h.holder.Extend(clock(w.now, h.drift))
	a, from := w.node(ask.Arbiter), h.id
	if !due || a == nil {
		return
	}
	w.send(&a.pausedUntil, func() {
		if a.id != ask.Arbiter {
			return
		}
		a.arbiter.Extend(clock(w.now, a.drift), from, ask)
		w.send(&h.pausedUntil, func() {
			if h.id == from {
				h.holder.Extended(clock(w.now, h.drift), ask)
			}
		})
	})
}

// closeOverdue asks the arbiters of silent holders again and again.
func (w *world) closeOverdue(f *fakeOwner) {
	w.later(20*time.Millisecond, &f.pausedUntil, func() { w.closeOverdue(f) })
	if f.owner == nil {
		return
	}
	for _, ask := range f.owner.Overdue(clock(w.now, f.drift), "org") {
		a := w.node(ask.Arbiter)
		if a == nil {
			continue
		}
		w.send(&a.pausedUntil, func() {
			if a.id != ask.Arbiter {
				return
			}
			closed := a.arbiter.Close(clock(w.now, a.drift), ask)
			w.closings[closed]++
			w.send(&f.pausedUntil, func() { f.owner.Settle(clock(w.now, f.drift), ask, closed) })
		})
	}
}
