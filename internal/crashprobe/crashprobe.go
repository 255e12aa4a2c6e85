// Package crashprobe tells an upstream whose process has ended from one that broke a
// connection.
package crashprobe

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// timeout bounds all connection attempts of a probe together.
	timeout = 300 * time.Millisecond
	// readTimeout is how long a probe waits for its connection to be closed, and
	// maxDials how often it connects at most.
	readTimeout = 25 * time.Millisecond
	maxDials    = 3
)

// Refused reports whether no process listens at the address. An upstream that is busy or
// frozen does not refuse connections. It blocks until that is known, for less than half a
// second.
func Refused(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for range maxDials {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		closed := closedByPeer(conn)
		_ = conn.Close()
		if !closed {
			return false
		}
	}
	return false
}

// closedByPeer reports whether the peer closes the connection soon, as the end of a
// process does that has not accepted it.
func closedByPeer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
