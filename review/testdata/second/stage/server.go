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
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
	// queuePerSlot is how many requests wait in a server for each slot.
	queuePerSlot = 3
)

// server is a stand-in for an application server. It runs as many requests at once as
// it has slots, queues some more and declines the others.
type server struct {
	record   *record
	node     *node
	instance string
	born     int64
	slots    int
	// work is how long a request takes on average, in nanoseconds, and spread how far
	// single requests differ from that, as a fraction.
	work   atomic.Int64
	spread float64

	http     *http.Server
	capacity chan struct{}
	waiting  atomic.Int64
	seq      atomic.Int64
	draining atomic.Bool
	stop     context.CancelFunc

	mu   sync.Mutex
	runs []run
}

// run is a request that the server began to run.
type run struct {
	at         time.Time
	id, target string
}

func startServer(rec *record, n *node, instance string, slots int, work time.Duration) (*server, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &server{
		record: rec, node: n, instance: instance, born: time.Now().UnixMilli(), slots: slots,
		capacity: make(chan struct{}, slots), stop: stop,
	}
	s.work.Store(int64(work))
	listener, err := net.Listen("tcp", n.app)
	if err != nil {
		stop()
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat(ctx)
	return s, nil
}

// end ends the server at once, with all its connections.
func (s *server) end() {
	s.stop()
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(names["instance"], s.instance)
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names["id"])
	if id != "" {
		w.Header().Set(names["id"], id)
	}
	_, err := io.Copy(io.Discard, r.Body)
	switch expected := r.Header.Get(names["expected"]); {
	case err != nil:
		return
	case id == "":
		s.decline(w, http.StatusBadRequest)
		return
	case expected != "" && expected != s.instance:
		w.Header().Set(names["instance"], s.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	millis, err := strconv.Atoi(r.Header.Get(names["deadline"]))
	if err != nil {
		millis = 60_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	if !s.acquire(ctx) {
		s.decline(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.capacity }()
	s.run(ctx, w, r)
}

func (s *server) acquire(ctx context.Context) bool {
	select {
	case s.capacity <- struct{}{}:
		return true
	default:
	}
	if s.waiting.Add(1) > int64(queuePerSlot*s.slots) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.capacity <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *server) decline(w http.ResponseWriter, status int) {
	w.Header().Set(names["notrun"], "1")
	w.WriteHeader(status)
}

func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["id"])
	s.mu.Lock()
	s.runs = append(s.runs, run{at: time.Now(), id: id, target: r.RequestURI})
	s.mu.Unlock()
	s.record.add("server %s runs %s %s %s", s.instance, id, r.Method, r.RequestURI)
	timer := time.NewTimer(time.Duration(float64(s.work.Load()) * (1 + s.spread*(2*rand.Float64()-1))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		if r.Context().Err() != nil {
			s.record.add("server %s drops %s, its connection was closed", s.instance, id)
			return
		}
		s.record.add("server %s ends %s at its deadline", s.instance, id)
		w.Header().Set(names["signature"], s.signature(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.record.add("server %s ends %s", s.instance, id)
	w.Header().Set(names["signature"], s.signature(id))
	_, _ = fmt.Fprintf(w, "answer to %s by %s", id, s.instance)
}

func (s *server) signature(id string) string { return s.instance + "." + id }

// runsSince returns the runs that began after the time.
func (s *server) runsSince(t time.Time) (since []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.at.After(t) {
			since = append(since, r)
		}
	}
	return since
}

// target returns the path and query of a run, or an empty string if the request has not
// run.
func (s *server) target(id string) string {
	for _, r := range s.runsSince(time.Time{}) {
		if r.id == id {
			return r.target
		}
	}
	return ""
}

// beat sends heartbeats until the server ends.
func (s *server) beat(ctx context.Context) {
	for {
		s.sendBeat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

func (s *server) beatBody(seq int64) map[string]any {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	return map[string]any{
		"service": s.node.service, "address": s.node.app, "zone": s.node.zone, "version": "v1", "slots": s.slots,
		"state": state, "cold-remaining-ms": 0, "seq": seq, "born": s.born,
	}
}

// sendBeat sends one heartbeat and reports whether it was acknowledged.
func (s *server) sendBeat() bool {
	return post(s.node.control, names["beat"]+s.instance, s.beatBody(s.seq.Add(1)))
}

// drain reports that the server leaves, until that is acknowledged, and returns the
// time of the acknowledgement.
func (s *server) drain() time.Time {
	s.draining.Store(true)
	for !s.sendBeat() {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// deregister is the last call of a server.
func (s *server) deregister() bool {
	return post(s.node.control, names["leave"]+s.instance, map[string]any{"born": s.born})
}

func post(address, path string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	return postBytes(address, path, data)
}

func postBytes(address, path string, data []byte) bool {
	client := &http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
