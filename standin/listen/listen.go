// Package listen provides an HTTP server that can be stopped and restarted on the
// same port, to simulate a process that stops and comes back.
package listen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// When the server restarts, a short-lived outgoing connection of another
	// process may hold the port. rebindAttempts and rebindInterval retry for 1 s.
	rebindAttempts = 50
	rebindInterval = 20 * time.Millisecond
	headerTimeout  = 10 * time.Second
)

// Server is an HTTP server on one address.
type Server struct {
	address   string
	configure func(*http.Server)

	mu     sync.Mutex // serializes stopping and restarting
	server *http.Server
	done   chan struct{}
}

// Start listens on the address; port 0 selects a free port. configure sets the
// handler and hooks of each new http.Server, also after a restart.
func Start(address string, configure func(*http.Server)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Newf("listen on %s: %w", address, err)
	}
	s := &Server{address: listener.Addr().String(), configure: configure}
	s.serve(listener)
	return s, nil
}

// Address returns the ip:port of the server. It does not change across restarts.
func (s *Server) Address() string { return s.address }

func (s *Server) serve(listener net.Listener) {
	server := &http.Server{ReadHeaderTimeout: headerTimeout}
	s.configure(server)
	done := make(chan struct{})
	s.server, s.done = server, done
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns http.ErrServerClosed on Close
	}()
}

// SetDown closes the listener and all connections, or listens again on the same
// port.
func (s *Server) SetDown(ctx context.Context, down bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.closeLocked()
		return nil
	}
	if s.server != nil {
		return nil
	}
	listener, err := s.rebind(ctx)
	if err != nil {
		return err
	}
	s.serve(listener)
	return nil
}

func (s *Server) rebind(ctx context.Context) (net.Listener, error) {
	var failure error
	for range rebindAttempts {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return listener, nil
		}
		failure = err
		select {
		case <-ctx.Done():
			return nil, errors.Join(failure, ctx.Err())
		case <-time.After(rebindInterval):
		}
	}
	return nil, errors.Newf("listen again on %s: %w", s.address, failure)
}

func (s *Server) closeLocked() {
	if s.server == nil {
		return
	}
	_ = s.server.Close() // closes connections without waiting for requests, as a crash would
	<-s.done
	s.server = nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked()
}
