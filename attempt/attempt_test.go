package attempt

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangomast/mangomast/call"
)

func answered(status int) *call.Reply { return &call.Reply{Outcome: call.Answered, Status: status} }

func TestShouldRetry(t *testing.T) {
	for name, c := range map[string]struct {
		reply                     *call.Reply
		idempotent, nonIdempotent bool
	}{
		"served":                        {reply: answered(200)},
		"client error":                  {reply: answered(404)},
		"server error":                  {reply: answered(500), idempotent: true},
		"guard is overloaded":           {reply: call.Refuse(call.CodeOverloaded, ""), idempotent: true, nonIdempotent: true},
		"VM is leaving":                 {reply: call.Refuse(call.CodeLeaving, ""), idempotent: true, nonIdempotent: true},
		"not sent":                      {reply: call.Refuse(call.CodeConnectionLost, ""), idempotent: true, nonIdempotent: true},
		"upstream declined":             {reply: call.Refuse(call.CodeUpstreamFailed, ""), idempotent: true, nonIdempotent: true},
		"caller cancelled":              {reply: call.Refuse(call.CodeCancelled, "")},
		"connection lost after sending": {reply: call.UnknownOutcome(call.CodeConnectionLost, ""), idempotent: true},
		"upstream connection lost":      {reply: call.UnknownOutcome(call.CodeUpstreamFailed, ""), idempotent: true},
		"deadline passed":               {reply: call.UnknownOutcome(call.CodeDeadline, "")},
	} {
		budget := func() bool { return true }
		assert.Equal(t, (&Tracker{Idempotent: true}).ShouldRetry(c.reply, budget), c.idempotent, name)
		assert.Equal(t, (&Tracker{}).ShouldRetry(c.reply, budget), c.nonIdempotent, "%s, not idempotent", name)
	}
}

// TestSendsAreBoundedAndOutcomesCorrect sends a request to VMs that reply at
// random. It must reach no more upstreams than allowed, every send after the
// first must be permitted by the budget, and a non-idempotent request must not
// be sent again once it may have run.
func TestSendsAreBoundedAndOutcomesCorrect(t *testing.T) {
	replies := []*call.Reply{
		answered(200), answered(500), call.Refuse(call.CodeOverloaded, ""), call.Refuse(call.CodeNoUpstream, ""),
		call.Refuse(call.CodeUpstreamFailed, ""), call.UnknownOutcome(call.CodeUpstreamFailed, ""), call.UnknownOutcome(call.CodeDeadline, ""),
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker := &Tracker{Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxSends: rapid.IntRange(0, 3).Draw(t, "max sends")}
		budget, budgetRequests, attempts, mayHaveRun := rapid.IntRange(0, 4).Draw(t, "budget"), 0, 0, false
		var last *call.Reply
		for retry := true; retry; {
			assert.Assert(t, tracker.Idempotent || !mayHaveRun, "sent again after it may have run")
			last = rapid.SampledFrom(replies).Draw(t, "reply")
			attempts++
			mayHaveRun = mayHaveRun || last.Outcome != call.Refused
			retry = tracker.ShouldRetry(last, func() bool {
				budgetRequests++
				return budgetRequests <= budget
			})
		}
		assert.Assert(t, tracker.MaxSends == 0 || tracker.Sends() <= tracker.MaxSends)
		assert.Assert(t, tracker.Sends() <= 1+budget+maxReroutes)
		assert.Assert(t, attempts <= 1+maxReroutes+budget+1)
		if tracker.CallerReply(last).Outcome == call.Refused {
			assert.Assert(t, !mayHaveRun, "reported as refused though it may have run")
		}
	})
}
