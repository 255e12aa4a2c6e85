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
	// maxPingExtensions bounds the ping timeouts that one ping may take while
	// other frames arrive.
	maxPingExtensions = 5
)

// States of an outgoing frame. A frame moves from queued to exactly one of
// the other two, which settles whether the peer may have seen it.
const (
	frameQueued int32 = iota
	frameWriting
	frameAbandoned
)

// outgoing is a frame on its way to the writer.
type outgoing struct {
	frame *frame
	state atomic.Int32
}

// abandon reports whether the frame was withdrawn before it was written.
func (o *outgoing) abandon() bool {
	return o.state.CompareAndSwap(frameQueued, frameAbandoned)
}

// conn is one WebSocket connection of a link, with a goroutine each for
// reading and writing; the mesh's pinger finds it if it goes silent.
type conn struct {
	ws    *websocket.Conn
	class Class
	link  *link
	out   *kernel.Ring[*outgoing]
	// received counts the frames that arrived, as signs of life.
	received atomic.Uint64
	// pinged counts the peer's pings, pinging is true while one of this side
	// is on its way, and lastAlive is what the pinger last saw.
	pinged    *atomic.Uint64
	pinging   atomic.Bool
	lastAlive uint64
}

// newConn returns a connection of a link; pinged counts the peer's pings.
func newConn(ws *websocket.Conn, class Class, l *link, pinged *atomic.Uint64) *conn {
	ws.SetReadLimit(maxFrameBytes)
	full := l.mesh.metrics.ringFull.WithLabelValues(class.String(), kernel.Wait.String())
	return &conn{ws: ws, class: class, link: l, pinged: pinged, out: kernel.NewRing[*outgoing](sendRingFrames, kernel.Wait, full)}
}

// start runs the connection until the link closes.
func (c *conn) start() {
	go c.run("write", c.write)
	go c.run("read", c.read)
}

func (c *conn) run(duty string, loop func(context.Context) error) {
	c.fail(duty, loop(c.link.ctx))
}

func (c *conn) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-c.out.C():
			if !o.state.CompareAndSwap(frameQueued, frameWriting) {
				continue
			}
			if err := c.writeFrame(ctx, o.frame); err != nil {
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

// pingOnce waits for a pong. On a slow link the pong waits behind bulk data,
// so a connection on which frames arrive meanwhile gets more time, but not
// without end: bytes may still pass in one direction only.
func (c *conn) pingOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.link.mesh.metrics.pings.Inc()
	answered := make(chan error, 1)
	go func() { answered <- c.ws.Ping(ctx) }()
	timer := time.NewTimer(c.link.mesh.pingTimeout)
	defer timer.Stop()
	for range maxPingExtensions {
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
	return errors.New("connection went silent")
}

// send queues a frame and returns it, so that it can be abandoned.
func (c *conn) send(ctx context.Context, f *frame) (*outgoing, error) {
	o := &outgoing{frame: f}
	if err := c.link.ctx.Err(); err != nil {
		return nil, c.link.failure()
	}
	return o, c.out.Push(ctx, o)
}
