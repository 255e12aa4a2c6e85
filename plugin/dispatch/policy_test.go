package dispatch

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

func TestRetriable(t *testing.T) {
	failed := &call.Reply{Outcome: call.Answered, Status: http.StatusInternalServerError}
	retriedDownstream := &call.Reply{Outcome: call.Answered, Status: http.StatusBadGateway, RetriesUsed: 1}
	cases := []struct {
		name                      string
		reply                     *call.Reply
		idempotent, nonIdempotent bool
	}{
		{name: "success", reply: &call.Reply{Outcome: call.Answered, Status: http.StatusOK}},
		{name: "client error", reply: &call.Reply{Outcome: call.Answered, Status: http.StatusNotFound}},
		{name: "server error", reply: failed, idempotent: true},
		{name: "server error that was retried below", reply: retriedDownstream},
		{name: "lost connection", reply: call.UnknownOutcome(call.CodeConnectionLost, ""), idempotent: true},
		{name: "broken upstream connection", reply: call.UnknownOutcome(call.CodeUpstreamFailed, ""), idempotent: true},
		{name: "deadline", reply: call.UnknownOutcome(call.CodeDeadline, "")},
		{name: "retry that was not allowed", reply: call.UnknownOutcome(call.CodeRetryBudget, "")},
		{name: "not sent", reply: call.Refuse(call.CodeConnectionLost, ""), idempotent: true, nonIdempotent: true},
		{name: "overloaded", reply: call.Refuse(call.CodeOverloaded, ""), idempotent: true, nonIdempotent: true},
		{name: "deadline in the queue", reply: call.Refuse(call.CodeDeadline, "")},
	}
	for _, c := range cases {
		assert.Equal(t, retriable(c.reply, true), c.idempotent, c.name)
		assert.Equal(t, retriable(c.reply, false), c.nonIdempotent, c.name)
	}
}

func TestRefusalAfterPossibleRunIsUnknown(t *testing.T) {
	d := &dispatch{}
	assert.Equal(t, d.callerReply(call.Refuse(call.CodeOverloaded, "")).Outcome, call.Refused)
	d.possiblyRan = true
	assert.Equal(t, d.callerReply(call.Refuse(call.CodeOverloaded, "")).Outcome, call.Unknown)
	assert.Equal(t, d.callerReply(&call.Reply{Outcome: call.Answered}).Outcome, call.Answered)
}

func TestLeafServicesAreDetected(t *testing.T) {
	var l leafServices
	assert.Assert(t, !l.contains("fares"))
	l.observe("fares", &call.Reply{Outcome: call.Answered, Status: http.StatusOK})
	assert.Assert(t, l.contains("fares"))
	l.observe("fares", &call.Reply{Outcome: call.Answered, Status: http.StatusOK, Children: 1})
	l.observe("fares", &call.Reply{Outcome: call.Answered, Status: http.StatusOK})
	assert.Assert(t, !l.contains("fares"))
}
