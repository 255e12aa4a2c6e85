package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	pauseHolder = iota
	pauseOwner
	replaceOwner
	stopOwner
	replaceHolder
	cutHolder
)

// injectFaults causes faults of the given kinds at random times.
func (sim *simulation) injectFaults(kinds []int) {
	sim.schedule(time.Duration(sim.random.Int64N(int64(sim.maxFaultInterval))), func() {
		pause := time.Duration(sim.random.Int64N(int64(Lease + 4*time.Second)))
		h := sim.holders[sim.random.IntN(len(sim.holders))]
		switch kinds[sim.random.IntN(len(kinds))] {
		case pauseHolder:
			h.pausedUntil = sim.now + pause
		case pauseOwner:
			if f := sim.owners[sim.term]; f != nil {
				f.pausedUntil = sim.now + pause
			}
		case replaceOwner:
			sim.changeOwner()
		case stopOwner:
			sim.stopOwner()
		case cutHolder:
			h.cutUntil = sim.now + pause
		case replaceHolder:
			h.holder, h.answersInFlight = NewHolder("org", sim.limit), map[uint64]Answer{}
			h.arbiter = NewArbiter()
			h.id.Incarnation++
			h.waiting = nil
		}
		sim.injectFaults(kinds)
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

// TestEveryWindowWithinLimitUnderFaults runs several holders and successive owners
// over a network that delays and loses messages, with clock drift, nodes that pause
// beyond their lease and owners that change, at up to several times the rate. No
// window of the admissions may exceed the limit.
func TestEveryWindowWithinLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  rapid.Float64Range(1, 200).Draw(t, "rate"),
			Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst")),
		}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), limit, rapid.IntRange(1, 6).Draw(t, "holders"))
		sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		sim.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 60 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
		peak := rapid.Float64Range(0.2, 4).Draw(t, "peak") * limit.Rate / float64(len(sim.holders))
		for _, h := range sim.holders {
			sim.generateLoad(h, func() float64 { return sim.random.Float64() * 2 * peak })
		}
		sim.maxFaultInterval = rapid.SampledFrom([]time.Duration{1500 * time.Millisecond, 8 * time.Second}).Draw(t, "gap")
		sim.injectFaults(rapid.SampledFrom(faultSets).Draw(t, "faults"))
		const rounding = 1e-6
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			sim.run(at)
			if rate, burst := sim.overcommitted(); rate > rounding || burst > rounding {
				t.Fatalf("after %s, the shares exceed the rate by %f/s and the burst by %f", at, rate, burst)
			}
		}
		if excess := MaxExcess(sim.admissions, limit); excess > rounding {
			t.Fatalf("a window has %f requests too many of %d admitted", excess, len(sim.admissions))
		}
	})
}

// runMovingDemand returns a simulation without faults in which most of the demand
// moves to another of four nodes every two seconds.
func runMovingDemand(seed uint64, limit Limit, demand float64) *simulation {
	sim := newSimulation(seed, limit, 4)
	sim.run(200 * time.Millisecond)
	for i, h := range sim.holders {
		sim.generateLoad(h, func() float64 {
			if int(sim.now/(2*time.Second))%4 == i {
				return 0.85 * demand
			}
			return 0.05 * demand
		})
	}
	sim.run(24 * time.Second)
	return sim
}

func TestDemandWithinTheRateIsAdmitted(t *testing.T) {
	for seed := range uint64(5) {
		limit := Limit{Rate: 100, Burst: 50}
		sim := runMovingDemand(seed, limit, 0.8*limit.Rate)
		refused := sim.sent - len(sim.admissions)
		assert.Assert(t, MaxExcess(sim.admissions, limit) <= 0)
		assert.Assert(t, refused <= sim.sent/100, "%d of %d refused", refused, sim.sent)
	}
}

// TestOverloadUsesFullRate checks that few tokens are lost in messages while the
// demand is three times the rate.
func TestOverloadUsesFullRate(t *testing.T) {
	for seed := range uint64(5) {
		limit := Limit{Rate: 100, Burst: 50}
		sim := runMovingDemand(seed, limit, 3*limit.Rate)
		const share = 0.9
		assert.Assert(t, float64(len(sim.admissions)) >= share*limit.Rate*sim.now.Seconds(), "%d admitted", len(sim.admissions))
	}
}

// refusedAfter returns the number of requests refused and sent within the given time
// after a fault, at a moving demand of 0.8 of the rate.
func refusedAfter(seed uint64, length time.Duration, fault func(*simulation)) (refused, sent int) {
	limit := Limit{Rate: 100, Burst: 50}
	sim := runMovingDemand(seed, limit, 0.8*limit.Rate)
	sim.run(sim.now + time.Second)
	sentBefore, admittedBefore := sim.sent, len(sim.admissions)
	fault(sim)
	sim.run(sim.now + length)
	sent = sim.sent - sentBefore
	return max(0, sent-(len(sim.admissions)-admittedBefore)), sent
}

// TestPlannedOwnerStopRefusesFew checks that, after a planned stop of an owner, the
// next one can use its tokens, reserve and records at once.
func TestPlannedOwnerStopRefusesFew(t *testing.T) {
	refused, sent := 0, 0
	for seed := range uint64(20) {
		r, s := refusedAfter(seed, 4*time.Second, (*simulation).stopOwner)
		refused, sent = refused+r, sent+s
	}
	assert.Assert(t, refused <= sent/100, "%d of %d refused", refused, sent)
}

// TestLostOwnerRefusesFew checks that nodes can borrow what they need while an owner
// is being replaced. Less than half as many requests are refused as without loans.
func TestLostOwnerRefusesFew(t *testing.T) {
	with, without := 0, 0
	for seed := range uint64(20) {
		r, s := refusedAfter(seed, 8*time.Second, (*simulation).crashOwner)
		with += r
		t.Logf("%d of %d refused", r, s)
		r, s = refusedAfter(seed, 8*time.Second, func(sim *simulation) { sim.loansDisabled = true; sim.crashOwner() })
		without += r
		t.Logf("%d of %d refused without loans", r, s)
	}
	assert.Assert(t, with < without/2, "%d refused, %d without loans", with, without)
}

// TestLostHolderShareIsReassigned checks that the share of a node that crashed with
// most of the demand is available to the others a few seconds later.
func TestLostHolderShareIsReassigned(t *testing.T) {
	refused, sent := 0, 0
	for seed := range uint64(20) {
		limit := Limit{Rate: 100, Burst: 50}
		sim := newSimulation(seed, limit, 4)
		sim.run(200 * time.Millisecond)
		busiest := 0
		for i, h := range sim.holders {
			sim.generateLoad(h, func() float64 {
				if i == busiest {
					return 0.7 * limit.Rate
				}
				return 0.03 * limit.Rate
			})
		}
		sim.run(5 * time.Second)
		busiest, sim.holders[0].pausedUntil = 1, time.Hour
		sim.run(8 * time.Second)
		sentBefore, admittedBefore := sim.sent, len(sim.admissions)
		sim.run(12 * time.Second)
		refused += sim.sent - sentBefore - (len(sim.admissions) - admittedBefore)
		sent += sim.sent - sentBefore
	}
	assert.Assert(t, refused <= sent/100, "%d of %d refused from 3 s to 7 s after the loss", refused, sent)
}
