package exchange

import (
	"bytes"
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc/drpcconn"

	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

func keyed(body []byte) peerapi.KeyedRequest {
	return peerapi.KeyedRequest{Key: "k", Tenant: "t", Pool: "p", Method: "POST", Path: "/", Body: body, Timeout: waitLimit}
}

// Guards against a process that learns of a later document but does not fetch it,
// and against state that is not transferred.
func TestStateAndDocumentsSpread(t *testing.T) {
	a := startNode(t, "a", "127.0.0.1:0", Options{})
	b := startNode(t, "b", "127.0.0.1:0", Options{}, a.exchange.Address())
	a.exchange.Publish(membership.DocumentConfig, 7, func() ([]byte, error) { return []byte(`{"revision":7}`), nil })
	a.exchange.Publish(membership.DocumentConfig, 6, func() ([]byte, error) { return []byte(`{"revision":6}`), nil })
	a.run(func(s *membership.State, now time.Time) {
		s.SetRevision(membership.DocumentConfig, 7, now)
		s.SetDemand("orders", 12)
	})
	a.await("b reports revision 7", "b", func(p *membership.Peer) bool {
		return p != nil && p.Revisions[membership.DocumentConfig] == 7
	})
	if fetched := b.fetched.Load(); fetched == nil || fetched.Revision != 7 || string(fetched.Document) != `{"revision":7}` {
		t.Errorf("fetched %+v, want revision 7", fetched)
	}
	b.run(func(s *membership.State, _ time.Time) {
		id, _ := s.Find("a")
		if requests, _ := s.Demand.Get(id, "orders"); requests != 12 {
			t.Errorf("demand %d, want 12", requests)
		}
	})
}

// Guards against a crashed peer that is not suspected, and against still using the
// connection to the previous incarnation after a restart at the same address.
func TestPeerDisappearsAndReturns(t *testing.T) {
	a := startNode(t, "a", "127.0.0.1:0", Options{})
	b := startNode(t, "b", "127.0.0.1:0", Options{}, a.exchange.Address())
	address := b.exchange.Address()
	a.await("b is heard", "b", alive)
	b.stop()
	a.await("b is suspected", "b", func(p *membership.Peer) bool { return p.Suspected })
	startNode(t, "b2", address, Options{})
	a.await("b2 is heard at the address of b", "b2", alive)
	a.await("b is replaced", "b", func(p *membership.Peer) bool { return p.Replaced })
}

// Guards against two processes that lose contact when responses are lost in one
// direction, and against reporting a keyed request as not run when its response
// was lost.
func TestOneWayCut(t *testing.T) {
	h := newKeyedHandlerStub()
	close(h.release)
	b := startNode(t, "b", "127.0.0.1:0", Options{Keyed: h})
	proxy := startLossyProxy(t, b.exchange.Address())
	a := startNode(t, "a", "127.0.0.1:0", Options{}, proxy.address())
	a.await("b is heard", "b", alive)
	proxy.loseAnswers.Store(true)
	request := keyed(nil)
	request.Timeout = time.Second
	response := a.exchange.ExecuteKeyed(context.Background(), proxy.address(), request)
	if response.Outcome != outcome.UnknownBecause(outcome.ReasonHomeNoAnswer) || h.runs.Load() != 1 {
		t.Errorf("outcome %v after %d runs", response.Outcome, h.runs.Load())
	}
	from := time.Now()
	a.await("a hears b again through the connection that b opened", "b", func(p *membership.Peer) bool {
		return alive(p) && p.LastReceivedAt.Sub(from) > 2*membership.SuspectAfter
	})
	b.await("b hears a", "a", alive)
}

// Guards against an upgrade in which processes of two versions reject each other's
// messages.
func TestVersionSkew(t *testing.T) {
	a := startNode(t, "a", "127.0.0.1:0", Options{})
	transport, err := dial(context.Background(), a.exchange.Address())
	if err != nil {
		t.Fatal(err)
	}
	conn := drpcconn.New(transport)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	later := &peerpb.State{Sender: &peerpb.Member{Incarnation: "later", Role: "gateway", Address: "127.0.0.1:1"}, Sequence: 1}
	later.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 700, protowire.VarintType), 5))
	earlier := &peerpb.State{Sender: &peerpb.Member{Incarnation: "earlier"}, Sequence: 1}
	client := peerpb.NewDRPCPeerClient(conn)
	for _, state := range []*peerpb.State{later, earlier} {
		answer, err := client.Exchange(ctx, state)
		if err != nil || answer.GetSender().GetIncarnation() != "a" {
			t.Fatalf("answer %v, error %v", answer, err)
		}
		a.await("the sender is known", state.GetSender().GetIncarnation(), func(p *membership.Peer) bool { return p != nil && p.Received })
	}
	if _, err := client.Exchange(ctx, &peerpb.State{}); err == nil {
		t.Error("a message without sender incarnation was accepted")
	}
}

// Guards against reporting a call as run or unknown although it certainly was not
// sent or not executed.
func TestCallsThatAreNotRun(t *testing.T) {
	a := startNode(t, "a", "127.0.0.1:0", Options{})
	b := startNode(t, "b", "127.0.0.1:0", Options{})
	closed := listen(t, "127.0.0.1:0")
	closed.Close()
	expired := keyed(nil)
	expired.Timeout = 0
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for _, c := range []struct {
		name string
		got  outcome.Outcome
		want outcome.Reason
	}{
		{"unreachable", a.exchange.ExecuteKeyed(ctx, closed.Addr().String(), keyed(nil)).Outcome, outcome.ReasonUnreachable},
		{"role without keys", a.exchange.ExecuteKeyed(ctx, b.exchange.Address(), keyed(nil)).Outcome, outcome.ReasonNoHome},
		{"oversize", a.exchange.ExecuteKeyed(ctx, b.exchange.Address(), keyed(make([]byte, MaxMessageBytes))).Outcome, outcome.ReasonBadRequest},
		{"expired", a.exchange.ExecuteKeyed(ctx, b.exchange.Address(), expired).Outcome, outcome.ReasonDeadline},
		{"submit", a.exchange.SubmitJob(ctx, b.exchange.Address(), peerapi.JobSubmission{ID: "j"}).Outcome, outcome.ReasonNoController},
		{"cancel", a.exchange.CancelJob(ctx, b.exchange.Address(), peerapi.JobReference{ID: "j"}).Outcome, outcome.ReasonNoController},
		{"get", a.exchange.GetJob(ctx, closed.Addr().String(), peerapi.JobReference{ID: "j"}).Outcome, outcome.ReasonUnreachable},
	} {
		if c.got != outcome.NotRunBecause(c.want) {
			t.Errorf("%s: outcome %v, want not run with reason %s", c.name, c.got, c.want)
		}
	}
}

// Guards against an unknown outcome or a second execution when a pooled connection
// was closed between two calls, and against a truncated body.
func TestClosedConnectionIsReplaced(t *testing.T) {
	h := newKeyedHandlerStub()
	close(h.release)
	a := startNode(t, "a", "127.0.0.1:0", Options{})
	b := startNode(t, "b", "127.0.0.1:0", Options{Keyed: h})
	address := b.exchange.Address()
	body := bytes.Repeat([]byte("x"), 1<<20)
	for run := int32(1); run <= 3; run++ {
		response := a.exchange.ExecuteKeyed(context.Background(), address, keyed(body))
		if response.Outcome != outcome.Complete() || !bytes.Equal(response.Body, body) || h.runs.Load() != run {
			t.Fatalf("run %d: outcome %v, %d bytes, %d runs", run, response.Outcome, len(response.Body), h.runs.Load())
		}
		pooled, _ := a.exchange.calls.pool.Take(address)
		b.stop()
		<-pooled.Closed() // wait until the close is detected, before the next call
		a.exchange.calls.pool.Put(address, pooled)
		b = startNode(t, "b2", address, Options{Keyed: h})
	}
}

// Guards against a shutdown that aborts a call in flight or executes a new one.
func TestCloseFinishesCallsInFlight(t *testing.T) {
	h := newKeyedHandlerStub()
	a := startNode(t, "a", "127.0.0.1:0", Options{})
	b := startNode(t, "b", "127.0.0.1:0", Options{Keyed: h})
	first := make(chan peerapi.KeyedResponse, 1)
	go func() {
		first <- a.exchange.ExecuteKeyed(context.Background(), b.exchange.Address(), keyed([]byte("x")))
	}()
	<-h.began
	closed := make(chan struct{})
	go func() { defer close(closed); b.stop() }()
	for !b.exchange.activeCalls.draining() {
		time.Sleep(time.Millisecond)
	}
	second := a.exchange.ExecuteKeyed(context.Background(), b.exchange.Address(), keyed(nil))
	if second.Outcome != outcome.NotRunBecause(outcome.ReasonStopping) {
		t.Errorf("new call during shutdown: outcome %v, want not run", second.Outcome)
	}
	close(h.release)
	if response := <-first; response.Outcome != outcome.Complete() || string(response.Body) != "x" {
		t.Errorf("call in flight: outcome %v, want completed", response.Outcome)
	}
	<-closed
	if h.runs.Load() != 1 {
		t.Errorf("%d runs, want 1", h.runs.Load())
	}
}
