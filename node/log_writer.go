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
	w := &logWriter{out: out, lines: kernel.NewRing[[]byte](maxPendingLogLines, kernel.Refuse, nil), stop: stop, done: make(chan struct{})}
	go w.run(ctx)
	return w
}

// Write implements io.Writer. Each call must pass one complete line.
func (w *logWriter) Write(line []byte) (int, error) {
	if w.lines.Push(context.Background(), append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run(ctx context.Context) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines.C():
			w.writeBatch(line)
		case <-ctx.Done():
			for w.lines.Len() > 0 {
				w.writeBatch(<-w.lines.C())
			}
			return
		}
	}
}

// writeBatch writes the line together with the lines queued after it. Write
// errors are ignored, since there is no other place to log them.
func (w *logWriter) writeBatch(batch []byte) {
	for len(batch) < logBatchBytes && w.lines.Len() > 0 {
		batch = append(batch, <-w.lines.C()...)
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"lines\":%d}}\n", dropped)
	}
	_, _ = w.out.Write(batch)
}

// close writes the queued lines and stops the goroutine.
func (w *logWriter) close() {
	w.stop()
	<-w.done
}
