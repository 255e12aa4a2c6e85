package mesh

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// dialWait is how long a request waits for a connection. It covers the four
// round trips of a dial to another region. After it, the request fails so that
// it can be sent to another node, while the dial continues.
const dialWait = 500 * time.Millisecond

// TransportError is returned by Do when no answer was received.
type TransportError struct {
	// Sent is false if the peer cannot have received the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.Sent {
		return "no answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// Request is a message to another node.
type Request struct {
	Kind  Kind
	Class Class
	// Head is the encoded request head; Body may be empty.
	Head []byte
	Body []byte
}

// Response is the answer to a Request. The caller closes Body, which is never
// nil; a read error means that the body is incomplete.
type Response struct {
	From Identity
	Head []byte
	Body io.ReadCloser
}

// Peer is the node that a request goes to.
type Peer struct {
	// VM is checked against the peer's identity, unless it is empty.
	VM      string
	Address string
}

// Do sends a request and waits for the head of its answer. The error is a
// *TransportError. If ctx ends before the answer, the peer's handler is
// cancelled. ctx does not apply to reading the body, which ends when it is
// closed.
func (m *Mesh) Do(ctx context.Context, peer Peer, req *Request) (*Response, error) {
	l, err := m.connect(ctx, peer, req.Class)
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	return l.do(ctx, req)
}

func (l *link) do(ctx context.Context, req *Request) (*Response, error) {
	s, err := l.openStream(req.Class)
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	body := bytes.NewReader(req.Body)
	data, end, hash, _ := readInline(body)
	f := &frame{Type: frameRequest, Stream: s.id, ToAcceptor: true, Kind: req.Kind, Head: req.Head, Data: data, End: end}
	f.Sum = uint64(len(req.Body))
	if end {
		f.Sum = hash.Sum64()
	}
	queued, err := l.conn(req.Class).send(ctx, f)
	if err != nil {
		l.closeStream(s)
		return nil, &TransportError{Err: err}
	}
	sent := &requestSent{head: queued, chunked: !end}
	if !end {
		go func() {
			_ = sendBody(s.ctx, body, hash, s.credits, func(f *frame) error {
				if f.End && !sent.completeBody() {
					return errors.New("the request was abandoned")
				}
				return l.sendChunk(s, f)
			})
		}()
	}
	return l.awaitAnswer(ctx, s, sent)
}

// requestSent tracks whether the peer may have received a whole request. The
// peer runs no request before it has the whole body.
type requestSent struct {
	head    *queuedFrame
	chunked bool
	// body is one of the states of a queued frame, for the last chunk.
	body atomic.Int32
}

// completeBody reports whether the last chunk may be sent, which is not the case
// after the request was abandoned.
func (r *requestSent) completeBody() bool {
	return r.body.CompareAndSwap(frameQueued, frameWriting)
}

// abandon withdraws the request and reports whether the peer cannot have
// received all of it.
func (r *requestSent) abandon() bool {
	withdrawn := r.head.abandon()
	return r.chunked && r.body.CompareAndSwap(frameQueued, frameAbandoned) || withdrawn
}

func (l *link) sendChunk(s *stream, f *frame) error {
	f.Stream = s.id
	f.ToAcceptor = l.dialer
	return l.enqueue(s.ctx, l.mesh.chunkClass(s.class), f)
}

// chunkClass returns the class of connection for the chunks of a stream. Control
// messages rarely have any, and most nodes exchange nothing else, so these use
// their own connection.
func (m *Mesh) chunkClass(class Class) Class {
	if class == Control {
		return Control
	}
	return m.bulk
}

func (l *link) awaitAnswer(ctx context.Context, s *stream, sent *requestSent) (*Response, error) {
	select {
	case f := <-s.answer:
		return l.response(s, f), nil
	case <-l.ctx.Done():
		l.closeStream(s)
		return nil, &TransportError{Sent: !sent.abandon(), Err: l.closeError()}
	case <-s.ctx.Done():
		l.closeStream(s)
		return nil, &TransportError{Sent: !sent.abandon(), Err: errors.New("the peer aborted the request")}
	case <-ctx.Done():
		if sent.abandon() {
			l.cancelStream(s)
			return nil, &TransportError{Err: ctx.Err()}
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// A missed deadline may mean that the connection is dead.
			l.probe(s.class)
		}
		l.cancelStream(s)
		return nil, &TransportError{Sent: true, Err: ctx.Err()}
	}
}

func (l *link) response(s *stream, f *frame) *Response {
	resp := &Response{From: l.identity(), Head: f.Head}
	if f.End {
		l.closeStream(s)
		resp.Body = io.NopCloser(bytes.NewReader(f.Data))
		return resp
	}
	resp.Body = &streamBody{bodyReceiver: s.receiver.Load(), done: func() { l.closeStream(s) }}
	return resp
}

// streamBody closes its stream when the body is closed.
type streamBody struct {
	*bodyReceiver
	done func()
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	err := b.bodyReceiver.Close()
	b.done()
	return err
}

// connect returns a link to the peer with connections of the class and of the
// class of its chunks, and dials those that are missing.
func (m *Mesh) connect(ctx context.Context, peer Peer, class Class) (*link, error) {
	l := m.dialedLink(peer.Address)
	chunks := m.chunkClass(class)
	if l.conn(chunks) != nil && l.conn(class) != nil {
		return l, nil
	}
	wait := dialWait
	if m.isUnreachable(peer.Address) {
		wait = 0
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for _, dialed := range []<-chan struct{}{l.ensureConn(peer, chunks), l.ensureConn(peer, class)} {
		select {
		case <-dialed:
		case <-timer.C:
			if wait > 0 {
				m.setReachable(peer.Address, false)
			}
			return nil, errors.Errorf("no connection to %s yet", peer.Address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if l.conn(class) == nil || l.conn(chunks) == nil {
		return nil, l.closeError()
	}
	return l, nil
}

// Warm dials a missing connection of the class in the background, so that the
// first request does not wait for it. It does not block.
func (m *Mesh) Warm(peer Peer, class Class) {
	l := m.dialedLink(peer.Address)
	l.ensureConn(peer, m.chunkClass(class))
	l.ensureConn(peer, class)
}

// isUnreachable reports whether the last dial to the address failed or exceeded
// dialWait. Requests then start a dial in the background but do not wait for it.
func (m *Mesh) isUnreachable(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable[address]
}

func (m *Mesh) setReachable(address string, reachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reachable {
		delete(m.unreachable, address)
		return
	}
	m.unreachable[address] = true
}

func (m *Mesh) dialedLink(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.dialed[address]; ok {
		return l
	}
	l := newLink(m, true, nil)
	l.onClose = func() { m.removeDialed(address, l) }
	m.dialed[address] = l
	return l
}

func (m *Mesh) removeDialed(address string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dialed[address] == l {
		delete(m.dialed, address)
	}
}

// closedChan is returned by ensureConn if no dial is needed.
var closedChan = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// ensureConn dials the connection of the class unless the link has one. The
// channel is closed when the dial has ended. A dial is not cancelled with the
// request that started it: requests with deadlines shorter than a dial to
// another region would otherwise never get a connection.
func (l *link) ensureConn(peer Peer, class Class) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[class] != nil || l.err != nil {
		return closedChan
	}
	if l.dials[class] != nil {
		return l.dials[class]
	}
	dialed := make(chan struct{})
	l.dials[class] = dialed
	go func() {
		defer close(dialed)
		err := l.dial(l.ctx, peer, class)
		l.mesh.setReachable(peer.Address, err == nil)
		if err != nil {
			l.close(err)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dials[class] = nil
	}()
	return dialed
}

func (l *link) dial(ctx context.Context, peer Peer, class Class) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	pingsReceived := &atomic.Uint64{}
	opts := &websocket.DialOptions{
		HTTPClient: l.mesh.http, CompressionMode: websocket.CompressionDisabled, OnPingReceived: countPings(pingsReceived),
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+peer.Address+Path, opts) //nolint:bodyclose // the websocket package owns the body
	if err != nil {
		return errors.Wrapf(err, "dial %s", peer.Address)
	}
	ws.SetReadLimit(handshakeMaxBytes)
	identity, err := l.mesh.dialHandshake(ctx, ws, l.id, class)
	if err == nil && peer.VM != "" && identity.VM != peer.VM {
		err = errors.Errorf("%s is VM %s, not %s", peer.Address, identity.VM, peer.VM)
	}
	if err != nil {
		_ = ws.CloseNow()
		return err
	}
	return l.add(newConn(ws, class, l, pingsReceived), identity)
}

// countPings returns a callback for received pings that counts them and has
// them answered with a pong.
func countPings(received *atomic.Uint64) func(context.Context, []byte) bool {
	return func(context.Context, []byte) bool {
		received.Add(1)
		return true
	}
}

func newHTTPClient(localIP string) *http.Client {
	dialer := &net.Dialer{Timeout: handshakeTimeout, LocalAddr: localAddr(localIP)}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

func localAddr(ip string) net.Addr {
	parsed := net.ParseIP(ip)
	if parsed == nil || parsed.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: parsed}
}
