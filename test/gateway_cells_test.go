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
		{"gateway-killed-request", killedWithRequests},
		{"gateway-replaced", func(s *site, traffic *callers) {
			s.gateways[0].start()
			s.waitReady(s.gateways[0])
			s.maintain("w001")
			s.becomes(s.gateways[0], func() request { return s.order(newKey(), 1) }, outcome.Completed, "")
			traffic.progress(30)
		}},
		{"gateway-killed-again", func(s *site, traffic *callers) {
			killedWithRequests(s, traffic)
			s.gateways[0].start()
			s.waitReady(s.gateways[0])
		}},
		{"gateway-stopped-request", stoppedWithRequests},
		{"gateway-paused-drain", pausedGateway},
	}}
}

// inFlight sends slow keyed orders through the gateway and returns a function
// that waits for their ends.
func (s *site) inFlight(g *member, number int) (ends func() []answer, orders []request) {
	answers := make([]answer, number)
	var work sync.WaitGroup
	for i := range answers {
		order := s.order(newKey(), 1500)
		orders = append(orders, order)
		work.Go(func() { answers[i] = s.send(http.DefaultClient, g, order) })
	}
	time.Sleep(500 * time.Millisecond) // the orders reach their targets
	return func() []answer { work.Wait(); return answers }, orders
}

// killedWithRequests expects that callers who repeat their keyed orders at
// another gateway get an outcome from the old or the new home of each key, and
// that no order runs twice.
func killedWithRequests(s *site, traffic *callers) {
	ends, orders := s.inFlight(s.gateways[0], 6)
	s.gateways[0].kill()
	ends()
	for _, order := range orders {
		s.eventually(readyLimit, "a home answers for the order", func() bool {
			got := s.send(http.DefaultClient, s.gateways[1], order).Outcome
			return got.Kind == outcome.Completed || (got.Kind == outcome.Unknown && got.Reason != outcome.ReasonHomeNoAnswer)
		})
	}
	traffic.progress(30)
}

// stoppedWithRequests expects that a graceful shutdown finishes the requests in
// flight, also while the store is reachable by others only.
func stoppedWithRequests(s *site, _ *callers) {
	ends, _ := s.inFlight(s.gateways[2], 6)
	if status := s.gateways[2].terminate(); status != 0 {
		s.t.Errorf("exit status %d", status)
	}
	for _, end := range ends() {
		if end.Outcome.Kind == outcome.Unknown && end.Outcome.Reason != outcome.ReasonBeforeTakeover {
			s.t.Errorf("a request in flight ended as unknown (%s)", end.Outcome.Reason)
		}
	}
	s.gateways[2].start()
	s.waitReady(s.gateways[2])
}

// pausedGateway expects that a drain waits until a paused gateway has lost its
// right to send, and that the gateway sends nothing to the worker when it goes on.
func pausedGateway(s *site, traffic *callers) {
	boot := s.bootID("w002")
	s.gateways[1].pause()
	s.disrupt(fleet.OperationMaintain, "w002", "")
	s.waitState("w002", fleet.Draining)
	time.Sleep(7 * time.Second) // longer than the right to send
	s.gateways[1].resume()
	s.serving("w002", boot)
	traffic.progress(30)
}

func lostGatewayGroup() group {
	return group{name: "lost-gateway", options: options{gateways: 2, controllers: 1}, cells: []cell{
		{"gateway-killed-drain", func(s *site, _ *callers) {
			s.slow("w001", 2000)
			boot := s.bootID("w001")
			s.disrupt(fleet.OperationMaintain, "w001", "")
			s.gateways[1].kill()
			s.serving("w001", boot)
		}},
		{"entry-replaced-during-wave", func(s *site, traffic *callers) {
			s.wave("start")
			for _, g := range s.gateways {
				if g.running() {
					g.terminate()
				}
				g.start()
				s.waitReady(g)
			}
			s.eventually(waveLimit, "the wave is done", func() bool { return s.waveStatus() == fleet.WaveDone })
			traffic.progress(30)
		}},
	}}
}
