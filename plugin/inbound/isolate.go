package inbound

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/crashprobe"
	"github.com/mangomast/mangomast/ledger"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	"github.com/mangomast/mangomast/quarantine"
)

const (
	// sharedWeight and exclusiveWeight are the semaphore weights of a request
	// that may run concurrently with others and of one that must run alone.
	sharedWeight    int64 = 1
	exclusiveWeight int64 = 1 << 30

	// exclusiveTimeout bounds how long a suspect waits for the running requests
	// to end, as new requests are blocked behind it meanwhile.
	exclusiveTimeout = 1 * time.Second
)

// newIsolation returns the semaphore that isolates suspects. It is acquired in
// FIFO order, so that requests that run alone are not starved.
func newIsolation() *semaphore.Weighted { return semaphore.NewWeighted(exclusiveWeight) }

// runIsolated forwards a request that has a slot. A request that is suspected
// of having crashed an upstream runs while no other request does.
func (m *Module) runIsolated(ctx context.Context, local *localUpstream, head *call.Head, body []byte, token string) (*call.Reply, io.ReadCloser) {
	fingerprint := sync.OnceValue(func() ledger.Fingerprint { return ledger.FingerprintOf(head, body) })
	weight, refusal := m.acquireIsolation(ctx, fingerprint)
	if refusal != nil {
		return refusal, nil
	}
	returned := false
	defer func() {
		if !returned {
			m.isolation.Release(weight)
		}
	}()
	finish := func(failed, answered bool) {
		crashed := failed && crashprobe.Refused(local.upstream.Address)
		m.quarantine.RecordRun(head, fingerprint, quarantine.Classify(weight == exclusiveWeight, crashed, answered))
		m.isolation.Release(weight)
	}
	reply, answer := m.forward(ctx, local, head, body, token)
	returned = true
	if answer == nil {
		finish(reply.Outcome == call.Unknown && reply.Code == call.CodeUpstreamFailed, false)
		return reply, nil
	}
	return reply, &monitoredBody{ReadCloser: answer, finish: finish}
}

// acquireIsolation acquires the isolation semaphore with the weight that the
// quarantine verdict requires. It retries if the verdict changes meanwhile.
func (m *Module) acquireIsolation(ctx context.Context, fingerprint func() ledger.Fingerprint) (int64, *call.Reply) {
	for {
		verdict, left := m.quarantine.Verdict(fingerprint)
		weight := sharedWeight
		switch verdict {
		case quarantine.Refuse:
			return 0, quarantineplugin.Refusal(left)
		case quarantine.RunWithSuspects, quarantine.RunAlone:
			weight = exclusiveWeight
		}
		if refusal := m.acquireWeight(ctx, weight); refusal != nil {
			return 0, refusal
		}
		if now, _ := m.quarantine.Verdict(fingerprint); now == verdict {
			return weight, nil
		}
		m.isolation.Release(weight)
	}
}

// acquireWeight acquires the given weight or returns a refusal.
func (m *Module) acquireWeight(ctx context.Context, weight int64) *call.Reply {
	waitCtx, cancel := ctx, context.CancelFunc(func() {})
	if weight == exclusiveWeight {
		waitCtx, cancel = context.WithTimeout(ctx, exclusiveTimeout)
	}
	defer cancel()
	if m.isolation.Acquire(waitCtx, weight) == nil {
		return nil
	}
	if ctx.Err() == nil {
		return call.Refuse(call.CodeOverloaded, "the request must run alone and others run for long")
	}
	return call.Refuse(call.CodeDeadline, "the deadline passed before the request could run")
}

// monitoredBody is the body of an answer. It records whether reading failed or
// reached the end, and passes that to finish on Close. A read that ends because
// its context has ended does not count as failed.
type monitoredBody struct {
	io.ReadCloser
	failed, complete bool
	finish           func(failed, answered bool)
}

// Read implements io.Reader.
func (b *monitoredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.complete = true
	case !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		b.failed = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *monitoredBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(b.failed, b.complete)
	return err
}
