package ingress

import (
	"io"
	"net/http"

	"github.com/mangomast/mangomast/call"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
	"github.com/mangomast/mangomast/retry"
)

const headerIdempotencyKey = "Idempotency-Key"

// maxClaimBytes is the maximum length of IDs claimed by callers.
const maxClaimBytes = 256

// dispatchWithinBudget dispatches a caller's request. All sends of an
// idempotent request with the same claimed ID share one retry budget. A
// non-idempotent request is limited to one run by the ledger.
func (m *Module) dispatchWithinBudget(r *http.Request, req *request, body []byte) (*call.Reply, io.ReadCloser) {
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
	if send.Resend {
		head.Attempt = 1
		if !m.retries.AllowResend(head.Service) {
			send.End(0, false)
			return m.retries.Refuse(), nil
		}
	}
	head.RetryBudget = send.Loan
	reply, answer := m.dispatcher.Dispatch(r.Context(), head, body)
	m.endSend(send, reply)
	return reply, answer
}

// dispatchNew dispatches a request without a claimed ID. If it fails, its
// budget is stored under the ID in the reply, in case the caller repeats the
// request.
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

// endSend settles a send. After a failure it does so before the reply is
// written, so that the caller's next send finds the remaining budget; after a
// success it settles in the background.
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

// claimedID returns the ID that the caller gave its request: an idempotency
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
