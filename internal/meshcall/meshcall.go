// Package meshcall sends and serves requests to upstreams over the mesh. The
// sending and the serving plug-ins share it.
package meshcall

import (
	"context"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/mesh"
)

// Serve runs or refuses a request. It blocks until the head of the answer is
// available or the context ends. The caller closes the body, which may be nil.
type Serve func(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser)

// Handler returns a mesh handler that decodes calls and passes them to serve.
func Handler(logger log.Interface, serve Serve) mesh.Handler {
	return func(ctx context.Context, _ mesh.Identity, rawHead, body []byte) ([]byte, io.ReadCloser) {
		head := &call.Head{}
		reply, answer := call.Refuse(call.CodeBadRequest, "call head is not valid"), io.ReadCloser(nil)
		if err := mesh.Decode(rawHead, head); err == nil {
			reply, answer = serve(ctx, head, body)
		}
		rawReply, err := mesh.Encode(reply)
		if err != nil {
			logger.WithError(err).Error("cannot encode reply; answering without a head")
		}
		return rawReply, answer
	}
}

// Send sends a request to the peer and waits for the head of its answer. If
// there is no answer, the returned reply states whether the request may have
// run, and the error states the cause.
func Send(ctx context.Context, m *mesh.Mesh, peer mesh.Peer, head *call.Head, body []byte) (*call.Reply, io.ReadCloser, error) {
	rawHead, err := mesh.Encode(head)
	if err != nil {
		return call.Refuse(call.CodeInternal, "the call cannot be encoded"), nil, err
	}
	resp, err := m.Do(ctx, peer, &mesh.Request{Kind: mesh.KindCall, Class: mesh.Calls, Head: rawHead, Body: body})
	if err != nil {
		return failureReply(ctx, err), nil, err
	}
	reply := &call.Reply{}
	if err := mesh.Decode(resp.Head, reply); err != nil {
		_ = resp.Body.Close()
		return call.UnknownOutcome(call.CodeInternal, "the reply cannot be decoded"), nil, err
	}
	return reply, resp.Body, nil
}

// failureReply converts a mesh error into a reply.
func failureReply(ctx context.Context, err error) *call.Reply {
	code := call.CodeConnectionLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = call.CodeDeadline
	case ctx.Err() != nil:
		code = call.CodeCancelled
	}
	var transport *mesh.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return call.Refuse(code, "the request did not reach a VM")
	}
	return call.UnknownOutcome(code, "the connection to the VM was lost")
}

// FinishingBody is an answer's body that calls Finish when it is closed.
type FinishingBody struct {
	io.ReadCloser
	Finish func()
}

// Close implements io.Closer.
func (b *FinishingBody) Close() error {
	defer b.Finish()
	return b.ReadCloser.Close()
}

// Ending collects what is undone when a request ends: when Close is called or, after
// With, when the answer's body is closed. A deferred Close undoes it also if the request
// panics, which servers recover from. Its zero value is ready to use; it is not safe for
// concurrent use.
type Ending struct {
	steps []func()
}

// Add adds a step. The last one added runs first.
func (e *Ending) Add(step func()) { e.steps = append(e.steps, step) }

// Close runs the steps that have not run yet.
func (e *Ending) Close() {
	steps := e.steps
	e.steps = nil
	for _, step := range steps {
		defer step()
	}
}

// With returns the answer's body, whose Close runs the steps instead.
func (e *Ending) With(answer io.ReadCloser) io.ReadCloser {
	moved := *e
	e.steps = nil
	return &FinishingBody{ReadCloser: answer, Finish: sync.OnceFunc(moved.Close)}
}
