package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]*lease
	nextID   int64
	history  []item
	changed  chan struct{}
	// down makes the store answer all calls with status 503.
	down atomic.Bool
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created-rev"`
	Lease    int64  `json:"lease-id"`
	Removed  bool   `json:"removed,omitempty"`
}

func newStore(n *names) (*store, http.Handler) {
	s := &store{revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc(n.Calls["range"], s.serveRange)
	mux.HandleFunc(n.Calls["watch"], s.serveWatch)
	mux.HandleFunc(n.Calls["txn"], s.serveTxn)
	mux.HandleFunc(n.Calls["lease"], s.serveGrant)
	mux.HandleFunc(n.Calls["keep"], s.serveKeep)
	mux.HandleFunc(n.Calls["leaseEnd"], s.serveLeaseEnd)
	return s, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: value})
}

func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if former, ok := s.items[i.Key]; ok {
		i.Created = former.Created
	}
	s.history = append(s.history, i)
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown starts or ends an outage. Waiting watches end with it.
func (s *store) setDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time has passed. The caller holds s.mu.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Removed: true})
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "at-rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "at-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Conditions []item   `json:"expected-rev"`
		Puts       []item   `json:"puts"`
		Deletes    []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, c := range txn.Conditions {
		i := s.items[c.Key]
		i.Key = c.Key
		current = append(current, i)
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range txn.Deletes {
		s.write(item{Key: key, Removed: true})
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease-id": s.nextID, "ttl-ms": request.TTL})
}

func (s *store) lease(r *http.Request) (int64, *lease) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.expire()
	return id, s.leases[id]
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.lease(r)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"lease-id": id, "ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.lease(r)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
