//go:build !linux

package resetconn

import "net"

// isReset reports false: the state of a socket is read on Linux only.
func isReset(net.Conn) bool { return false }
