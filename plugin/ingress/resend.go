package ingress

import (
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
// request for which the caller claims the same ID share one retry budget; a
// request that is not idempotent is run once by its ledger.
func (m *Module) dispatchCounted(r *http.Request, req *request, body []byte) (*call.Reply, io.ReadCloser) {
	head := req.head
	if !head.Idempotent || m.retries.Unbounded {
		return m.dispatcher.Dispatch(r.Context(), head, body)
	}
	claim := retry.Claim{Organisation: head.Organisation, Route: head.Route, ID: claimedID(r)}
	if claim.ID == "" {
		return m.dispatchNew(r, head, body)
	}
	send := m.retries.Begin(r.Context(), head.Service, claim, head.RetryBudget)
	if !send.Reached {
		refusal := call.Refuse(call.CodeNoUpstream, "the VM that counts the sends of the request does not answer")
		refusal.RetryAfter = m.retries.Delay()
		return refusal, nil
	}
	if !send.Allowed {
		return m.retries.Refuse(), nil
	}
	if send.Again {
		head.Attempt = 1
		if !m.retries.AllowSend(head.Service) {
			send.End(0, false)
			return m.retries.Refuse(), nil
		}
	}
	head.RetryBudget = send.Loan
	reply, answer := m.dispatcher.Dispatch(r.Context(), head, body)
	m.endSend(send, reply)
	return reply, answer
}

// dispatchNew dispatches a request without a claim. If it fails, its budget is
// kept under the ID that the reply tells, should the caller repeat it.
func (m *Module) dispatchNew(r *http.Request, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	budget := head.RetryBudget
	reply, answer := m.dispatcher.Dispatch(r.Context(), head, body)
	if reply.Outcome != call.Refused && failed(reply) && r.Context().Err() == nil {
		claim := retry.Claim{Organisation: head.Organisation, Route: head.Route, ID: head.ID}
		send := m.retries.Begin(r.Context(), head.Service, claim, budget)
		send.End(reply.RetriesUsed, true)
	}
	return reply, answer
}

// endSend settles a send before its reply is given, so that the next one finds
// the budget; after a success nobody waits for that.
func (m *Module) endSend(send *retryplugin.Send, reply *call.Reply) {
	used, ran := reply.RetriesUsed, reply.Outcome != call.Refused
	if failed(reply) {
		send.End(used, ran)
		return
	}
	go send.End(used, ran)
}

// failed reports whether a caller may want to send the request again.
func failed(reply *call.Reply) bool {
	return reply.Outcome != call.Answered || reply.Status >= http.StatusInternalServerError
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
