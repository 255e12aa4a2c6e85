// Package httpserver runs one HTTP listener of a node.
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
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	closedPoll        = 20 * time.Millisecond
)

// Server is one HTTP listener.
type Server struct {
	address string
	server  *http.Server
	listen  net.Listener
	// closing makes every answer close its connection.
	closing atomic.Bool
	open    atomic.Int64
}

// New returns a server for the handler; it does not listen yet.
func New(address string, handler http.Handler) *Server {
	s := &Server{address: address}
	s.server = &http.Server{
		Handler:           s.closeWhenLeaving(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.countConnections,
	}
	return s
}

func (s *Server) closeWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *Server) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// Listen opens the listener.
func (s *Server) Listen() error {
	listen, err := net.Listen("tcp", s.address)
	s.listen = listen
	return errors.Wrapf(err, "listen on %s", s.address)
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listen.Addr().String() }

// Run serves until the context ends, then closes every connection.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listen)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Shutdown stops accepting and waits for active requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// RefuseKeepAlive makes every further answer close its connection. Idle
// connections stay open, because closing one while its caller sends the next
// request would fail that request.
func (s *Server) RefuseKeepAlive() { s.closing.Store(true) }

// AwaitClosed waits until no connection is open or the context ends.
func (s *Server) AwaitClosed(ctx context.Context) {
	ticker := time.NewTicker(closedPoll)
	defer ticker.Stop()
	for s.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
