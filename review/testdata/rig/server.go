package main

import (
	"bufio"
	"bytes"
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

// healthPath is the path of health checks in config.tmpl.
const healthPath = "/healthz"

// crashDowntime is how long a server is down after a crash.
const crashDowntime = 3 * time.Second

// server is a stand-in of an application server.
type server struct {
	instance string
	service  string
	slots    int
	born     int64
	address  string
	rec      *record
	// work is how long a request runs.
	work time.Duration
	// declined is the share of requests that the server rejects as not run, and
	// copied the share of its answers that it sends once more when the next
	// request has arrived on the connection.
	declined atomic.Pointer[float64]
	copied   atomic.Pointer[float64]
	sequence atomic.Int64
	ended    atomic.Bool
	// fatalPath is the path of the requests that crash the server, and crashed
	// when it last crashed.
	fatalPath string
	crashed   atomic.Pointer[time.Time]

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	starts   int
	arrivals []arrival
}

// arrival is a request that reached a server.
type arrival struct {
	at       time.Time
	id       string
	method   string
	path     string
	instance string
	ran      bool
}

func startServer(listener net.Listener, instance, service string, slots int, work time.Duration, rec *record) *server {
	s := &server{
		instance: instance, service: service, slots: slots, work: work, rec: rec,
		born: time.Now().UnixMilli(), address: listener.Addr().String(), listener: listener,
	}
	s.conns = map[net.Conn]bool{}
	s.setFaults(0, 0)
	go s.accept(listener)
	return s
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

// crash ends the server with all that it runs. It is back after the given time as
// a new incarnation at the same address.
func (s *server) crash(downtime time.Duration) {
	now := time.Now()
	s.crashed.Store(&now)
	s.mu.Lock()
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	clear(s.conns)
	former := s.instance
	s.mu.Unlock()
	s.rec.note("server %s crashes", former)
	time.AfterFunc(downtime, func() {
		if s.ended.Load() {
			return
		}
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			s.rec.note("server %s cannot start again: %v", former, err)
			return
		}
		s.mu.Lock()
		s.listener, s.born = listener, time.Now().UnixMilli()
		s.starts++
		s.instance = fmt.Sprintf("%s.%d", strings.SplitN(former, ".", 2)[0], s.starts)
		s.sequence.Store(0)
		s.crashed.Store(nil)
		s.mu.Unlock()
		s.rec.note("server %s is back as %s", former, s.instance)
		go s.accept(listener)
	})
}

// setFaults sets the shares of declined requests and of answers with a copy.
func (s *server) setFaults(declined, copied float64) {
	s.declined.Store(&declined)
	s.copied.Store(&copied)
}

// exit ends the server.
func (s *server) exit() {
	s.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

// currentInstance returns the ID of the present incarnation.
func (s *server) currentInstance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// seen returns the requests that reached the server.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *server) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for !s.ended.Load() {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get(names.RequestID)
		if late != nil {
			s.rec.add("server %s sends the second copy of its last answer, after request %s has arrived", s.currentInstance(), id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		reply := s.handle(req, id, body)
		if _, err := conn.Write(reply); err != nil {
			return
		}
		if rand.Float64() < *s.copied.Load() {
			late = reply
		}
	}
}

// handle runs or rejects a request and returns the answer's bytes.
func (s *server) handle(req *http.Request, id string, body []byte) []byte {
	if req.URL.Path == healthPath {
		return response(http.StatusOK, []string{names.Instance + ": " + s.currentInstance()}, "ok")
	}
	instance := s.currentInstance()
	got := arrival{at: time.Now(), id: id, method: req.Method, path: req.URL.Path, instance: instance}
	switch {
	case req.Header.Get(names.Expected) != instance:
		s.arrived(got, "rejects (another instance is expected)")
		return response(http.StatusMisdirectedRequest, []string{names.Instance + ": " + instance}, "")
	case rand.Float64() < *s.declined.Load():
		s.arrived(got, "rejects as not run")
		return response(http.StatusServiceUnavailable, []string{names.NotRun + ": 1"}, "")
	}
	got.ran = true
	s.arrived(got, "runs")
	if s.fatalPath != "" && got.path == s.fatalPath {
		s.crash(crashDowntime)
		return nil
	}
	time.Sleep(s.work)
	text := fmt.Sprintf("%s %s %d", instance, id, len(body))
	return response(http.StatusOK, []string{names.RequestID + ": " + id, names.Signature + ": sig." + id}, text)
}

func (s *server) arrived(got arrival, what string) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, got)
	s.mu.Unlock()
	s.rec.add("server %s %s request %s (%s %s)", got.instance, what, got.id, got.method, got.path)
}

func response(status int, headers []string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// heartbeat returns the path and the body of the server's next heartbeat.
func (s *server) heartbeat() (path, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body = fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0,"seq":%d,"born":%d}`,
		s.service, s.address, s.slots, s.sequence.Add(1), s.born)
	return names.Beat + s.instance, body
}

// post sends a call of the server to its node and reports whether it was
// acknowledged within a second.
func post(control, path, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+path, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode/100 == 2
}
