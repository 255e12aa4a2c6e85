package call

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangomast/mangomast/retry"
)

// Running is a request that the local upstream is serving.
type Running struct {
	Head *Head
	// Context ends when the request is cancelled or its deadline passes.
	Context context.Context
	// Deadline is the local time by which the answer must be complete.
	Deadline time.Time
	// Unsettled holds the request's calls that must keep their ID when
	// repeated.
	Unsettled Unsettled

	// Sends distinguishes the request's repeated calls from first ones.
	Sends retry.Sends

	callees     calleeLevels
	children    atomic.Int64
	retriesOnce sync.Once
	retries     *retry.Budget
}

// NextChildID returns the ID of the next call made on behalf of the request.
func (r *Running) NextChildID() string {
	return r.Head.ID + "." + strconv.FormatInt(r.children.Add(1), 10)
}

// Children returns the number of calls made on behalf of the request.
func (r *Running) Children() int { return int(r.children.Load()) }

// Retries returns the request's part of the retry budget.
func (r *Running) Retries() *retry.Budget {
	r.retriesOnce.Do(func() { r.retries = retry.NewBudget(r.Head.RetryBudget) })
	return r.retries
}

// Registry holds the requests running on one node by context token. It is safe
// for concurrent use.
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

// Lookup returns the running request with the token.
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
