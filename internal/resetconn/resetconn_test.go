package resetconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pause lets the head of a response arrive before the reset, and the reset before the body
// is read.
const pause = 2 * time.Millisecond

// startServer answers each request without reading its body, and ends the connection.
func startServer(t *testing.T, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
				if reset {
					time.Sleep(pause)
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, reader)
			}()
		}
	}()
	return listener.Addr().String()
}

// exchange uploads a body and reports how reading the response ended.
func exchange(address string, wrap func(net.Conn) net.Conn) (body string, err error) {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	conn := wrap(raw)
	defer func() { _ = conn.Close() }()
	go func() {
		const length = 3 << 20
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
		_, _ = conn.Write(make([]byte, length))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(2 * pause)
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func wrapped(conn net.Conn) net.Conn { return New(conn) }

// TestResetDuringAnUploadIsNoEnd guards against a body without a length that looks
// complete, because the write of the request has taken the report of the reset.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	const tries = 100
	address := startServer(t, true)
	plain := 0
	for range tries {
		if _, err := exchange(address, func(conn net.Conn) net.Conn { return conn }); err == nil {
			plain++
		}
		_, err := exchange(address, wrapped)
		assert.Assert(t, err != nil)
	}
	t.Logf("%d of %d looked complete on a connection that is not wrapped", plain, tries)
}

// TestOrderlyEndIsAnEnd guards against complete answers that are taken for broken ones.
func TestOrderlyEndIsAnEnd(t *testing.T) {
	address := startServer(t, false)
	for range 50 {
		body, err := exchange(address, wrapped)
		assert.NilError(t, err)
		assert.Equal(t, body, "part of the body")
	}
}
