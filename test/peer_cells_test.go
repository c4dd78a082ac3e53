package test

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/outcome"
)

func peerGroup() group {
	return group{name: "peers", options: options{controllers: 1}, cells: []cell{
		{"gateway-isolated", isolatedGateway},
		{"controller-unheard", controllerToGatewaysCut},
		{"controller-unheard-again", controllerToGatewaysCut},
	}}
}

func silentPeerGroup() group {
	return group{name: "silent-peers", options: options{controllers: 1}, cells: []cell{
		{"peers-cut-both-ways", peersCut},
		{"gateways-unheard", gatewaysToControllerCut},
	}}
}

func (s *site) healPeers() {
	for _, m := range s.members() {
		m.peers.heal()
	}
}

// isolatedGateway expects that a gateway cut off from store, platform and peers
// refuses requests as not run while the other one continues to serve, and that it
// serves again when the connections are back.
func isolatedGateway(s *site, traffic *callers) {
	g := s.gateways[0]
	for _, m := range s.members() {
		m.peers.cut()
	}
	g.store.cut()
	g.platform.cut()
	s.waitOutcome(g, func() request { return s.newOrder("", 1) }, outcome.NotRun, outcome.ReasonIsolated)
	s.expectOutcome(s.gateways[1], s.newOrder("", 1), outcome.Completed)
	g.store.heal()
	g.platform.heal()
	s.healPeers()
	s.waitOutcome(g, func() request { return s.newOrder("", 1) }, outcome.Completed, "")
	traffic.waitCompleted(20)
}

// controllerToGatewaysCut drops messages from the controller to the gateways. It
// expects that the gateways read changes from the store instead, and that their
// acknowledgements still reach the controller.
func controllerToGatewaysCut(s *site, traffic *callers) {
	s.controllers[0].peers.dropData(responses)
	for _, g := range s.gateways {
		g.peers.dropData(requests)
	}
	time.Sleep(4 * time.Second) // until peers become suspected
	s.maintainWorker("w001")
	s.changeConfig(s.controllers[0])
	traffic.waitCompleted(20)
	s.healPeers()
}

// peersCut closes all peer connections. It expects that a drain waits until the
// gateways, which the controller cannot reach, may no longer send to the worker, and
// that a configuration reaches them through the store.
func peersCut(s *site, traffic *callers) {
	for _, m := range s.members() {
		m.peers.cut()
	}
	s.changeConfigThroughStore()
	s.maintainWorker("w001")
	traffic.waitCompleted(20)
	s.healPeers()
	s.changeConfig(s.controllers[0])
}

// gatewaysToControllerCut drops messages from the gateways to the controller and
// expects that a configuration change and a move complete.
func gatewaysToControllerCut(s *site, traffic *callers) {
	s.controllers[0].peers.dropData(requests)
	for _, g := range s.gateways {
		g.peers.dropData(responses)
	}
	s.changeConfigThroughStore()
	s.startOperation(fleet.OperationMove, "w009", "orders")
	s.eventually(waveLimit, "the move ends", func() bool {
		w := s.workerRow("w009")
		return w.Pool == "orders" && w.State == fleet.Serving
	})
	traffic.waitCompleted(20)
	s.healPeers()
	s.changeConfig(s.controllers[0])
}

// changeConfigThroughStore changes the configuration and expects that the log of
// every gateway reports it in force within the bound that docs/design.md sets.
func (s *site) changeConfigThroughStore() {
	s.t.Helper()
	revision, err := s.applyConfig(s.controllers[0], s.config(s.controllers[0]), "operator")
	if err != nil {
		s.t.Fatal(err)
	}
	for _, g := range s.gateways {
		s.eventually(19*time.Second, g.name+" has the configuration in force", func() bool {
			return g.hasLogged(fmt.Sprintf(`"event":300,"revision":%d,`, revision))
		})
	}
}
