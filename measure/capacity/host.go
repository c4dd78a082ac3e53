package main

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/exchange"
	"github.com/waxwingbridge/waxwingbridge/gateway/control"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
)

// step is one recorded tick of a process.
type step[E any] struct {
	at     time.Time
	events []E
}

// host runs the control systems of one process in a simulated site and records its
// ticks. Replaying them on a new state costs what the process costs.
type host[S, E any] struct {
	identity      node.Identity
	state         *S
	program       engine.Program[S, E]
	pendingEvents []E
	nextDeadline  time.Time
	trace         []step[E]
	traffic       exchangeTraffic
}

// exchangeTraffic counts the bytes of the peer exchange and keeps the messages of
// the measured period.
type exchangeTraffic struct {
	sent, received                 int
	sentMessages, receivedMessages []membership.Message
}

// tick runs the systems when an event has arrived or the deadline has passed, like
// engine.Loop.
func (h *host[S, E]) tick(now time.Time) {
	if len(h.pendingEvents) == 0 && now.Before(h.nextDeadline) {
		return
	}
	events := h.pendingEvents
	h.pendingEvents = nil
	h.trace = append(h.trace, step[E]{now, events})
	h.program.Step(h.state, engine.Tick{Now: now, Seq: uint64(len(h.trace))}, events...)
	h.nextDeadline = h.program.NextDeadline(h.state)
}

func (h *host[S, E]) post(event E) { h.pendingEvents = append(h.pendingEvents, event) }

func (h *host[S, E]) self() node.Identity { return h.identity }

func (h *host[S, E]) peerTraffic() *exchangeTraffic { return &h.traffic }

// process is a gatewayHost or a controllerHost.
type process interface {
	tick(now time.Time)
	self() node.Identity
	peerTraffic() *exchangeTraffic
	observe(event node.Event)
	receive(message membership.Received)
	receiveDocument(fetch membership.Fetch, document node.Event)
}

type gatewayHost struct {
	host[control.State, control.Event]
}

func (g *gatewayHost) observe(event node.Event) { g.post(control.Observed{Event: event}) }

func (g *gatewayHost) receive(message membership.Received) {
	g.post(control.PeerMessage{Received: message})
}

func (g *gatewayHost) receiveDocument(fetch membership.Fetch, document node.Event) {
	g.post(control.PeerFetched{Kind: fetch.Kind, Peer: fetch.Peer, Document: document})
}

type controllerHost struct {
	host[controller.State, controller.Event]
}

func (c *controllerHost) observe(event node.Event) { c.post(controller.Observed{Event: event}) }

func (c *controllerHost) receive(message membership.Received) {
	c.post(controller.PeerMessage{Received: message})
}

func (c *controllerHost) receiveDocument(fetch membership.Fetch, document node.Event) {
	c.post(controller.PeerFetched{Fetched: exchange.Fetched{Kind: fetch.Kind, Peer: fetch.Peer}, Document: document})
}

const siteName = "capacity"

func newGatewayState(identity node.Identity, seed string) *control.State {
	return control.NewState(node.NewView(siteName, identity), newMembership(identity, seed))
}

func newControllerState(identity node.Identity, seed string) *controller.State {
	return controller.NewState(node.NewView(siteName, identity), newMembership(identity, seed))
}

func newMembership(identity node.Identity, seed string) *membership.State {
	return membership.New(membership.Options{
		Self: identity.Member(), Seeds: []string{seed},
		Documents: []membership.DocumentKind{membership.DocumentConfig, membership.DocumentFleet, membership.DocumentHomes},
	})
}
