// Package intake decides which connections of a listener are closed when its clients
// take more than the node can bear. It answers the load of clients outside the limits
// of the configuration: crowds of connections that send nothing, heads without end,
// and answers that nobody reads. Callers inside the limits keep their connections as
// long as there is room, because those that have done nothing useful are closed first,
// and of these the ones whose address takes the most.
package intake

import (
	"sync/atomic"
	"time"
)

// Limits bounds the connections of one listener.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// HeadBytes bounds the memory for the heads of all requests that are being read or
	// answered, in bytes. FreeHeadBytes of each head do not count.
	HeadBytes int64
}

const (
	// FreeHeadBytes is the part of a head that fits into the buffer that each
	// connection has anyway, in bytes.
	FreeHeadBytes = 4 << 10
	// StallTime is how long a write may take before its connection counts as stalled.
	// Clients that read slowly still take some bytes within it.
	StallTime = 2 * time.Second
	// connectionBytes is the memory of a connection without its head and body.
	connectionBytes = 25_000
	// connectionMemoryShare and headMemoryShare are the parts of a listener's share of
	// the memory for connections and for heads.
	connectionMemoryShare = 0.5
	headMemoryShare       = 0.0625
	minConnections        = 8
)

// Shares of the process's limits for its listeners. Half of the limits stay for
// connections to upstreams and other nodes, for bodies and for answers.
const (
	CallersShare = 1. / 2
	PeersShare   = 1. / 8
	// ServiceShare is for listeners with few clients, such as probes and operators.
	ServiceShare = 1. / 32
)

// LimitsFor returns the limits of a listener with a share of the process's memory, in
// bytes, and descriptors.
func LimitsFor(memory int64, descriptors int, share float64) Limits {
	shareBytes := share * float64(memory)
	connections := min(share*float64(descriptors), connectionMemoryShare*shareBytes/connectionBytes)
	return Limits{Connections: max(minConnections, int(connections)), HeadBytes: int64(headMemoryShare * shareBytes)}
}

// Phase is what a connection is doing.
type Phase uint8

const (
	// Fresh means that no request has arrived whole yet.
	Fresh Phase = iota
	// Idle means that the last request was answered and no further one has arrived
	// whole.
	Idle
	// Serving means that a request is being answered.
	Serving
)

// Reason states which limit a connection was closed for.
type Reason uint8

const (
	// TooManyConnections means that Limits.Connections was reached.
	TooManyConnections Reason = iota
	// TooManyHeadBytes means that Limits.HeadBytes was reached.
	TooManyHeadBytes
)

// String returns the reason's value in metrics and logs.
func (r Reason) String() string {
	if r == TooManyHeadBytes {
		return "head_bytes"
	}
	return "connections"
}

// Conn is the state of a connection.
type Conn struct {
	// Owner is the caller's value for the connection.
	Owner any

	address string
	phase   Phase
	since   time.Time
	// headBytes is the part of the head that counts towards Limits.HeadBytes.
	headBytes int64
	// writingSince is when the write in progress began, in Unix nanoseconds; 0 if there
	// is none.
	writingSince atomic.Int64
	open         bool
}

// BeginWrite records the start of a write to the connection. Unlike the methods of
// Table, it is safe for concurrent use, so that writes need no lock.
func (c *Conn) BeginWrite(now time.Time) { c.writingSince.Store(now.UnixNano()) }

// EndWrite records the end of a write. It is safe for concurrent use.
func (c *Conn) EndWrite() { c.writingSince.Store(0) }

func (c *Conn) stalled(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && now.UnixNano()-since > StallTime.Nanoseconds()
}

// Table has the open connections of a listener. It is not safe for concurrent use.
type Table struct {
	limits    Limits
	conns     map[*Conn]struct{}
	byAddress map[string]*usage
	headBytes int64
}

// usage is what the connections of one address take.
type usage struct {
	conns     int
	headBytes int64
}

// NewTable returns a table without connections.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, conns: map[*Conn]struct{}{}, byAddress: map[string]*usage{}}
}

// Len returns the number of open connections.
func (t *Table) Len() int { return len(t.conns) }

// Open adds a connection of a client's address. The returned victim, if any, must be
// closed; it may be the new connection. It is no longer in the table.
func (t *Table) Open(owner any, address string, now time.Time) (c, victim *Conn) {
	c = &Conn{Owner: owner, address: address, since: now, open: true}
	if len(t.conns) >= t.limits.Connections {
		victim = t.leastUseful(now)
		if victim == nil {
			c.open = false
			return c, c
		}
		t.Close(victim)
	}
	t.conns[c] = struct{}{}
	u := t.byAddress[address]
	if u == nil {
		u = &usage{}
		t.byAddress[address] = u
	}
	u.conns++
	return c, victim
}

// Close removes a connection. It has no effect on one that was removed before.
func (t *Table) Close(c *Conn) {
	if !c.open {
		return
	}
	t.releaseHead(c)
	c.open = false
	delete(t.conns, c)
	u := t.byAddress[c.address]
	if u.conns--; u.conns == 0 {
		delete(t.byAddress, c.address)
	}
}

// SetPhase records what a connection is doing. The head of its request counts until
// the request is answered.
func (t *Table) SetPhase(c *Conn, phase Phase, now time.Time) {
	if !c.open {
		return
	}
	if phase == Idle {
		t.releaseHead(c)
	}
	c.phase, c.since = phase, now
}

// ReadHead records n bytes of a head beyond FreeHeadBytes. The returned victims must be
// closed; the connection itself may be among them. They are no longer in the table.
func (t *Table) ReadHead(c *Conn, n int64) (victims []*Conn) {
	if !c.open {
		return nil
	}
	c.headBytes += n
	t.headBytes += n
	t.byAddress[c.address].headBytes += n
	for t.headBytes > t.limits.HeadBytes && c.open {
		victim := t.largestHead(c)
		t.Close(victim)
		victims = append(victims, victim)
	}
	return victims
}

func (t *Table) releaseHead(c *Conn) {
	t.headBytes -= c.headBytes
	t.byAddress[c.address].headBytes -= c.headBytes
	c.headBytes = 0
}

// leastUseful returns the connection to close for a new one, or nil if all serve
// requests whose answers are being read.
func (t *Table) leastUseful(now time.Time) *Conn {
	var worst *Conn
	for c := range t.conns {
		if t.usefulness(c, now) == serving {
			continue
		}
		if worst == nil || t.lessUseful(c, worst, now) {
			worst = c
		}
	}
	return worst
}

// usefulness orders connections by what closing them costs; lower values are closed
// first.
type usefulness uint8

const (
	unproven usefulness = iota
	stalled
	resting
	serving
)

func (t *Table) usefulness(c *Conn, now time.Time) usefulness {
	switch {
	case c.phase == Fresh:
		return unproven
	case c.stalled(now):
		return stalled
	case c.phase == Idle:
		return resting
	}
	return serving
}

func (t *Table) lessUseful(a, b *Conn, now time.Time) bool {
	if ua, ub := t.usefulness(a, now), t.usefulness(b, now); ua != ub {
		return ua < ub
	}
	if na, nb := t.byAddress[a.address].conns, t.byAddress[b.address].conns; na != nb {
		return na > nb
	}
	return a.since.Before(b.since)
}

// largestHead returns the connection with the largest head of the address whose heads
// are largest together. Connections whose request is being answered are left alone.
func (t *Table) largestHead(reading *Conn) *Conn {
	worst := reading
	for c := range t.conns {
		if c.phase != Serving && t.largerHead(c, worst) {
			worst = c
		}
	}
	return worst
}

func (t *Table) largerHead(a, b *Conn) bool {
	if na, nb := t.byAddress[a.address].headBytes, t.byAddress[b.address].headBytes; na != nb {
		return na > nb
	}
	return a.headBytes > b.headBytes
}
