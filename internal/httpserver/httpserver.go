// Package httpserver runs an HTTP server that can be drained before it stops.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 60 * time.Second
	maxHeaderBytes     = 64 << 10
	closedPollInterval = 20 * time.Millisecond
)

// Server is an HTTP server on one address.
type Server struct {
	address  string
	server   *http.Server
	listener net.Listener
	// draining makes every response close its connection.
	draining        atomic.Bool
	openConnections atomic.Int64
}

// New returns a server for the handler. Listen starts listening.
func New(address string, handler http.Handler) *Server {
	s := &Server{address: address}
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

func (s *Server) countConnections(_ net.Conn, state http.ConnState) {
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
	s.listener = listener
	return errors.Wrapf(err, "listen on %s", s.address)
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves requests until ctx is done, then closes all connections. After
// Shutdown it also returns only when ctx is done.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits for in-flight requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

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
