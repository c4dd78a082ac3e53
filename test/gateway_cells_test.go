package test

import (
	"net/http"
	"sync"
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/outcome"
)

func gatewayGroup() group {
	return group{name: "gateway", options: options{gateways: 3, controllers: 1}, cells: []cell{
		{"gateway-killed-request", gatewayKilledWithRequests},
		{"gateway-replaced", func(s *site, traffic *callers) {
			s.gateways[0].start()
			s.waitReady(s.gateways[0])
			s.maintainWorker("w001")
			s.waitOutcome(s.gateways[0], func() request { return s.newOrder(newKey(), 1) }, outcome.Completed, "")
			traffic.waitCompleted(30)
		}},
		{"gateway-killed-again", func(s *site, traffic *callers) {
			gatewayKilledWithRequests(s, traffic)
			s.gateways[0].start()
			s.waitReady(s.gateways[0])
		}},
		{"gateway-stopped-request", gatewayStoppedWithRequests},
		{"gateway-paused-drain", gatewayPausedInDrain},
	}}
}

// startSlowOrders sends slow requests with idempotency keys through the gateway and
// returns a function that waits for their results.
func (s *site) startSlowOrders(g *member, number int) (results func() []callResult, orders []request) {
	finished := make([]callResult, number)
	var work sync.WaitGroup
	for i := range finished {
		order := s.newOrder(newKey(), 1500)
		orders = append(orders, order)
		work.Go(func() { finished[i] = s.send(http.DefaultClient, g, order) })
	}
	time.Sleep(500 * time.Millisecond) // the requests reach their targets
	return func() []callResult { work.Wait(); return finished }, orders
}

// gatewayKilledWithRequests kills a gateway that has requests in flight. It expects
// that callers who repeat their requests at another gateway get an outcome from the
// old or the new home of each key, and that no request is executed twice.
func gatewayKilledWithRequests(s *site, traffic *callers) {
	results, orders := s.startSlowOrders(s.gateways[0], 6)
	s.gateways[0].kill()
	results()
	for _, order := range orders {
		s.eventually(readyLimit, "the old or new home of the key returns an outcome", func() bool {
			got := s.send(http.DefaultClient, s.gateways[1], order).Outcome
			return got.Kind == outcome.Completed || (got.Kind == outcome.Unknown && got.Reason != outcome.ReasonHomeNoAnswer)
		})
	}
	traffic.waitCompleted(30)
}

// gatewayStoppedWithRequests expects that a graceful shutdown finishes the requests
// in flight and exits with status 0.
func gatewayStoppedWithRequests(s *site, _ *callers) {
	results, _ := s.startSlowOrders(s.gateways[2], 6)
	if status := s.gateways[2].terminate(); status != 0 {
		s.t.Errorf("graceful shutdown with requests in flight: exit status %d", status)
	}
	for _, result := range results() {
		if result.Outcome.Kind == outcome.Unknown && result.Outcome.Reason != outcome.ReasonBeforeTakeover {
			s.t.Errorf("a request in flight ended as unknown (%s)", result.Outcome.Reason)
		}
	}
	s.gateways[2].start()
	s.waitReady(s.gateways[2])
}

// gatewayPausedInDrain expects that a drain waits until the fleet view of a paused
// gateway has expired, so that it may not send requests any more, and that the
// gateway sends nothing to the worker after it resumes.
func gatewayPausedInDrain(s *site, traffic *callers) {
	boot := s.bootID("w002")
	s.gateways[1].pause()
	s.startOperation(fleet.OperationMaintain, "w002", "")
	s.waitState("w002", fleet.Draining)
	time.Sleep(7 * time.Second) // longer than membership.FleetViewTTL
	s.gateways[1].resume()
	s.waitServing("w002", boot)
	traffic.waitCompleted(30)
}

func lostGatewayGroup() group {
	return group{name: "lost-gateway", options: options{gateways: 2, controllers: 1}, cells: []cell{
		{"gateway-killed-drain", func(s *site, _ *callers) {
			s.slowTarget("w001", 2000)
			boot := s.bootID("w001")
			s.startOperation(fleet.OperationMaintain, "w001", "")
			s.gateways[1].kill()
			s.waitServing("w001", boot)
		}},
		{"entry-replaced-during-wave", func(s *site, traffic *callers) {
			s.changeWave("start")
			for _, g := range s.gateways {
				if g.running() {
					g.terminate()
				}
				g.start()
				s.waitReady(g)
			}
			s.eventually(waveLimit, "the wave is done", func() bool { return s.waveStatus() == fleet.WaveDone })
			traffic.waitCompleted(30)
		}},
	}}
}
