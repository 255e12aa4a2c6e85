package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// maxHistory is how long states are kept for stale reads.
const maxHistory = 10 * time.Second

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created-rev"`
	Lease    int64  `json:"lease-id"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// storeState is the content of the store at a time, for stale reads.
type storeState struct {
	at       time.Time
	revision int64
	items    map[string]storeItem
}

// store is an in-memory stand-in of the platform's store.
type store struct {
	address string
	// staleBy is the age of stale reads.
	staleBy time.Duration

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	leases   map[int64]*storeLease
	nextID   int64
	events   []storeItem
	states   []storeState
	changed  chan struct{}
}

func startStore(listener net.Listener) *store {
	s := &store{
		address: listener.Addr().String(), revision: 100,
		items: map[string]storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.Range, s.serveRange)
	mux.HandleFunc("GET "+names.Watch, s.serveWatch)
	mux.HandleFunc("POST "+names.Txn, s.serveTxn)
	mux.HandleFunc("POST "+names.Lease, s.serveLease)
	mux.HandleFunc("POST "+names.Keep+"{id}", s.serveKeep)
	mux.HandleFunc("DELETE "+names.LeaseEnd+"{id}", s.serveLeaseEnd)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeLatency)
			mux.ServeHTTP(w, r)
		}))
	}()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeItem{Key: key, Value: value})
}

func (s *store) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(storeItem{Key: key, Removed: true})
		}
	}
}

func (s *store) write(i storeItem) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.events = append(s.events, i)
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	now := time.Now()
	items := make(map[string]storeItem, len(s.items))
	for key, value := range s.items {
		items[key] = value
	}
	s.states = append(s.states, storeState{at: now, revision: s.revision, items: items})
	for len(s.states) > 1 && now.Sub(s.states[1].at) > maxHistory {
		s.states = s.states[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the revision and the items that a read sees.
func (s *store) state(stale bool) (int64, map[string]storeItem) {
	if !stale || s.staleBy == 0 {
		return s.revision, s.items
	}
	seen := time.Now().Add(-s.staleBy)
	for _, state := range slices.Backward(s.states) {
		if !state.at.After(seen) {
			return state.revision, state.items
		}
	}
	return 100, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, all := s.state(query.Get("stale-read") == "1")
	items := []storeItem{}
	for key, i := range all {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "at-rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "at-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []storeItem `json:"expected-rev"`
		Puts     []storeItem `json:"puts"`
		Deletes  []string    `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, hold := []storeItem{}, true
	for _, e := range txn.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		hold = hold && i.Revision == e.Revision
	}
	if !hold {
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
		s.write(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range txn.Deletes {
		s.write(storeItem{Key: key, Removed: true})
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.nextID] = &storeLease{ttl: ttl, expiry: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease-id": s.nextID, "ttl-ms": request.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	lease := s.leases[id]
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expiry = time.Now().Add(lease.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": lease.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
