package standin

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/mangomast/mangomast/store/etcd"
)

type storeEvent struct {
	revision int64
	event    etcd.WatchEvent
}

// record appends an event of the current revision to the history.
func (s *Store) record(kind string, kv etcd.KeyValue) {
	s.history = append(s.history, storeEvent{revision: s.revision, event: etcd.WatchEvent{Type: kind, Kv: kv}})
}

// notifyWatches wakes all open watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.updateCounts(func(c *Counts) { c.Watches++; c.Waiting++ })
	defer s.updateCounts(func(c *Counts) { c.Waiting-- })
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	s.mu.Lock()
	outageStarted := s.outageStarted
	next := req.Create.StartRevision
	if next == 0 {
		next = s.revision + 1
	}
	s.mu.Unlock()
	_ = encoder.Encode(etcd.WatchMessage{Result: etcd.WatchResult{Created: true}})
	for {
		_ = flusher.Flush()
		events, revision, changed := s.eventsFrom(next, req.Create)
		next = revision + 1
		if len(events) > 0 {
			result := etcd.WatchResult{Header: etcd.Header{Revision: revision}, Events: events}
			_ = encoder.Encode(etcd.WatchMessage{Result: result})
			continue
		}
		select {
		case <-changed:
		case <-outageStarted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventsFrom returns the events of the watched keys since revision next, the
// current revision and a channel that is closed at the next change.
func (s *Store) eventsFrom(next int64, create etcd.WatchCreate) ([]etcd.WatchEvent, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []etcd.WatchEvent
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= next })
	for _, e := range s.history[start:] {
		if inRange(string(e.event.Kv.Key), create.Key, create.RangeEnd) {
			events = append(events, e.event)
		}
	}
	return events, s.revision, s.changed
}
