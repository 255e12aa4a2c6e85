package routing

import (
	"math"
	"net/http"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

// resultGain is the weight of one result in a VM's failure rate: three failures
// in a row raise it to 0.39.
const resultGain = 0.15

// vm is this node's state of one VM.
type vm struct {
	incarnation uint64
	slots       int
	// rampStart is when the VM became a candidate or returned from ejection.
	rampStart time.Time
	// coldNumber is the last coldness of the VM that is known, coldUntil its end and
	// coldShare the share of its slots that it then uses.
	coldNumber uint64
	coldUntil  time.Time
	coldShare  float64
	// lastListed is when the VM was last a candidate.
	lastListed time.Time

	// outstanding is the number of this node's attempts in flight.
	outstanding int
	// otherNodesLoad is the part of the last reported load that other nodes
	// caused.
	otherNodesLoad int
	limit          int
	reportedAt     time.Time

	// failures is the decaying number of failures; failureRate is the moving
	// average of failures over the last results.
	failures    decayingSum
	failureRate float64
	// sampleWeight is the weight of observed results in failureRate. The
	// remaining weight, up to 1, counts as successes.
	sampleWeight float64
	// failureStreak is the number of failures since the last success.
	failureStreak int
	lastResult    time.Time
	latency       latencyEWMA
	// failureRateAtEjection is the failure rate that led to the ejection at
	// ejectedAt; 0 after a later success.
	failureRateAtEjection float64
	ejectedAt             time.Time

	ejectedUntil time.Time
	ejections    int
	// ejectedForLatency is set if the last ejection was for latency and not for
	// failures.
	ejectedForLatency bool
}

// markListed records that the VM is a candidate. A new incarnation, or a VM
// that was not a candidate before, starts without history and with a new ramp.
func (v *vm) markListed(entry membership.Entry, added bool, now time.Time) {
	if added || v.incarnation != entry.Incarnation {
		*v = vm{incarnation: entry.Incarnation, rampStart: now, outstanding: v.outstanding}
	}
	v.slots = max(1, entry.Slots)
	v.lastListed = now
	if entry.Cold.Number != v.coldNumber {
		v.coldNumber, v.coldUntil = entry.Cold.Number, now.Add(entry.Cold.For)
		v.coldShare = min(1, float64(max(1, entry.Cold.Slots))/float64(v.slots))
	}
}

// ramp returns the VM's weight during its ramp or while it is cold, above 0 and at
// most 1.
func (v *vm) ramp(now time.Time, length time.Duration) float64 {
	const start = 0.1
	if now.Before(v.coldUntil) {
		return v.coldShare
	}
	if length <= 0 {
		return 1
	}
	progress := now.Sub(v.rampStart).Seconds() / length.Seconds()
	return min(1, start+(1-start)*max(0, progress))
}

// running estimates the number of requests in flight at the VM. This node's own
// are counted exactly; the reported load from other nodes decays with the age
// of the report.
func (v *vm) running(now time.Time, halfLife time.Duration) float64 {
	age := max(0, now.Sub(v.reportedAt).Seconds())
	return float64(v.outstanding) + float64(v.otherNodesLoad)*math.Exp2(-age/halfLife.Seconds())
}

// capacity returns the last reported concurrency limit, or the announced slots
// before the first report.
func (v *vm) capacity() float64 {
	if v.limit > 0 {
		return float64(v.limit)
	}
	return float64(v.slots)
}

// observe records the result of an attempt.
func (v *vm) observe(r Result, timeConstant time.Duration) {
	v.outstanding = max(0, v.outstanding-1)
	if r.Reply.Load.Limit > 0 {
		load := r.Reply.Load
		v.otherNodesLoad = max(0, load.Running+load.Queued-v.outstanding-1)
		v.limit, v.reportedAt = load.Limit, r.Now
	}
	switch classify(r.Reply) {
	case failed:
		v.failures.add(r.Now, 1, timeConstant)
		v.recordResult(1, r.Now)
	case served:
		v.latency.add(r.Now, r.Latency, timeConstant)
		v.recordResult(0, r.Now)
		v.failureRateAtEjection = 0
	}
}

// recordResult adds a failure (1) or success (0) to the failure rate. The
// average is per result and not per time, so that a failing VM is detected
// after the same number of results at any request rate.
func (v *vm) recordResult(failure float64, now time.Time) {
	v.failureRate += resultGain * (failure - v.failureRate)
	v.sampleWeight += resultGain * (1 - v.sampleWeight)
	v.failureStreak++
	if failure == 0 {
		v.failureStreak = 0
	}
	v.lastResult = now
}

// recentFailureRate returns the failure rate used to compare VMs; ok is false
// without recent results. It is the rate among observed results only: with the
// assumed successes of sampleWeight, a VM whose few results all failed would
// look healthy.
func (v *vm) recentFailureRate(now time.Time, timeConstant time.Duration) (rate float64, ok bool) {
	if v.sampleWeight > 0 && now.Sub(v.lastResult) <= timeConstant {
		rate, ok = v.failureRate/v.sampleWeight, true
	}
	if now.Sub(v.ejectedAt) <= timeConstant && v.failureRateAtEjection > rate {
		rate, ok = v.failureRateAtEjection, true
	}
	return rate, ok
}

func (v *vm) ejected(now time.Time) bool { return now.Before(v.ejectedUntil) }

// resultClass is what a reply indicates about the health of the VM.
type resultClass int

const (
	// neutral replies are no evidence of the VM's health: refusals for load, a
	// planned stop, a cancelled request.
	neutral resultClass = iota
	served
	failed
)

func classify(reply *call.Reply) resultClass {
	if reply.Outcome == call.Answered {
		if reply.Status >= http.StatusInternalServerError {
			return failed
		}
		return served
	}
	switch reply.Code {
	case call.CodeConnectionLost, call.CodeUpstreamFailed, call.CodeNoUpstream, call.CodeInternal:
		return failed
	case call.CodeDeadline:
		if reply.Outcome == call.Unknown {
			return failed
		}
	}
	return neutral
}
