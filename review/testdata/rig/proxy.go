package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections and can silence open ones.
type proxy struct {
	address  string
	target   string
	rec      *record
	listener net.Listener

	mu    sync.Mutex
	pairs []*pair
}

// pair is a client's connection with that to the target.
type pair struct {
	opened time.Time
	client net.Conn
	target net.Conn
	silent atomic.Bool
	ended  atomic.Bool
	// active is when bytes were last forwarded, in Unix nanoseconds.
	active atomic.Int64
}

func startProxy(target string, rec *record) (*proxy, error) {
	listener, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, rec: rec, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{opened: time.Now(), client: client, target: target}
	c.active.Store(time.Now().UnixNano())
	p.mu.Lock()
	p.pairs = append(p.pairs, c)
	p.mu.Unlock()
	go c.forward(client, target)
	c.forward(target, client)
}

// forward copies bytes. Those of a silenced pair are dropped, and its ends stay
// open.
func (c *pair) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			c.active.Store(time.Now().UnixNano())
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			c.ended.Store(true)
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// silenceIdle silences all pairs that have been idle for the given time.
func (p *proxy) silenceIdle(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	silenced, left := 0, 0
	for _, c := range p.pairs {
		if c.ended.Load() {
			continue
		}
		since := time.Since(time.Unix(0, c.active.Load()))
		if since < idle {
			left++
			continue
		}
		c.silent.Store(true)
		silenced++
		p.rec.add("connection %s to the store goes silent after %.1f s without a byte", c.client.RemoteAddr(), since.Seconds())
	}
	p.rec.note("%d connections to the store that were idle for %.0f s or more go silent, %d others are left alone", silenced, idle.Seconds(), left)
}

// close ends all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		_ = c.client.Close()
		_ = c.target.Close()
	}
}
