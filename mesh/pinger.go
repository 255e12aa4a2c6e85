package mesh

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// idlePingTicks is the number of ping intervals between two checks of a link
	// on which this side awaits no answer. It grows with the number of links, by
	// idlePingTicks for each linksPerPingStep, so that a node's idle pings stay
	// at some 32 a second.
	idlePingTicks    = 4
	linksPerPingStep = 32
	// acceptorPingTicks is the same for the accepting side of a link, which the
	// dialer pings.
	acceptorPingTicks = 16
)

// pinger detects dead connections. One goroutine checks all connections of a
// mesh, so that an idle connection needs no timer.
type pinger struct {
	mesh *Mesh
	stop chan struct{}
}

func newPinger(m *Mesh) *pinger { return &pinger{mesh: m, stop: make(chan struct{})} }

// run checks the connections at each ping interval until the mesh is closed.
func (p *pinger) run() {
	ticker := time.NewTicker(p.mesh.pingInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		links := p.mesh.links()
		for _, l := range links {
			p.checkLink(l, tick, 1+len(links)/linksPerPingStep)
		}
	}
}

// checkLink pings the connections of a link for which a ping is due. The
// intervals between the pings of idle links are multiplied by stretch.
func (p *pinger) checkLink(l *link, tick, stretch int) {
	awaiting := l.awaitsAnswer()
	for class := range numClasses {
		c := l.conn(class)
		if c != nil && c.pingDue(awaiting, tick, stretch) {
			c.probe()
		}
	}
}

// probe pings the link's connection of the class immediately.
func (l *link) probe(class Class) {
	if c := l.conn(class); c != nil {
		c.probe()
	}
}

// probe pings the connection, unless a ping is in flight, and closes the link if
// no pong arrives. It does not block.
func (c *conn) probe() {
	if !c.pingInFlight.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.pingInFlight.Store(false)
		if err := c.pingOnce(c.link.ctx); err != nil {
			c.fail("ping", err)
		}
	}()
}

// awaitsAnswer reports whether this side awaits an answer on the link.
func (l *link) awaitsAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialer && len(l.streams) > 0
}

// pingDue reports whether the connection is to be pinged at the tick.
// Connections are checked at every tick while this side awaits an answer, every
// idlePingTicks ticks on an idle dialer, and every acceptorPingTicks ticks on an
// acceptor, both multiplied by stretch. A connection on which a frame or a ping arrived since its last check
// is alive and not pinged. Only the pinger's goroutine may call pingDue.
func (c *conn) pingDue(awaiting bool, tick, stretch int) bool {
	ticks := idlePingTicks * stretch
	switch {
	case awaiting:
		ticks = 1
	case !c.link.dialer:
		ticks = acceptorPingTicks * stretch
	}
	if tick%ticks != 0 {
		return false
	}
	activity := c.received.Load() + c.pingsReceived.Load()
	inactive := activity == c.lastActivity
	c.lastActivity = activity
	return inactive
}

// links returns the open links.
func (m *Mesh) links() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.dialed)+len(m.accepted))
	for _, l := range m.dialed {
		links = append(links, l)
	}
	for _, l := range m.accepted {
		links = append(links, l)
	}
	return links
}

// fail closes the connection and its link because an operation failed.
func (c *conn) fail(operation string, err error) {
	c.link.close(errors.Wrapf(err, "%s on %s connection", operation, c.class))
	_ = c.ws.CloseNow()
}
