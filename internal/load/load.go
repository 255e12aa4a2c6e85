// Package load is an open-loop load generator: it sends requests at a constant
// rate, independent of the responses, and records the results.
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
	// maxOutstanding limits the concurrent requests. At the limit, Run falls
	// behind schedule.
	maxOutstanding = 20_000
)

// Sample is the result of one request.
type Sample struct {
	OK bool
	// Class groups samples, for example by organisation or importance.
	Class string
}

// Options configure Run.
type Options struct {
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// Do sends the request with the given sequence number and returns its
	// result.
	Do func(ctx context.Context, number int) Sample
}

// ClassResult counts the samples of one class.
type ClassResult struct {
	Sent, OK int
	latency  *hdrhistogram.Histogram
}

// Percentile returns the percentile p, from 0 to 100, of the latency of
// successful requests.
func (c *ClassResult) Percentile(p float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(p)) * time.Microsecond
}

// Result has the measurements of Run. Timeline has one entry for each
// IntervalLength of the run.
type Result struct {
	All      *ClassResult
	Classes  map[string]*ClassResult
	Timeline []Interval
}

// IntervalLength is the time that one entry of Result.Timeline covers.
const IntervalLength = 100 * time.Millisecond

// Interval counts the requests that were scheduled in one interval, and the
// successful responses that arrived in it.
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

// Run sends requests until the duration has passed or ctx is done, and waits
// for the outstanding ones.
func Run(ctx context.Context, opts Options) *Result {
	rec := &recorder{started: time.Now(), result: &Result{All: NewClassResult(), Classes: map[string]*ClassResult{}}}
	interval := time.Duration(float64(time.Second) / opts.Rate)
	outstanding := make(chan struct{}, maxOutstanding)
	var group sync.WaitGroup
	for number := 0; ; number++ {
		scheduled := rec.started.Add(time.Duration(number) * interval)
		if scheduled.Sub(rec.started) >= opts.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(scheduled))
		outstanding <- struct{}{}
		group.Go(func() {
			defer func() { <-outstanding }()
			rec.send(ctx, opts, number, scheduled)
		})
	}
	group.Wait()
	return rec.result
}

// send sends one request and records its result. Latency is measured from the
// scheduled time, so that it includes the delay of a sender that falls behind
// schedule (coordinated omission).
func (r *recorder) send(ctx context.Context, opts Options, number int, scheduled time.Time) {
	sample := opts.Do(ctx, number)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.All.add(sample.OK, now.Sub(scheduled))
	class := r.result.Classes[sample.Class]
	if class == nil {
		class = NewClassResult()
		r.result.Classes[sample.Class] = class
	}
	class.add(sample.OK, now.Sub(scheduled))
	r.intervalAt(scheduled).Sent++
	if sample.OK {
		r.intervalAt(now).Answered++
	}
}

func (r *recorder) intervalAt(at time.Time) *Interval {
	index := int(at.Sub(r.started) / IntervalLength)
	for len(r.result.Timeline) <= index {
		r.result.Timeline = append(r.result.Timeline, Interval{})
	}
	return &r.result.Timeline[index]
}
