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

// store is a stand-in for the platform's store. It is sound.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	leases   map[int64]*storeLease
	nextID   int64
	history  []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created-rev,omitempty"`
	Lease      int64  `json:"lease-id"`
	Removed    bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// startStore starts a store on a free port of the IP address.
func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 10, items: map[string]storeItem{}, leases: map[int64]*storeLease{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["range"], s.serveRange)
	mux.HandleFunc("GET "+names["key"], s.serveKey)
	mux.HandleFunc("GET "+names["watch"], s.serveWatch)
	mux.HandleFunc("POST "+names["txn"], s.serveTxn)
	mux.HandleFunc("POST "+names["lease"], s.serveGrant)
	mux.HandleFunc("POST "+names["keep"]+"{id}", s.serveKeep)
	mux.HandleFunc("DELETE "+names["end"]+"{id}", s.serveEnd)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }()
	return s, nil
}

// putConfig writes the configuration, as the operator does.
func (s *store) putConfig(version int, document string) {
	text := strings.ReplaceAll(document, "$VERSION", leftPad(strconv.FormatInt(int64(version), 16)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeItem{Key: names["config"], Value: []byte(text)})
}

func leftPad(hex string) string { return strings.Repeat("0", 8-len(hex)) + hex }

func (s *store) write(i storeItem) {
	s.revision++
	i.Revision = s.revision
	i.CreatedRev = s.revision
	if former, ok := s.items[i.Key]; ok {
		i.CreatedRev = former.CreatedRev
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

func (s *store) expire() {
	for id, lease := range s.leases {
		if time.Now().After(lease.expires) {
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

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": found, "has-more": false, "at-rev": s.revision})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		answer := map[string]any{"events": events, "at-rev": revision}
		if len(events) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected-rev"`
		Puts    []storeItem `json:"puts"`
		Deletes []string    `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []storeItem{}
	for _, e := range txn.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		if s.leases[p.Lease] == nil && p.Lease != 0 {
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
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
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
	s.leases[s.nextID] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease-id": s.nextID, "ttl-ms": request.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, map[string]any{"lease-id": id, "ttl-ms": lease.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
