package resetconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a socket that was reset; one whose peer has closed it in order
// is in another state until this side closes it too.
const tcpClose = 7

// isReset reports whether the socket was reset, or was closed here while it was read. A
// write may have taken the system's report without having returned yet.
func isReset(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset || err != nil
}
