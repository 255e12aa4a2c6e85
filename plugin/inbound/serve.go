package inbound

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/httpcall"
	"github.com/mangomast/mangomast/internal/meshcall"
	"github.com/mangomast/mangomast/membership"
)

// serve admits and runs a request on the local upstream.
func (m *Module) serve(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	local := m.localUpstream.Load()
	upstream, state := m.upstream.current()
	switch {
	case state == membership.Leaving:
		return call.Refuse(call.CodeLeaving, "the VM is leaving"), nil
	case state != membership.Ready || upstream.Service != head.Service:
		return call.Refuse(call.CodeNoUpstream, "the VM has no upstream for the service"), nil
	}
	if refusal := m.checkKey(head); refusal != nil {
		return refusal, nil
	}
	if refusal := m.checkRegion(head); refusal != nil {
		return refusal, nil
	}
	ctx, cancel := context.WithTimeout(ctx, head.Timeout)
	var end meshcall.Ending
	defer end.Close()
	end.Add(cancel)
	slot, refusal := local.gate.Acquire(ctx, head)
	if refusal != nil {
		m.annotate(local, head, refusal, nil)
		return refusal, nil
	}
	running := &call.Running{Head: head, Context: ctx, Deadline: m.clock.Now().Add(head.Timeout)}
	// The reply of a run that panics.
	reply := call.FailedInNode()
	end.Add(func() { slot.Release(reply, running.Refused()) })
	token := m.running.Begin(running)
	end.Add(func() { m.running.End(token) })
	reply, answer := m.runIsolated(ctx, local, head, body, token)
	reply.RetriesUsed, reply.Children = running.Retries().Close(), running.Children()
	m.annotate(local, head, reply, running)
	if answer == nil {
		return reply, nil
	}
	return reply, end.With(answer)
}

// annotate adds the gate's load to a reply and, if the gate computes levels, its
// level and those of the services that the request called.
func (m *Module) annotate(local *localUpstream, head *call.Head, reply *call.Reply, running *call.Running) {
	reply.Load = local.gate.Load()
	level, ok := local.gate.Level()
	if !ok {
		return
	}
	reply.Load.MinImportance, reply.Load.MinRank = level.MinAccepted()
	if running != nil {
		reply.Levels = running.Levels(m.clock.Now())
	}
	reply.Levels = append(reply.Levels, level)
	m.routes.record(head, reply)
}

// forward sends the request to the upstream over loopback.
func (m *Module) forward(ctx context.Context, local *localUpstream, head *call.Head, body []byte, token string) (*call.Reply, io.ReadCloser) {
	req, err := http.NewRequestWithContext(ctx, head.Method, "http://"+local.upstream.Address+head.Target, bytes.NewReader(body))
	if err != nil {
		return call.Refuse(call.CodeBadRequest, "the request cannot be built"), nil
	}
	call.AddFields(req.Header, head.Header)
	call.StripHeader(req.Header)
	req.Header.Set(call.HeaderContext, token)
	req.Header.Set(call.HeaderRequestID, head.ID)
	req.Header.Set(call.HeaderOrganisation, head.Organisation)
	req.Header.Set(call.HeaderImportance, strconv.Itoa(int(head.Importance)))
	httpcall.DisableRetry(req)
	resp, err := local.client.Do(req)
	if err != nil {
		return m.failureReply(ctx, head, err), nil
	}
	if !call.IsFinalStatus(resp.StatusCode) {
		m.log.WithField("request_id", head.ID).WithField("status", resp.Status).Info("upstream response has an invalid status; the outcome is unknown")
		_ = resp.Body.Close()
		return call.UnknownOutcome(call.CodeUpstreamFailed, "the upstream's answer is not valid"), nil
	}
	call.StripHeader(resp.Header)
	reply := &call.Reply{Outcome: call.Answered, Status: resp.StatusCode, Header: call.HeaderFields(resp.Header), Length: resp.ContentLength}
	return reply, resp.Body
}

// failureReply converts an error of the connection to the upstream into a
// reply: a refusal if the connection was never made, otherwise a reply with
// unknown outcome, as the request may have run.
func (m *Module) failureReply(ctx context.Context, head *call.Head, err error) *call.Reply {
	m.log.WithError(err).WithField("request_id", head.ID).Debug("request to the upstream failed")
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return call.Refuse(call.CodeNoUpstream, "the upstream refused the connection")
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.UnknownOutcome(call.CodeDeadline, "the deadline passed while the request ran")
	case ctx.Err() != nil:
		return call.UnknownOutcome(call.CodeCancelled, "the request was cancelled while it ran")
	}
	return call.UnknownOutcome(call.CodeUpstreamFailed, "the upstream broke the connection")
}
