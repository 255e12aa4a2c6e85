package mesh

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/internal/bodymemory"
)

// link is the set of connections between a dialing and an accepting node. If
// one connection fails, the whole link is closed; the next request dials a new
// one.
type link struct {
	// id is chosen at random by the dialer.
	id   uint64
	mesh *Mesh
	// dialer is true on the side that dialed the link.
	dialer bool
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	peer       Identity
	conns      [numClasses]*conn
	streams    map[uint64]*stream
	lastStream uint64
	err        error
	onClose    func()

	// dials has the channel of the dial in progress for each class; nil if there
	// is none.
	dials [numClasses]chan struct{}
}

// stream is one request on a link with its answer.
type stream struct {
	id     uint64
	class  Class
	answer chan *frame
	// receiver receives a chunked body; nil if the body was sent inline.
	receiver atomic.Pointer[bodyReceiver]
	credits  *credits
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// window is the memory for the window of the answer; nil if it has none.
	window *bodymemory.Reservation
}

// reserveWindow reserves memory for the window of an answer and returns the
// window's size.
func (s *stream) reserveWindow(memory *bodymemory.Budget) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for window := windowBytes; window > minWindowBytes && s.ctx.Err() == nil; window /= 2 {
		if s.window = memory.TryReserve(int64(window)); s.window != nil {
			return window
		}
	}
	return minWindowBytes
}

// releaseWindow releases the memory for the window. The stream's context must have
// ended.
func (s *stream) releaseWindow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.window != nil {
		s.window.Release()
	}
}

func newLink(m *Mesh, dialer bool, onClose func()) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{
		id:   binary.BigEndian.Uint64(newNonce()),
		mesh: m, dialer: dialer, ctx: ctx, cancel: cancel,
		streams: map[uint64]*stream{}, onClose: onClose,
	}
}

// add starts a connection that completed the handshake.
func (l *link) add(c *conn, peer Identity) error {
	l.mu.Lock()
	if l.err != nil || l.conns[c.class] != nil {
		l.mu.Unlock()
		_ = c.ws.CloseNow()
		return errors.New("link is closed or already has a connection of this class")
	}
	l.conns[c.class] = c
	if l.peer == (Identity{}) {
		l.peer = peer
	}
	l.mu.Unlock()
	c.start()
	return nil
}

// identity returns the peer's identity, which is empty until a connection was
// added.
func (l *link) identity() Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

func (l *link) conn(class Class) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[class]
}

// closeError returns the error that closed the link.
func (l *link) closeError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		return errors.New("link is closed")
	}
	return l.err
}

// close closes the link and fails its streams. Only the first reason is
// recorded.
func (l *link) close(reason error) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return
	}
	l.err = reason
	streams := l.streams
	l.streams = map[uint64]*stream{}
	l.mu.Unlock()
	l.cancel()
	for _, s := range streams {
		s.cancel()
		if receiver := s.receiver.Load(); receiver != nil {
			receiver.fail(reason)
		}
	}
	if l.onClose != nil {
		l.onClose()
	}
}

func (l *link) openStream(class Class) (*stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return nil, l.err
	}
	l.lastStream++
	s := &stream{id: l.lastStream, class: class, answer: make(chan *frame, 1), credits: newCredits()}
	s.ctx, s.cancel = context.WithCancel(l.ctx)
	l.streams[s.id] = s
	return s, nil
}

func (l *link) stream(id uint64) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

func (l *link) closeStream(s *stream) {
	s.cancel()
	s.releaseWindow()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s.id)
}

// enqueue queues a frame on the connection of the class without waiting for it
// to be written.
func (l *link) enqueue(ctx context.Context, class Class, f *frame) error {
	c := l.conn(class)
	if c == nil {
		return errors.Errorf("link has no %s connection", class)
	}
	_, err := c.send(ctx, f)
	return err
}

// receive handles one frame. It runs on the goroutine of the connection's read
// loop and must not block.
func (l *link) receive(c *conn, f *frame) {
	if f.Type == frameRequest {
		l.receiveRequest(c, f)
		return
	}
	s := l.stream(f.Stream)
	if s == nil {
		return
	}
	switch f.Type {
	case frameAnswer:
		l.receiveAnswer(s, f)
	case frameChunk:
		if receiver := s.receiver.Load(); receiver != nil && f.ToAcceptor != l.dialer {
			receiver.push(f.Data, f.End, f.Sum)
		}
	case frameCredit:
		s.credits.add(f.Credit)
	case frameCancel:
		s.cancel()
		if receiver := s.receiver.Load(); receiver != nil {
			receiver.fail(context.Canceled)
		}
	case frameAbort:
		if receiver := s.receiver.Load(); receiver != nil {
			receiver.fail(errors.New(f.Message))
		} else {
			s.cancel()
		}
	}
}

func (l *link) receiveAnswer(s *stream, f *frame) {
	window := 0
	if !f.End {
		window = s.reserveWindow(l.mesh.answers)
		receiver := l.newReceiver(s, f.Data, window, func() { l.cancelStream(s) })
		s.receiver.Store(receiver)
		// If the link closed before the receiver was stored, close did not fail it.
		if l.ctx.Err() != nil {
			receiver.fail(l.closeError())
		}
	}
	select {
	case s.answer <- f:
	default:
	}
	if window > 0 {
		l.grant(s, window)
	}
}

// newReceiver returns the receiver of a chunked body of the stream.
func (l *link) newReceiver(s *stream, first []byte, window int, cancel func()) *bodyReceiver {
	return newBodyReceiver(first, window, func(n int) { l.grant(s, n) }, cancel)
}

// grant sends credit on the connection that carries the chunks, as a link may have no
// other one.
func (l *link) grant(s *stream, n int) {
	_ = l.enqueue(l.ctx, l.mesh.chunkClass(s.class), &frame{Type: frameCredit, Stream: s.id, ToAcceptor: l.dialer, Credit: n})
}

func (l *link) cancelStream(s *stream) {
	_ = l.enqueue(l.ctx, s.class, &frame{Type: frameCancel, Stream: s.id, ToAcceptor: true})
	l.closeStream(s)
}

// readInline reads and hashes the inline part of a body; end is true if that is
// the whole body.
func readInline(body io.Reader) (data []byte, end bool, hash *xxh3.Hasher, err error) {
	hash = xxh3.New()
	if body == nil {
		return nil, true, hash, nil
	}
	var buffer bytes.Buffer
	n, err := io.CopyN(&buffer, body, InlineBytes)
	data = buffer.Bytes()
	_, _ = hash.Write(data)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, false, hash, err
	}
	return data, n < InlineBytes, hash, nil
}
