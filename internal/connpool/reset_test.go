package connpool

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestResetAnswerIsNotWhole guards against an answer without a length that looks complete,
// although the server has reset the connection while the request was being written.
func TestResetAnswerIsNotWhole(t *testing.T) {
	const (
		uploadBytes = 3 << 20
		tries       = 100
	)
	for _, pause := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go answerAndReset(conn, pause)
				}
			}()
			answered := 0
			for range tries {
				pool := newPool()
				conn, err := pool.Get(t.Context(), listener.Addr().String())
				assert.NilError(t, err)
				req, err := http.NewRequest(http.MethodPost, "http://"+conn.address, bytes.NewReader(make([]byte, uploadBytes)))
				assert.NilError(t, err)
				if resp, err := conn.RoundTrip(req); err == nil {
					answered++
					_, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					assert.Check(t, err != nil, "a part of the body passed for the whole")
				}
				conn.Close()
			}
			assert.Assert(t, answered > 0)
		})
	}
}

// answerAndReset answers a request before its body is read, and resets the connection.
func answerAndReset(conn net.Conn, pause time.Duration) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
	time.Sleep(pause)
	_ = conn.(*net.TCPConn).SetLinger(0)
}
