package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/quarantine"
)

const (
	// together and alone are the shares of the upstream that a request takes.
	together int64 = 1
	alone    int64 = 1 << 30

	crashProbeTimeout = 300 * time.Millisecond
	// aloneTimeout bounds how long a suspect holds new requests back while it
	// waits for those that run.
	aloneTimeout = 1 * time.Second
)

// newIsolation returns the shares of the upstream. Waiting requests get
// theirs in order, so that one that runs alone is not passed for ever.
func newIsolation() *semaphore.Weighted { return semaphore.NewWeighted(alone) }

// runIsolated forwards a request that has a slot. A request that is suspected
// of having crashed an upstream runs while no other does.
func (m *Module) runIsolated(ctx context.Context, s *serving, head *call.Head, body []byte, token string) (*call.Reply, io.ReadCloser) {
	fingerprint := ledger.FingerprintOf(head, body)
	share, refusal := m.takeShare(ctx, fingerprint)
	if refusal != nil {
		return refusal, nil
	}
	finish := func(broken, answered bool) {
		crashed := broken && upstreamCrashed(s.upstream.Address)
		m.quarantine.Record(head, fingerprint, quarantine.Judge(share == alone, crashed, answered))
		m.isolation.Release(share)
	}
	reply, answer := m.forward(ctx, s, head, body, token)
	if answer == nil {
		finish(reply.Outcome == call.Unknown && reply.Code == call.CodeUpstreamFailed, false)
		return reply, nil
	}
	return reply, &watchedBody{ReadCloser: answer, finish: finish}
}

// takeShare waits until the request may run beside those that run. What is
// known of the request may change meanwhile.
func (m *Module) takeShare(ctx context.Context, fingerprint ledger.Fingerprint) (int64, *call.Reply) {
	for {
		verdict := m.quarantine.Verdict(fingerprint)
		share := together
		switch verdict {
		case quarantine.Refuse:
			return 0, call.Refuse(call.CodeQuarantined, "the request crashed the upstreams that ran it; it is not run for now")
		case quarantine.RunAlone:
			share = alone
		}
		if refusal := m.acquireShare(ctx, share); refusal != nil {
			return 0, refusal
		}
		if m.quarantine.Verdict(fingerprint) == verdict {
			return share, nil
		}
		m.isolation.Release(share)
	}
}

func (m *Module) acquireShare(ctx context.Context, share int64) *call.Reply {
	waitCtx, cancel := ctx, context.CancelFunc(func() {})
	if share == alone {
		waitCtx, cancel = context.WithTimeout(ctx, aloneTimeout)
	}
	defer cancel()
	if m.isolation.Acquire(waitCtx, share) == nil {
		return nil
	}
	if ctx.Err() == nil {
		return call.Refuse(call.CodeOverloaded, "the request must run alone and others run for long")
	}
	return call.Refuse(call.CodeDeadline, "the deadline passed before the request could run")
}

// upstreamCrashed reports whether nothing listens on the upstream's address.
func upstreamCrashed(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// watchedBody notices an answer that breaks off.
type watchedBody struct {
	io.ReadCloser
	broken, whole bool
	finish        func(broken, answered bool)
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.whole = true
	case !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		b.broken = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(b.broken, b.whole)
	return err
}
