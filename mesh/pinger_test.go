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

// silentProxy forwards to the address until it is silenced: then connections
// stay open and carry nothing.
func silentProxy(t *testing.T, address string) (proxy string, silenced *atomic.Bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	silenced = &atomic.Bool{}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				_ = to.Close()
				return
			}
			if !silenced.Load() {
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
			go pass(out, in)
			go pass(in, out)
		}
	}()
	return listener.Addr().String(), silenced
}

func connected(t *testing.T, class Class, interval time.Duration) (client, server *Mesh, silenced *atomic.Bool) {
	t.Helper()
	server, address := newPingingMesh(t, "server", testSecret, interval, testPingTimeout)
	server.Handle(KindCall, echoHandler)
	client, _ = newPingingMesh(t, "client", testSecret, interval, testPingTimeout)
	proxy, silenced := silentProxy(t, address)
	resp, err := client.Do(t.Context(), Peer{VM: "server", Address: proxy}, &Request{Kind: KindCall, Class: class})
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return client, server, silenced
}

// TestSilentLinkIsClosedAtBothEnds covers links without calls too, whose
// accepting side relies on the dialer's pings.
func TestSilentLinkIsClosedAtBothEnds(t *testing.T) {
	for _, class := range []Class{Control, Calls} {
		client, server, silenced := connected(t, class, testPingInterval)
		time.Sleep(10 * testPingInterval)
		assert.Equal(t, len(client.links())+len(server.links()), 2, "%s", class)
		silenced.Store(true)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := len(client.links()) + len(server.links()); n > 0 {
				return poll.Continue("%d ends of links are open", n)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	}
}

// TestAcceptorDoesNotPingWhatTheDialerPings counts the pings of an idle link.
func TestAcceptorDoesNotPingWhatTheDialerPings(t *testing.T) {
	client, server, _ := connected(t, Control, testPingInterval)
	time.Sleep(50 * testPingInterval)
	assert.Assert(t, testutil.ToFloat64(client.metrics.pings) >= 2)
	assert.Assert(t, testutil.ToFloat64(server.metrics.pings) <= 2, "the acceptor pinged a link that is alive")
}

// TestOverdueAnswerFindsASilentConnection covers a link that is not pinged for a
// long time, on which an answer is overdue.
func TestOverdueAnswerFindsASilentConnection(t *testing.T) {
	client, _, silenced := connected(t, Control, time.Hour)
	silenced.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), testPingInterval)
	defer cancel()
	_, err := client.Do(ctx, client.onlyPeer(), &Request{Kind: KindCall, Class: Control})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(client.links()) > 0 {
			return poll.Continue("the silent link is open")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// onlyPeer returns the peer of the mesh's only dialed link.
func (m *Mesh) onlyPeer() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.dialed {
		return Peer{VM: l.identity().VM, Address: address}
	}
	return Peer{}
}
