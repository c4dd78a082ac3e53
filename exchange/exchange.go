// Package exchange is the I/O side of the protocol between processes. It serves
// the Peer service, sends the state messages and fetches the documents that
// package membership decides on, and forwards keyed requests and job calls. It
// decides nothing itself: messages go to the owner's control loop, and answers
// come back as effects.
package exchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// MaxMessageBytes bounds an encoded message in both directions. It holds a body
// or a document of 1 MB and headers.
const MaxMessageBytes = 2 << 20

// Limits of the connections.
const (
	maxServerConnections = 4096             // accepted at once
	maxCallsPerPeer      = 256              // keyed requests and job calls in flight to one address
	idleCallsPerPeer     = 32               // connections kept for the next calls to one address
	idleCalls            = 256              // connections kept for the next calls in total
	idleCallTime         = 30 * time.Second // before a kept connection is closed
	serverIdleTime       = time.Minute      // before the server closes a silent connection; longer than idleCallTime
	dialTimeout          = time.Second
	exchangeTimeout      = time.Second
	// closeGrace lets callers end their streams after the last answer: drpc reports
	// a call as failed if the transport closes between its answer and its end.
	closeGrace   = 100 * time.Millisecond
	fetchTimeout = 2 * time.Second // below membership.FetchTimeout, so that the result is known before the next try
)

// Event is posted to the owner's control loop. Exactly one field is set.
type Event struct {
	Received *membership.Received
	Fetched  *Fetched
}

// Fetched is the result of a fetch. The owner sets the revision if it takes the
// document over, and then calls membership's FetchFinished.
type Fetched struct {
	Kind     membership.DocumentKind
	Peer     table.ID
	Revision uint64
	Document []byte // as in the store; empty if the peer holds none
	Err      error
}

// KeyedHandler runs requests whose idempotency key has its home here. The
// context ends when the forwarding gateway gives up or its connection breaks;
// a request that was sent to a target must then still be recorded.
type KeyedHandler interface {
	ExecuteKeyed(ctx context.Context, request peerapi.KeyedRequest) peerapi.KeyedResponse
}

// JobHandler serves job calls at a controller.
type JobHandler interface {
	SubmitJob(ctx context.Context, job peerapi.JobSubmission) peerapi.JobResponse
	CancelJob(ctx context.Context, job peerapi.JobReference) peerapi.JobResponse
	GetJob(ctx context.Context, job peerapi.JobReference) peerapi.JobResponse
}

// Options describes the owner.
type Options struct {
	// Post delivers an event to the control loop. It must not block and reports
	// false if the event is dropped, as engine.Loop.TryPost does.
	Post  func(Event) bool
	Keyed KeyedHandler // nil if the role does not serve keyed requests
	Jobs  JobHandler   // nil if the role does not serve jobs
	Log   *events.Logger
}

// Exchange serves and calls peers.
type Exchange struct {
	options  Options
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	starting sync.Mutex // orders launch and Close
	running  sync.WaitGroup

	documents [3]atomic.Pointer[document] // by kind
	tokens    atomic.Uint64
	waiting   sync.Map // token -> chan membership.Message
	serving   drainer
	links     links
	calls     caller
}

type document struct {
	revision uint64
	encode   func() ([]byte, error) // once
}

// New returns an exchange that serves on the listener, once started.
func New(listener net.Listener, options Options) *Exchange {
	if options.Log == nil {
		options.Log = events.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchange{options: options, listener: listener, ctx: ctx, cancel: cancel}
	e.links.byAddress = map[string]*link{}
	e.calls = caller{
		inFlight: map[string]int{},
		pool: drpcpool.New[string, *callConn](drpcpool.Options{
			Expiration: idleCallTime, Capacity: idleCalls, KeyCapacity: idleCallsPerPeer,
		}),
	}
	return e
}

// Address returns the ip:port at which peers reach this process.
func (e *Exchange) Address() string { return e.listener.Addr().String() }

// Start begins to serve.
func (e *Exchange) Start() error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{exchange: e}); err != nil {
		return err
	}
	handler := &countingHandler{inner: mux, calls: &e.serving}
	drpc := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions(serverIdleTime)})
	listener := netutil.LimitListener(e.listener, maxServerConnections)
	e.launch(func() {
		if err := drpc.Serve(e.ctx, listener); err != nil && e.ctx.Err() == nil {
			e.options.Log.Log(events.ServerFailed, events.F("server", "peers"), events.Err(err))
		}
	})
	return nil
}

func managerOptions(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: idle,
	}
}

// Publish makes a document available to peers. A lower revision is ignored. The
// document is encoded on an I/O goroutine when the first peer asks for it, so it
// must not be modified afterwards. Only one goroutine may publish.
func (e *Exchange) Publish(kind membership.DocumentKind, revision uint64, encode func() ([]byte, error)) {
	if current := e.documents[kind].Load(); current == nil || revision > current.revision {
		e.documents[kind].Store(&document{revision, sync.OnceValues(encode)})
	}
}

// Flush performs the effects of the state: it hands messages and fetches to I/O
// goroutines and logs changes of the peer table. It does not block.
func (e *Exchange) Flush(s *membership.State) {
	s.Replies.Drain(e.reply)
	s.Sends.Drain(e.send)
	s.Fetches.Drain(e.fetch)
	s.Changes.Drain(e.logChange)
}

func (e *Exchange) logChange(change membership.Change) {
	known := map[membership.ChangeKind]events.Event{
		membership.PeerJoined: events.PeerJoined, membership.PeerSuspected: events.PeerSuspected, membership.PeerRecovered: events.PeerRecovered,
	}
	if event, ok := known[change.Kind]; ok {
		e.options.Log.Log(event, events.F("peer", change.Member.Incarnation), events.F("role", string(change.Member.Role)),
			events.F("address", change.Member.Address), events.F("az", change.Member.AvailabilityZone))
	}
}

// reply answers the call that waits under the token, if it still does.
func (e *Exchange) reply(reply membership.Reply) {
	if waiting, ok := e.waiting.LoadAndDelete(reply.Token); ok {
		answer, _ := waiting.(chan membership.Message)
		answer <- reply.Message // never blocks: capacity 1, and the token is used once
	}
}

// fetch runs beside the state exchange, so that a large document does not delay
// the next state message.
func (e *Exchange) fetch(fetch membership.Fetch) {
	e.launch(func() {
		ctx, cancel := context.WithTimeout(e.ctx, fetchTimeout)
		defer cancel()
		result := &Fetched{Kind: fetch.Kind, Peer: fetch.Peer}
		request := &peerpb.FetchDocumentRequest{Kind: peerapi.DocumentKindToProto(fetch.Kind)}
		_, result.Err = e.calls.do(ctx, fetch.Address, func(client peerpb.DRPCPeerClient) error {
			response, err := client.FetchDocument(ctx, request)
			result.Revision, result.Document = response.GetRevision(), response.GetDocument()
			return err
		})
		e.options.Post(Event{Fetched: result})
	})
}

// launch runs the function on an I/O goroutine, or reports false after Close.
func (e *Exchange) launch(run func()) bool {
	e.starting.Lock()
	defer e.starting.Unlock()
	if e.ctx.Err() != nil {
		return false
	}
	e.running.Go(run)
	return true
}

// Close stops serving gracefully: new keyed requests and job calls are answered
// as not run, and those in flight may finish until the context ends. Then all
// connections are closed. It returns the context's error if calls were cut off.
// Calls to other processes end with their own contexts.
func (e *Exchange) Close(ctx context.Context) error {
	err := e.serving.drain(ctx)
	select {
	case <-time.After(closeGrace):
	case <-ctx.Done():
	}
	e.starting.Lock()
	e.cancel()
	e.starting.Unlock()
	closing := e.listener.Close()
	if errors.Is(closing, net.ErrClosed) {
		closing = nil
	}
	e.running.Wait()
	return errors.Join(err, closing, e.calls.pool.Close())
}
