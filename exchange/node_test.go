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

// limit bounds every wait on a condition. It is generous, because the machine is shared.
const limit = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a process with a control loop and nothing else.
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

// startNode starts a process.
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
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

func (n *node) do(run func(*membership.State, time.Time)) {
	done := make(chan struct{})
	err := n.loop.Post(context.Background(), nodeEvent{run: func(s *membership.State, now time.Time) { run(s, now); close(done) }})
	if err != nil {
		n.t.Fatal(err)
	}
	<-done
}

// await waits until the condition holds for the peer's row, which may be nil.
func (n *node) await(what, incarnation string, holds func(*membership.Peer) bool) {
	n.t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		met := false
		n.do(func(s *membership.State, _ time.Time) {
			_, peer := s.Find(incarnation)
			met = holds(peer)
		})
		if met {
			return
		}
		if time.Now().After(end) {
			n.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func alive(p *membership.Peer) bool { return p != nil && p.Heard && !p.Suspected && !p.Replaced }

// cutter is a TCP proxy that can lose the bytes of the answers.
type cutter struct {
	listener    net.Listener
	target      string
	loseAnswers atomic.Bool
	running     sync.WaitGroup
}

func startCutter(t *testing.T, target string) *cutter {
	c := &cutter{listener: listen(t, "127.0.0.1:0"), target: target}
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

func (c *cutter) address() string { return c.listener.Addr().String() }

func (c *cutter) forward(client net.Conn) {
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

// home counts keyed requests and holds them until released.
type home struct {
	runs    atomic.Int32
	began   chan struct{}
	release chan struct{}
}

func newHome() *home { return &home{began: make(chan struct{}, 16), release: make(chan struct{})} }

func (h *home) ExecuteKeyed(ctx context.Context, request peerapi.KeyedRequest) peerapi.KeyedResponse {
	h.runs.Add(1)
	h.began <- struct{}{}
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return peerapi.KeyedResponse{Outcome: outcome.Complete(), Status: 200, Body: request.Body}
}
