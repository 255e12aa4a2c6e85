package warming

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	desk  = Bound{Rate: 9.3, Overage: 1.5, Slack: 8, ColdStart: 3 * time.Second, AsksHealth: true}
)

// world is a VM and the limiters of the nodes beside it, one after the other, in
// virtual time. The VM becomes cold and warm as it likes.
type world struct {
	t       *rapid.T
	bound   Bound
	now     time.Time
	limiter *Limiter
	// clockLag is how long the node's clock has stood still.
	clockLag time.Duration
	// coldSince is when the VM became cold; zero while it is warm.
	coldSince time.Time
	coldEnds  time.Time
	// tells is false while the VM forgets to say that it is cold.
	tells    bool
	pending  []*pendingHandover
	arrivals []time.Time
	// fetched is when the outstanding question was asked; asked is the node's time.
	asked    time.Time
	question *answerOf
}

// answerOf is an answer of the VM that is on its way.
type answerOf struct {
	cold time.Duration
	ok   bool
}

type pendingHandover struct {
	handover *Handover
	limiter  *Limiter
}

func (w *world) nodeTime() time.Time { return w.now.Add(-w.clockLag) }

func (w *world) cold() bool { return !w.coldSince.IsZero() && w.now.Before(w.coldEnds) }

func (w *world) coldFor() time.Duration {
	if w.cold() {
		return w.coldEnds.Sub(w.now)
	}
	return 0
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if !w.coldSince.IsZero() && !w.cold() {
		w.coldSince = time.Time{}
	}
}

func (w *world) arrive() {
	if h := w.limiter.Admit(w.nodeTime()); h != nil {
		w.pending = append(w.pending, &pendingHandover{h, w.limiter})
	}
	if w.question == nil && w.limiter.FetchEvidence(w.nodeTime()) {
		w.asked = w.nodeTime()
		if w.bound.Allowance() >= minQuestioned {
			w.arrivals = append(w.arrivals, w.now)
		}
		w.question = &answerOf{cold: w.coldFor(), ok: w.tells}
	}
}

// write hands the oldest pending request to the VM, where it arrives within
// arrivalSpread.
func (w *world) write() {
	if len(w.pending) == 0 {
		return
	}
	p := w.pending[0]
	w.pending = w.pending[1:]
	p.limiter.Written(p.handover, w.nodeTime())
	delay := time.Duration(rapid.IntRange(0, int(arrivalSpread/time.Millisecond)).Draw(w.t, "arrival ms")) * time.Millisecond
	w.arrivals = append(w.arrivals, w.now.Add(delay))
}

// check checks that no second of the present coldness has more arrivals than the
// bound.
func (w *world) check() {
	if w.coldSince.IsZero() {
		return
	}
	slices.SortFunc(w.arrivals, time.Time.Compare)
	for i, first := range w.arrivals {
		if first.Before(w.coldSince) {
			continue
		}
		end := i
		for end < len(w.arrivals) && w.arrivals[end].Sub(first) < time.Second && w.arrivals[end].Before(w.coldEnds) {
			end++
		}
		if bound := w.bound.rate() + w.bound.Slack; float64(end-i) > max(1, bound) {
			w.t.Fatalf("%d arrivals in the second from %v after the VM became cold; bound %.2f", end-i, first.Sub(w.coldSince), bound)
		}
	}
}

func (w *world) step() {
	switch rapid.SampledFrom([]string{"burst", "burst", "write", "write", "time", "answer", "announce", "cold", "restart", "cancel", "pause", "fail", "upstream"}).Draw(w.t, "step") {
	case "burst":
		for range rapid.IntRange(1, 60).Draw(w.t, "requests") {
			w.arrive()
			w.write()
		}
	case "write":
		w.arrive()
		for range rapid.IntRange(1, 30).Draw(w.t, "writes") {
			w.write()
		}
	case "time":
		w.advance(time.Duration(rapid.IntRange(1, 700).Draw(w.t, "ms")) * time.Millisecond)
	case "answer":
		if q := w.question; q != nil {
			w.question = nil
			w.limiter.Evidence(w.asked, q.cold, q.ok, w.nodeTime())
		}
	case "fail":
		if w.question != nil {
			w.question = nil
			w.limiter.EvidenceFailed(w.nodeTime())
		}
	case "announce":
		// It may have been under way since before the VM became cold.
		w.limiter.Announced(0, true, w.nodeTime())
	case "cold":
		if !w.cold() {
			w.coldSince, w.coldEnds = w.now, w.now.Add(3*time.Second)
		}
	case "restart":
		w.question, w.pending = nil, nil
		w.limiter = New(w.bound, w.nodeTime())
		w.limiter.Announced(w.coldFor(), true, w.nodeTime())
	case "upstream":
		w.limiter.Restarted(w.nodeTime())
		w.limiter.Announced(w.coldFor(), true, w.nodeTime())
	case "cancel":
		if len(w.pending) > 0 {
			last := w.pending[len(w.pending)-1]
			w.pending = w.pending[:len(w.pending)-1]
			if rapid.Bool().Draw(w.t, "begun") {
				// Its bytes may have arrived though its end was not recorded.
				last.limiter.Begin(last.handover)
				w.arrivals = append(w.arrivals, w.now)
			}
			last.limiter.End(last.handover, w.nodeTime())
		}
	case "pause":
		d := time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "pause ms")) * time.Millisecond
		w.advance(d)
		if rapid.Bool().Draw(w.t, "suspended") {
			w.clockLag += d
		}
	}
}

// TestNoSecondOfAColdVMExceedsTheBound covers VMs that become cold at any moment and
// whose announcements are late, restarts and pauses of the node, suspensions in which
// its clock stands still, lost answers, and requests that are slow on their way.
func TestNoSecondOfAColdVMExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch, tells: true, bound: Bound{
			Rate:    rapid.SampledFrom([]float64{0.5, 2, 9.3, 40}).Draw(t, "rate"),
			Overage: rapid.SampledFrom([]float64{0, 1, 1.5}).Draw(t, "overage"),
			Slack:   rapid.SampledFrom([]float64{0, 1, 8}).Draw(t, "slack"), ColdStart: 3 * time.Second, AsksHealth: true,
		}}
		w.limiter = New(w.bound, w.now)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step()
			w.check()
		}
	})
}

// vmServes sends requests at a rate to a VM whose health answers come after 5 ms, and
// returns how many of them it admitted in the time.
func vmServes(l *Limiter, now time.Time, perSecond int, length, cold time.Duration, tells bool) int {
	served := 0
	var asked time.Time
	for elapsed := time.Duration(0); elapsed < length; elapsed += time.Second / time.Duration(perSecond) {
		at := now.Add(elapsed)
		if !asked.IsZero() && at.Sub(asked) >= 5*time.Millisecond {
			l.Evidence(asked, max(0, cold-elapsed), tells, at)
			asked = time.Time{}
		}
		if h := l.Admit(at); h != nil {
			l.Written(h, at)
			served++
		}
		if asked.IsZero() && l.FetchEvidence(at) {
			asked = at
		}
	}
	return served
}

func TestWarmVMIsNotHeldBack(t *testing.T) {
	for name, c := range map[string]struct{ tells bool }{"tells": {true}, "does not tell": {false}} {
		t.Run(name, func(t *testing.T) {
			l := New(desk, epoch.Add(-time.Minute))
			l.Restarted(epoch)
			l.Announced(0, true, epoch)
			served := vmServes(l, epoch, 200, 10*time.Second, 0, c.tells)
			assert.Assert(t, served >= 1950, "served %d of 2000", served)
		})
	}
}

// TestColdVMIsUsedUpToItsRate checks that a cold VM gets nearly what it bears, evenly
// and not in bursts at the start of each second, and all once it is warm.
func TestColdVMIsUsedUpToItsRate(t *testing.T) {
	l := New(desk, epoch)
	now := epoch.Add(2 * time.Second)
	l.Restarted(now)
	l.Announced(3*time.Second, true, now)
	served := vmServes(l, now, 100, 3*time.Second, 3*time.Second, true)
	assert.Assert(t, served >= 40 && served <= 8+42, "served %d in the 3 s of a coldness", served)
	served = vmServes(l, now.Add(3*time.Second), 100, time.Second, 0, true)
	assert.Assert(t, served >= 90, "served %d of 100 in the second after it", served)
}

func TestSilentAnnouncementsCountAsColdForTheColdStart(t *testing.T) {
	l := New(desk, epoch)
	l.Restarted(epoch)
	l.Announced(0, false, epoch.Add(time.Second))
	assert.Equal(t, l.ColdFor(epoch.Add(time.Second)), 3*time.Second, "says nothing at its start")
	l.Announced(0, false, epoch.Add(3*time.Second))
	assert.Equal(t, l.ColdFor(epoch.Add(4*time.Second)), time.Duration(0), "is not cold for ever")
	l.Announced(0, true, epoch.Add(5*time.Second))
	l.Announced(0, false, epoch.Add(6*time.Second))
	assert.Equal(t, l.ColdFor(epoch.Add(6*time.Second)), 3*time.Second, "forgets to say")
}

func TestNothingIsHeldBackWithoutARate(t *testing.T) {
	l := New(Bound{ColdStart: time.Second}, epoch)
	for range 1000 {
		assert.Assert(t, l.Admit(epoch) != nil)
	}
	assert.Assert(t, !l.FetchEvidence(epoch))
	assert.Equal(t, l.Rate(epoch), 0.0)
}

// TestWindowIsLongerThanASecond covers a request that arrives late and is followed, a
// second after its handover, by others that arrive at once.
func TestWindowIsLongerThanASecond(t *testing.T) {
	l := New(desk, epoch.Add(-time.Minute))
	for range desk.Allowance() - questions {
		h := l.Admit(epoch)
		assert.Assert(t, h != nil)
		l.Written(h, epoch)
	}
	assert.Assert(t, l.Admit(epoch.Add(time.Second+arrivalSpread-1)) == nil)
	assert.Assert(t, l.Admit(epoch.Add(desk.window()+1)) != nil)
}

// TestLateAnnouncementDoesNotEndAColdness covers an announcement that was sent before
// the VM became cold and comes after a health answer of the cold VM.
func TestLateAnnouncementDoesNotEndAColdness(t *testing.T) {
	l := New(desk, epoch)
	l.Evidence(epoch, 3*time.Second, true, epoch)
	l.Announced(0, true, epoch.Add(time.Second))
	assert.Equal(t, l.ColdFor(epoch.Add(time.Second)), 2*time.Second)
}

// TestBadHealthAnswersLiftNoBound covers a VM whose health questions get no answer.
func TestBadHealthAnswersLiftNoBound(t *testing.T) {
	l := New(desk, epoch)
	l.Announced(0, true, epoch)
	now, admitted := epoch.Add(2*time.Second), 0
	for range 200 {
		if h := l.Admit(now); h != nil {
			l.Written(h, now)
			admitted++
		}
		if l.FetchEvidence(now) {
			l.EvidenceFailed(now)
		}
		now = now.Add(5 * time.Millisecond)
	}
	assert.Assert(t, admitted >= desk.Allowance()-2*questions && admitted <= desk.Allowance()-questions, "admitted %d", admitted)
}

// TestEarlierQuestionDoesNotEndAnAnnouncedColdness covers a VM that becomes cold and
// announces it while its answer to an earlier question is on its way.
func TestEarlierQuestionDoesNotEndAnAnnouncedColdness(t *testing.T) {
	l := New(desk, epoch)
	now := epoch.Add(time.Second)
	l.Announced(3*time.Second, true, now)
	l.Evidence(now.Add(-time.Millisecond), 0, true, now.Add(time.Millisecond))
	assert.Equal(t, l.ColdFor(now), 3*time.Second)
}
