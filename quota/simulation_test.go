package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Kinds of faults.
const (
	pauseHolder = iota
	pauseOwner
	replaceOwner
	stopOwner
	replaceHolder
	cutHolder
)

// faults brings about faults of the kinds at random times.
func (w *world) faults(kinds []int) {
	w.after(time.Duration(w.random.Int64N(int64(w.faultGap))), func() {
		pause := time.Duration(w.random.Int64N(int64(Lease + 4*time.Second)))
		h := w.holders[w.random.IntN(len(w.holders))]
		switch kinds[w.random.IntN(len(kinds))] {
		case pauseHolder:
			h.pausedUntil = w.now + pause
		case pauseOwner:
			if f := w.owners[w.term]; f != nil {
				f.pausedUntil = w.now + pause
			}
		case replaceOwner:
			w.changeOwner()
		case stopOwner:
			w.stopOwner()
		case cutHolder:
			h.cutUntil = w.now + pause
		case replaceHolder:
			h.holder, h.granted = NewHolder("org", w.limit), map[uint64]Answer{}
			h.arbiter = NewArbiter()
			h.id.Incarnation++
			h.waiting = nil
		}
		w.faults(kinds)
	})
}

var faultSets = [][]int{
	{pauseHolder},
	{pauseHolder, replaceHolder, pauseOwner},
	{pauseHolder, replaceOwner},
	{cutHolder, replaceOwner},
	{stopOwner},
	{pauseHolder, pauseOwner, stopOwner, replaceHolder},
	{pauseHolder, replaceHolder, pauseOwner, replaceOwner, stopOwner, cutHolder},
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
		w.faultGap = rapid.SampledFrom([]time.Duration{1500 * time.Millisecond, 8 * time.Second}).Draw(t, "gap")
		w.faults(rapid.SampledFrom(faultSets).Draw(t, "faults"))
		const rounding = 1e-6
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			w.run(at)
			if rate, burst := w.conserved(); rate > rounding || burst > rounding {
				t.Fatalf("after %s shares exceed the limit by %f/s and %f", at, rate, burst)
			}
		}
		if excess := Excess(w.admissions, limit); excess > rounding {
			t.Fatalf("a window has %f requests too many of %d admitted", excess, len(w.admissions))
		}
	})
}

// moving returns a world without faults in which most of the demand moves
// between four nodes every two seconds.
func moving(seed uint64, limit Limit, demand float64) *world {
	w := newWorld(seed, limit, 4)
	w.run(200 * time.Millisecond)
	for i, h := range w.holders {
		w.load(h, func() float64 {
			if int(w.now/(2*time.Second))%4 == i {
				return 0.85 * demand
			}
			return 0.05 * demand
		})
	}
	w.run(24 * time.Second)
	return w
}

func TestDemandWithinTheRateIsAdmitted(t *testing.T) {
	for seed := range uint64(5) {
		limit := Limit{Rate: 100, Burst: 50}
		w := moving(seed, limit, 0.8*limit.Rate)
		refused := w.sent - len(w.admissions)
		assert.Assert(t, Excess(w.admissions, limit) <= 0)
		assert.Assert(t, refused <= w.sent/100, "%d of %d refused", refused, w.sent)
	}
}

// TestTheRateIsUsedUp checks that few tokens are lost on their way while the
// demand is three times the rate.
func TestTheRateIsUsedUp(t *testing.T) {
	for seed := range uint64(5) {
		limit := Limit{Rate: 100, Burst: 50}
		w := moving(seed, limit, 3*limit.Rate)
		const share = 0.9
		assert.Assert(t, float64(len(w.admissions)) >= share*limit.Rate*w.now.Seconds(), "%d admitted", len(w.admissions))
	}
}

// refusedAfter returns how many requests were refused of those sent in a time
// after something was done, with a demand of 0.8 of the rate that moves.
func refusedAfter(seed uint64, length time.Duration, fault func(*world)) (refused, sent int) {
	limit := Limit{Rate: 100, Burst: 50}
	w := moving(seed, limit, 0.8*limit.Rate)
	w.run(w.now + time.Second)
	sentBefore, admittedBefore := w.sent, len(w.admissions)
	fault(w)
	w.run(w.now + length)
	sent = w.sent - sentBefore
	return max(0, sent-(len(w.admissions)-admittedBefore)), sent
}

// TestPlannedStopOfAnOwner checks that the tokens, the reserve and the records
// of an owner that stops are of use to the next one at once.
func TestPlannedStopOfAnOwner(t *testing.T) {
	refused, sent := 0, 0
	for seed := range uint64(20) {
		r, s := refusedAfter(seed, 4*time.Second, (*world).stopOwner)
		refused, sent = refused+r, sent+s
	}
	assert.Assert(t, refused <= sent/100, "%d of %d refused", refused, sent)
}

// TestLostOwnerRefusesFew checks that what the demand moves reaches the nodes
// that need it while an owner is replaced: less than half of the refusals of
// holders that do not lend remain.
func TestLostOwnerRefusesFew(t *testing.T) {
	with, without := 0, 0
	for seed := range uint64(20) {
		r, s := refusedAfter(seed, 8*time.Second, (*world).killOwner)
		with += r
		t.Logf("%d of %d refused", r, s)
		r, s = refusedAfter(seed, 8*time.Second, func(w *world) { w.withoutLoans = true; w.killOwner() })
		without += r
		t.Logf("%d of %d refused without loans", r, s)
	}
	assert.Assert(t, with < without/2, "%d refused, %d without loans", with, without)
}

// TestLostHolderIsMissedForShort checks that the share of a node that died
// with most of the demand is of use to the others after a few seconds.
func TestLostHolderIsMissedForShort(t *testing.T) {
	refused, sent := 0, 0
	for seed := range uint64(20) {
		limit := Limit{Rate: 100, Burst: 50}
		w := newWorld(seed, limit, 4)
		w.run(200 * time.Millisecond)
		hot := 0
		for i, h := range w.holders {
			w.load(h, func() float64 {
				if i == hot {
					return 0.7 * limit.Rate
				}
				return 0.03 * limit.Rate
			})
		}
		w.run(5 * time.Second)
		hot, w.holders[0].pausedUntil = 1, time.Hour
		w.run(8 * time.Second)
		sentBefore, admittedBefore := w.sent, len(w.admissions)
		w.run(12 * time.Second)
		refused += w.sent - sentBefore - (len(w.admissions) - admittedBefore)
		sent += w.sent - sentBefore
	}
	assert.Assert(t, refused <= sent/100, "%d of %d refused from 3 s to 7 s after the loss", refused, sent)
}
