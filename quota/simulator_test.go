package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// event is a function that runs at a time of the simulation.
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

// fakeHolder is a node that admits requests. Its clock drifts.
type fakeHolder struct {
	id          HolderID
	holder      *Holder
	drift       float64
	waiting     []time.Duration
	pausedUntil time.Duration
	// cutUntil is the end of a period without messages to and from owners.
	cutUntil time.Duration
	arbiter  *Arbiter
	// answersInFlight has the owner's answers by the number of the Ask.
	answersInFlight map[uint64]Answer
}

// fakeOwner is a node that runs the owner of one term. Its clock drifts.
type fakeOwner struct {
	owner *Owner
	drift float64
	// ownTerm is the owner's term, term the latest that the node knows.
	// provenUntil is when the proof expires that term is the latest.
	ownTerm, term uint64
	provenUntil   time.Time
	pausedUntil   time.Duration
	// handsOver is true if the owner hands over once the node knows the next term.
	handsOver bool
	arbiters  []HolderID
}

// fenced reports whether the owner must not grant anything now.
func (f *fakeOwner) fenced(now time.Time) bool {
	return f.owner == nil || f.term != f.owner.Term() || !now.Before(f.provenUntil)
}

// proofBound is how long a proof is valid that a term is the latest.
const proofBound = 3 * time.Second

// simulation connects holders and owners by messages with delay and loss.
type simulation struct {
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
	// maxFaultInterval is the maximum time between two faults.
	maxFaultInterval time.Duration
	sent             int
	// loansDisabled stops holders from lending to each other.
	loansDisabled bool
	// closeAnswers counts the arbiters' answers to owners.
	closeAnswers map[bool]int
}

var epoch = time.Unix(1_800_000_000, 0)

func clock(now time.Duration, drift float64) time.Time {
	return epoch.Add(time.Duration(float64(now) * (1 + drift)))
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, run})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
}

func (sim *simulation) drift() float64 { return (2*sim.random.Float64() - 1) * ClockDrift }

// send delivers a message after a delay, or loses it. A paused receiver gets it when
// it resumes.
func (sim *simulation) send(pausedUntil *time.Duration, deliver func()) {
	if sim.random.Float64() < sim.loss {
		return
	}
	sim.runOnNode(time.Duration(sim.random.Int64N(int64(sim.maxDelay))), pausedUntil, deliver)
}

// runOnNode calls run after a delay, or when the node resumes if it is paused then.
func (sim *simulation) runOnNode(delay time.Duration, pausedUntil *time.Duration, run func()) {
	var arrive func()
	arrive = func() {
		if sim.now < *pausedUntil {
			sim.schedule(*pausedUntil-sim.now, arrive)
			return
		}
		run()
	}
	sim.schedule(delay, arrive)
}

func (sim *simulation) addHolder(incarnation uint64, vm string) *fakeHolder {
	h := &fakeHolder{id: HolderID{VM: vm, Incarnation: incarnation}, holder: NewHolder("org", sim.limit), drift: sim.drift(), arbiter: NewArbiter(), answersInFlight: map[uint64]Answer{}}
	sim.holders = append(sim.holders, h)
	return h
}

// changeOwner writes a new term. The term is accepted, and its owner starts, once
// every holder knows it or every proof of an earlier term has expired.
func (sim *simulation) changeOwner() {
	sim.term++
	term, written := sim.term, sim.now
	f := &fakeOwner{drift: sim.drift(), ownTerm: term}
	sim.owners[term] = f
	var accept func()
	accept = func() {
		allKnow := true
		for _, h := range sim.holders {
			allKnow = allKnow && h.holder.term >= term
		}
		for _, old := range sim.owners {
			allKnow = allKnow && (old.owner == nil || old.term >= term)
		}
		if !allKnow && sim.now < written+proofBound+proofBound/100 {
			sim.schedule(20*time.Millisecond, accept)
			return
		}
		now := clock(sim.now, f.drift)
		if f.owner == nil {
			f.owner = NewOwner(now, term, sim.limit, proofBound)
		}
		if !allKnow {
			f.owner.ExpireUnreported(now)
		}
	}
	sim.sendProofsToOwner(f)
	sim.closeOverdue(f)
	sim.schedule(time.Millisecond, accept)
}

// stopOwner replaces the owner, which hands over its state if it still runs.
func (sim *simulation) stopOwner() {
	if f := sim.owners[sim.term]; f != nil {
		f.handsOver = true
	}
	sim.changeOwner()
}

// handOver sends the owner's state to the next owner, sometimes twice.
func (sim *simulation) handOver(f *fakeOwner) {
	next := sim.owners[f.owner.Term()+1]
	if !f.handsOver || next == nil || f.term != next.ownTerm {
		return
	}
	f.handsOver = false
	handover := f.owner.HandOver(clock(sim.now, f.drift), "org")
	for range 1 + sim.random.IntN(2) {
		sim.send(&next.pausedUntil, func() { sim.receiveHandover(next, handover) })
	}
}

// receiveHandover starts the owner of the next term before the term is accepted, as soon
// as the node knows the term.
func (sim *simulation) receiveHandover(f *fakeOwner, handover HandoverState) {
	switch {
	case f.owner != nil || f.term > f.ownTerm:
	case f.term < f.ownTerm:
		sim.runOnNode(20*time.Millisecond, &f.pausedUntil, func() { sim.receiveHandover(f, handover) })
	default:
		f.owner = NewOwnerFromHandover(clock(sim.now, f.drift), handover)
	}
}

// sendProofs sends the node proofs of the latest term periodically. The age of a proof
// includes its time in flight.
func (sim *simulation) sendProofs(pausedUntil *time.Duration, drift float64, apply func(term uint64, provenUntil time.Time)) {
	read, term := sim.now, sim.term
	sim.send(pausedUntil, func() {
		age := time.Duration(float64(sim.now-read) * (1 + ClockDrift))
		apply(term, clock(sim.now, drift).Add(proofBound-age))
	})
	sim.schedule(200*time.Millisecond, func() { sim.sendProofs(pausedUntil, drift, apply) })
}

func (sim *simulation) sendProofsToHolder(h *fakeHolder) {
	sim.sendProofs(&h.pausedUntil, h.drift, func(term uint64, provenUntil time.Time) {
		h.holder.SetTerm(clock(sim.now, h.drift), term, provenUntil)
	})
}

func (sim *simulation) sendProofsToOwner(f *fakeOwner) {
	sim.sendProofs(&f.pausedUntil, f.drift, func(term uint64, provenUntil time.Time) {
		if term >= f.term {
			f.term, f.provenUntil = term, provenUntil
		}
		if f.owner != nil {
			sim.handOver(f)
		}
	})
}

func (sim *simulation) receiveRequest(h *fakeHolder) {
	if sim.now < h.pausedUntil {
		return
	}
	sim.sent++
	h.holder.CountRequest(clock(sim.now, h.drift))
	h.waiting = append(h.waiting, sim.now)
	sim.serveWaiting(h)
	sim.askIfDue(h)
}

// serveWaiting gives tokens to waiting requests and refuses those that have waited too
// long.
func (sim *simulation) serveWaiting(h *fakeHolder) {
	const maxWait = 300 * time.Millisecond
	if sim.now < h.pausedUntil {
		return
	}
	var left []time.Duration
	for _, since := range h.waiting {
		switch decision := h.holder.Take(clock(sim.now, h.drift)); {
		case decision == Admitted:
			sim.admissions = append(sim.admissions, epoch.Add(sim.now))
		case decision == Wait && sim.now-since < maxWait:
			left = append(left, since)
		}
	}
	h.waiting = left
}

// askIfDue sends an Ask if one is due.
func (sim *simulation) askIfDue(h *fakeHolder) {
	now := clock(sim.now, h.drift)
	if sim.now < h.pausedUntil || !h.holder.AskDue(now, len(h.waiting)) {
		return
	}
	sim.ask(h, now)
}

// borrow asks all other holders for loans and sometimes sends a message twice.
func (sim *simulation) borrow(h *fakeHolder) {
	if sim.now < h.pausedUntil || sim.loansDisabled {
		return
	}
	lenders := slices.DeleteFunc(slices.Clone(sim.holders), func(other *fakeHolder) bool { return other == h })
	requests := h.holder.Borrow(clock(sim.now, h.drift), len(h.waiting), len(lenders))
	for i, request := range requests {
		for range 1 + sim.random.IntN(20)/19 {
			sim.send(&lenders[i].pausedUntil, func() { sim.lend(lenders[i], h, request) })
		}
	}
}

func (sim *simulation) lend(lender, h *fakeHolder, request Borrow) {
	from := h.id
	loan, err := lender.holder.Lend(clock(sim.now, lender.drift), request)
	if err != nil {
		return
	}
	for range 1 + sim.random.IntN(20)/19 {
		sim.send(&h.pausedUntil, func() {
			if h.id == from && h.holder.AddLoan(clock(sim.now, h.drift), loan) {
				sim.serveWaiting(h)
			}
		})
	}
}

// ask sends an Ask to the owner.
func (sim *simulation) ask(h *fakeHolder, now time.Time) {
	ask := h.holder.Ask(now, len(h.waiting))
	sim.runOnNode(300*time.Millisecond, &h.pausedUntil, func() { h.holder.AskFailed(clock(sim.now, h.drift), ask.Number, 50*time.Millisecond) })
	f := sim.owners[ask.Term]
	if f == nil {
		return
	}
	from := h.id
	if sim.now >= h.cutUntil {
		sim.send(&f.pausedUntil, func() { sim.answer(f, h, from, ask) })
	}
}

func (sim *simulation) answer(f *fakeOwner, h *fakeHolder, from HolderID, ask Ask) {
	if f.fenced(clock(sim.now, f.drift)) {
		return
	}
	sim.setArbiters(f)
	answer, recalls, err := f.owner.Handle(clock(sim.now, f.drift), from, ask)
	if err != nil {
		return
	}
	if h.id == from {
		h.answersInFlight[answer.Number] = answer
	}
	sim.send(&h.pausedUntil, func() {
		if h.id == from && sim.now >= h.cutUntil && h.holder.ApplyAnswer(clock(sim.now, h.drift), answer) {
			sim.serveWaiting(h)
			sim.askIfDue(h)
		}
	})
	for _, id := range recalls {
		for _, other := range sim.holders {
			if other.id == id {
				sim.send(&other.pausedUntil, func() { other.holder.Recall(); sim.askIfDue(other) })
			}
		}
	}
}

// overcommitted returns by how much the limit is exceeded by the sum of the valid
// shares, the tokens in flight to holders that may still accept them, and the owner's
// bucket.
func (sim *simulation) overcommitted() (rate, burst float64) {
	for _, h := range sim.holders {
		for _, loan := range h.holder.loans.borrowed {
			if clock(sim.now, h.drift).Before(loan.until) {
				rate += loan.bucket.rate
				burst += loan.bucket.capacity
			}
		}
		if now := clock(sim.now, h.drift); !now.Before(h.holder.expires) || !now.Before(h.holder.valid) {
			continue
		}
		rate += h.holder.bucket.rate
		burst += h.holder.bucket.capacity
		if h.holder.pending && clock(sim.now, h.drift).Before(h.holder.askedAt.Add(h.answersInFlight[h.holder.number].valid())) {
			burst += h.answersInFlight[h.holder.number].Tokens
		}
	}
	for _, f := range sim.owners {
		if !f.fenced(clock(sim.now, f.drift)) {
			rate += f.owner.bucket.rate
			burst += f.owner.bucket.capacity
		}
	}
	return rate - sim.limit.Rate, burst - sim.limit.Burst
}

// runTimers runs the holder's periodic work.
func (sim *simulation) runTimers(h *fakeHolder) {
	sim.serveWaiting(h)
	sim.borrow(h)
	sim.extend(h)
	sim.askIfDue(h)
	sim.schedule(20*time.Millisecond, func() { sim.runTimers(h) })
}

// generateLoad sends requests to a node at a rate that changes each second.
func (sim *simulation) generateLoad(h *fakeHolder, rate func() float64) {
	r := rate()
	for i := range int(r) {
		sim.schedule(time.Duration((float64(i)+sim.random.Float64())/r*float64(time.Second)), func() { sim.receiveRequest(h) })
	}
	sim.schedule(time.Second, func() { sim.generateLoad(h, rate) })
}

func newSimulation(seed uint64, limit Limit, holders int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 0)), limit: limit, owners: map[uint64]*fakeOwner{}, closeAnswers: map[bool]int{}, maxDelay: 35 * time.Millisecond}
	sim.changeOwner()
	for i := range holders {
		h := sim.addHolder(1, fmt.Sprintf("vm-%d", i))
		sim.sendProofsToHolder(h)
		sim.runTimers(h)
	}
	return sim
}

// crashOwner stops the owner permanently. Its replacement follows after the time that
// detection takes.
func (sim *simulation) crashOwner() {
	const detection = 3300 * time.Millisecond
	sim.owners[sim.term].pausedUntil = time.Hour
	sim.schedule(detection, sim.changeOwner)
}

// setArbiters sets two random nodes as arbiters and occasionally changes them.
func (sim *simulation) setArbiters(f *fakeOwner) {
	if f.arbiters == nil || sim.random.IntN(100) == 0 {
		f.arbiters = nil
		for _, i := range sim.random.Perm(len(sim.holders))[:min(2, len(sim.holders))] {
			f.arbiters = append(f.arbiters, sim.holders[i].id)
		}
	}
	f.owner.SetArbiters(f.arbiters)
}

// nodeByID returns the node of an incarnation, or nil if that was replaced.
func (sim *simulation) nodeByID(id HolderID) *fakeHolder {
	for _, h := range sim.holders {
		if h.id == id {
			return h
		}
	}
	return nil
}

// extend asks the arbiter to extend the share if that is due.
func (sim *simulation) extend(h *fakeHolder) {
	if sim.now < h.pausedUntil || sim.now < h.cutUntil {
		return
	}
	request, due := h.holder.Extend(clock(sim.now, h.drift))
	a, from := sim.nodeByID(request.Arbiter), h.id
	if !due || a == nil {
		return
	}
	sim.send(&a.pausedUntil, func() {
		if a.id != request.Arbiter {
			return
		}
		a.arbiter.Extend(clock(sim.now, a.drift), from, request)
		sim.send(&h.pausedUntil, func() {
			if h.id == from {
				h.holder.ApplyExtension(clock(sim.now, h.drift), request)
			}
		})
	})
}

// closeOverdue sends Close messages to the arbiters of silent holders periodically.
func (sim *simulation) closeOverdue(f *fakeOwner) {
	sim.runOnNode(20*time.Millisecond, &f.pausedUntil, func() { sim.closeOverdue(f) })
	if f.owner == nil {
		return
	}
	for _, request := range f.owner.CloseRequests(clock(sim.now, f.drift), "org") {
		a := sim.nodeByID(request.Arbiter)
		if a == nil {
			continue
		}
		sim.send(&a.pausedUntil, func() {
			if a.id != request.Arbiter {
				return
			}
			closed := a.arbiter.Close(clock(sim.now, a.drift), request)
			sim.closeAnswers[closed]++
			sim.send(&f.pausedUntil, func() { f.owner.ApplyClose(clock(sim.now, f.drift), request, closed) })
		})
	}
}
