package mesh

import (
	"context"
	"time"
)

const (
	drainPollInterval = 10 * time.Millisecond
	// drainLinger gives peers time to read the last frames.
	drainLinger = 200 * time.Millisecond
)

// Drain waits until all requests from other nodes are answered and all queued
// frames are written, or the context ends.
func (m *Mesh) Drain(ctx context.Context) error {
	for !m.idle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	time.Sleep(drainLinger)
	return nil
}

func (m *Mesh) idle() bool {
	m.mu.Lock()
	links := make([]*link, 0, len(m.dialed)+len(m.accepted))
	for _, l := range m.dialed {
		links = append(links, l)
	}
	for _, l := range m.accepted {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		if !l.idle() {
			return false
		}
	}
	return true
}

// idle reports whether the link serves no request and has no queued frame.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.dialer && len(l.streams) > 0 {
		return false
	}
	for _, c := range l.conns {
		if c != nil && len(c.sendRing.C()) > 0 {
			return false
		}
	}
	return true
}
