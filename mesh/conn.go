package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/kernel"
)

const (
	sendRingFrames = 256
	writeTimeout   = 3 * time.Second
	// maxPingTimeouts is the number of ping timeouts after which a ping fails
	// even if other frames arrive.
	maxPingTimeouts = 5
)

// States of a queued frame. A frame moves from queued to exactly one of the
// other two states, which determines whether the peer may have received it.
const (
	frameQueued int32 = iota
	frameWriting
	frameAbandoned
)

// queuedFrame is a frame in a connection's send ring.
type queuedFrame struct {
	frame *frame
	state atomic.Int32
}

// abandon reports whether the frame was withdrawn before it was written.
func (q *queuedFrame) abandon() bool {
	return q.state.CompareAndSwap(frameQueued, frameAbandoned)
}

// conn is one WebSocket connection of a link, with one goroutine for reading
// and one for writing. The mesh's pinger closes the link if the connection is
// dead.
type conn struct {
	ws       *websocket.Conn
	class    Class
	link     *link
	sendRing *kernel.Ring[*queuedFrame]
	// received counts the received frames, as evidence that the peer is alive.
	received atomic.Uint64
	// pingsReceived counts the peer's pings, pingInFlight is true while this
	// side waits for a pong, and lastActivity is the sum of received and
	// pingsReceived at the pinger's last check.
	pingsReceived *atomic.Uint64
	pingInFlight  atomic.Bool
	lastActivity  uint64
}

// newConn returns a connection of a link; pingsReceived counts the peer's
// pings.
func newConn(ws *websocket.Conn, class Class, l *link, pingsReceived *atomic.Uint64) *conn {
	ws.SetReadLimit(maxFrameBytes)
	full := l.mesh.metrics.ringFull.WithLabelValues(class.String(), kernel.Wait.String())
	return &conn{ws: ws, class: class, link: l, pingsReceived: pingsReceived, sendRing: kernel.NewRing[*queuedFrame](sendRingFrames, kernel.Wait, full)}
}

// start runs the connection until the link closes.
func (c *conn) start() {
	go c.run("write", c.write)
	go c.run("read", c.read)
}

func (c *conn) run(operation string, loop func(context.Context) error) {
	c.fail(operation, loop(c.link.ctx))
}

func (c *conn) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case queued := <-c.sendRing.C():
			if !queued.state.CompareAndSwap(frameQueued, frameWriting) {
				continue
			}
			if err := c.writeFrame(ctx, queued.frame); err != nil {
				return err
			}
		}
	}
}

func (c *conn) writeFrame(ctx context.Context, f *frame) error {
	data, err := Encode(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.link.mesh.metrics.sentBytes.WithLabelValues(c.class.String()).Add(float64(len(data)))
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

func (c *conn) read(ctx context.Context) error {
	for {
		kind, data, err := c.ws.Read(ctx)
		if err != nil {
			return err
		}
		c.received.Add(1)
		if kind != websocket.MessageBinary {
			return errors.New("peer sent a text message")
		}
		c.link.mesh.metrics.receivedBytes.WithLabelValues(c.class.String()).Add(float64(len(data)))
		f, err := decodeFrame(data)
		if err != nil {
			return err
		}
		c.link.receive(c, f)
	}
}

// pingOnce sends a ping and waits for the pong. On a slow link the pong may be
// queued behind bulk data, so the timeout is extended while frames arrive. The
// extension is limited, because data may pass in one direction only.
func (c *conn) pingOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.link.mesh.metrics.pings.Inc()
	answered := make(chan error, 1)
	go func() { answered <- c.ws.Ping(ctx) }()
	timer := time.NewTimer(c.link.mesh.pingTimeout)
	defer timer.Stop()
	for range maxPingTimeouts {
		seen := c.received.Load()
		select {
		case err := <-answered:
			return err
		case <-timer.C:
		}
		if c.received.Load() == seen {
			break
		}
		timer.Reset(c.link.mesh.pingTimeout)
	}
	return errors.New("no pong within the ping timeout")
}

// send queues a frame and returns it, so that the caller can abandon it.
func (c *conn) send(ctx context.Context, f *frame) (*queuedFrame, error) {
	queued := &queuedFrame{frame: f}
	if err := c.link.ctx.Err(); err != nil {
		return nil, c.link.closeError()
	}
	return queued, c.sendRing.Push(ctx, queued)
}
