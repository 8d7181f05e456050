// Package dev runs stand-ins for external systems and, for trying out the system,
// a complete deployment on loopback in one process.
package dev

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// shutdownTime limits the graceful shutdown of a stand-in.
const shutdownTime = 3 * time.Second

// Server is the HTTP server of a stand-in.
type Server struct {
	listener net.Listener
	server   *http.Server
	failed   chan error
	close    func()
}

// Serve starts serving a handler at an address, "IP:port". close, which may be
// nil, is called before the server shuts down, so that waiting calls return.
func Serve(address string, handler http.Handler, close func()) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		listener: listener,
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTime},
		failed:   make(chan error, 1),
		close:    close,
	}
	go func() { s.failed <- s.server.Serve(listener) }()
	return s, nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close shuts the stand-in down.
func (s *Server) Close() {
	if s.close != nil {
		s.close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// Wait waits until ctx ends, then closes the stand-in and returns nil. If the
// listener fails first, it returns the error.
func (s *Server) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.Close()
		return nil
	case err := <-s.failed:
		return err
	}
}
