package mesh

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	testPingInterval = 10 * time.Millisecond
	testPingTimeout  = 500 * time.Millisecond
)

// blackholeProxy returns the address of a proxy that forwards to address. Once
// blackholed is set, it keeps connections open but drops all data.
func blackholeProxy(t *testing.T, address string) (proxy string, blackholed *atomic.Bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	blackholed = &atomic.Bool{}
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				_ = to.Close()
				return
			}
			if !blackholed.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			go forward(out, in)
			go forward(in, out)
		}
	}()
	return listener.Addr().String(), blackholed
}

func newConnectedPair(t *testing.T, class Class, interval time.Duration) (client, server *Mesh, blackholed *atomic.Bool) {
	t.Helper()
	server, address := newTestMeshWithPing(t, "server", testSecret, interval, testPingTimeout)
	server.Handle(KindCall, echoHandler)
	client, _ = newTestMeshWithPing(t, "client", testSecret, interval, testPingTimeout)
	proxy, blackholed := blackholeProxy(t, address)
	resp, err := client.Do(t.Context(), Peer{VM: "server", Address: proxy}, &Request{Kind: KindCall, Class: class})
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return client, server, blackholed
}

// TestUnresponsiveLinkIsClosedAtBothEnds checks that both sides close a link
// that no longer carries data. It includes links without calls, whose accepting
// side relies on the dialer's pings.
func TestUnresponsiveLinkIsClosedAtBothEnds(t *testing.T) {
	for _, class := range []Class{Control, Calls} {
		client, server, blackholed := newConnectedPair(t, class, testPingInterval)
		time.Sleep(10 * testPingInterval)
		assert.Equal(t, len(client.links())+len(server.links()), 2, "%s", class)
		blackholed.Store(true)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := len(client.links()) + len(server.links()); n > 0 {
				return poll.Continue("%d link ends are still open", n)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
}

// TestAcceptorDoesNotPingIdleLink checks that the dialer pings an idle link and
// that the acceptor leaves this to the dialer.
func TestAcceptorDoesNotPingIdleLink(t *testing.T) {
	client, server, _ := newConnectedPair(t, Control, testPingInterval)
	time.Sleep(50 * testPingInterval)
	assert.Assert(t, testutil.ToFloat64(client.metrics.pings) >= 2)
	assert.Assert(t, testutil.ToFloat64(server.metrics.pings) <= 2, "the acceptor pinged a link that the dialer pings")
}

// TestDeadlineExceededProbesConnection checks that a missed deadline triggers a
// ping at once, on a link whose ping interval is too long to detect the dead
// connection.
func TestDeadlineExceededProbesConnection(t *testing.T) {
	client, _, blackholed := newConnectedPair(t, Control, time.Hour)
	blackholed.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), testPingInterval)
	defer cancel()
	_, err := client.Do(ctx, client.onlyPeer(), &Request{Kind: KindCall, Class: Control})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(client.links()) > 0 {
			return poll.Continue("the dead link is still open")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// onlyPeer returns the peer of the only link that the mesh dialed.
func (m *Mesh) onlyPeer() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.dialed {
		return Peer{VM: l.identity().VM, Address: address}
	}
	return Peer{}
}
