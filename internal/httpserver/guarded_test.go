package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/settings"
)

// startGuarded runs a server with the limits of a process, whose heads have at most 8 KiB.
func startGuarded(t *testing.T, limits settings.Limits, handler http.HandlerFunc) *Server {
	return startLimited(t, limits, 8<<10, handler)
}

func startLimited(t *testing.T, limits settings.Limits, maxHeaderBytes int64, handler http.HandlerFunc) *Server {
	ctx := &kernel.Context{
		Node: &settings.Node{Limits: limits}, Clock: clockwork.NewRealClock(),
		Log: &log.Logger{Handler: discard.New()}, Registry: prometheus.NewRegistry(),
	}
	s := NewForListener(ctx, "test", "127.0.0.1:0", handler, intake.CallersShare)
	s.LimitHeader(func() int64 { return maxHeaderBytes })
	assert.NilError(t, s.Listen())
	go func() { _ = s.Run(t.Context()) }()
	return s
}

func exchange(conn net.Conn, request string) (status int, err error) {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestHeadsWithinTheLimitAreServed sends heads of sizes around the limit on one
// connection after another, and on a kept one.
func TestHeadsWithinTheLimitAreServed(t *testing.T) {
	s := startGuarded(t, settings.Limits{MemoryMB: 64, Descriptors: 800}, func(http.ResponseWriter, *http.Request) {})
	kept, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	for size, want := range map[int]int{0: http.StatusOK, 4 << 10: http.StatusOK, 8 << 10: http.StatusOK, 40 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		request := "GET / HTTP/1.1\r\nHost: a\r\nX-Line: " + strings.Repeat("x", size) + "\r\n\r\n"
		conn, err := net.Dial("tcp", s.Address())
		assert.NilError(t, err)
		status, err := exchange(conn, request)
		_ = conn.Close()
		// The close of a connection with unread bytes may overtake the refusal.
		assert.Assert(t, status == want || want != http.StatusOK && err != nil, "%d bytes: %d, %v", size, status, err)
		if want == http.StatusOK {
			for range 20 {
				status, err := exchange(kept, request)
				assert.NilError(t, err)
				assert.Equal(t, status, want, "%d bytes on a kept connection", size)
			}
		}
	}
}

// TestLargestHeaderLimitRefusesNothing guards against a limit to which nothing can be
// added, which refused all heads above 4 KiB.
func TestLargestHeaderLimitRefusesNothing(t *testing.T) {
	s := startLimited(t, settings.Limits{MemoryMB: 64, Descriptors: 800}, math.MaxInt64, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	status, err := exchange(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Line: "+strings.Repeat("x", 6<<10)+"\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// TestRefusalDoesNotWaitForTheBody refuses a request whose body does not arrive.
// net/http waits for it before it sends the response.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	s := startGuarded(t, settings.Limits{MemoryMB: 64, Descriptors: 800}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
	})
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	status, err := exchange(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
}

// TestSilentConnectionsMakeRoom opens more connections than the limit, which send
// nothing. A client that comes then must be answered.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := startGuarded(t, settings.Limits{MemoryMB: 64, Descriptors: 256}, func(http.ResponseWriter, *http.Request) {})
	for i := range 3 * s.guard.limits.Connections {
		conn, err := net.Dial("tcp", s.Address())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		if i%50 > 0 {
			continue
		}
		caller, err := net.Dial("tcp", s.Address())
		assert.NilError(t, err)
		status, err := exchange(caller, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		_ = caller.Close()
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	assert.Assert(t, s.guard.table.Len() <= s.guard.limits.Connections)
}
