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

// controlInboxSize bounds the events that wait for the control loop.
const controlInboxSize = 4096

// Settings are the flags of a gateway.
type Settings struct {
	settings.Process
	ListenCallers settings.Address       `default:"127.0.0.1:0" help:"ip:port for callers."`
	TrafficShards settings.TrafficShards `default:"2" help:"Traffic goroutines, 1 to 64."`
}

// published is what I/O goroutines may know of the control state.
type published struct {
	notReady         string
	activeController string // peer address, empty if unknown
}

// Gateway is a running gateway process.
type Gateway struct {
	process   *node.Process
	loop      *engine.Loop[control.State, control.Event]
	traffic   *Proxy
	exchange  *exchange.Exchange
	published atomic.Pointer[published]
	stopping  atomic.Bool
}

// New prepares a gateway. It contacts nobody before Start.
func New(s *Settings, log *events.Logger, incarnation string) (*Gateway, error) {
	process, err := node.NewProcess(node.Options{
		Role: node.RoleGateway, Settings: &s.Process, Listen: s.ListenCallers, Log: log, Incarnation: incarnation,
	})
	if err != nil {
		return nil, err
	}
	g := &Gateway{process: process}
	g.published.Store(&published{notReady: "starting"})
	state := control.NewState(node.NewView(string(s.Site), process.Identity), membership.New(membership.Options{
		Self: process.Identity.Member(), Seeds: settings.AddressStrings(s.Peers),
		Documents: []membership.DocumentKind{membership.DocumentConfig, membership.DocumentFleet, membership.DocumentHomes},
	}))
	g.loop = engine.NewLoop(control.Program(g.flush), state, controlInboxSize)
	g.exchange = exchange.New(process.PeerListener, exchange.Options{Post: g.postExchange, Keyed: keyedHandler{g}, Log: log})
	g.traffic = NewProxy(ProxyConfig{
		Incarnation: process.Identity.Incarnation, Shards: int(s.TrafficShards), Seed: uint64(time.Now().UnixNano()),
		Logger: log, Metrics: process.Metrics.Scope, Report: g.report, Forwarder: keyForwarder{g.exchange},
	})
	return g, nil
}

// Start runs the gateway until Stop.
func (g *Gateway) Start() error {
	if err := g.exchange.Start(); err != nil {
		return err
	}
	g.traffic.Start()
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

// Stop refuses new requests, finishes those in flight, gives up the homes of
// keys and ends the process.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopping.Store(true)
	g.process.Log.Log(events.ProcessStopping)
	if err := g.traffic.Drain(ctx); err != nil {
		g.process.Log.Log(events.ShutdownTimeout, events.Err(err))
	}
	g.leaveHomes(ctx)
	_ = g.exchange.Close(ctx) // calls in flight had their time
	g.process.Stop(ctx)
	g.traffic.Stop()
	g.process.Log.Log(events.ProcessStopped)
}

// notReady is what the balancer sees. A stopping gateway leaves the balancer
// before its listener closes.
func (g *Gateway) notReady() string {
	if g.stopping.Load() {
		return "stopping"
	}
	return g.published.Load().notReady
}

func (g *Gateway) callerHandler() http.Handler {
	mux := http.NewServeMux()
	jobs := g.jobHandler()
	mux.Handle("/v1/jobs", jobs)
	mux.Handle("/v1/jobs/", jobs)
	mux.Handle("/", g.traffic.Handler())
	return mux
}

// report hands demand and refusals of a shard to control. A lost report is
// followed by the next change.
func (g *Gateway) report(report traffic.Report) {
	g.loop.TryPost(control.TrafficReported{Report: report})
}

func (g *Gateway) postExchange(event exchange.Event) bool {
	if event.Received != nil {
		return g.loop.TryPost(control.PeerMessage{Received: *event.Received})
	}
	return g.loop.TryPost(control.PeerFetched{
		Kind: event.Fetched.Kind, Peer: event.Fetched.Peer, Document: node.DecodeFetched(g.process.Keys, event.Fetched),
	})
}

// flush hands out the effects of a control tick.
func (g *Gateway) flush(s *control.State, _ engine.Tick) {
	s.Outbound.Snapshots.Drain(g.traffic.Publish)
	s.Outbound.Homes.Drain(func(e control.UpdateHomes) { g.process.Go(func(ctx context.Context) { g.updateHomes(ctx, e) }) })
	node.PublishDocuments(s.View, g.exchange)
	g.exchange.Flush(s.Peers)
	s.View.Logs.Drain(g.process.Log.Write)
	next := published{notReady: s.NotReadyReason(), activeController: activeController(s)}
	if previous := g.published.Load(); next != *previous {
		if next.notReady == "" && previous.notReady != "" {
			g.process.Log.Log(events.ProcessReady)
		}
		g.published.Store(&next)
	}
}

// activeController prefers what peers say, which also holds while the store is down.
func activeController(s *control.State) string {
	if _, peer := s.Peers.ActiveController(); peer != nil {
		return peer.Address
	}
	if s.View.Leader.Revision != 0 {
		return s.View.Leader.Identity.PeerAddress
	}
	return ""
}

// updateHomes performs UpdateHomes.
func (g *Gateway) updateHomes(ctx context.Context, e control.UpdateHomes) {
	ctx, cancel := context.WithTimeout(ctx, 2*node.StoreCallTimeout)
	defer cancel()
	homes, err := g.nextHomes(ctx)
	_ = g.loop.Post(g.process.Context(), control.HomesUpdated{Lease: e.Lease, Homes: homes, Err: err})
}

// nextHomes reads the list, then the live processes, and writes the successor.
func (g *Gateway) nextHomes(ctx context.Context) (*idempotency.Homes, error) {
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

// leaveHomes takes this gateway off the list, so that its keys get a new home
// before its lease would have lapsed. It is called after the last request ended.
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
		_ = g.writeHomes(ctx, next, value.Revision) // the lapse of the lease has the same effect later
	}
}
