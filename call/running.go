package call

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Running is a request that the local upstream is serving now.
type Running struct {
	Head *Head
	// Context ends when the request is cancelled or its deadline passes.
	Context context.Context
	// Deadline is the local time by which the answer must be complete.
	Deadline time.Time

	children    atomic.Int64
	retriesUsed atomic.Int64
}

// NextChildID returns the ID of the next call made on behalf of the request.
func (r *Running) NextChildID() string {
	return r.Head.ID + "." + strconv.FormatInt(r.children.Add(1), 10)
}

// TakeRetries reserves up to want retries of the budget and returns how many
// it got.
func (r *Running) TakeRetries(want int) int {
	for {
		used := r.retriesUsed.Load()
		left := int64(r.Head.RetryBudget) - used
		got := min(int64(want), left)
		if got <= 0 {
			return 0
		}
		if r.retriesUsed.CompareAndSwap(used, used+got) {
			return int(got)
		}
	}
}

// ReturnRetries gives back reserved retries that were not used.
func (r *Running) ReturnRetries(n int) { r.retriesUsed.Add(-int64(n)) }

// RetriesUsed returns how many retries are reserved or used.
func (r *Running) RetriesUsed() int { return int(r.retriesUsed.Load()) }

// Registry holds the requests that run on one node, by context token.
// It is safe for concurrent use.
type Registry struct {
	mu      sync.RWMutex
	running map[string]*Running
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{running: map[string]*Running{}}
}

const tokenBytes = 16

// Begin adds a request and returns its token.
func (r *Registry) Begin(running *Running) string {
	var raw [tokenBytes]byte
	_, _ = rand.Read(raw[:])
	token := base64.RawURLEncoding.EncodeToString(raw[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[token] = running
	return token
}

// End removes a request.
func (r *Registry) End(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, token)
}

// Lookup returns the request with the token, if it still runs.
func (r *Registry) Lookup(token string) (*Running, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	running, ok := r.running[token]
	return running, ok
}

// Len returns the number of running requests.
func (r *Registry) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.running)
}
