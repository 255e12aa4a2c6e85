// Package lineage infers which running request a call of the local upstream
// belongs to, where upstreams pass no context on. A call inherits its parent's
// importance and rank, so that under overload the same call trees are shed at
// every service. The load that it answers is that of a service deep in the call
// graph that can take only some of the calls: shed one by one, most trees lose
// one of their calls, and the work of the others is wasted.
//
// The package uses no goroutine, socket or clock.
package lineage

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/call"
)

// maxSkew is the largest accepted difference between the deadlines of a call and
// its parent. It covers the way to the upstream and back on a busy VM.
const maxSkew = 30 * time.Millisecond

// Parent is what a call inherits from the request that makes it.
type Parent struct {
	Importance uint8
	Rank       uint16
}

// Table holds the requests that run on the local upstream. It is safe for
// concurrent use.
type Table struct {
	mu sync.Mutex
	// running is ordered by deadline.
	running []*running
}

type running struct {
	deadline time.Time
	parent   Parent
}

// Add adds a request that is sent to the upstream with the deadline. The caller
// calls remove when it has ended.
func (t *Table) Add(deadline time.Time, parent Parent) (remove func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &running{deadline: deadline, parent: parent}
	t.running = slices.Insert(t.running, t.search(deadline), r)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for i := t.search(deadline); i < len(t.running) && t.running[i].deadline.Equal(deadline); i++ {
			if t.running[i] == r {
				t.running = slices.Delete(t.running, i, i+1)
				return
			}
		}
	}
}

// search returns the index of the first request with this deadline or a later
// one. The caller holds t.mu.
func (t *Table) search(deadline time.Time) int {
	i, _ := slices.BinarySearchFunc(t.running, deadline, func(r *running, d time.Time) int { return r.deadline.Compare(d) })
	return i
}

// Find returns the request that a call with the deadline belongs to: the one with
// the nearest deadline. It reports false if none is near, as for an upstream that
// sets deadlines of its own.
func (t *Table) Find(deadline time.Time) (Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestSkew := (*running)(nil), maxSkew+1
	at := t.search(deadline)
	for _, r := range t.running[max(0, at-1):min(len(t.running), at+1)] {
		if skew := r.deadline.Sub(deadline).Abs(); skew < bestSkew {
			best, bestSkew = r, skew
		}
	}
	if best == nil {
		return Parent{}, false
	}
	return best.parent, true
}

// CallerImportance returns the importance in the queues of a caller's request. It
// is even, and those of calls are odd, so that calls go before callers' requests
// of the same importance, whose parents' work would be wasted, and behind more
// important ones: otherwise a service that is called often would serve hardly any
// request of its own callers under overload.
func CallerImportance(importance uint8) uint8 { return 2 * importance }

// CallImportance returns the importance of a call made for a request.
func CallImportance(parent Parent) uint8 {
	return min(call.UpstreamImportance-1, parent.Importance|1)
}

// ParentOf returns what the calls made for a request inherit. The rank of a
// caller's request is drawn from its ID, so that no caller is shed more often than
// others, and a request that comes back with another ID has another chance.
func ParentOf(head *call.Head) Parent {
	if isCall := head.Importance&1 == 1 || head.Importance >= call.UpstreamImportance; isCall {
		return Parent{Importance: head.Importance, Rank: head.Rank}
	}
	return Parent{Importance: head.Importance, Rank: uint16(xxh3.HashString(head.ID))}
}
