package ingress

import (
	"context"
	"io"
	"net/http"

	"github.com/mangomast/mangomast/call"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
	"github.com/mangomast/mangomast/retry"
)

const headerIdempotencyKey = "Idempotency-Key"

// maxClaimBytes bounds the IDs that callers may claim.
const maxClaimBytes = 256

// dispatchCounted dispatches a caller's request. All sends of an idempotent
// request for which the caller claims the same ID share one retry budget; the
// others of a request that is not idempotent never run.
func (m *Module) dispatchCounted(r *http.Request, req *request, body []byte) (*call.Reply, io.ReadCloser) {
	head := req.head
	id := claimedID(r)
	if id == "" || !head.Idempotent || m.retries.Unbounded {
		return m.dispatcher.Dispatch(r.Context(), head, body)
	}
	claim := retry.Claim{Organisation: head.Organisation, Route: head.Route, ID: id}
	budget, again := m.retries.Open(claim, head.RetryBudget)
	if !m.allowSend(head, budget, again) {
		return m.retries.Refuse(), nil
	}
	return m.dispatchShare(r.Context(), head, body, budget)
}

// allowSend pays for one send of the request.
func (m *Module) allowSend(head *call.Head, budget *retry.Budget, again bool) bool {
	if !again {
		return budget.Spend()
	}
	head.Attempt = 1
	return m.retries.Allow(retryplugin.Caller, head.Service, budget)
}

// dispatchShare dispatches with what is left of the budget, but for one unit
// that is kept for a send after a lost connection.
func (m *Module) dispatchShare(ctx context.Context, head *call.Head, body []byte, budget *retry.Budget) (*call.Reply, io.ReadCloser) {
	head.RetryBudget = budget.LendKeeping(1)
	reply, answer := m.dispatcher.Dispatch(ctx, head, body)
	budget.Settle(head.RetryBudget, reply.RetriesUsed)
	if reply.Outcome == call.Refused {
		budget.Refund()
	}
	return reply, answer
}

// claimedID returns the ID that the caller gives its request: an idempotency
// key, or the request ID of the send that it repeats.
func claimedID(r *http.Request) string {
	id := r.Header.Get(headerIdempotencyKey)
	if id == "" {
		id = r.Header.Get(call.HeaderRequestID)
	}
	if len(id) > maxClaimBytes {
		return ""
	}
	return id
}
