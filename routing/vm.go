package routing

import (
	"math"
	"net/http"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

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

	successes average
	failures  average
	latency   latencyAverage
	// pastSuccesses and pastFailures are those that led to the last ejection.
	pastSuccesses average
	pastFailures  average

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

// load returns the VM's load with one more request, as a share of its limit.
func (v *vm) load(now time.Time, halfLife time.Duration) float64 {
	return (v.running(now, halfLife) + 1) / v.capacity()
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
	case served:
		v.successes.add(r.Now, 1, memory)
		v.latency.add(r.Now, r.Latency, memory)
	}
}

func (v *vm) failureRate(now time.Time, memory time.Duration) float64 {
	failures, successes := v.failures.at(now, memory), v.successes.at(now, memory)
	if failures == 0 {
		return 0
	}
	return failures / (failures + successes)
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
