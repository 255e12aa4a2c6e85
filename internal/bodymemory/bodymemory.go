// Package bodymemory bounds the memory that the bodies of all requests in a
// process take together, so that many slow senders of large bodies cannot
// exhaust it.
package bodymemory

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// growBytes is the first reservation for a body of unknown length.
	growBytes = 64 << 10
	// readAheadBytes is the first reservation of ReadAhead. Most answers fit into it.
	readAheadBytes = 8 << 10
)

// ErrTooLarge means that a body is longer than its limit.
var ErrTooLarge = errors.New("body is longer than its limit")

// ErrNoMemory means that no memory became free in time.
var ErrNoMemory = errors.New("no memory for the body")

// Budget is the memory for bodies. It is safe for concurrent use.
type Budget struct {
	bytes     int64
	maxWait   time.Duration
	semaphore *semaphore.Weighted
}

// NewBudget returns a budget of the given number of bytes. Reservations wait for
// free memory up to maxWait.
func NewBudget(bytes int64, maxWait time.Duration) *Budget {
	return &Budget{bytes: bytes, maxWait: maxWait, semaphore: semaphore.NewWeighted(bytes)}
}

// Reservation is a part of a budget. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve blocks until n bytes are free, the context ends, or the budget's
// maxWait has passed. A reservation larger than the budget takes all of it.
func (b *Budget) Reserve(ctx context.Context, n int64) (*Reservation, error) {
	r := &Reservation{budget: b}
	if err := r.grow(ctx, n); err != nil {
		return nil, err
	}
	return r, nil
}

// TryReserve reserves n bytes, or returns nil if they are not free. It does not
// block.
func (b *Budget) TryReserve(n int64) *Reservation {
	if !b.semaphore.TryAcquire(n) {
		return nil
	}
	return &Reservation{budget: b, bytes: n}
}

// ReadAhead reads a body until it ends, limit bytes have been read, or no more
// memory is free for it, for which it does not wait. complete is true if the body
// has ended. The caller releases the reservation once the data is no longer used,
// also after an error.
func (b *Budget) ReadAhead(body io.Reader, limit int) (data []byte, complete bool, r *Reservation, err error) {
	r = &Reservation{budget: b}
	for len(data) < limit {
		if len(data) == cap(data) {
			size := min(max(readAheadBytes, 2*cap(data)), limit)
			// Both buffers are in use while the data is copied.
			if !b.semaphore.TryAcquire(int64(size)) {
				return data, false, r, nil
			}
			former := r.bytes
			r.bytes += int64(size)
			data = append(make([]byte, 0, size), data...)
			r.Shrink(r.bytes - former)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, r, nil
		}
		if err != nil {
			return data, false, r, err
		}
	}
	return data, false, r, nil
}

// grow raises the reservation to n bytes; it blocks like Reserve.
func (r *Reservation) grow(ctx context.Context, n int64) error {
	n = min(n, r.budget.bytes)
	if n <= r.bytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.budget.maxWait)
	defer cancel()
	if err := r.budget.semaphore.Acquire(ctx, n-r.bytes); err != nil {
		return errors.Wrap(ErrNoMemory, err.Error())
	}
	r.bytes = n
	return nil
}

// Shrink lowers the reservation to n bytes, if it is larger.
func (r *Reservation) Shrink(n int64) {
	if n < r.bytes {
		r.budget.semaphore.Release(r.bytes - n)
		r.bytes = n
	}
}

// Release ends the reservation. It may be called more than once.
func (r *Reservation) Release() { r.Shrink(0) }

// Read reads a body of the given length, or of an unknown one if it is negative,
// and of at most limit bytes. Memory is reserved before the bytes are read; the
// caller releases the reservation once the body is no longer used. It is nil if
// Read fails.
func (b *Budget) Read(ctx context.Context, body io.Reader, length, limit int64) ([]byte, *Reservation, error) {
	if length > limit {
		return nil, nil, ErrTooLarge
	}
	first := length
	if length < 0 {
		first = growBytes
	}
	reservation, err := b.Reserve(ctx, first)
	if err != nil {
		return nil, nil, err
	}
	var data []byte
	if length >= 0 {
		data = make([]byte, length)
		_, err = io.ReadFull(body, data)
	} else {
		data, err = reservation.readAll(ctx, body, limit)
	}
	if err != nil {
		reservation.Release()
		return nil, nil, err
	}
	return data, reservation, nil
}

// readAll reads a body of unknown length and grows the reservation as it goes.
func (r *Reservation) readAll(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, growBytes)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			r.Shrink(int64(cap(data)))
			return data, nil
		case err != nil:
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		// Doubling copies the data, so both buffers are in use for a moment.
		if err := r.grow(ctx, 2*int64(cap(data))); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, 2*cap(data)), data...)
	}
}
