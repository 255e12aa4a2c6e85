package mesh

import (
	"context"
	"time"
)

const (
	drainPoll = 10 * time.Millisecond
	// drainLinger lets peers read what was written last.
	drainLinger = 200 * time.Millisecond
)

// Drain waits until every request that other nodes sent is answered and every
// queued frame is written, or the context ends.
func (m *Mesh) Drain(ctx context.Context) error {
	for !m.idle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
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

// idle reports whether the link serves no request and has nothing to write.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.dialer && len(l.streams) > 0 {
		return false
	}
	for _, c := range l.conns {
		if c != nil && len(c.out.C()) > 0 {
			return false
		}
	}
	return true
}
