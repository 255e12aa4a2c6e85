package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/internal/recovered"
	"github.com/mangomast/mangomast/kernel"
)

const (
	// writeTimeout bounds the time in which a client takes none of the bytes of a write.
	writeTimeout = 30 * time.Second
	// unreadBodyTimeout bounds the wait for the rest of a body that the handler has not
	// read. net/http waits for it before it sends the response.
	unreadBodyTimeout = time.Second
	// maxServiceHeadBytes bounds the heads that nodes, upstreams and probes send.
	maxServiceHeadBytes = 16 << 10
	// headSlackBytes is added to the limit of a header's size for the request line and
	// for what is read at once beyond the head.
	headSlackBytes = 8 << 10
	// closedLogInterval is the minimum time between two log lines on closed connections.
	closedLogInterval = time.Second
)

// guard bounds the connections of a listener by an intake.Table.
type guard struct {
	name   string
	limits intake.Limits
	log    log.Interface
	closed *prometheus.CounterVec
	// maxHeader returns the largest header that clients may send, in bytes; 0 for the
	// limit of the server.
	maxHeader func() int64
	// panics reports panics of the handler.
	panics *recovered.Reporter

	mu    sync.Mutex
	table *intake.Table
	// closedConns counts the connections closed since loggedAt, by reason.
	closedConns map[intake.Reason]int
	loggedAt    time.Time
}

// NewForListener returns a server whose connections are bounded by a share of the
// process's limits. The name is that of the listener in metrics and logs.
func NewForListener(ctx *kernel.Context, name, address string, handler http.Handler, share float64) *Server {
	limits := ctx.Node.Limits
	s := New(address, handler)
	s.server.MaxHeaderBytes = maxServiceHeadBytes
	s.guard = newGuard(name, intake.LimitsFor(limits.Memory(), limits.Descriptors, share), ctx.Log, ctx.Registry)
	s.server.Handler = s.guard.track(s.server.Handler)
	s.server.ConnContext = contextWithConn
	return s
}

// LimitHeader makes the server refuse heads whose header is larger than the function
// returns, in bytes, while they are being read; 0 means 64 KiB. It must be called
// before Listen, on a server of NewForListener.
func (s *Server) LimitHeader(maxBytes func() int64) {
	s.server.MaxHeaderBytes = maxHeaderBytes
	s.guard.maxHeader = maxBytes
}

func newGuard(name string, limits intake.Limits, logger log.Interface, registerer prometheus.Registerer) *guard {
	g := &guard{
		name: name, limits: limits, log: logger, table: intake.NewTable(limits), closedConns: map[intake.Reason]int{},
		panics: recovered.NewReporter(name, logger, registerer),
	}
	label := prometheus.Labels{"listener": name}
	g.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangomast_listener_closed_connections_total", ConstLabels: label,
		Help: "Connections of clients that were closed because the listener reached a limit, by limit.",
	}, []string{"limit"})
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mangomast_listener_connections", ConstLabels: label, Help: "Open connections of clients.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.table.Len())
	})
	registerer.MustRegister(g.closed, open)
	return g
}

// guardedConn is a connection that reports to a guard.
type guardedConn struct {
	*net.TCPConn
	guard *guard
	state *intake.Conn
	// headBytes is what was read of the head that is being read. It is atomic, as
	// net/http reads the connection in the background while a handler runs.
	headBytes atomic.Int64
	// serving is true from the start of the handler to the end of the response.
	serving atomic.Bool
}

type connKey struct{}

func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// MarkEstablished ends the bounds on the connection of a request, which was hijacked by
// a client that has proved who it is.
func MarkEstablished(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*guardedConn); ok {
		conn.guard.remove(conn)
	}
}

// accept adds a connection and closes the one that has to make room for it. It returns
// nil if that is the new one.
func (g *guard) accept(tcp *net.TCPConn) *guardedConn {
	conn := &guardedConn{TCPConn: tcp, guard: g}
	address, _, _ := net.SplitHostPort(tcp.RemoteAddr().String())
	g.mu.Lock()
	state, victim := g.table.Open(conn, address, time.Now())
	conn.state = state
	g.mu.Unlock()
	if victim == nil {
		return conn
	}
	g.close(intake.TooManyConnections, victim)
	if victim == state {
		return nil
	}
	return conn
}

// close closes connections that are no longer in the table.
func (g *guard) close(reason intake.Reason, victims ...*intake.Conn) {
	for _, victim := range victims {
		_ = victim.Owner.(*guardedConn).TCPConn.Close()
	}
	g.closed.WithLabelValues(reason.String()).Add(float64(len(victims)))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedConns[reason] += len(victims)
	if now := time.Now(); now.Sub(g.loggedAt) >= closedLogInterval {
		g.log.WithFields(log.Fields{
			"listener": g.name, "for_connections": g.closedConns[intake.TooManyConnections], "for_head_bytes": g.closedConns[intake.TooManyHeadBytes],
			"open": g.table.Len(), "max_connections": g.limits.Connections, "max_head_bytes": g.limits.HeadBytes,
		}).Warn("closed connections: clients take more than the listener's limits")
		g.loggedAt = now
		clear(g.closedConns)
	}
}

func (g *guard) remove(conn *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(conn.state)
}

// track reports the start of each request, and bounds the wait for what its handler
// has left of the body.
func (g *guard) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*guardedConn); ok {
			conn.setPhase(intake.Serving)
		}
		defer g.reportPanic(r)
		if r.ContentLength != 0 {
			defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) }()
		}
		handler.ServeHTTP(w, r)
	})
}

// reportPanic reports a handler's panic and has net/http abort the connection.
func (g *guard) reportPanic(r *http.Request) {
	switch cause := recover(); cause {
	case nil:
	case http.ErrAbortHandler:
		panic(cause)
	default:
		g.panics.Report(cause, log.Fields{"method": r.Method, "remote": r.RemoteAddr})
		panic(http.ErrAbortHandler)
	}
}

// setState reports the states in which no request is answered.
func (g *guard) setState(conn net.Conn, state http.ConnState) {
	guarded, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		guarded.setPhase(intake.Idle)
	case http.StateHijacked:
		// Until it is established, the client has only sent a head.
		guarded.setPhase(intake.Fresh)
	}
}

func (c *guardedConn) setPhase(phase intake.Phase) {
	c.serving.Store(phase == intake.Serving)
	if phase == intake.Idle {
		c.headBytes.Store(0)
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetPhase(c.state, phase, time.Now())
}

// headTooLarge is the response to a head that is refused before it is whole.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Read implements net.Conn. It counts the bytes of heads. To net/http, the connection
// of a head that is too large ends.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.serving.Load() {
		return n, err
	}
	total := c.headBytes.Add(int64(n))
	if total > intake.FreeHeadBytes && c.exceedsMaxHeader(total) {
		_, _ = c.Write([]byte(headTooLarge))
		return 0, io.EOF
	}
	c.countHead(total, int64(n))
	return n, err
}

func (c *guardedConn) exceedsMaxHeader(headBytes int64) bool {
	if c.guard.maxHeader == nil {
		return false
	}
	limit := c.guard.maxHeader()
	return limit > 0 && headBytes-headSlackBytes > limit
}

// countHead counts n bytes of a head that now has total bytes.
func (c *guardedConn) countHead(total, n int64) {
	counted := total - max(total-n, intake.FreeHeadBytes)
	if counted <= 0 {
		return
	}
	c.guard.mu.Lock()
	victims := c.guard.table.ReadHead(c.state, counted)
	c.guard.mu.Unlock()
	if len(victims) > 0 {
		c.guard.close(intake.TooManyHeadBytes, victims...)
	}
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	now := time.Now()
	_ = c.SetWriteDeadline(now.Add(writeTimeout))
	c.state.BeginWrite(now)
	defer c.state.EndWrite()
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.guard.remove(c)
	return c.TCPConn.Close()
}
