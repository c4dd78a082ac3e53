package exchange

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
)

// waitLimit limits every wait for a condition. It is long because the tests may run on a
// busy machine.
const waitLimit = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a process that consists of a control loop and an exchange.
type node struct {
	t        *testing.T
	exchange *Exchange
	loop     *engine.Loop[membership.State, nodeEvent]
	stop     context.CancelFunc
	stopped  chan struct{}
	fetched  atomic.Pointer[Fetched]
}

type nodeEvent struct {
	peer Event
	run  func(*membership.State, time.Time)
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func startNode(t *testing.T, incarnation, address string, options Options, seeds ...string) *node {
	t.Helper()
	listener := listen(t, address)
	self := membership.Member{
		Incarnation: incarnation, Role: membership.Gateway, Address: listener.Addr().String(), AvailabilityZone: "z",
	}
	state := membership.New(membership.Options{
		Self:      self,
		Seeds:     seeds,
		Documents: []membership.DocumentKind{membership.DocumentConfig},
	})
	n := &node{t: t, stopped: make(chan struct{})}
	program := engine.Program[membership.State, nodeEvent]{
		Apply:        n.apply,
		Systems:      membership.Systems(),
		Flush:        func(s *membership.State, _ engine.Tick) { n.exchange.Flush(s) },
		NextDeadline: (*membership.State).NextDeadline,
	}
	n.loop = engine.NewLoop(program, state, 64)
	options.Post = func(event Event) bool { return n.loop.TryPost(nodeEvent{peer: event}) }
	n.exchange = New(listener, options)
	if err := n.exchange.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = sync.OnceFunc(func() { cancel(); <-n.stopped; n.close() })
	go func() { defer close(n.stopped); n.loop.Run(ctx) }()
	t.Cleanup(n.stop)
	return n
}

func (n *node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := n.exchange.Close(ctx); err != nil {
		n.t.Error(err)
	}
}

func (n *node) apply(s *membership.State, tick engine.Tick, event nodeEvent) {
	switch {
	case event.run != nil:
		event.run(s, tick.Now)
	case event.peer.Received != nil:
		s.Receive(*event.peer.Received)
	case event.peer.Fetched != nil:
		fetched := event.peer.Fetched
		if fetched.Err == nil {
			s.SetRevision(fetched.Kind, fetched.Revision, tick.Now)
			n.fetched.Store(fetched)
		}
		s.FetchFinished(fetched.Kind, fetched.Peer, tick.Now)
	}
}

func (n *node) run(run func(*membership.State, time.Time)) {
	done := make(chan struct{})
	err := n.loop.Post(context.Background(), nodeEvent{run: func(s *membership.State, now time.Time) { run(s, now); close(done) }})
	if err != nil {
		n.t.Fatal(err)
	}
	<-done
}

// await waits until the condition holds for the peer's row. The row is nil if the
// peer is unknown.
func (n *node) await(what, incarnation string, holds func(*membership.Peer) bool) {
	n.t.Helper()
	for end := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		met := false
		n.run(func(s *membership.State, _ time.Time) {
			_, peer := s.Find(incarnation)
			met = holds(peer)
		})
		if met {
			return
		}
		if time.Now().After(end) {
			n.t.Fatalf("condition not met within %v: %s", waitLimit, what)
		}
	}
}

func alive(p *membership.Peer) bool { return p != nil && p.Received && !p.Suspected && !p.Replaced }

// lossyProxy is a TCP proxy that can drop all bytes from the server to the client.
type lossyProxy struct {
	listener    net.Listener
	target      string
	loseAnswers atomic.Bool
	running     sync.WaitGroup
}

func startLossyProxy(t *testing.T, target string) *lossyProxy {
	c := &lossyProxy{listener: listen(t, "127.0.0.1:0"), target: target}
	c.running.Go(func() {
		for {
			conn, err := c.listener.Accept()
			if err != nil {
				return
			}
			c.running.Go(func() { c.forward(conn) })
		}
	})
	t.Cleanup(func() { c.listener.Close(); c.running.Wait() })
	return c
}

func (c *lossyProxy) address() string { return c.listener.Addr().String() }

func (c *lossyProxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", c.target)
	if err != nil {
		client.Close()
		return
	}
	c.running.Go(func() {
		io.Copy(server, client)
		server.Close()
	})
	io.Copy(writerFunc(func(p []byte) (int, error) {
		if c.loseAnswers.Load() {
			return len(p), nil
		}
		return client.Write(p)
	}), server)
	client.Close()
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// keyedHandlerStub counts keyed requests and blocks them until release is closed.
type keyedHandlerStub struct {
	runs    atomic.Int32
	began   chan struct{}
	release chan struct{}
}

func newKeyedHandlerStub() *keyedHandlerStub {
	return &keyedHandlerStub{began: make(chan struct{}, 16), release: make(chan struct{})}
}

func (h *keyedHandlerStub) ExecuteKeyed(ctx context.Context, request peerapi.KeyedRequest) peerapi.KeyedResponse {
	h.runs.Add(1)
	h.began <- struct{}{}
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return peerapi.KeyedResponse{Outcome: outcome.Complete(), Status: 200, Body: request.Body}
}
