package egress

import (
	"context"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/httpcall"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
	"github.com/mangomast/mangomast/retry"
)

// send dispatches one call of the parent request and writes its answer. A call
// that repeats a failed one is a retry of the parent request.
func (m *Module) send(c echo.Context, parent *call.Running, head *call.Head, route *config.Route, body []byte) error {
	ctx, cancel := mergeContexts(c.Request().Context(), parent.Context)
	defer cancel()
	if m.retries.Unbounded {
		head.RetryBudget = route.RetryBudget
		reply, answer := m.dispatcher.Dispatch(ctx, head, body)
		parent.RecordReply(reply, m.clock.Now())
		return httpcall.WriteReply(c, head.ID, reply, answer, route.MaxAnswerBytes)
	}
	signature := signatureOf(head, body)
	kind, err := beginSend(ctx, &parent.Sends, signature)
	if err != nil {
		return httpcall.WriteReply(c, head.ID, call.Refuse(call.CodeCancelled, "the call was cancelled before it was sent"), nil, 0)
	}
	success := false
	defer func() { parent.Sends.End(signature, success) }()
	if kind == retry.Resend {
		head.Attempt = 1
		if !m.retries.Allow(retryplugin.Upstream, head.Service, parent.Retries()) {
			return httpcall.WriteReply(c, head.ID, m.retries.Refuse(), nil, 0)
		}
	}
	reuseID(parent, head, signature)
	reply, answer := m.dispatch(ctx, parent, head, body)
	// Recorded as not delivered first: if writing the answer fails, a repeated
	// call must keep its ID.
	recordID(parent, head, signature, reply, false)
	err = httpcall.WriteReply(c, head.ID, reply, answer, route.MaxAnswerBytes)
	delivered := err == nil && c.Request().Context().Err() == nil
	recordID(parent, head, signature, reply, delivered)
	success = delivered && succeeded(reply)
	return err
}

// dispatch dispatches the call with a loan of half the parent's remaining
// retries.
func (m *Module) dispatch(ctx context.Context, parent *call.Running, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	budget := parent.Retries()
	head.RetryBudget = budget.LendHalf()
	reply, answer := m.dispatcher.Dispatch(ctx, head, body)
	parent.RecordReply(reply, m.clock.Now())
	budget.Settle(head.RetryBudget, reply.RetriesUsed)
	return reply, answer
}

// beginSend waits until no call with the signature is in progress, then starts
// one.
func beginSend(ctx context.Context, sends *retry.Sends, signature retry.Signature) (retry.SendKind, error) {
	for {
		kind, done := sends.Begin(signature)
		if kind != retry.Busy {
			return kind, nil
		}
		select {
		case <-done:
		case <-ctx.Done():
			return kind, ctx.Err()
		}
	}
}

func signatureOf(head *call.Head, body []byte) retry.Signature {
	return retry.Signature(xxh3.HashString(head.Method+" "+head.Target) ^ xxh3.HashSeed(body, 1))
}

// succeeded reports whether an upstream has no reason to send the call again.
func succeeded(reply *call.Reply) bool {
	if reply.Outcome != call.Answered {
		return false
	}
	switch reply.Status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return reply.Status < http.StatusInternalServerError
}
