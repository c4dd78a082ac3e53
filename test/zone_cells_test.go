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

// staleList expects that a list that stops changing neither keeps requests away
// from a worker that returned nor sends them to one that leaves.
func staleList(s *site, traffic *callers) {
	s.faults(standin.Faults{ListFrozen: true})
	s.maintain("w001")
	executed := s.executed()["w001"]
	s.eventually(readyLimit, "the worker receives requests again", func() bool { return s.executed()["w001"] > executed })
	s.faults(standin.Faults{})
	traffic.progress(20)
}

// platformDown expects that requests go on and that no disruption starts.
func platformDown(s *site, traffic *callers) {
	s.faults(standin.Faults{PlatformDown: true})
	time.Sleep(4 * time.Second) // the list has failed
	s.refused("w002", time.Second)
	traffic.progress(20)
	s.faults(standin.Faults{})
	s.maintain("w002")
}

// leavingWorker lets the platform take a worker away with notice.
func leavingWorker(s *site, traffic *callers) {
	request := standin.WorkerActionRequest{Action: standin.RemoveWorker, GraceMS: 15_000, Selector: standin.Selector{Workers: []string{"w013"}}}
	if err := s.call("POST", s.at(platformPort)+standin.PathWorkerAction, request, nil); err != nil {
		s.t.Fatal(err)
	}
	s.waitState("w013", fleet.Leaving)
	replacement := infra.Worker{
		ID: target.WorkerID(s.workers), Pool: "spare", AvailabilityZone: "az1", Rack: "r09", Cores: 32, MemoryMB: 64 << 10, BootID: 1,
		Status: infra.WorkerLive, Address: s.at(firstTargetPort),
	}
	if err := s.call("POST", s.at(platformPort)+standin.PathAddWorkers, []infra.Worker{replacement}, nil); err != nil {
		s.t.Fatal(err)
	}
	s.waitState(replacement.ID, fleet.Serving)
	traffic.progress(20)
}

// lostZone stops a zone's workers, gateway and controller during a wave. It
// expects that the wave halts or waits, that requests go on, and that the wave
// ends after the zone is back.
func lostZone(s *site, traffic *callers) {
	s.wave("start")
	s.eventually(waveLimit, "the wave has begun", func() bool { w := s.watch.fleet().Wave; return w != nil && w.Clean > 0 })
	lost := standin.Selector{AvailabilityZone: "az2"}
	s.initiative(standin.FailWorker, lost)
	s.gateways[1].kill()
	s.controllers[0].kill()
	s.waitZone("az2", fleet.Suspected, fleet.Failed, fleet.Rebooting, fleet.Returning, fleet.Leaving)
	traffic.progress(50)
	s.want(s.gateways[0], s.order("", 1), outcome.Completed)
	s.initiative(standin.RecoverWorker, lost)
	s.gateways[1].start()
	s.controllers[0].start()
	s.waitReady(s.gateways[1], s.controllers[0])
	s.waitZone("az2", fleet.Serving)
	if s.waveStatus() == fleet.WaveHalted {
		s.wave("resume")
	}
	s.wave("abort")
	s.eventually(waveLimit, "every worker serves", func() bool {
		for _, worker := range s.watch.fleet().Workers {
			if worker.State != fleet.Serving && worker.State != fleet.Leaving && worker.State != fleet.Suspected {
				return false
			}
		}
		return true
	})
}

func (s *site) waitZone(zone string, states ...fleet.State) {
	s.t.Helper()
	for _, worker := range s.watch.fleet().Workers {
		if worker.AvailabilityZone == zone {
			s.waitState(worker.ID, states...)
		}
	}
}

func pairGroup() group {
	return group{name: "pairs", options: options{controllers: 2}, cells: []cell{
		{"store-down-and-gateway-killed", storeAndGateway},
		{"store-down-and-controller-killed", storeAndController},
		{"answer-lost-and-controller-killed", func(s *site, _ *callers) {
			end := s.loseAnswers(standin.Faults{})
			boot := s.bootID("w005")
			s.disrupt(fleet.OperationMaintain, "w005", "")
			m := s.active()
			m.kill()
			s.serving("w005", boot)
			end()
			m.start()
			s.waitReady(m)
		}},
	}}
}

// storeAndGateway replaces a gateway while the store is down. The new one gets
// configuration and fleet from its peers; keys of the old one end as unknown.
func storeAndGateway(s *site, traffic *callers) {
	key := s.issueKey(s.gateways[1])
	s.faults(standin.Faults{StoreDown: true})
	s.gateways[1].kill()
	s.gateways[1].start()
	s.waitReady(s.gateways[1])
	s.want(s.gateways[1], s.order("", 1), outcome.Completed)
	s.becomes(s.gateways[0], func() request { return s.order(key, 1) }, outcome.Unknown, outcome.ReasonHomeLost)
	traffic.progress(20)
	s.faults(standin.Faults{})
	s.becomes(s.gateways[1], func() request { return s.order(newKey(), 1) }, outcome.Completed, "")
}

// storeAndController kills the active controller in a drain while the store is
// down, and brings both back.
func storeAndController(s *site, traffic *callers) {
	s.slow("w001", 3000)
	boot := s.bootID("w001")
	s.disrupt(fleet.OperationMaintain, "w001", "")
	s.waitState("w001", fleet.Draining)
	m := s.active()
	s.faults(standin.Faults{StoreDown: true})
	m.kill()
	s.targetFaults("w001", target.Faults{})
	traffic.progress(20)
	s.faults(standin.Faults{})
	m.start()
	s.serving("w001", boot)
}
