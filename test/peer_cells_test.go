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
		{"controller-unheard", controllerUnheard},
		{"controller-unheard-again", controllerUnheard},
	}}
}

func silentPeerGroup() group {
	return group{name: "silent-peers", options: options{controllers: 1}, cells: []cell{
		{"peers-cut-both-ways", peersCut},
		{"gateways-unheard", gatewaysUnheard},
	}}
}

func (s *site) healPeers() {
	for _, m := range s.members() {
		m.peers.heal()
	}
}

// isolatedGateway expects that a gateway without store, platform and peers
// refuses requests as not run, while the other one goes on, and that it serves
// again afterwards.
func isolatedGateway(s *site, traffic *callers) {
	g := s.gateways[0]
	for _, m := range s.members() {
		m.peers.cut()
	}
	g.store.cut()
	g.platform.cut()
	s.becomes(g, func() request { return s.order("", 1) }, outcome.NotRun, outcome.ReasonIsolated)
	s.want(s.gateways[1], s.order("", 1), outcome.Completed)
	g.store.heal()
	g.platform.heal()
	s.healPeers()
	s.becomes(g, func() request { return s.order("", 1) }, outcome.Completed, "")
	traffic.progress(20)
}

// controllerUnheard cuts the path from the controller to the gateways. They
// follow the store, and the controller hears their acknowledgements.
func controllerUnheard(s *site, traffic *callers) {
	s.controllers[0].peers.swallow(answers)
	for _, g := range s.gateways {
		g.peers.swallow(requests)
	}
	time.Sleep(4 * time.Second) // peers become suspected
	s.maintain("w001")
	s.changeConfig(s.controllers[0])
	traffic.progress(20)
	s.healPeers()
}

// peersCut expects that a drain waits for gateways that the controller does not
// hear until they cannot send any more, and that a configuration reaches them
// through the store.
func peersCut(s *site, traffic *callers) {
	for _, m := range s.members() {
		m.peers.cut()
	}
	s.configByStore()
	s.maintain("w001")
	traffic.progress(20)
	s.healPeers()
	s.changeConfig(s.controllers[0])
}

// gatewaysUnheard cuts the path from the gateways to the controller.
func gatewaysUnheard(s *site, traffic *callers) {
	s.controllers[0].peers.swallow(requests)
	for _, g := range s.gateways {
		g.peers.swallow(answers)
	}
	s.configByStore()
	s.disrupt(fleet.OperationMove, "w009", "orders")
	s.eventually(waveLimit, "the move ends", func() bool {
		w := s.worker("w009")
		return w.Pool == "orders" && w.State == fleet.Serving
	})
	traffic.progress(20)
	s.healPeers()
	s.changeConfig(s.controllers[0])
}

// configByStore changes the configuration and expects it in force in every
// gateway, by their own logs, within the bound of the design page.
func (s *site) configByStore() {
	s.t.Helper()
	revision, err := s.applyConfig(s.controllers[0], s.config(s.controllers[0]), "operator")
	if err != nil {
		s.t.Fatal(err)
	}
	for _, g := range s.gateways {
		s.eventually(19*time.Second, g.name+" has the configuration in force", func() bool {
			return g.logged(fmt.Sprintf(`"event":300,"revision":%d,`, revision))
		})
	}
}
