package inbound

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/meshcall"
)

const (
	// defaultLeaveDelay gives the announcement of a planned stop time to reach
	// every node before this one closes its connections.
	defaultLeaveDelay = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// lastAnnouncementDelay gives the last announcement time to be sent.
	lastAnnouncementDelay = 100 * time.Millisecond
)

// serveTracked serves a request and counts it as active from before it is
// checked until its answer is closed, so that Drain waits for all requests.
func (m *Module) serveTracked(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	m.active.Add(1)
	var end meshcall.Ending
	defer end.Close()
	end.Add(func() { m.active.Add(-1) })
	reply, answer := m.serve(ctx, head, body)
	if answer == nil {
		return reply, nil
	}
	return reply, end.With(answer)
}

// Leave implements kernel.Leaver: it marks the node as leaving, which refuses
// new requests, and announces that. If LeaveDelay is 0 it does neither.
func (m *Module) Leave() {
	now := m.clock.Now()
	m.leavingSince.Store(&now)
	if m.LeaveDelay > 0 {
		m.upstream.markLeaving()
	}
}

// Drain implements kernel.Drainer: it waits until no request waits or runs and
// LeaveDelay has passed, hands over stored answers and announces that the node
// has stopped.
func (m *Module) Drain(ctx context.Context) error {
	until := m.leavingSince.Load().Add(m.LeaveDelay.Std())
	for m.active.Load() > 0 || m.clock.Now().Before(until) {
		select {
		case <-ctx.Done():
			return errors.Errorf("drain interrupted with %d requests still active", m.active.Load())
		case <-m.clock.After(drainPollInterval):
		}
	}
	m.handOver(ctx)
	m.upstream.markGone()
	m.clock.Sleep(lastAnnouncementDelay)
	return nil
}

// handOver sends the stored answers of pinned requests to other VMs.
func (m *Module) handOver(ctx context.Context) {
	upstream, _ := m.upstream.current()
	if m.Ledger.Handover.Disabled || upstream.Service == "" {
		return
	}
	m.handover.handOver(ctx, upstream.Service, m.deduplicator.completedRecords(m.Ledger.Handover.MaxBytes))
}
