package mesh

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// idlePingTicks is how many times less often the connections of a link
	// without calls are looked after; their users notice silence by themselves.
	idlePingTicks = 4
	// acceptorPingTicks is the same for the accepting side of such a link,
	// which is pinged by the dialer.
	acceptorPingTicks = 16
)

// pinger finds connections that went silent. One goroutine looks after all
// connections of a mesh, so that an idle connection costs no timer.
type pinger struct {
	mesh *Mesh
	stop chan struct{}
}

func newPinger(m *Mesh) *pinger { return &pinger{mesh: m, stop: make(chan struct{})} }

// run looks after the connections until the mesh closes.
func (p *pinger) run() {
	ticker := time.NewTicker(p.mesh.pingInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		for _, l := range p.mesh.links() {
			p.look(l, tick)
		}
	}
}

// look pings the connections of a link that are due.
func (p *pinger) look(l *link, tick int) {
	inUse := l.conn(Calls) != nil
	for class := range classes {
		c := l.conn(class)
		if c != nil && c.pingDue(inUse, tick) {
			c.check()
		}
	}
}

// check looks after the link's connection of the class at once.
func (l *link) check(class Class) {
	if c := l.conn(class); c != nil {
		c.check()
	}
}

// check pings the connection, unless a ping is on its way, and ends its link if
// no pong comes. It does not block.
func (c *conn) check() {
	if !c.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.pinging.Store(false)
		if err := c.pingOnce(c.link.ctx); err != nil {
			c.fail("ping", err)
		}
	}()
}

// pingDue reports whether the connection is to be pinged at the tick. A
// connection without calls on its link is not, if a frame or a ping arrived
// since it was last looked at. It is called by the pinger's goroutine only.
func (c *conn) pingDue(inUse bool, tick int) bool {
	if inUse {
		return true
	}
	ticks := idlePingTicks
	if !c.link.dialer {
		ticks = acceptorPingTicks
	}
	if tick%ticks != 0 {
		return false
	}
	alive := c.received.Load() + c.pinged.Load()
	quiet := alive == c.lastAlive
	c.lastAlive = alive
	return quiet
}

// links returns the links that are open.
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

// fail ends the connection's link.
func (c *conn) fail(duty string, err error) {
	c.link.close(errors.Wrapf(err, "%s on %s connection", duty, c.class))
	_ = c.ws.CloseNow()
}
