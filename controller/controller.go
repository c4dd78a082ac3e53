package controller

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/exchange"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

// inboxSize bounds the queue of events for the control loop.
const inboxSize = 4096

// Settings are the flags of a controller.
type Settings struct {
	settings.Process
	ListenOperators settings.Address `default:"127.0.0.1:0" help:"ip:port for operators."`
}

// published is the part of the control state that I/O goroutines may read. The
// control loop replaces it after a tick.
type published struct {
	active        bool
	leader        node.Identity
	unreadyReason string // empty if the process is ready
}

// Controller is a running controller process.
type Controller struct {
	process   *node.Process
	loop      *engine.Loop[State, Event]
	performer *performer
	exchange  *exchange.Exchange
	reporter  reporter
	published atomic.Pointer[published]
	stopped   chan struct{}
	stopOnce  sync.Once
}

// New prepares a controller. It opens its listeners, but makes no call before
// Start.
func New(s *Settings, log *events.Logger, incarnation string) (*Controller, error) {
	process, err := node.NewProcess(node.Options{
		Role: node.RoleController, Settings: &s.Process, Listen: s.ListenOperators, Log: log, Incarnation: incarnation,
	})
	if err != nil {
		return nil, err
	}
	c := &Controller{process: process, stopped: make(chan struct{}), reporter: reporter{scope: process.Metrics.Scope}}
	c.published.Store(&published{unreadyReason: "starting"})
	state := NewState(node.NewView(string(s.Site), process.Identity), membership.New(membership.Options{
		Self: process.Identity.Member(), Seeds: settings.AddressStrings(s.Peers),
		Documents: []membership.DocumentKind{membership.DocumentConfig, membership.DocumentFleet},
	}))
	c.loop = engine.NewLoop(Program(c.flush), state, inboxSize)
	c.performer = &performer{
		ctx: process.Context(), post: c.loop.Post, store: process.Store, platform: process.Platform,
		keys: process.Keys, self: process.Identity, scope: process.Metrics.Scope,
	}
	c.exchange = exchange.New(process.PeerListener, exchange.Options{Post: c.postExchange, Jobs: c, Log: log})
	return c, nil
}

// Start starts the control loop, the servers and the background reads, which run
// until Stop.
func (c *Controller) Start() error {
	if err := c.exchange.Start(); err != nil {
		return err
	}
	c.process.Go(c.loop.Run)
	c.process.Start(func(ctx context.Context, event node.Event) error { return c.loop.Post(ctx, Observed{event}) })
	c.process.Serve(c.process.PublicListener, node.NewServer(c.operatorHandler()))
	c.process.ServeAdmin(func() string { return c.published.Load().unreadyReason })
	c.process.Log.Log(events.ProcessStarted, events.F("operators", c.OperatorAddress()), events.F("peers", c.process.Identity.PeerAddress),
		events.F("admin", c.process.AdminListener.Addr().String()))
	return nil
}

// OperatorAddress returns the ip:port for operators.
func (c *Controller) OperatorAddress() string { return c.process.Identity.PublicAddress }

// PeerAddress returns the ip:port for peers.
func (c *Controller) PeerAddress() string { return c.process.Identity.PeerAddress }

// AdminAddress returns the ip:port for health and metrics.
func (c *Controller) AdminAddress() string { return c.process.AdminListener.Addr().String() }

// Stop ends the controller. Operations in progress are continued by the next
// active controller.
func (c *Controller) Stop(ctx context.Context) {
	c.process.Log.Log(events.ProcessStopping)
	c.stopOnce.Do(func() { close(c.stopped) })
	_ = c.exchange.Close(ctx) // calls still in flight at the deadline are cut off
	c.process.Stop(ctx)
	c.performer.running.Wait()
	c.process.Log.Log(events.ProcessStopped)
}

// postExchange passes an event of the peer exchange to the control loop. It
// returns false if the inbox is full.
func (c *Controller) postExchange(event exchange.Event) bool {
	if event.Received != nil {
		return c.loop.TryPost(PeerMessage{*event.Received})
	}
	return c.loop.TryPost(PeerFetched{Fetched: *event.Fetched, Document: node.DecodeFetched(c.process.Keys, event.Fetched)})
}

// flush dispatches the effects of a tick and publishes the state that I/O
// goroutines may read.
func (c *Controller) flush(s *State, tick engine.Tick) {
	c.performer.flush(s)
	c.reporter.report(s, tick)
	node.PublishDocuments(s.View, c.exchange)
	c.exchange.Flush(s.Peers)
	s.View.Logs.Drain(c.process.Log.Write)
	next := published{active: s.Active(), leader: s.View.Leader.Identity, unreadyReason: unreadyReason(s)}
	if next != *c.published.Load() {
		if next.unreadyReason == "" && c.published.Load().unreadyReason != "" {
			c.process.Log.Log(events.ProcessReady)
		}
		c.published.Store(&next)
	}
}

func unreadyReason(s *State) string {
	if s.View.Config == nil {
		return "no configuration"
	}
	return ""
}
