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
		switch {
		case broken && upstreamCrashed(s.upstream.Address):
			m.quarantine.Crashed(head, fingerprint, share == alone)
		case answered && share == alone:
			m.quarantine.Survived(head, fingerprint)
		}
		m.isolation.Release(share)
	}
	reply, answer := m.forward(ctx, s, head, body, token)
	if answer == nil {
		// A suspect that was not run, or not to its end, stays a suspect.
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
		if err := m.isolation.Acquire(ctx, share); err != nil {
			return 0, call.Refuse(call.CodeDeadline, "the deadline passed before the request could run")
		}
		if m.quarantine.Verdict(fingerprint) == verdict {
			return share, nil
		}
		m.isolation.Release(share)
	}
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
