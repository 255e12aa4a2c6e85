package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for one application server. It runs as many requests at once as
// it has slots, queues a few more and rejects the others.
type server struct {
	names    *names
	record   *record
	address  string
	control  string
	service  string
	zone     string
	instance string
	slots    int
	queue    int
	// work is the mean time of a run. It is multiplied by slowness.
	work time.Duration
	// workOf has the mean times of requests whose targets begin with a prefix.
	workOf   map[string]time.Duration
	slowness atomic.Int64
	draining atomic.Bool
	// silent ends the heartbeats.
	silent atomic.Bool
	born   int64

	http  *http.Server
	busy  chan struct{}
	held  atomic.Int64
	begun atomic.Int64

	mu       sync.Mutex
	sequence int64
	runs     []run
}

// run is a request at the time when the server began to work on it.
type run struct {
	at          time.Time
	arrived     time.Time
	id, target  string
	method      string
	bodyBytes   int
	callerTells string
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.busy, s.born = make(chan struct{}, s.slots), time.Now().UnixMilli()
	s.slowness.Store(1)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// close ends the server at once, with its connections.
func (s *server) close() { _ = s.http.Close() }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	heads := s.names.Heads
	id := r.Header.Get(heads["id"])
	if r.URL.Path == "/healthz" {
		w.Header().Set(heads["instance"], s.instance)
		return
	}
	w.Header().Set(heads["id"], id)
	switch expected := r.Header.Get(heads["expected"]); {
	case id == "":
		s.reject(w, http.StatusBadRequest)
		return
	case expected != "" && expected != s.instance:
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if s.held.Add(1) > int64(s.slots+s.queue) {
		s.held.Add(-1)
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer s.held.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.busy <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.busy }()
	s.mu.Lock()
	s.runs = append(s.runs, run{
		at: time.Now(), arrived: arrived, id: id, method: r.Method, target: r.RequestURI, bodyBytes: len(body),
		callerTells: r.Header.Get(heads["caller"]),
	})
	s.mu.Unlock()
	work := time.Duration((0.7 + 0.6*rand.Float64()) * float64(s.meanWork(r.RequestURI)) * float64(s.slowness.Load()))
	if s.workOf != nil {
		work = s.meanWork(r.RequestURI)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(heads["signature"], fmt.Sprintf("%s.%d", s.instance, s.begun.Add(1)))
	_, _ = io.WriteString(w, "board of "+id)
}

func (s *server) meanWork(target string) time.Duration {
	for prefix, work := range s.workOf {
		if strings.HasPrefix(target, prefix) {
			return work
		}
	}
	return s.work
}

func (s *server) reject(w http.ResponseWriter, status int) {
	w.Header().Set(s.names.Heads["notRun"], "1")
	w.WriteHeader(status)
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// nextBeat returns the body of the next heartbeat.
func (s *server) nextBeat() map[string]any {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold-remaining-ms": 0, "seq": s.sequence, "born": s.born,
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool { return s.tell(s.names.Calls["beat"], s.nextBeat()) }

// leave sends the notice that the server leaves and returns when it was acknowledged. The
// server sends no heartbeats after it.
func (s *server) leave() (time.Time, error) {
	s.silent.Store(true)
	for range 20 {
		if s.tell(s.names.Calls["leave"], map[string]any{"born": s.born}) {
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the notice of leaving of %s was never acknowledged", s.instance)
}

func (s *server) tell(path string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+s.control+path+s.instance, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// keepBeating sends heartbeats until the context ends.
func (s *server) keepBeating(ctx context.Context) {
	for !s.silent.Load() {
		s.beat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// drain reports that the server leaves until that is acknowledged, and returns when the
// acknowledgement came.
func (s *server) drain() (time.Time, error) {
	s.draining.Store(true)
	for range 20 {
		if s.beat() {
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the notice of leaving of %s was never acknowledged", s.instance)
}
