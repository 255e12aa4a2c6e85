// Package connpool keeps connections to HTTP servers between requests. Unlike the
// pool of http.Transport, it gets a connection back only when its user says so:
// once it is known that the answer belongs to the request. The transport takes a
// connection back as soon as it has read an answer, so that another request may be
// waiting there for its own when a late copy of an earlier answer arrives.
package connpool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/resetconn"
)

// Options are the parameters of a Pool.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
	// MaxResponseHeaderBytes bounds the header of a response.
	MaxResponseHeaderBytes int64
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	opts      Options
	transport *http.Transport

	mu sync.Mutex
	// idle is ordered by the time of the last use.
	idle []*Conn
	// generation increases with each CloseIdle.
	generation int
	// expiry runs while there are idle connections.
	expiry *time.Timer
}

// Conn is a connection that carries one request at a time.
type Conn struct {
	pool       *Pool
	client     *http.ClientConn
	bytes      *atomic.Int64
	address    string
	generation int
	// reused is true if the connection has carried a request before the present
	// one, before which writtenBefore bytes had been written.
	reused        bool
	writtenBefore int64
	idleSince     time.Time
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	p := &Pool{opts: opts}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	p.transport = &http.Transport{
		DisableCompression: true, MaxResponseHeaderBytes: opts.MaxResponseHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			written, _ := ctx.Value(writtenKey{}).(*atomic.Int64)
			return &countingConn{Conn: resetconn.New(conn), written: written}, nil
		},
	}
	return p
}

// writtenKey is the context key of the counter of a connection that is dialed.
type writtenKey struct{}

// countingConn counts the bytes that were handed to the operating system.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn. Bytes are counted before the write, so that they
// count while it is under way.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	if n < len(data) {
		c.written.Add(int64(n - len(data)))
	}
	return n, err
}

// Get returns the idle connection to the address that was used last, or dials a
// new one. It blocks until the dial has ended or ctx is done.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if conn := p.takeIdle(address); conn != nil {
		return conn, nil
	}
	p.mu.Lock()
	conn := &Conn{pool: p, address: address, generation: p.generation, bytes: new(atomic.Int64)}
	p.mu.Unlock()
	var err error
	conn.client, err = p.transport.NewClientConn(context.WithValue(ctx, writtenKey{}, conn.bytes), "http", address)
	return conn, errors.Wrapf(err, "connect to %s", address)
}

// takeIdle removes a usable idle connection to the address from the pool, or
// returns nil if there is none.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired()
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if conn.address != address {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if conn.client.Err() == nil {
			conn.reused, conn.writtenBefore = true, conn.bytes.Load()
			return conn
		}
		conn.Close()
	}
	return nil
}

// put adds an idle connection.
func (p *Pool) put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.generation != p.generation || conn.client.Err() != nil || len(p.idle) >= p.opts.MaxIdle {
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(p.opts.IdleTimeout, p.expire)
	}
}

// expire closes expired connections and schedules the next expiry.
func (p *Pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired()
	if len(p.idle) == 0 {
		p.expiry = nil
		return
	}
	p.expiry.Reset(time.Until(p.idle[0].idleSince.Add(p.opts.IdleTimeout)))
}

// closeExpired closes the connections that were idle for too long. The caller
// holds p.mu.
func (p *Pool) closeExpired() {
	expired := 0
	for expired < len(p.idle) && time.Since(p.idle[expired].idleSince) >= p.opts.IdleTimeout {
		p.idle[expired].Close()
		expired++
	}
	p.idle = p.idle[expired:]
}

// CloseIdle closes the idle connections, and those in use when they are released.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
	p.generation++
}

// RoundTrip sends a request and returns the head of its response. The caller reads
// and closes the response's body, and then releases or closes the connection.
func (c *Conn) RoundTrip(req *http.Request) (*http.Response, error) { return c.client.RoundTrip(req) }

// Reused reports whether the connection has carried another request before.
func (c *Conn) Reused() bool { return c.reused }

// Written reports whether a part of the present request may have been sent.
func (c *Conn) Written() bool { return c.bytes.Load() > c.writtenBefore }

// Release returns the connection to its pool. The response must have been read to
// its end and must belong to the request.
func (c *Conn) Release() { c.pool.put(c) }

// Close closes the connection.
func (c *Conn) Close() { _ = c.client.Close() }
