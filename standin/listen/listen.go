// Package listen serves HTTP on an address that can go down, as the port of a
// stopped process does, and come back on the same port.
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
	// rebindAttempts and rebindWait cover a port that a short-lived outgoing
	// connection of another process holds at the moment of the return.
	rebindAttempts = 50
	rebindWait     = 20 * time.Millisecond
	headerTimeout  = 10 * time.Second
)

// Server is an HTTP server on one address.
type Server struct {
	address   string
	configure func(*http.Server)

	mu     sync.Mutex // serializes going down and coming back
	server *http.Server
	done   chan struct{}
}

// Start listens on the address; port 0 picks a free one. configure sets the
// handler and hooks of each new http.Server.
func Start(address string, configure func(*http.Server)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Newf("listen on %s: %w", address, err)
	}
	s := &Server{address: listener.Addr().String(), configure: configure}
	s.serve(listener)
	return s, nil
}

// Address returns ip:port. It stays the same while the server is down.
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

// SetDown closes the listener and all connections, or listens again.
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
		case <-time.After(rebindWait):
		}
	}
	return nil, errors.Newf("listen again on %s: %w", s.address, failure)
}

func (s *Server) closeLocked() {
	if s.server == nil {
		return
	}
	_ = s.server.Close() // connections are cut on purpose
	<-s.done
	s.server = nil
}

// Close ends the server and cuts its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked()
}
