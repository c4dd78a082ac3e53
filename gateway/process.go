package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/exchange"
	"github.com/waxwingbridge/waxwingbridge/gateway/control"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/settings"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// controlInboxSize limits the events that are queued for the control loop.
const controlInboxSize = 4096

// Settings are the flags of a gateway.
type Settings struct {
	settings.Process
	ListenCallers settings.Address       `default:"127.0.0.1:0" help:"ip:port for callers."`
	TrafficShards settings.TrafficShards `default:"2" help:"Traffic goroutines, 1 to 64."`
}

// controlStatus is the part of the control state that I/O goroutines read.
type controlStatus struct {
	notReady         string
	activeController string // peer address, empty if unknown
}

// Gateway is a running gateway process.
type Gateway struct {
	process  *node.Process
	loop     *engine.Loop[control.State, control.Event]
	proxy    *Proxy
	exchange *exchange.Exchange
	status   atomic.Pointer[controlStatus]
	stopping atomic.Bool
}

// New creates a gateway. It contacts no other process before Start.
func New(s *Settings, log *events.Logger, incarnation string) (*Gateway, error) {
	process, err := node.NewProcess(node.Options{
		Role: node.RoleGateway, Settings: &s.Process, Listen: s.ListenCallers, Log: log, Incarnation: incarnation,
	})
	if err != nil {
		return nil, err
	}
	g := &Gateway{process: process}
	g.status.Store(&controlStatus{notReady: "starting"})
	state := control.NewState(node.NewView(string(s.Site), process.Identity), membership.New(membership.Options{
		Self: process.Identity.Member(), Seeds: settings.AddressStrings(s.Peers),
		Documents: []membership.DocumentKind{membership.DocumentConfig, membership.DocumentFleet, membership.DocumentHomes},
	}))
	g.loop = engine.NewLoop(control.Program(g.flush), state, controlInboxSize)
	g.exchange = exchange.New(process.PeerListener, exchange.Options{Post: g.postExchangeEvent, Keyed: keyedHandler{g}, Log: log})
	g.proxy = NewProxy(ProxyConfig{
		Incarnation: process.Identity.Incarnation, Shards: int(s.TrafficShards), Seed: uint64(time.Now().UnixNano()),
		Logger: log, Metrics: process.Metrics.Scope, Report: g.postReport, Forwarder: peerForwarder{g.exchange},
	})
	return g, nil
}

// Start runs the gateway until Stop.
func (g *Gateway) Start() error {
	if err := g.exchange.Start(); err != nil {
		return err
	}
	g.proxy.Start()
	g.process.Go(g.loop.Run)
	g.process.Start(func(ctx context.Context, event node.Event) error {
		return g.loop.Post(ctx, control.Observed{Event: event})
	})
	g.process.Serve(g.process.PublicListener, NewCallerServer(g.callerHandler()))
	g.process.ServeAdmin(g.notReady)
	g.process.Log.Log(events.ProcessStarted, events.F("callers", g.CallerAddress()), events.F("peers", g.PeerAddress()),
		events.F("admin", g.AdminAddress()))
	return nil
}

// CallerAddress returns the ip:port for callers.
func (g *Gateway) CallerAddress() string { return g.process.Identity.PublicAddress }

// PeerAddress returns the ip:port for peers.
func (g *Gateway) PeerAddress() string { return g.process.Identity.PeerAddress }

// AdminAddress returns the ip:port for health and metrics.
func (g *Gateway) AdminAddress() string { return g.process.AdminListener.Addr().String() }

// Stop refuses new requests, waits for those in flight, removes this gateway from
// the homes list and ends the process.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopping.Store(true)
	g.process.Log.Log(events.ProcessStopping)
	if err := g.proxy.Drain(ctx); err != nil {
		g.process.Log.Log(events.ShutdownTimeout, events.Err(err))
	}
	g.leaveHomes(ctx)
	_ = g.exchange.Close(ctx) // Drain has already waited for the calls in flight
	g.process.Stop(ctx)
	g.proxy.Stop()
	g.process.Log.Log(events.ProcessStopped)
}

// notReady returns the reason that the readiness probe reports, or the empty string.
// A stopping gateway reports not ready before its listener closes, so that the load
// balancer removes it first.
func (g *Gateway) notReady() string {
	if g.stopping.Load() {
		return "stopping"
	}
	return g.status.Load().notReady
}

func (g *Gateway) callerHandler() http.Handler {
	mux := http.NewServeMux()
	jobs := g.jobHandler()
	mux.Handle("/v1/jobs", jobs)
	mux.Handle("/v1/jobs/", jobs)
	mux.Handle("/", g.proxy.Handler())
	return mux
}

// postReport posts the demand and refusals of a shard to the control loop. If the
// inbox is full, the report is lost, and the next change causes another one.
func (g *Gateway) postReport(report traffic.Report) {
	g.loop.TryPost(control.TrafficReported{Report: report})
}

func (g *Gateway) postExchangeEvent(event exchange.Event) bool {
	if event.Received != nil {
		return g.loop.TryPost(control.PeerMessage{Received: *event.Received})
	}
	return g.loop.TryPost(control.PeerFetched{
		Kind: event.Fetched.Kind, Peer: event.Fetched.Peer, Document: node.DecodeFetched(g.process.Keys, event.Fetched),
	})
}

// flush carries out the effects of a control tick.
func (g *Gateway) flush(s *control.State, _ engine.Tick) {
	s.Outbound.Snapshots.Drain(g.proxy.Publish)
	s.Outbound.Homes.Drain(func(e control.UpdateHomes) { g.process.Go(func(ctx context.Context) { g.updateHomes(ctx, e) }) })
	node.PublishDocuments(s.View, g.exchange)
	g.exchange.Flush(s.Peers)
	s.View.Logs.Drain(g.process.Log.Write)
	next := controlStatus{notReady: s.NotReadyReason(), activeController: activeController(s)}
	if previous := g.status.Load(); next != *previous {
		if next.notReady == "" && previous.notReady != "" {
			g.process.Log.Log(events.ProcessReady)
		}
		g.status.Store(&next)
	}
}

// activeController returns the peer address of the active controller. It prefers the
// information from peers, which is also available while the store is down.
func activeController(s *control.State) string {
	if _, peer := s.Peers.ActiveController(); peer != nil {
		return peer.Address
	}
	if s.View.Leader.Revision != 0 {
		return s.View.Leader.Identity.PeerAddress
	}
	return ""
}

// updateHomes carries out control.UpdateHomes.
func (g *Gateway) updateHomes(ctx context.Context, e control.UpdateHomes) {
	ctx, cancel := context.WithTimeout(ctx, 2*node.StoreCallTimeout)
	defer cancel()
	homes, err := g.writeNextHomes(ctx)
	_ = g.loop.Post(g.process.Context(), control.HomesUpdated{Lease: e.Lease, Homes: homes, Err: err})
}

// writeNextHomes reads the homes list, then the live processes, and writes the next
// list if it differs.
func (g *Gateway) writeNextHomes(ctx context.Context) (*idempotency.Homes, error) {
	value, err := g.process.Store.Get(ctx, g.process.Keys.Homes())
	if err != nil {
		return nil, err
	}
	self := idempotency.Member{Incarnation: g.process.Identity.Incarnation, Address: g.process.Identity.PeerAddress}
	next := idempotency.InitialHomes(self)
	if value.Revision != 0 {
		current := new(idempotency.Homes)
		if err := json.Unmarshal(value.Data, current); err != nil {
			return nil, err
		}
		live, err := g.liveIncarnations(ctx)
		if err != nil {
			return nil, err
		}
		var needed bool
		if next, needed = idempotency.NextHomes(*current, live, self); !needed {
			return current, nil
		}
	}
	return &next, g.writeHomes(ctx, next, value.Revision)
}

func (g *Gateway) writeHomes(ctx context.Context, homes idempotency.Homes, revision store.Revision) error {
	data, err := json.Marshal(homes)
	if err != nil {
		return err
	}
	put := store.Put{Key: g.process.Keys.Homes(), Data: data, WriteID: node.NewWriteID(), Revision: revision}
	return node.Write(ctx, g.process.Store, put).Err
}

func (g *Gateway) liveIncarnations(ctx context.Context) ([]string, error) {
	values, err := g.process.Store.List(ctx, g.process.Keys.MembersPrefix())
	if err != nil {
		return nil, err
	}
	live := make([]string, len(values))
	for i := range values {
		live[i] = g.process.Keys.Incarnation(values[i].Key)
	}
	return live, nil
}

// leaveHomes removes this gateway from the homes list, so that its keys get a new
// home without waiting for its lease to expire. It is called after Drain.
func (g *Gateway) leaveHomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, node.StoreCallTimeout)
	defer cancel()
	value, err := g.process.Store.Get(ctx, g.process.Keys.Homes())
	if err != nil || value.Revision == 0 {
		return
	}
	var current idempotency.Homes
	if json.Unmarshal(value.Data, &current) != nil {
		return
	}
	if next, listed := idempotency.WithoutSelf(current, g.process.Identity.Incarnation); listed {
		_ = g.writeHomes(ctx, next, value.Revision) // the expiry of the lease has the same effect later
	}
}
