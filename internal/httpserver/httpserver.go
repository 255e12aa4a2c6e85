// Package httpserver runs an HTTP server that can be drained before it stops.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 60 * time.Second
	maxHeaderBytes     = 64 << 10
	closedPollInterval = 20 * time.Millisecond
	// idleWait bounds the wait of Shutdown for clients that have opened a
	// connection and sent nothing. Requests are waited for by net/http too.
	idleWait = time.Second
)

// Server is an HTTP server on one address.
type Server struct {
	address  string
	server   *http.Server
	listener *drainingListener
	// guard bounds the connections; nil for no bound.
	guard *guard
	// draining makes every response close its connection.
	draining        atomic.Bool
	openConnections atomic.Int64

	mu sync.Mutex
	// busy holds the connections that have sent no request yet, or whose request
	// is not answered.
	busy map[net.Conn]bool
}

// New returns a server for the handler. Listen starts listening.
func New(address string, handler http.Handler) *Server {
	s := &Server{address: address, busy: map[net.Conn]bool{}}
	s.server = &http.Server{
		Handler:           s.closeConnectionsWhenDraining(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.countConnections,
	}
	return s
}

func (s *Server) closeConnectionsWhenDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *Server) countConnections(conn net.Conn, state http.ConnState) {
	if s.guard != nil {
		s.guard.setState(conn, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		s.busy[conn] = true
	} else {
		delete(s.busy, conn)
	}
	switch state {
	case http.StateNew:
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	}
}

// Listen starts listening on the server's address.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.address)
	}
	s.listener = &drainingListener{TCPListener: listener.(*net.TCPListener), guard: s.guard, ended: make(chan struct{})}
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves requests until ctx is done, then closes all connections. After
// Shutdown it also returns only when ctx is done.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, errDrained) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Shutdown stops accepting connections, answers the requests of those that were
// accepted, and closes the others. Connections that wait to be accepted are
// accepted before the listener closes, which would reset them, and the listener
// closes before Shutdown of net/http, which drops requests that it reads later.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.listener.stop()
	s.awaitIdle(ctx)
	return s.server.Shutdown(ctx)
}

// awaitIdle waits until no connection is busy, for idleWait at most.
func (s *Server) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleWait)
	defer cancel()
	for s.busyConnections() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(closedPollInterval):
		}
	}
}

func (s *Server) busyConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy)
}

// DisableKeepAlives makes every response from now on close its connection. Idle
// connections stay open, because closing one while its client sends the next
// request would make that request fail.
func (s *Server) DisableKeepAlives() { s.draining.Store(true) }

// WaitConnectionsClosed blocks until no connection is open or ctx is done.
func (s *Server) WaitConnectionsClosed(ctx context.Context) {
	ticker := time.NewTicker(closedPollInterval)
	defer ticker.Stop()
	for s.openConnections.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
