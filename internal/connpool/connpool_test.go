package connpool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newPool() *Pool {
	return New(Options{DialTimeout: time.Second, IdleTimeout: 200 * time.Millisecond, MaxIdle: 2, MaxResponseHeaderBytes: 1 << 10})
}

// roundTrip sends a request and returns the remote view of the connection.
func roundTrip(t *testing.T, conn *Conn) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+conn.address, strings.NewReader("body"))
	assert.NilError(t, err)
	assert.Assert(t, !conn.Written())
	resp, err := conn.RoundTrip(req)
	assert.NilError(t, err)
	assert.Assert(t, conn.Written())
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return string(data)
}

func startServer(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.RemoteAddr)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestOnlyReleasedConnectionsAreUsedAgain(t *testing.T) {
	pool, address := newPool(), startServer(t)
	get := func() *Conn {
		conn, err := pool.Get(t.Context(), address)
		assert.NilError(t, err)
		return conn
	}
	first := get()
	firstAddress := roundTrip(t, first)
	second := get()
	assert.Assert(t, !second.Reused(), "the first connection is not released yet")
	assert.Assert(t, roundTrip(t, second) != firstAddress)
	second.Close()
	first.Release()
	again := get()
	assert.Assert(t, again.Reused())
	assert.Equal(t, roundTrip(t, again), firstAddress)

	again.Release()
	pool.CloseIdle()
	third := get()
	assert.Assert(t, !third.Reused(), "idle connections were closed")
	pool.CloseIdle()
	roundTrip(t, third)
	third.Release()
	assert.Assert(t, !get().Reused(), "it was in use when idle connections were closed")
}

func TestIdleConnectionsAreBoundedAndExpire(t *testing.T) {
	pool, address := newPool(), startServer(t)
	var conns []*Conn
	for range 3 {
		conn, err := pool.Get(t.Context(), address)
		assert.NilError(t, err)
		roundTrip(t, conn)
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		conn.Release()
	}
	pool.mu.Lock()
	assert.Equal(t, len(pool.idle), 2)
	pool.mu.Unlock()
	assert.Assert(t, conns[2].client.Err() != nil, "more than the maximum")
	time.Sleep(2 * pool.opts.IdleTimeout)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	assert.Equal(t, len(pool.idle), 0)
	assert.Assert(t, conns[0].client.Err() != nil, "expired")
}

// TestConnectionsThatBroughtBytesWhileIdleAreNotUsed covers a server that sends a
// second copy of an answer while no request waits for one.
func TestConnectionsThatBroughtBytesWhileIdleAreNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprint(conn, strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2))
			}
		}
	}()
	pool := newPool()
	conn, err := pool.Get(t.Context(), listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, roundTrip(t, conn), "ok")
	conn.Release()
	time.Sleep(pool.opts.IdleTimeout / 4)
	conn, err = pool.Get(t.Context(), listener.Addr().String())
	assert.NilError(t, err)
	assert.Assert(t, !conn.Reused())
	conn.Close()
}
