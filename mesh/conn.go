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
	// idlePingTicks is how many times less often the connections of a link
	// without calls are pinged; their users notice silence by themselves.
	idlePingTicks = 4
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
// reading, writing and pinging.
type conn struct {
	ws    *websocket.Conn
	class Class
	link  *link
	out   *kernel.Ring[*outgoing]
	// received counts the frames that arrived, as signs of life.
	received atomic.Uint64
}

func newConn(ws *websocket.Conn, class Class, l *link) *conn {
	ws.SetReadLimit(maxFrameBytes)
	full := l.mesh.metrics.ringFull.WithLabelValues(class.String(), kernel.Wait.String())
	return &conn{ws: ws, class: class, link: l, out: kernel.NewRing[*outgoing](sendRingFrames, kernel.Wait, full)}
}

// start runs the connection until the link closes.
func (c *conn) start() {
	go c.run("write", c.write)
	go c.run("read", c.read)
	go c.run("ping", c.ping)
}

func (c *conn) run(duty string, loop func(context.Context) error) {
	err := loop(c.link.ctx)
	c.link.close(errors.Wrapf(err, "%s on %s connection", duty, c.class))
	_ = c.ws.CloseNow()
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

// ping finds connections that went silent.
func (c *conn) ping(ctx context.Context) error {
	ticker := time.NewTicker(c.link.mesh.pingInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if tick%idlePingTicks != 0 && c.link.conn(Calls) == nil {
			continue
		}
		if err := c.pingOnce(ctx); err != nil {
			return err
		}
	}
}

// pingOnce waits for a pong. On a slow link the pong waits behind bulk data,
// so a connection on which frames arrive meanwhile gets more time, but not
// without end: bytes may still pass in one direction only.
func (c *conn) pingOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
