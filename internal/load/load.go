// Package load sends requests at a constant rate and records what became of
// them. The rate does not depend on the answers.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros  = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxOutstanding    = 20_000
)

// Sample is the result of one request.
type Sample struct {
	OK bool
	// Class groups samples, such as by organisation or importance.
	Class string
}

// Options are the inputs of Run.
type Options struct {
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	// Do sends the request with the given number and blocks until it ends.
	Do func(ctx context.Context, number int) Sample
}

// ClassResult counts the samples of one class.
type ClassResult struct {
	Sent, OK int
	latency  *hdrhistogram.Histogram
}

// Quantile returns the latency of successful requests; q is 0 to 100.
func (c *ClassResult) Quantile(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Result is what Run measured. Timeline has one entry for each 100 ms of the
// run, by the time that a request was sent.
type Result struct {
	All      *ClassResult
	Classes  map[string]*ClassResult
	Timeline []Interval
}

// IntervalLength is the length of one entry of a timeline.
const IntervalLength = 100 * time.Millisecond

// Interval counts the requests sent in one interval, and the successful
// answers that arrived in it.
type Interval struct {
	Sent, Answered int
}

type recorder struct {
	mu      sync.Mutex
	started time.Time
	result  *Result
}

// NewClassResult returns an empty result.
func NewClassResult() *ClassResult {
	return &ClassResult{latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

func (c *ClassResult) add(ok bool, latency time.Duration) {
	c.Sent++
	if ok {
		c.OK++
		_ = c.latency.RecordValue(max(1, latency.Microseconds()))
	}
}

// Run sends requests until the duration or the context ends, and waits for
// those that are outstanding.
func Run(ctx context.Context, opts Options) *Result {
	rec := &recorder{started: time.Now(), result: &Result{All: NewClassResult(), Classes: map[string]*ClassResult{}}}
	interval := time.Duration(float64(time.Second) / opts.Rate)
	outstanding := make(chan struct{}, maxOutstanding)
	var group sync.WaitGroup
	for number := 0; ; number++ {
		due := rec.started.Add(time.Duration(number) * interval)
		if due.Sub(rec.started) >= opts.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		outstanding <- struct{}{}
		group.Go(func() {
			defer func() { <-outstanding }()
			rec.one(ctx, opts, number, due)
		})
	}
	group.Wait()
	return rec.result
}

// one sends a request. Its latency counts from when it was due, so that a
// sender that falls behind does not hide a delay.
func (r *recorder) one(ctx context.Context, opts Options, number int, due time.Time) {
	sample := opts.Do(ctx, number)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.All.add(sample.OK, now.Sub(due))
	class := r.result.Classes[sample.Class]
	if class == nil {
		class = NewClassResult()
		r.result.Classes[sample.Class] = class
	}
	class.add(sample.OK, now.Sub(due))
	r.interval(due).Sent++
	if sample.OK {
		r.interval(now).Answered++
	}
}

func (r *recorder) interval(at time.Time) *Interval {
	index := int(at.Sub(r.started) / IntervalLength)
	for len(r.result.Timeline) <= index {
		r.result.Timeline = append(r.result.Timeline, Interval{})
	}
	return &r.result.Timeline[index]
}
