// Package httpserver runs one HTTP listener of a node.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Server is one HTTP listener.
type Server struct {
	address string
	server  *http.Server
	listen  net.Listener
}

// New returns a server for the handler; it does not listen yet.
func New(address string, handler http.Handler) *Server {
	return &Server{address: address, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
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

// RefuseKeepAlive makes every further answer close its connection.
func (s *Server) RefuseKeepAlive() { s.server.SetKeepAlivesEnabled(false) }
