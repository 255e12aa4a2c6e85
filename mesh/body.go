package mesh

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
)

// chunkBytes is the size of one part of a chunked body.
const chunkBytes = 16 << 10

// ErrBodyBroken means that a body did not arrive whole.
var ErrBodyBroken = errors.New("body did not arrive whole")

// bodyReceiver reassembles a chunked body. The connection's reader pushes
// parts; one other goroutine reads.
type bodyReceiver struct {
	mu       sync.Mutex
	changed  sync.Cond
	parts    [][]byte
	buffered int
	consumed int
	hash     *xxh3.Hasher
	err      error
	// grant sends credit for n bytes; cancel tells the sender to stop.
	grant  func(n int)
	cancel func()
}

func newBodyReceiver(first []byte, grant func(int), cancel func()) *bodyReceiver {
	b := &bodyReceiver{hash: xxh3.New(), grant: grant, cancel: cancel}
	b.changed.L = &b.mu
	if len(first) > 0 {
		b.parts = append(b.parts, first)
		_, _ = b.hash.Write(first)
	}
	return b
}

// push adds a part that arrived. A sender that exceeds its credit breaks the
// body.
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
	case b.buffered > windowBytes+chunkBytes:
		b.err = errors.Wrap(ErrBodyBroken, "sender exceeded its credit")
	case end && b.hash.Sum64() != sum:
		b.err = errors.Wrap(ErrBodyBroken, "checksum differs")
	case end:
		b.err = io.EOF
	}
	b.changed.Broadcast()
}

// fail breaks the body unless it is already whole.
func (b *bodyReceiver) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = errors.Wrap(ErrBodyBroken, err.Error())
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

// consume counts bytes that were read and returns the credit due.
func (b *bodyReceiver) consume(n int) int {
	n = min(n, b.buffered)
	b.buffered -= n
	b.consumed += n
	if b.err != nil || b.consumed < windowBytes/4 {
		return 0
	}
	credit := b.consumed
	b.consumed = 0
	return credit
}

// Close implements io.Closer. A body that is not whole is cancelled.
func (b *bodyReceiver) Close() error {
	b.mu.Lock()
	whole := b.err != nil
	if !whole {
		b.err = errors.Wrap(ErrBodyBroken, "closed by the reader")
	}
	b.mu.Unlock()
	if !whole {
		b.cancel()
	}
	return nil
}

// credits counts the bytes that a sender may still send.
type credits struct {
	mu      sync.Mutex
	left    int
	changed chan struct{}
}

func newCredits() *credits {
	return &credits{changed: make(chan struct{}, 1)}
}

func (c *credits) add(n int) {
	c.mu.Lock()
	c.left += n
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// take waits until there is credit and takes up to n bytes of it.
func (c *credits) take(ctx context.Context, n int) (int, error) {
	for {
		c.mu.Lock()
		got := min(n, c.left)
		c.left -= got
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

// sendBody sends what is left of a body in chunks. The hash already covers
// what was sent inline.
func sendBody(ctx context.Context, body io.Reader, hash *xxh3.Hasher, c *credits, send func(*frame) error) error {
	for {
		allowed, err := c.take(ctx, chunkBytes)
		if err != nil {
			return err
		}
		data := make([]byte, allowed)
		n, err := io.ReadFull(body, data)
		end := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !end {
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
