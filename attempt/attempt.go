// Package attempt decides whether a request that was not served is sent to
// another VM, and which outcome is reported to its caller. It starts no
// goroutines and uses no sockets, clock or random source.
package attempt

import (
	"net/http"

	"github.com/mangomast/mangomast/call"
)

// maxReroutes is the maximum number of further VMs that a request is sent to
// after guards have refused it. These attempts reach no upstream.
const maxReroutes = 3

// Tracker tracks the attempts of one request. It is not safe for concurrent use.
type Tracker struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxSends is the maximum number of upstreams that the request is sent to;
	// 0 for no limit.
	MaxSends int

	// sends counts the attempts that may have reached an upstream; reroutes
	// counts those that did not.
	sends, reroutes int
	// mayHaveRun is set once the request may have run.
	mayHaveRun bool
}

// Sends returns the number of attempts that may have reached an upstream.
func (t *Tracker) Sends() int { return t.sends }

// ShouldRetry records the reply to an attempt and reports whether to try
// another VM. If the attempt may have reached an upstream, allowRetry is called
// and decides whether the retry budget permits the retry.
func (t *Tracker) ShouldRetry(reply *call.Reply, allowRetry func() bool) bool {
	t.record(reply)
	if !t.retriable(reply) {
		return false
	}
	if !reachedUpstream(reply) {
		return t.reroutes <= maxReroutes
	}
	if t.MaxSends > 0 && t.sends >= t.MaxSends {
		return false
	}
	return allowRetry()
}

func (t *Tracker) record(reply *call.Reply) {
	if reply.Outcome != call.Refused {
		t.mayHaveRun = true
	}
	if reachedUpstream(reply) {
		t.sends++
	} else {
		t.reroutes++
	}
}

// CallerReply returns the reply for the caller. A refusal becomes an unknown
// outcome if an earlier attempt may have run.
func (t *Tracker) CallerReply(reply *call.Reply) *call.Reply {
	if reply.Outcome != call.Refused || !t.mayHaveRun {
		return reply
	}
	unknown := *reply
	unknown.Outcome = call.Unknown
	return &unknown
}

// retriable reports whether another attempt is allowed and may succeed.
func (t *Tracker) retriable(reply *call.Reply) bool {
	switch reply.Outcome {
	case call.Refused:
		switch reply.Code {
		case call.CodeOverloaded, call.CodeDeadline, call.CodeLeaving, call.CodeNoUpstream, call.CodeConnectionLost, call.CodeUpstreamFailed,
			call.CodeEvacuated, call.CodeForeignRegion:
			return true
		}
		return false
	case call.Answered:
		return t.Idempotent && reply.Status >= http.StatusInternalServerError
	}
	return t.Idempotent && (reply.Code == call.CodeConnectionLost || reply.Code == call.CodeUpstreamFailed)
}

// reachedUpstream reports whether an upstream may have received the request. An
// upstream that declined it has received it.
func reachedUpstream(reply *call.Reply) bool {
	return reply.Outcome != call.Refused || reply.Code == call.CodeUpstreamFailed
}
