package mesh

import (
	"bytes"
	"context"
	"io"

	"github.com/pkg/errors"
)

// controlHead is the head of the answer to a typed control message.
type controlHead struct {
	Error string `cbor:"1,keyasint,omitempty"`
}

// RemoteError is an error that a handler returned on the other node.
type RemoteError struct {
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer refused: " + e.Message }

// Typed converts a function with typed messages into a Handler. Messages are
// sent in the body, so that large ones do not delay other control messages.
func Typed[Req, Resp any](serve func(ctx context.Context, from Identity, request Req) (Resp, error)) Handler {
	return func(ctx context.Context, from Identity, _, body []byte) ([]byte, io.ReadCloser) {
		var request Req
		if err := Decode(body, &request); err != nil {
			return controlAnswer(err), nil
		}
		response, err := serve(ctx, from, request)
		if err != nil {
			return controlAnswer(err), nil
		}
		data, err := Encode(response)
		if err != nil {
			return controlAnswer(err), nil
		}
		return controlAnswer(nil), io.NopCloser(bytes.NewReader(data))
	}
}

func controlAnswer(err error) []byte {
	var answer controlHead
	if err != nil {
		answer.Error = err.Error()
	}
	data, _ := Encode(answer)
	return data
}

// Exchange sends a typed control message and decodes the answer. It blocks until the
// whole answer has arrived or ctx is done. The error is a
// *TransportError or a *RemoteError, wraps ErrIncompleteBody, or means that a
// message could not be encoded or decoded.
func (m *Mesh) Exchange(ctx context.Context, peer Peer, kind Kind, request, response any) error {
	data, err := Encode(request)
	if err != nil {
		return err
	}
	purpose := kind.String()
	m.metrics.messages.WithLabelValues(purpose).Inc()
	m.metrics.messageBytes.WithLabelValues(purpose, "sent").Add(float64(len(data)))
	answer, err := m.Do(ctx, peer, &Request{Kind: kind, Class: Control, Body: data})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	stop := context.AfterFunc(ctx, func() { _ = answer.Body.Close() })
	defer stop()
	var head controlHead
	if err := Decode(answer.Head, &head); err != nil {
		return err
	}
	if head.Error != "" {
		return &RemoteError{Message: head.Error}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return errors.Wrap(err, "read body of control answer")
	}
	m.metrics.messageBytes.WithLabelValues(purpose, "received").Add(float64(len(body)))
	return Decode(body, response)
}
