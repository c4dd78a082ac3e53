package test

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
	"github.com/waxwingbridge/waxwingbridge/store"
)

func storeGroup() group {
	return group{name: "store", cells: []cell{
		{"store-down-drain", storeDownInDrain},
		{"store-down", storeDown},
		{"store-down-again", storeDown},
		{"store-slow", func(s *site, _ *callers) {
			s.setPlatformFaults(standin.Faults{StoreSlowMS: 300})
			s.runAllSteps()
			s.setPlatformFaults(standin.Faults{})
		}},
		{"answer-lost", func(s *site, _ *callers) {
			restore := s.loseStoreResponses(standin.Faults{})
			s.runAllSteps()
			restore()
		}},
	}}
}

// storeDownInDrain expects that no reboot follows a drain while the store is down,
// and that the maintenance completes once the store is back.
func storeDownInDrain(s *site, _ *callers) {
	s.slowTarget("w001", 3000)
	boot := s.bootID("w001")
	s.startOperation(fleet.OperationMaintain, "w001", "")
	s.waitState("w001", fleet.Draining)
	s.setPlatformFaults(standin.Faults{StoreDown: true})
	s.setTargetFaults("w001", target.Faults{})
	time.Sleep(6 * time.Second) // longer than the controller's lease
	if s.bootID("w001") != boot {
		s.t.Error("the worker was rebooted while the store was down")
	}
	s.setPlatformFaults(standin.Faults{})
	s.waitServing("w001", boot)
}

// storeDown expects that, while the store is down, requests without a key or with an
// issued key complete, while jobs, changes and UUIDv7 keys, which need a home, are
// refused as not run. Everything works again once the store is back.
func storeDown(s *site, traffic *callers) {
	m := s.activeController()
	s.setPlatformFaults(standin.Faults{StoreDown: true})
	traffic.waitCompleted(20)
	s.waitOutcome(s.gateways[0], func() request { return s.newOrder(newKey(), 1) }, outcome.NotRun, outcome.ReasonNoHome)
	s.expectOutcome(s.gateways[0], s.newOrder("", 1), outcome.Completed)
	issued := s.newOrder(s.issueKey(s.gateways[1]), 1)
	s.expectOutcome(s.gateways[0], issued, outcome.Completed)
	s.expectOutcome(s.gateways[1], issued, outcome.Completed)
	if result := s.submitJob(s.gateways[0], s.newJob("run:10ms")); result.Outcome != outcome.NotRun.String() {
		s.t.Errorf("a job submission while the store was down ended as %s, want not-run", result.Outcome)
	}
	if _, err := s.applyConfig(m, s.config(m), "operator"); statusOf(err) != http.StatusServiceUnavailable {
		s.t.Errorf("a configuration change while the store was down: %v, want status 503", err)
	}
	s.expectMaintenanceRefused("w002", time.Second)
	traffic.waitCompleted(20)
	s.setPlatformFaults(standin.Faults{})
	s.waitOutcome(s.gateways[0], func() request { return s.newOrder(newKey(), 1) }, outcome.Completed, "")
	s.submitUntilAccepted(s.newJob("run:10ms"))
	s.changeConfig(m)
}

// loseStoreResponses makes the store lose the responses of two writes in every
// second, in addition to the given faults, until the returned function is called.
func (s *site) loseStoreResponses(faults standin.Faults) (restore func()) {
	faults.StoreLoseNextAnswers = 2
	ctx, cancel := context.WithCancel(s.t.Context())
	var work sync.WaitGroup
	work.Go(func() {
		for ctx.Err() == nil {
			_ = s.call(http.MethodPut, s.address(platformPort)+standin.PathFaults, faults, nil) // repeated in the next round
			_ = store.Sleep(ctx, time.Second)                                                   // ends with the context
		}
	})
	return func() {
		cancel()
		work.Wait()
		s.setPlatformFaults(standin.Faults{})
	}
}

// runAllSteps performs a job, a maintenance, a configuration change and two moves,
// under faults that only delay them.
func (s *site) runAllSteps() {
	job := s.newJob("run:500ms")
	s.submitUntilAccepted(job)
	s.maintainWorker("w001")
	s.changeConfig(s.activeController())
	s.waitJobState(job, "done")
	s.startOperation(fleet.OperationMove, "w009", "ledger")
	s.eventually(waveLimit, "the move ends", func() bool {
		w := s.workerRow("w009")
		return w.Pool == "ledger" && w.State == fleet.Serving
	})
	s.startOperation(fleet.OperationMove, "w009", "spare")
	s.waitState("w009", fleet.Draining, fleet.Drained, fleet.Returning)
	s.waitState("w009", fleet.Serving)
}
