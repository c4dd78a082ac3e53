package test

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

func zoneGroup() group {
	return group{name: "zone", options: options{gateways: 3, controllers: 3, pools: "orders=6,ledger=6,spare=3"}, cells: []cell{
		{"list-stale-drain", staleList},
		{"platform-down", platformDown},
		{"worker-leaves", leavingWorker},
		{"zone-lost-wave", lostZone},
		{"zone-lost-again", lostZone},
	}}
}

// staleList freezes the platform's worker list. It expects that requests reach a
// worker again after its maintenance, and that none are sent to a worker that is
// taken out of service.
func staleList(s *site, traffic *callers) {
	s.setPlatformFaults(standin.Faults{ListFrozen: true})
	s.maintainWorker("w001")
	executed := s.executedByTarget()["w001"]
	s.eventually(readyLimit, "the worker receives requests again", func() bool { return s.executedByTarget()["w001"] > executed })
	s.setPlatformFaults(standin.Faults{})
	traffic.waitCompleted(20)
}

// platformDown expects that requests complete and that no disruption starts while
// the platform is down.
func platformDown(s *site, traffic *callers) {
	s.setPlatformFaults(standin.Faults{PlatformDown: true})
	time.Sleep(4 * time.Second) // until reading the worker list has failed
	s.expectMaintenanceRefused("w002", time.Second)
	traffic.waitCompleted(20)
	s.setPlatformFaults(standin.Faults{})
	s.maintainWorker("w002")
}

// leavingWorker lets the platform withdraw a worker with notice and add another one.
// It expects that the new worker serves and that requests complete.
func leavingWorker(s *site, traffic *callers) {
	request := standin.WorkerActionRequest{Action: standin.RemoveWorker, GraceMS: 15_000, Selector: standin.Selector{Workers: []string{"w013"}}}
	if err := s.call("POST", s.address(platformPort)+standin.PathWorkerAction, request, nil); err != nil {
		s.t.Fatal(err)
	}
	s.waitState("w013", fleet.Leaving)
	replacement := infra.Worker{
		ID: target.WorkerID(s.workers), Pool: "spare", AvailabilityZone: "az1", Rack: "r09", Cores: 32, MemoryMB: 64 << 10, BootID: 1,
		Status: infra.WorkerLive, Address: s.address(firstTargetPort),
	}
	if err := s.call("POST", s.address(platformPort)+standin.PathAddWorkers, []infra.Worker{replacement}, nil); err != nil {
		s.t.Fatal(err)
	}
	s.waitState(replacement.ID, fleet.Serving)
	traffic.waitCompleted(20)
}

// lostZone stops the workers, the gateway and the controller of an availability
// zone during a wave. It expects that requests complete meanwhile, while the wave
// halts or waits, and that all workers serve after the zone is back and the wave has
// been aborted.
func lostZone(s *site, traffic *callers) {
	s.changeWave("start")
	s.eventually(waveLimit, "the wave has maintained a worker", func() bool { w := s.observer.fleet().Wave; return w != nil && w.Clean > 0 })
	lost := standin.Selector{AvailabilityZone: "az2"}
	s.triggerInitiative(standin.FailWorker, lost)
	s.gateways[1].kill()
	s.controllers[0].kill()
	s.waitZone("az2", fleet.Suspected, fleet.Failed, fleet.Rebooting, fleet.Returning, fleet.Leaving)
	traffic.waitCompleted(50)
	s.expectOutcome(s.gateways[0], s.newOrder("", 1), outcome.Completed)
	s.triggerInitiative(standin.RecoverWorker, lost)
	s.gateways[1].start()
	s.controllers[0].start()
	s.waitReady(s.gateways[1], s.controllers[0])
	s.waitZone("az2", fleet.Serving)
	if s.waveStatus() == fleet.WaveHalted {
		s.changeWave("resume")
	}
	s.changeWave("abort")
	s.eventually(waveLimit, "every worker serves", func() bool {
		for _, worker := range s.observer.fleet().Workers {
			if worker.State != fleet.Serving && worker.State != fleet.Leaving && worker.State != fleet.Suspected {
				return false
			}
		}
		return true
	})
}

func (s *site) waitZone(zone string, states ...fleet.State) {
	s.t.Helper()
	for _, worker := range s.observer.fleet().Workers {
		if worker.AvailabilityZone == zone {
			s.waitState(worker.ID, states...)
		}
	}
}

func pairGroup() group {
	return group{name: "pairs", options: options{controllers: 2}, cells: []cell{
		{"store-down-and-gateway-killed", gatewayReplacedWhileStoreDown},
		{"store-down-and-controller-killed", controllerKilledWhileStoreDown},
		{"answer-lost-and-controller-killed", func(s *site, _ *callers) {
			restore := s.loseStoreResponses(standin.Faults{})
			boot := s.bootID("w005")
			s.startOperation(fleet.OperationMaintain, "w005", "")
			m := s.activeController()
			m.kill()
			s.waitServing("w005", boot)
			restore()
			m.start()
			s.waitReady(m)
		}},
	}}
}

// gatewayReplacedWhileStoreDown restarts a gateway while the store is down. It
// expects that the new process gets configuration and fleet document from its peers,
// and that requests with keys issued by the old process end as unknown.
func gatewayReplacedWhileStoreDown(s *site, traffic *callers) {
	key := s.issueKey(s.gateways[1])
	s.setPlatformFaults(standin.Faults{StoreDown: true})
	s.gateways[1].kill()
	s.gateways[1].start()
	s.waitReady(s.gateways[1])
	s.expectOutcome(s.gateways[1], s.newOrder("", 1), outcome.Completed)
	s.waitOutcome(s.gateways[0], func() request { return s.newOrder(key, 1) }, outcome.Unknown, outcome.ReasonHomeLost)
	traffic.waitCompleted(20)
	s.setPlatformFaults(standin.Faults{})
	s.waitOutcome(s.gateways[1], func() request { return s.newOrder(newKey(), 1) }, outcome.Completed, "")
}

// controllerKilledWhileStoreDown kills the active controller during a drain while
// the store is down. It expects that the maintenance completes when both are back.
func controllerKilledWhileStoreDown(s *site, traffic *callers) {
	s.slowTarget("w001", 3000)
	boot := s.bootID("w001")
	s.startOperation(fleet.OperationMaintain, "w001", "")
	s.waitState("w001", fleet.Draining)
	m := s.activeController()
	s.setPlatformFaults(standin.Faults{StoreDown: true})
	m.kill()
	s.setTargetFaults("w001", target.Faults{})
	traffic.waitCompleted(20)
	s.setPlatformFaults(standin.Faults{})
	m.start()
	s.waitServing("w001", boot)
}
