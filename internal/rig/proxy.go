package rig

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Faults are the faults injected into a connection.
type Faults struct {
	// Cut closes open connections, and new ones as soon as they are accepted.
	Cut bool
	// FreezeForward and FreezeBackward delay the bytes of one direction until
	// the fault is cleared. Forward is from the dialer to the listener.
	FreezeForward, FreezeBackward bool
	// Delay is the latency added in each direction.
	Delay time.Duration
	// Limit limits the bytes per second. Connections may share a limiter.
	Limit *rate.Limiter
}

// Rule returns the faults for connections from the IP address source to the
// named listener.
type Rule func(source, listener string) Faults

const (
	proxyBufferBytes  = 16 << 10
	proxyQueueChunks  = 1024
	proxyPollInterval = 10 * time.Millisecond
)

// Network is a set of TCP proxies whose faults can be changed while
// connections are open.
type Network struct {
	mu        sync.Mutex
	rule      Rule
	conns     map[*proxyConn]struct{}
	listeners []net.Listener
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		rule:  func(string, string) Faults { return Faults{} },
		conns: map[*proxyConn]struct{}{},
	}
}

// proxyConn is a proxied connection. clientConn was accepted from the dialer,
// serverConn was dialed to the target.
type proxyConn struct {
	source     string
	listener   string
	clientConn net.Conn
	serverConn net.Conn
	// blackholed connections drop all further bytes. It is never reset.
	blackholed bool
}

func (p *proxyConn) close() {
	_ = p.clientConn.Close()
	_ = p.serverConn.Close()
}

// Forward starts a proxy from the address to the target. Rules refer to it by
// the name listener.
func (n *Network) Forward(listener, address, target string) error {
	l, err := listenWithRetry(address)
	if err != nil {
		return errors.Wrap(err, "start proxy listener")
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go func() {
		for {
			clientConn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(clientConn, listener, target)
		}
	}()
	return nil
}

// SetRule replaces the rule and closes the open connections that it cuts.
func (n *Network) SetRule(rule Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	for p := range n.conns {
		if rule(p.source, p.listener).Cut {
			p.close()
		}
	}
}

// listenWithRetry listens on an address, and retries while it is in use. If
// another rig forks a process while freeport probes the address, the child
// inherits the probing socket and keeps the address in use until it calls exec.
func listenWithRetry(address string) (net.Listener, error) {
	const attempts = 40
	var l net.Listener
	var err error
	for range attempts {
		if l, err = net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(proxyPollInterval)
	}
	return l, err
}

// Blackhole makes each open connection for which match returns true drop all
// further bytes in both directions without being closed. It returns the number
// of such connections.
func (n *Network) Blackhole(match func(source, listener string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	matched := 0
	for p := range n.conns {
		if match(p.source, p.listener) {
			p.blackholed = true
			matched++
		}
	}
	return matched
}

// Close closes all listeners and connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for p := range n.conns {
		p.close()
	}
}

// faults returns the current faults of a connection and whether it is
// blackholed.
func (n *Network) faults(p *proxyConn) (f Faults, blackholed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rule(p.source, p.listener), p.blackholed
}

// serve proxies a connection until either side closes it.
func (n *Network) serve(clientConn net.Conn, listener, target string) {
	source, _, _ := net.SplitHostPort(clientConn.RemoteAddr().String())
	p := &proxyConn{source: source, listener: listener, clientConn: clientConn}
	if f, _ := n.faults(p); f.Cut {
		_ = clientConn.Close()
		return
	}
	serverConn, err := net.Dial("tcp", target)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	p.serverConn = serverConn
	n.mu.Lock()
	n.conns[p] = struct{}{}
	n.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { n.pump(p, clientConn, serverConn, true) })
	group.Go(func() { n.pump(p, serverConn, clientConn, false) })
	group.Wait()
	p.close()
	n.mu.Lock()
	delete(n.conns, p)
	n.mu.Unlock()
}

// chunk is data in transit with the time at which it is due for delivery.
type chunk struct {
	data []byte
	due  time.Time
}

// pump copies the bytes of one direction. Reading and delivery run in separate
// goroutines, so that a delay does not limit the throughput.
func (n *Network) pump(p *proxyConn, from io.Reader, to net.Conn, forward bool) {
	queue := make(chan chunk, proxyQueueChunks)
	go n.deliver(p, queue, to, forward)
	defer close(queue)
	for {
		buffer := make([]byte, proxyBufferBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			f, _ := n.faults(p)
			queue <- chunk{data: buffer[:count], due: time.Now().Add(f.Delay)}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes the queued chunks when they are due, and applies the faults in
// force at that time.
func (n *Network) deliver(p *proxyConn, queue <-chan chunk, to net.Conn, forward bool) {
	defer func() { _ = to.Close() }()
	for next := range queue {
		time.Sleep(time.Until(next.due))
		f, blackholed := n.faults(p)
		for (forward && f.FreezeForward) || (!forward && f.FreezeBackward) {
			time.Sleep(proxyPollInterval)
			f, blackholed = n.faults(p)
		}
		if blackholed {
			continue
		}
		if f.Limit != nil {
			_ = f.Limit.WaitN(context.Background(), len(next.data))
		}
		if _, err := to.Write(next.data); err != nil {
			for range queue {
				continue
			}
			return
		}
	}
}
