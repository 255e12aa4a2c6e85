// Package standin has fakes of external components: the platform's store and an
// upstream. They are used by tests, the bench and the demo.
package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangomast/mangomast/store/etcd"
)

// PathFaults sets the store's Faults; PathCounts reads its Counts.
const (
	PathFaults = "/standin/faults"
	PathCounts = "/standin/counts"
)

// Faults are the faults that the store injects.
type Faults struct {
	// DelayMillis is the latency added to every call.
	DelayMillis int `json:"delay_ms"`
	// Outage closes the connection of every call without a response, and those
	// of open watches.
	Outage bool `json:"outage"`
	// DropAnswerEvery closes the connection instead of responding to one in
	// DropAnswerEvery writes, after the write was applied; 0 disables it.
	DropAnswerEvery int `json:"lose_answers"`
	// WritesPerSecond is the rate limit of transactions. Transactions above it
	// wait until the limit allows them or their request is cancelled. 0 for no
	// limit.
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counts are the numbers of calls that the store has received.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Leases  int64 `json:"leases"`
	Watches int64 `json:"watches"`
	// Waiting is the number of open watches.
	Waiting int64 `json:"waiting"`
	// Failed is the number of calls without a response due to Faults.Outage.
	Failed int64 `json:"failed"`
}

// Store is an in-memory fake of the subset of the etcd v3 JSON gateway that
// package etcd uses.
type Store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]etcd.KeyValue
	history  []storeEvent
	// changed is closed at the next change, outageStarted at the start of the
	// next outage.
	changed       chan struct{}
	leases        map[int64]*storeLease
	faults        Faults
	outageStarted chan struct{}
	counts        Counts
	writes        int
	// writeLimiter limits the rate of transactions.
	writeLimiter *rate.Limiter
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{
		revision:      1,
		keys:          map[string]etcd.KeyValue{},
		changed:       make(chan struct{}),
		leases:        map[int64]*storeLease{},
		outageStarted: make(chan struct{}),
		writeLimiter:  rate.NewLimiter(rate.Inf, 1),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Outage && !s.faults.Outage {
		close(s.outageStarted)
	}
	if !f.Outage && s.faults.Outage {
		s.outageStarted = make(chan struct{})
	}
	s.faults = f
	s.writeLimiter.SetLimit(rate.Inf)
	if f.WritesPerSecond > 0 {
		s.writeLimiter.SetLimit(rate.Limit(f.WritesPerSecond))
	}
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathFaults:
		s.serveFaults(w, r)
		return
	case PathCounts:
		writeJSON(w, s.Counts())
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		s.updateCounts(func(c *Counts) { c.Failed++ })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	s.serveCall(w, r)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func (s *Store) serveCall(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case etcd.PathRange:
		serveJSON(w, r, s.serveRange)
	case etcd.PathTxn:
		if s.writeLimiter.Wait(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		serveJSON(w, r, s.serveTxn)
	case etcd.PathGrant:
		serveJSON(w, r, s.serveGrant)
	case etcd.PathKeepAlive:
		serveJSON(w, r, s.serveKeepAlive)
	case etcd.PathRevoke:
		serveJSON(w, r, s.serveRevoke)
	case etcd.PathWatch:
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func serveJSON[Req, Resp any](w http.ResponseWriter, r *http.Request, handle func(Req) Resp) {
	var req Req
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, handle(req))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) updateCounts(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *Store) serveRange(req etcd.RangeRequest) etcd.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expireLeases()
	resp := etcd.RangeResponse{Header: etcd.Header{Revision: s.revision}}
	for key, kv := range s.keys {
		if inRange(key, req.Key, req.RangeEnd) {
			if req.KeysOnly {
				kv.Value = nil
			}
			resp.Kvs = append(resp.Kvs, kv)
		}
	}
	sort.Slice(resp.Kvs, func(i, j int) bool { return string(resp.Kvs[i].Key) < string(resp.Kvs[j].Key) })
	return resp
}

func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	return key >= string(start) && key < string(end)
}

func (s *Store) serveTxn(req etcd.TxnRequest) etcd.TxnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expireLeases()
	for _, cmp := range req.Compare {
		if s.keys[string(cmp.Key)].ModRevision != cmp.ModRevision {
			return etcd.TxnResponse{Header: etcd.Header{Revision: s.revision}, Responses: s.readOps(req.Failure)}
		}
	}
	s.revision++
	for _, op := range req.Success {
		s.applyOp(op)
	}
	s.notifyWatches()
	s.maybeDropAnswer()
	return etcd.TxnResponse{Header: etcd.Header{Revision: s.revision}, Succeeded: true}
}

// readOps executes the reads of a transaction.
func (s *Store) readOps(ops []etcd.RequestOp) []etcd.ResponseOp {
	responses := make([]etcd.ResponseOp, len(ops))
	for i, op := range ops {
		if op.Range == nil {
			continue
		}
		responses[i].Range = &etcd.RangeResponse{}
		if kv, ok := s.keys[string(op.Range.Key)]; ok {
			responses[i].Range.Kvs = []etcd.KeyValue{kv}
		}
	}
	return responses
}

func (s *Store) applyOp(op etcd.RequestOp) {
	switch {
	case op.Put != nil:
		key := string(op.Put.Key)
		kv := etcd.KeyValue{
			Key: op.Put.Key, Value: op.Put.Value, Lease: op.Put.Lease,
			ModRevision: s.revision, Version: s.keys[key].Version + 1,
		}
		s.keys[key] = kv
		s.record(etcd.EventPut, kv)
	case op.Delete != nil:
		s.remove(string(op.Delete.Key))
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	delete(s.keys, key)
	s.record(etcd.EventDeleted, etcd.KeyValue{Key: []byte(key), ModRevision: s.revision})
}

// maybeDropAnswer closes the connection of every DropAnswerEvery-th write after
// it was applied.
func (s *Store) maybeDropAnswer() {
	s.writes++
	if s.faults.DropAnswerEvery > 0 && s.writes%s.faults.DropAnswerEvery == 0 {
		panic(http.ErrAbortHandler)
	}
}

// Keys returns the sorted keys that start with prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
