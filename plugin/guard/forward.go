package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/dialect"
	"github.com/mangomast/mangomast/internal/connpool"
	"github.com/mangomast/mangomast/internal/meshcall"
)

// attempt is one attempt to send a request to the upstream.
type attempt struct {
	*Module
	ctx      context.Context
	upstream Announcement
	head     *call.Head
	run      *run
	// conn is the connection that the request is sent on; nil before it is dialed.
	conn *connpool.Conn
}

// forward sends the request to the upstream and returns its reply.
func (m *Module) forward(ctx context.Context, r *run) (reply *call.Reply, answer io.ReadCloser) {
	defer func() {
		if answer == nil {
			m.crashes.end(r)
		}
	}()
	outgoing := *r.head
	outgoing.Timeout = m.deadline(ctx, r.head).Sub(m.clock.Now())
	a := &attempt{Module: m, ctx: ctx, upstream: r.upstream, head: &outgoing, run: r}
	return a.execute()
}

// execute sends the request and converts the response. The run ends when the returned
// body is closed, or with the call if there is none.
func (a *attempt) execute() (reply *call.Reply, answer io.ReadCloser) {
	defer func() {
		if reply == nil && a.conn != nil {
			a.conn.Close()
		}
	}()
	req, err := a.buildRequest(a.run.body)
	if err != nil {
		return call.Refuse(call.CodeBadRequest, "the request cannot be built"), nil
	}
	started := a.clock.Now()
	resp, err := a.roundTrip(req)
	a.metrics.upstream.Observe(a.clock.Since(started).Seconds())
	if err != nil {
		return a.failureReply(err), nil
	}
	return a.handleResponse(resp)
}

// roundTrip sends the request and returns the head of the response. A connection
// that the upstream closed while it was idle, before any part of the request was
// sent, is replaced.
func (a *attempt) roundTrip(req *http.Request) (*http.Response, error) {
	for {
		conn, err := a.pool.Get(a.ctx, a.Address)
		if err != nil {
			return nil, err
		}
		a.conn = conn
		a.crashes.begin(a.run)
		resp, err := conn.RoundTrip(req)
		if err == nil {
			return resp, nil
		}
		conn.Close()
		if !conn.Written() {
			a.crashes.end(a.run)
		}
		if !conn.Reused() || conn.Written() || a.ctx.Err() != nil {
			return nil, err
		}
		if req.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
	}
}

func (a *attempt) buildRequest(body []byte) (*http.Request, error) {
	target, err := url.ParseRequestURI(a.head.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", a.Address
	req, err := http.NewRequestWithContext(a.ctx, a.head.Method, "http://"+a.Address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.URL, req.Host = target, a.head.Host
	call.AddFields(req.Header, a.head.Header)
	a.dialect.SetHeaders(req.Header, a.head, a.upstream.Instance)
	if _, present := req.Header["User-Agent"]; !present {
		req.Header["User-Agent"] = nil
	}
	return req, nil
}

// handleResponse converts the upstream's response. A body shorter than
// maxBufferedBytes is read completely, as far as there is memory for it; any other
// is streamed.
//
// The connection is used again only if the response names the request. A second
// copy of a response without its ID, which may arrive later, could not be told from
// the response to the next request.
func (a *attempt) handleResponse(resp *http.Response) (*call.Reply, io.ReadCloser) {
	if !call.IsFinalStatus(resp.StatusCode) {
		a.logFailure("upstream response has an invalid status; closing its connection, the outcome is unknown", errors.Errorf("status %q", resp.Status))
		_ = resp.Body.Close()
		a.conn.Close()
		return call.UnknownOutcome(call.CodeUpstreamFailed, "the upstream's answer is not valid"), nil
	}
	verdict, attributed := a.dialect.Classify(a.head, resp)
	body := &answerBody{body: resp.Body, conn: a.conn, reusable: attributed && !resp.Close}
	switch verdict {
	case dialect.Declined:
		body.discard()
		return call.Refuse(call.CodeUpstreamFailed, "the upstream did not run the request"), nil
	case dialect.Misdirected:
		_ = body.Close()
		a.markAbsent(a.upstream.Instance, "another upstream has the address")
		return call.Refuse(call.CodeNoUpstream, "another upstream has the address"), nil
	case dialect.MismatchedID:
		a.logFailure("upstream response belongs to another request; closing its connection, the outcome is unknown", nil)
		_ = body.Close()
		return call.UnknownOutcome(call.CodeUpstreamFailed, "the upstream answered another request"), nil
	}
	call.StripHeader(resp.Header)
	reply := &call.Reply{Outcome: call.Answered, Status: resp.StatusCode, Header: call.HeaderFields(resp.Header), Length: resp.ContentLength}
	buffered, complete, memory, err := a.answers.ReadAhead(body, maxBufferedBytes)
	if err != nil {
		memory.Release()
		_ = body.Close()
		return a.failureReply(err), nil
	}
	if complete {
		if a.head.Method != http.MethodHead {
			reply.Length = int64(len(buffered))
		}
		_ = body.Close()
		a.crashes.end(a.run)
		a.quarantine.Settle(a.run.upstream.Service, a.run.fingerprint)
		return reply, &meshcall.FinishingBody{ReadCloser: io.NopCloser(bytes.NewReader(buffered)), Finish: memory.Release}
	}
	body.broke = func() {
		if a.ctx.Err() == nil {
			a.crashes.connectionBroke(a.run)
		}
	}
	streamed := struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(buffered), body), body}
	return reply, &meshcall.FinishingBody{ReadCloser: streamed, Finish: func() {
		a.crashes.end(a.run)
		if body.complete {
			a.quarantine.Settle(a.run.upstream.Service, a.run.fingerprint)
		}
		memory.Release()
	}}
}

// maxDiscardedBytes bounds the body of a declined request that is read, so that its
// connection can be used again.
const maxDiscardedBytes = 4 << 10

// answerBody is the body of a response. Close releases the connection if the body
// was read to its end and the connection is reusable, and closes it otherwise.
type answerBody struct {
	body     io.ReadCloser
	conn     *connpool.Conn
	reusable bool
	complete bool
	// broke, if set, is called once when reading fails.
	broke  func()
	closed sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	if err != nil && !b.complete && b.broke != nil {
		b.broke()
		b.broke = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.body.Close()
	b.closed.Do(func() {
		if b.reusable && b.complete {
			b.conn.Release()
		} else {
			b.conn.Close()
		}
	})
	return err
}

// discard reads a short body and closes it.
func (b *answerBody) discard() {
	if b.reusable {
		_, _ = io.CopyN(io.Discard, b, maxDiscardedBytes)
	}
	_ = b.Close()
}

// failureReply converts an error of the connection to the upstream into a
// reply: a refusal if no part of the request was sent, otherwise a reply with
// unknown outcome.
func (a *attempt) failureReply(err error) *call.Reply {
	a.logFailure("request to the upstream failed", err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && a.ctx.Err() == nil {
		a.markAbsent(a.upstream.Instance, "connection refused")
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.crashes.connectionRefused(a.upstream)
		}
	}
	code, message := call.CodeUpstreamFailed, "the upstream broke the connection"
	switch {
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		code, message = call.CodeDeadline, "the deadline passed while the request ran"
	case a.ctx.Err() != nil:
		code, message = call.CodeCancelled, "the request was cancelled"
	case !a.written():
		return call.Refuse(call.CodeNoUpstream, "the upstream could not be reached")
	}
	if !a.written() {
		return call.Refuse(code, message)
	}
	if a.ctx.Err() == nil {
		a.crashes.connectionBroke(a.run)
	}
	return call.UnknownOutcome(code, message)
}

// written reports whether a part of the request may have been sent.
func (a *attempt) written() bool { return a.conn != nil && a.conn.Written() }

func (a *attempt) logFailure(message string, err error) {
	entry := a.log.WithFields(log.Fields{
		"request_id": a.head.ID, "route": a.head.Route, "attempt": a.head.Attempt,
		"instance": a.upstream.Instance, "announced": a.upstream.Sequence, "written": a.written(),
	})
	if err != nil {
		entry = entry.WithField("error", err.Error())
	}
	entry.Info(message)
}
