// Package standin has small stand-ins for the outside: the platform's store,
// an upstream and a caller. They serve tests, the bench and the demo.
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

// Faults says how the store misbehaves.
type Faults struct {
	// DelayMillis is added to every call.
	DelayMillis int `json:"delay_ms"`
	// Outage closes every connection without an answer.
	Outage bool `json:"outage"`
	// LoseAnswers applies writes but closes the connection instead of
	// answering; one in LoseAnswers writes is hit, 0 for none.
	LoseAnswers int `json:"lose_answers"`
	// WritesPerSecond bounds the transactions that are done; others wait for
	// their turn, or until their caller leaves. 0 for no bound.
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counts are the calls that the store has seen.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Leases  int64 `json:"leases"`
	Watches int64 `json:"watches"`
	// Waiting is the number of watches open now.
	Waiting int64 `json:"waiting"`
	Failed  int64 `json:"failed"`
}

// Store is an in-memory stand-in for the subset of the etcd v3 JSON gateway
// that package etcd uses.
type Store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]etcd.KeyValue
	history  []storeEvent
	changed  chan struct{}
	leases   map[int64]*storeLease
	faults   Faults
	down     chan struct{}
	counts   Counts
	writes   int
	// turns paces transactions.
	turns *rate.Limiter
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{
		revision: 1,
		keys:     map[string]etcd.KeyValue{},
		changed:  make(chan struct{}),
		leases:   map[int64]*storeLease{},
		down:     make(chan struct{}),
		turns:    rate.NewLimiter(rate.Inf, 1),
	}
}

// SetFaults changes how the store misbehaves from now on.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Outage && !s.faults.Outage {
		close(s.down)
	}
	if !f.Outage && s.faults.Outage {
		s.down = make(chan struct{})
	}
	s.faults = f
	s.turns.SetLimit(rate.Inf)
	if f.WritesPerSecond > 0 {
		s.turns.SetLimit(rate.Limit(f.WritesPerSecond))
	}
}

// Counts returns the calls seen so far.
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
		s.count(func(c *Counts) { c.Failed++ })
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
		serve(w, r, s.serveRange)
	case etcd.PathTxn:
		if s.turns.Wait(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		serve(w, r, s.serveTxn)
	case etcd.PathGrant:
		serve(w, r, s.serveGrant)
	case etcd.PathKeepAlive:
		serve(w, r, s.serveKeepAlive)
	case etcd.PathRevoke:
		serve(w, r, s.serveRevoke)
	case etcd.PathWatch:
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func serve[Req, Resp any](w http.ResponseWriter, r *http.Request, handle func(Req) Resp) {
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

func (s *Store) count(change func(*Counts)) {
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
		s.apply(op)
	}
	s.wake()
	s.loseAnswer()
	return etcd.TxnResponse{Header: etcd.Header{Revision: s.revision}, Succeeded: true}
}

// readOps runs the reads of a transaction.
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

func (s *Store) apply(op etcd.RequestOp) {
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

// loseAnswer drops the connection of a write that took effect.
func (s *Store) loseAnswer() {
	s.writes++
	if s.faults.LoseAnswers > 0 && s.writes%s.faults.LoseAnswers == 0 {
		panic(http.ErrAbortHandler)
	}
}

// Keys returns the keys that start with prefix, for tests.
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
