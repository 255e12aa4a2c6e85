package routing

import (
	"math"
	"net/http"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

// resultGain is the weight of one result in a VM's failure rate: three
// failures in a row make it 0.39.
const resultGain = 0.15

// vm is what this node has seen of one VM.
type vm struct {
	incarnation uint64
	slots       int
	// since is when the VM began to take work, or came back from ejection.
	since time.Time
	// listed is when the VM was last a candidate.
	listed time.Time

	// outstanding counts this node's tries without a result.
	outstanding int
	// others is the load at the last report that was not this node's.
	others   int
	limit    int
	reported time.Time

	// failures fades with time; failureRate is the share of failures among the
	// last results.
	failures    average
	failureRate float64
	// seen is the weight of the results in failureRate; the rest of it, up to
	// 1, counts as successes that were not seen.
	seen float64
	// streak counts the failures since the last success.
	streak  int
	judged  time.Time
	latency latencyAverage
	// pastRate is the share of failures that led to the ejection at pastTime.
	pastRate float64
	pastTime time.Time

	ejectedUntil time.Time
	ejections    int
	// slow is set if the VM was ejected for its latency only.
	slow bool
}

// list records that the VM is a candidate. A new incarnation, or a VM that was
// no candidate before, starts cold.
func (v *vm) list(entry membership.Entry, returned bool, now time.Time) {
	if returned || v.incarnation != entry.Incarnation {
		*v = vm{incarnation: entry.Incarnation, since: now, outstanding: v.outstanding}
	}
	v.slots = max(1, entry.Slots)
	v.listed = now
}

// ramp returns the VM's share of its full weight, above 0 and at most 1.
func (v *vm) ramp(now time.Time, length time.Duration) float64 {
	const start = 0.1
	if length <= 0 {
		return 1
	}
	progress := now.Sub(v.since).Seconds() / length.Seconds()
	return min(1, start+(1-start)*max(0, progress))
}

// running estimates the requests that the VM holds: this node's own are known,
// those of other nodes fade with the age of the report.
func (v *vm) running(now time.Time, halfLife time.Duration) float64 {
	age := max(0, now.Sub(v.reported).Seconds())
	return float64(v.outstanding) + float64(v.others)*math.Exp2(-age/halfLife.Seconds())
}

// capacity returns the limit that was reported, or the slots announced.
func (v *vm) capacity() float64 {
	if v.limit > 0 {
		return float64(v.limit)
	}
	return float64(v.slots)
}

// observe records the result of a try.
func (v *vm) observe(r Result, memory time.Duration) {
	v.outstanding = max(0, v.outstanding-1)
	if r.Reply.Load.Limit > 0 {
		load := r.Reply.Load
		v.others = max(0, load.Running+load.Queued-v.outstanding-1)
		v.limit, v.reported = load.Limit, r.Now
	}
	switch judge(r.Reply) {
	case failed:
		v.failures.add(r.Now, 1, memory)
		v.result(1, r.Now)
	case served:
		v.latency.add(r.Now, r.Latency, memory)
		v.result(0, r.Now)
		v.pastRate = 0
	}
}

// result takes a failure (1) or success (0) into the failure rate. It counts
// by results and not by time, so that a busy VM that begins to fail is noticed
// after as few of them as a quiet one.
func (v *vm) result(failure float64, now time.Time) {
	v.failureRate += resultGain * (failure - v.failureRate)
	v.seen += resultGain * (1 - v.seen)
	v.streak++
	if failure == 0 {
		v.streak = 0
	}
	v.judged = now
}

// evidence returns the failure rate that other VMs are compared with; ok is
// false if the VM had no result lately. It is the rate among the results that
// were seen, so that a VM whose few results all failed does not pass for sound.
func (v *vm) evidence(now time.Time, memory time.Duration) (rate float64, ok bool) {
	if v.seen > 0 && now.Sub(v.judged) <= memory {
		rate, ok = v.failureRate/v.seen, true
	}
	if now.Sub(v.pastTime) <= memory && v.pastRate > rate {
		rate, ok = v.pastRate, true
	}
	return rate, ok
}

func (v *vm) ejected(now time.Time) bool { return now.Before(v.ejectedUntil) }

// judgement is what a reply says of the VM.
type judgement int

const (
	// neutral replies say nothing of the VM's health: refusals for load, a
	// planned stop, a caller that left.
	neutral judgement = iota
	served
	failed
)

func judge(reply *call.Reply) judgement {
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
