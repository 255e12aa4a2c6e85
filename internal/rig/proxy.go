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

// Faults are what happens to the traffic of a connection.
type Faults struct {
	// Cut refuses connections and closes open ones.
	Cut bool
	// FreezeForward and FreezeBackward hold the bytes of one direction back
	// until they are cleared. Forward is from the dialer to the listener.
	FreezeForward, FreezeBackward bool
	// Delay is added in each direction.
	Delay time.Duration
	// Limit throttles the bytes; one limiter may be shared by many connections.
	Limit *rate.Limiter
}

// Rule decides the faults of the traffic from the node with the IP number
// source to the named listener.
type Rule func(source, listener string) Faults

const (
	proxyBufferBytes = 16 << 10
	proxyQueueParts  = 1024
	proxyRecheck     = 10 * time.Millisecond
)

// Network is a set of TCP proxies whose faults can be changed while
// connections are open.
type Network struct {
	mu        sync.Mutex
	rule      Rule
	conns     map[*proxied]struct{}
	listeners []net.Listener
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		rule:  func(string, string) Faults { return Faults{} },
		conns: map[*proxied]struct{}{},
	}
}

// proxied is one proxied connection.
type proxied struct {
	source   string
	listener string
	near     net.Conn
	far      net.Conn
	// silent connections lose all bytes from now on, for good.
	silent bool
}

func (p *proxied) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// Forward starts a proxy on the address, named listener in rules.
func (n *Network) Forward(listener, address, target string) error {
	l, err := listenSoon(address)
	if err != nil {
		return errors.Wrap(err, "proxy")
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(near, listener, target)
		}
	}()
	return nil
}

// SetRule changes the faults and closes the connections that are cut by them.
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

// listenSoon listens on an address that was found free. A process that is being
// started by another rig holds a copy of the socket that found it, until it
// runs its program.
func listenSoon(address string) (net.Listener, error) {
	const attempts = 40
	var l net.Listener
	var err error
	for range attempts {
		if l, err = net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(proxyRecheck)
	}
	return l, err
}

// Silence makes every open connection for which choose returns true lose all
// further bytes without being closed. It returns how many were chosen.
func (n *Network) Silence(choose func(source, listener string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	chosen := 0
	for p := range n.conns {
		if choose(p.source, p.listener) {
			p.silent = true
			chosen++
		}
	}
	return chosen
}

// Close ends all proxies and connections.
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

func (n *Network) faults(p *proxied) (f Faults, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rule(p.source, p.listener), p.silent
}

func (n *Network) serve(near net.Conn, listener, target string) {
	source, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	p := &proxied{source: source, listener: listener, near: near}
	if f, _ := n.faults(p); f.Cut {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.far = far
	n.mu.Lock()
	n.conns[p] = struct{}{}
	n.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { n.pump(p, near, far, true) })
	group.Go(func() { n.pump(p, far, near, false) })
	group.Wait()
	p.close()
	n.mu.Lock()
	delete(n.conns, p)
	n.mu.Unlock()
}

// part is data on its way with the time of its delivery.
type part struct {
	data []byte
	due  time.Time
}

// pump carries one direction. Reading and delivering are apart, so that a
// delay does not limit the throughput.
func (n *Network) pump(p *proxied, from io.Reader, to net.Conn, forward bool) {
	queue := make(chan part, proxyQueueParts)
	go n.deliver(p, queue, to, forward)
	defer close(queue)
	for {
		buffer := make([]byte, proxyBufferBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			f, _ := n.faults(p)
			queue <- part{data: buffer[:count], due: time.Now().Add(f.Delay)}
		}
		if err != nil {
			return
		}
	}
}

func (n *Network) deliver(p *proxied, queue <-chan part, to net.Conn, forward bool) {
	defer func() { _ = to.Close() }()
	for next := range queue {
		time.Sleep(time.Until(next.due))
		f, silent := n.faults(p)
		for (forward && f.FreezeForward) || (!forward && f.FreezeBackward) {
			time.Sleep(proxyRecheck)
			f, silent = n.faults(p)
		}
		if silent {
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
