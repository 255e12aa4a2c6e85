package bodymemory

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const wait = 20 * time.Millisecond

func TestReadReturnsWholeBodiesOnly(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(4<<20, wait)
	for _, size := range []int{0, 1, growBytes - 1, growBytes, growBytes + 1, limit} {
		want := bytes.Repeat([]byte{7}, size)
		for _, length := range []int64{int64(size), -1} {
			got, reservation, err := b.Read(t.Context(), iotest.HalfReader(bytes.NewReader(want)), length, limit)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want), "size %d, length %d", size, length)
			reservation.Release()
		}
	}
	for name, c := range map[string]struct {
		body   io.Reader
		length int64
		want   error
	}{
		"shorter than its length":  {strings.NewReader("abc"), 4, io.ErrUnexpectedEOF},
		"cut without a length":     {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, io.ErrUnexpectedEOF},
		"announced as too large":   {strings.NewReader(""), limit + 1, ErrTooLarge},
		"too large without length": {bytes.NewReader(make([]byte, limit+1)), -1, ErrTooLarge},
	} {
		_, reservation, err := b.Read(t.Context(), c.body, c.length, limit)
		assert.Assert(t, errors.Is(err, c.want), "%s: %v", name, err)
		assert.Assert(t, reservation == nil)
	}
	_, err := b.Reserve(t.Context(), 4<<20)
	assert.NilError(t, err, "all memory was released")
}

// TestSlowSendersDoNotExceedTheBudget lets many senders of large bodies stall
// halfway. Those for which there is no memory must be refused before anything
// of their body is read, and the others must complete.
func TestSlowSendersDoNotExceedTheBudget(t *testing.T) {
	const senders, size, budget = 200, 256 << 10, 8 << 20
	b := NewBudget(budget, wait)
	var group sync.WaitGroup
	var mu sync.Mutex
	reading, peak, refused := 0, 0, 0
	resume := make(chan struct{})
	for i := range senders {
		length := int64(size)
		if i%2 == 0 {
			length = -1
		}
		group.Go(func() {
			first := true
			body := readerFunc(func(p []byte) (int, error) {
				if first {
					first = false
					mu.Lock()
					reading++
					peak = max(peak, reading)
					mu.Unlock()
					<-resume
				}
				return len(p), nil
			})
			_, reservation, err := b.Read(t.Context(), io.LimitReader(body, size), length, size)
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, ErrNoMemory) {
				refused++
				return
			}
			assert.Check(t, err)
			reading--
			reservation.Release()
		})
	}
	time.Sleep(3 * wait)
	close(resume)
	group.Wait()
	assert.Assert(t, peak <= budget/growBytes && refused >= senders-budget/growBytes, "%d read at once, %d refused", peak, refused)
	_, err := b.Reserve(context.Background(), budget)
	assert.NilError(t, err, "all memory was released")
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestReadAheadTakesWhatThereIsMemoryFor reads bodies that fit into the limit and the
// budget, and others that do not. It must keep their first bytes in order and reserve
// no more than the budget.
func TestReadAheadTakesWhatThereIsMemoryFor(t *testing.T) {
	const limit = 64 << 10
	for _, c := range []struct {
		budget   int64
		size     int
		complete bool
	}{
		{1 << 20, 0, true},
		{1 << 20, 1, true},
		{1 << 20, readAheadBytes, true},
		{1 << 20, limit - 1, true},
		{1 << 20, limit, false},
		{1 << 20, limit + 1, false},
		{readAheadBytes, readAheadBytes - 1, true},
		{readAheadBytes, limit, false},
		{2*readAheadBytes + 1, limit, false},
		{1, 100, false},
	} {
		want := make([]byte, c.size)
		for i := range want {
			want[i] = byte(i)
		}
		b := NewBudget(c.budget, wait)
		body := bytes.NewReader(want)
		got, complete, reservation, err := b.ReadAhead(iotest.HalfReader(body), limit)
		assert.NilError(t, err)
		assert.Equal(t, complete, c.complete, "%+v", c)
		assert.Assert(t, bytes.Equal(got, want[:len(got)]), "%+v", c)
		assert.Equal(t, len(got)+body.Len(), c.size, "bytes were read and not returned: %+v", c)
		assert.Assert(t, reservation.bytes >= int64(len(got)) && reservation.bytes <= c.budget, "%+v", c)
		reservation.Release()
		assert.Assert(t, b.TryReserve(c.budget) != nil, "memory was not released: %+v", c)
	}
	b := NewBudget(1<<20, wait)
	_, complete, reservation, err := b.ReadAhead(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) && !complete)
	reservation.Release()
	assert.Assert(t, b.TryReserve(1<<20) != nil)
}
