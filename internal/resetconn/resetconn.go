// Package resetconn tells a connection that its peer has reset from one that it has
// closed. The system reports a reset once: if a write takes the report, reads that follow
// return io.EOF, and a body that ends with its connection looks complete.
package resetconn

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrReset is returned by Read where the peer has reset the connection and the system
// reports its end.
var ErrReset = errors.New("the connection was reset by its peer")

// Conn is a connection whose Read returns io.EOF only if the peer has closed it in order.
type Conn struct {
	net.Conn
	writeFailed atomic.Bool
}

// New wraps a connection.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && (isReset(c.Conn) || c.writeFailed.Load()) {
		return n, ErrReset
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}
