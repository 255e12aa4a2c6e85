package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/mangomast/mangomast/kernel"
)

const (
	// maxPendingLogLines is the maximum number of lines waiting to be written.
	maxPendingLogLines = 8192
	// logBatchBytes is the size at which a batch is written without adding
	// further lines.
	logBatchBytes = 32 << 10
)

// logWriter writes log lines asynchronously, batching several into one system
// call. When the ring is full, lines are dropped and counted, so that logging
// never blocks.
type logWriter struct {
	out     io.Writer
	lines   *kernel.Ring[[]byte]
	dropped atomic.Int64
	stop    context.CancelFunc
	done    chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	ctx, stop := context.WithCancel(context.Background())
	r := &logWriter{out: out, lines: kernel.NewRing[[]byte](maxPendingLogLines, kernel.Refuse, nil), stop: stop, done: make(chan struct{})}
	go r.run(ctx)
	return r
}

// Write implements io.Writer. Each call must pass one complete line.
func (r *logWriter) Write(line []byte) (int, error) {
	if r.lines.Push(context.Background(), append([]byte(nil), line...)) != nil {
		r.dropped.Add(1)
	}
	return len(line), nil
}

func (r *logWriter) run(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines.C():
			r.writeBatch(line)
		case <-ctx.Done():
			for r.lines.Len() > 0 {
				r.writeBatch(<-r.lines.C())
			}
			return
		}
	}
}

// writeBatch writes the line together with the lines queued after it. Write
// errors are ignored, since there is no other place to log them.
func (r *logWriter) writeBatch(batch []byte) {
	for len(batch) < logBatchBytes && r.lines.Len() > 0 {
		batch = append(batch, <-r.lines.C()...)
	}
	if dropped := r.dropped.Swap(0); dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"lines\":%d}}\n", dropped)
	}
	_, _ = r.out.Write(batch)
}

// close writes the queued lines and stops the goroutine.
func (r *logWriter) close() {
	r.stop()
	<-r.done
}
