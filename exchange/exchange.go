// Package exchange implements the I/O of the peer protocol. It serves the Peer
// service, sends the state messages and fetches the documents that package
// membership selects, and forwards keyed requests and job calls. It makes no
// decisions: received messages are posted to the owner's control loop, and replies
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

// MaxMessageBytes limits the size of an encoded message in both directions. It
// leaves room for a body or a document of 1 MB and headers.
const MaxMessageBytes = 2 << 20

// Limits of the connections.
const (
	maxServerConnections = 4096             // accepted connections that are open at the same time
	maxCallsPerPeer      = 256              // keyed requests and job calls in flight to one address
	maxIdleConnsPerPeer  = 32               // idle connections in the pool per address
	maxIdleConns         = 256              // idle connections in the pool in total
	connIdleTimeout      = 30 * time.Second // after which an idle connection in the pool is closed
	serverIdleTimeout    = time.Minute      // after which the server closes an idle connection; longer than connIdleTimeout
	dialTimeout          = time.Second
	exchangeTimeout      = time.Second
	// closeGrace lets callers end their streams after the last response: drpc reports
	// a call as failed if the transport is closed between the response and the end
	// of the stream.
	closeGrace   = 100 * time.Millisecond
	fetchTimeout = 2 * time.Second // below membership.FetchTimeout, so that the result is known before the next attempt
)

// Event is posted to the owner's control loop. Exactly one field is set.
type Event struct {
	Received *membership.Received
	Fetched  *Fetched
}

// Fetched is the result of fetching a document. If the owner puts the document in
// force, it sets the revision in the membership state; then it calls FetchFinished.
type Fetched struct {
	Kind     membership.DocumentKind
	Peer     table.ID
	Revision uint64
	Document []byte // encoded as in the store; empty if the peer holds none
	Err      error
}

// KeyedHandler executes requests whose idempotency key has its home in this
// process. The context ends when the forwarding gateway times out or its connection
// is lost; the result of a request that was sent to a target must be recorded even
// then.
type KeyedHandler interface {
	ExecuteKeyed(ctx context.Context, request peerapi.KeyedRequest) peerapi.KeyedResponse
}

// JobHandler serves job calls at a controller.
type JobHandler interface {
	SubmitJob(ctx context.Context, job peerapi.JobSubmission) peerapi.JobResponse
	CancelJob(ctx context.Context, job peerapi.JobReference) peerapi.JobResponse
	GetJob(ctx context.Context, job peerapi.JobReference) peerapi.JobResponse
}

// Options configures an Exchange.
type Options struct {
	// Post passes an event to the control loop. Like engine.Loop.TryPost, it must
	// not block, and reports false if the event was dropped.
	Post  func(Event) bool
	Keyed KeyedHandler // nil if the role does not serve keyed requests
	Jobs  JobHandler   // nil if the role does not serve jobs
	Log   *events.Logger
}

// Exchange is the server and client of the peer protocol.
type Exchange struct {
	options  Options
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	starting sync.Mutex // serializes launch and Close
	running  sync.WaitGroup

	documents      [3]atomic.Pointer[document] // indexed by kind
	lastToken      atomic.Uint64
	pendingReplies sync.Map // token -> chan membership.Message
	activeCalls    callTracker
	links          links
	calls          callClient
}

type document struct {
	revision uint64
	encode   func() ([]byte, error) // runs at most once and caches its result
}

// New returns an Exchange for the listener. Start begins to serve.
func New(listener net.Listener, options Options) *Exchange {
	if options.Log == nil {
		options.Log = events.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchange{options: options, listener: listener, ctx: ctx, cancel: cancel}
	e.links.byAddress = map[string]*link{}
	e.calls = callClient{
		inFlight: map[string]int{},
		pool: drpcpool.New[string, *callConn](drpcpool.Options{
			Expiration: connIdleTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdleConnsPerPeer,
		}),
	}
	return e
}

// Address returns the ip:port of the listener.
func (e *Exchange) Address() string { return e.listener.Addr().String() }

// Start starts serving peers.
func (e *Exchange) Start() error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{exchange: e}); err != nil {
		return err
	}
	handler := &countingHandler{next: mux, calls: &e.activeCalls}
	drpc := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions(serverIdleTimeout)})
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

// Publish makes a document available to peers. A revision that is not higher than
// the published one is ignored. The document is encoded on an I/O goroutine when
// the first peer requests it, so it must not be modified afterwards. Publish must
// not be called concurrently.
func (e *Exchange) Publish(kind membership.DocumentKind, revision uint64, encode func() ([]byte, error)) {
	if current := e.documents[kind].Load(); current == nil || revision > current.revision {
		e.documents[kind].Store(&document{revision, sync.OnceValues(encode)})
	}
}

// Flush executes the effects queued in the state: it passes messages and fetches
// to I/O goroutines and logs changes of the peer table. It does not block.
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

// reply passes the reply to the call with its token, if the call is still waiting.
func (e *Exchange) reply(reply membership.Reply) {
	if waiting, ok := e.pendingReplies.LoadAndDelete(reply.Token); ok {
		answer, _ := waiting.(chan membership.Message)
		answer <- reply.Message // never blocks: capacity 1, and each token is used once
	}
}

// fetch fetches a document independently of the state messages, so that a large
// document does not delay the next one.
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

// launch runs the function on an I/O goroutine. It reports false after Close.
func (e *Exchange) launch(run func()) bool {
	e.starting.Lock()
	defer e.starting.Unlock()
	if e.ctx.Err() != nil {
		return false
	}
	e.running.Go(run)
	return true
}

// Close shuts down gracefully: new keyed requests and job calls get the outcome
// NotRun, and those in flight may finish until the context ends. Then all
// connections are closed. It returns the context's error if calls were aborted.
// Calls to other processes end with their own contexts.
func (e *Exchange) Close(ctx context.Context) error {
	err := e.activeCalls.drain(ctx)
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
