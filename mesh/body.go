package mesh

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
)

// chunkBytes is the maximum size of one chunk of a body.
const chunkBytes = 16 << 10

// ErrIncompleteBody means that a body was not received completely.
var ErrIncompleteBody = errors.New("incomplete body")

// bodyReceiver reassembles a chunked body. The connection's read loop pushes
// chunks; one other goroutine reads them.
type bodyReceiver struct {
	mu       sync.Mutex
	changed  sync.Cond
	parts    [][]byte
	buffered int
	consumed int
	hash     *xxh3.Hasher
	err      error
	// window is the credit that the sender has at most.
	window int
	// grant sends credit for n bytes to the sender; cancel tells the sender to
	// stop.
	grant  func(n int)
	cancel func()
}

func newBodyReceiver(first []byte, window int, grant func(int), cancel func()) *bodyReceiver {
	b := &bodyReceiver{hash: xxh3.New(), window: window, grant: grant, cancel: cancel}
	b.changed.L = &b.mu
	if len(first) > 0 {
		b.parts = append(b.parts, first)
		_, _ = b.hash.Write(first)
	}
	return b
}

// push adds a received chunk. If the sender exceeds its credit, the body fails.
func (b *bodyReceiver) push(data []byte, end bool, sum uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return
	}
	_, _ = b.hash.Write(data)
	b.parts = append(b.parts, data)
	b.buffered += len(data)
	switch {
	case b.buffered > b.window+chunkBytes:
		b.err = errors.Wrap(ErrIncompleteBody, "sender exceeded its credit")
	case end && b.hash.Sum64() != sum:
		b.err = errors.Wrap(ErrIncompleteBody, "checksum mismatch")
	case end:
		b.err = io.EOF
	}
	b.changed.Broadcast()
}

// fail makes reads of the body fail with err, unless the body is complete or has
// already failed.
func (b *bodyReceiver) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = errors.Wrap(ErrIncompleteBody, err.Error())
	}
	b.changed.Broadcast()
}

// Read implements io.Reader.
func (b *bodyReceiver) Read(p []byte) (int, error) {
	b.mu.Lock()
	for len(b.parts) == 0 && b.err == nil {
		b.changed.Wait()
	}
	if b.err != nil && !errors.Is(b.err, io.EOF) {
		defer b.mu.Unlock()
		return 0, b.err
	}
	if len(b.parts) == 0 {
		defer b.mu.Unlock()
		return 0, io.EOF
	}
	n := copy(p, b.parts[0])
	b.parts[0] = b.parts[0][n:]
	if len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
	}
	credit := b.consume(n)
	b.mu.Unlock()
	if credit > 0 {
		b.grant(credit)
	}
	return n, nil
}

// consume counts n read bytes and returns the credit to grant for them. Credit
// is granted in steps of a quarter of the window, and not at all once the body
// has ended.
func (b *bodyReceiver) consume(n int) int {
	n = min(n, b.buffered)
	b.buffered -= n
	b.consumed += n
	if b.err != nil || b.consumed < b.window/4 {
		return 0
	}
	credit := b.consumed
	b.consumed = 0
	return credit
}

// Close implements io.Closer. It cancels a body that is still being received, and a
// Read that waits for it.
func (b *bodyReceiver) Close() error {
	b.mu.Lock()
	ended := b.err != nil
	if !ended {
		b.err = errors.Wrap(ErrIncompleteBody, "closed before the body was complete")
		b.changed.Broadcast()
	}
	b.mu.Unlock()
	if !ended {
		b.cancel()
	}
	return nil
}

// credits is the number of bytes that a sender may still send.
type credits struct {
	mu        sync.Mutex
	available int
	changed   chan struct{}
}

func newCredits() *credits {
	return &credits{changed: make(chan struct{}, 1)}
}

func (c *credits) add(n int) {
	c.mu.Lock()
	c.available += n
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// acquire blocks until credit is available and takes up to n bytes of it.
func (c *credits) acquire(ctx context.Context, n int) (int, error) {
	for {
		c.mu.Lock()
		got := min(n, c.available)
		c.available -= got
		c.mu.Unlock()
		if got > 0 {
			return got, nil
		}
		select {
		case <-c.changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// sendBody sends the remainder of a body in chunks. The hash already covers the
// inline part.
func sendBody(ctx context.Context, body io.Reader, hash *xxh3.Hasher, c *credits, send func(*frame) error) error {
	for {
		allowed, err := c.acquire(ctx, chunkBytes)
		if err != nil {
			return err
		}
		data := make([]byte, allowed)
		n, end, err := fill(body, data)
		if err != nil {
			return err
		}
		_, _ = hash.Write(data[:n])
		f := &frame{Type: frameChunk, Data: data[:n], End: end}
		if end {
			f.Sum = hash.Sum64()
		}
		if err := send(f); err != nil || end {
			return err
		}
	}
}

// fill reads until data is full or the body ends. Unlike io.ReadFull it tells a body that
// ends from one that breaks off, whose error is io.ErrUnexpectedEOF too.
func fill(body io.Reader, data []byte) (n int, end bool, err error) {
	for n < len(data) {
		read, err := body.Read(data[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
