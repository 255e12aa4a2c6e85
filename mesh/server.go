package mesh

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/bodymemory"
)

// Path is the HTTP path at which nodes accept mesh connections.
const Path = "/mesh"

// Handler serves the requests of one kind. Each request runs on its own
// goroutine. The context is cancelled when the dialer cancels the request or the
// link closes. The mesh reads and closes the returned body, which may be nil.
type Handler func(ctx context.Context, from Identity, head, body []byte) (answerHead []byte, answerBody io.ReadCloser)

// linkKey identifies an accepted link.
type linkKey struct {
	vm          string
	incarnation uint64
	link        uint64
}

// ServeHTTP accepts a connection from another node.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pingsReceived := &atomic.Uint64{}
	opts := &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled, OnPingReceived: countPings(pingsReceived)}
	ws, err := websocket.Accept(w, r, opts)
	if err != nil {
		m.log.WithError(err).Debug("websocket upgrade of a mesh connection failed")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	ws.SetReadLimit(handshakeMaxBytes)
	h, err := m.acceptHandshake(ctx, ws)
	if err != nil {
		m.metrics.handshakeFailures.Inc()
		m.log.WithError(err).WithField("remote", r.RemoteAddr).Warn("mesh handshake failed; closing the connection")
		_ = ws.Close(websocket.StatusPolicyViolation, "handshake refused")
		return
	}
	if m.onAccept != nil {
		m.onAccept(r.Context())
	}
	l := m.acceptedLink(linkKey{vm: h.Identity.VM, incarnation: h.Identity.Incarnation, link: h.Link})
	if err := l.add(newConn(ws, h.Class, l, pingsReceived), h.Identity); err != nil {
		m.log.WithError(err).Debug("mesh connection not added to its link; closing it")
	}
	<-l.ctx.Done()
}

// acceptedLink returns the link with the key and creates it if necessary.
func (m *Mesh) acceptedLink(key linkKey) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.accepted[key]; ok {
		return l
	}
	l := newLink(m, false, nil)
	l.onClose = func() { m.removeAccepted(key, l) }
	m.accepted[key] = l
	return l
}

func (m *Mesh) removeAccepted(key linkKey, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted[key] == l {
		delete(m.accepted, key)
	}
}

func (l *link) receiveRequest(c *conn, f *frame) {
	if l.dialer {
		l.close(errors.New("acceptor sent a request frame; only the dialer may"))
		return
	}
	s := &stream{id: f.Stream, class: c.class, credits: newCredits()}
	s.ctx, s.cancel = context.WithCancel(l.ctx)
	if !f.End {
		s.receiver.Store(l.newReceiver(s, f.Data, windowBytes, s.cancel))
	}
	l.mu.Lock()
	closed := l.err != nil
	l.streams[s.id] = s
	l.mu.Unlock()
	if closed {
		s.cancel()
		return
	}
	go l.serve(s, f)
}

func (l *link) serve(s *stream, f *frame) {
	defer l.closeStream(s)
	defer l.recoverHandler(s, f.Kind)
	body := f.Data
	if receiver := s.receiver.Load(); receiver != nil {
		received, reservation, err := l.receiveBody(s, receiver, f.Sum)
		switch {
		case err != nil && s.ctx.Err() != nil:
			return
		case errors.Is(err, bodymemory.ErrNoMemory):
			l.mesh.log.WithField("peer", l.identity().VM).Warn("no memory for a request body; aborting its request")
			_ = l.enqueue(l.ctx, s.class, &frame{Type: frameAbort, Stream: s.id, Message: err.Error()})
			return
		case err != nil:
			l.close(errors.Errorf("request body from %s is incomplete or too large", l.identity().VM))
			return
		}
		defer reservation.Release()
		body = received
	}
	handler := l.mesh.handler(f.Kind)
	if handler == nil {
		l.close(errors.Errorf("request of unknown kind %d", f.Kind))
		return
	}
	head, answer := handler(s.ctx, l.identity(), f.Head, body)
	if answer == nil {
		answer = io.NopCloser(bytes.NewReader(nil))
	}
	defer answer.Close()
	l.sendAnswer(s, head, answer)
}

// receiveBody reserves memory for a chunked body, lets the peer send it, and
// reads it. The length is 0 if the peer did not send it. The caller releases
// the reservation.
func (l *link) receiveBody(s *stream, receiver io.Reader, length uint64) ([]byte, *bodymemory.Reservation, error) {
	known := int64(-1)
	if length > 0 {
		known = int64(min(length, MaxRequestBytes+1))
	}
	granting := &grantingReader{Reader: receiver, grant: func() { l.grant(s, windowBytes) }}
	body, reservation, err := l.mesh.bodies.Read(s.ctx, granting, known, MaxRequestBytes)
	if err != nil {
		return nil, nil, err
	}
	// The end of the body confirms its checksum.
	if _, err := io.ReadFull(receiver, make([]byte, 1)); !errors.Is(err, io.EOF) {
		reservation.Release()
		return nil, nil, errors.Wrap(ErrIncompleteBody, "length or checksum differs")
	}
	return body, reservation, nil
}

// grantingReader grants credit to the sender of a body before the first read.
type grantingReader struct {
	io.Reader
	grant   func()
	granted bool
}

// Read implements io.Reader.
func (r *grantingReader) Read(p []byte) (int, error) {
	if !r.granted {
		r.granted = true
		r.grant()
	}
	return r.Reader.Read(p)
}

// recoverHandler ends the request of a handler that panics, so that an
// unexpected request does not end the process.
func (l *link) recoverHandler(s *stream, kind Kind) {
	cause := recover()
	if cause == nil {
		return
	}
	l.mesh.panics.Report(cause, log.Fields{"kind": kind, "peer": l.identity().VM})
	_ = l.enqueue(l.ctx, s.class, &frame{Type: frameAbort, Stream: s.id, Message: "the handler failed"})
}

func (l *link) sendAnswer(s *stream, head []byte, body io.Reader) {
	data, end, hash, err := readInline(body)
	f := &frame{Type: frameAnswer, Stream: s.id, Head: head, Data: data, End: end}
	if end {
		f.Sum = hash.Sum64()
	}
	if enqueueErr := l.enqueue(l.ctx, s.class, f); enqueueErr != nil || (end && err == nil) {
		return
	}
	if err == nil {
		err = sendBody(s.ctx, body, hash, s.credits, func(f *frame) error { return l.sendChunk(s, f) })
	}
	if err != nil {
		_ = l.enqueue(l.ctx, l.mesh.chunkClass(s.class), &frame{Type: frameAbort, Stream: s.id, Message: err.Error()})
	}
}
