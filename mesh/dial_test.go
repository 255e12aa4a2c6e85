package mesh

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// delayedAddress returns the address of a proxy for address that delays data in
// both directions.
func delayedAddress(t *testing.T, address string, delay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			time.Sleep(delay)
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				_ = to.Close()
				return
			}
		}
	}
	go func() {
		for {
			inbound, err := listener.Accept()
			if err != nil {
				return
			}
			outbound, err := net.Dial("tcp", address)
			if err != nil {
				_ = inbound.Close()
				continue
			}
			go forward(inbound, outbound)
			go forward(outbound, inbound)
		}
	}()
	return listener.Addr().String()
}

// TestDialOutlivesItsRequest sends requests whose deadline is shorter than a
// dial to another region. It guards against dials that are cancelled with the
// request that started them, after which no request ever succeeds.
func TestDialOutlivesItsRequest(t *testing.T) {
	const oneWay, deadline = 30 * time.Millisecond, 100 * time.Millisecond
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindCall, echoHandler)
	client, _ := newTestMesh(t, "client", testSecret)
	peer := Peer{VM: "server", Address: delayedAddress(t, address, oneWay)}
	send := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		resp, err := client.Do(ctx, peer, &Request{Kind: KindCall, Class: Control, Head: []byte("head")})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	}
	assert.Assert(t, send() != nil, "the dial takes longer than the deadline")
	for range 10 {
		if send() == nil {
			return
		}
	}
	t.Fatal("none of ten requests used the connection that the first one dialed")
}

// TestRequestsFailFastAfterDialTimeout sends requests to a peer that accepts
// connections but never answers. Only the first request may wait for the dial.
func TestRequestsFailFastAfterDialTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, _ := newTestMesh(t, "client", testSecret)
	peer := Peer{VM: "server", Address: listener.Addr().String()}
	send := func() time.Duration {
		started := time.Now()
		_, err := client.Do(t.Context(), peer, &Request{Kind: KindCall, Class: Calls, Head: []byte("head")})
		assert.Assert(t, err != nil)
		return time.Since(started)
	}
	assert.Assert(t, send() >= dialWait)
	for range 5 {
		assert.Assert(t, send() < dialWait/2)
	}
}
