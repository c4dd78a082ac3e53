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
			s.faults(standin.Faults{StoreSlowMS: 300})
			s.allSteps()
			s.faults(standin.Faults{})
		}},
		{"answer-lost", func(s *site, _ *callers) {
			end := s.loseAnswers(standin.Faults{})
			s.allSteps()
			end()
		}},
	}}
}

// storeDownInDrain expects that a drain whose store goes down does not reach a
// reboot, and that the maintenance ends once the store is back.
func storeDownInDrain(s *site, _ *callers) {
	s.slow("w001", 3000)
	boot := s.bootID("w001")
	s.disrupt(fleet.OperationMaintain, "w001", "")
	s.waitState("w001", fleet.Draining)
	s.faults(standin.Faults{StoreDown: true})
	s.targetFaults("w001", target.Faults{})
	time.Sleep(6 * time.Second) // longer than the controller's lease
	if s.bootID("w001") != boot {
		s.t.Error("the worker was rebooted without a store")
	}
	s.faults(standin.Faults{})
	s.serving("w001", boot)
}

// storeDown expects that requests and issued keys go on, that jobs, changes and
// keys that need a home are refused as not run, and that everything works again
// once the store is back.
func storeDown(s *site, traffic *callers) {
	m := s.active()
	s.faults(standin.Faults{StoreDown: true})
	traffic.progress(20)
	s.becomes(s.gateways[0], func() request { return s.order(newKey(), 1) }, outcome.NotRun, outcome.ReasonNoHome)
	s.want(s.gateways[0], s.order("", 1), outcome.Completed)
	issued := s.order(s.issueKey(s.gateways[1]), 1)
	s.want(s.gateways[0], issued, outcome.Completed)
	s.want(s.gateways[1], issued, outcome.Completed)
	if answer := s.submitJob(s.gateways[0], s.newJob("run:10ms")); answer.Outcome != outcome.NotRun.String() {
		s.t.Errorf("a job submission without a store ended as %s", answer.Outcome)
	}
	if _, err := s.applyConfig(m, s.config(m), "operator"); statusOf(err) != http.StatusServiceUnavailable {
		s.t.Errorf("a configuration change without a store: %v", err)
	}
	s.refused("w002", time.Second)
	traffic.progress(20)
	s.faults(standin.Faults{})
	s.becomes(s.gateways[0], func() request { return s.order(newKey(), 1) }, outcome.Completed, "")
	s.accept(s.newJob("run:10ms"))
	s.changeConfig(m)
}

// loseAnswers lets the store lose the answers of two writes in every second,
// besides other faults, until the returned function is called.
func (s *site) loseAnswers(faults standin.Faults) (end func()) {
	faults.StoreLoseNextAnswers = 2
	ctx, cancel := context.WithCancel(s.t.Context())
	var work sync.WaitGroup
	work.Go(func() {
		for ctx.Err() == nil {
			_ = s.call(http.MethodPut, s.at(platformPort)+standin.PathFaults, faults, nil) // the next round repeats it
			_ = store.Sleep(ctx, time.Second)                                              // ends with the context
		}
	})
	return func() {
		cancel()
		work.Wait()
		s.faults(standin.Faults{})
	}
}

// allSteps takes every step under a fault that only delays it.
func (s *site) allSteps() {
	job := s.newJob("run:500ms")
	s.accept(job)
	s.maintain("w001")
	s.changeConfig(s.active())
	s.finished(job, "done")
	s.disrupt(fleet.OperationMove, "w009", "ledger")
	s.eventually(waveLimit, "the move ends", func() bool {
		w := s.worker("w009")
		return w.Pool == "ledger" && w.State == fleet.Serving
	})
	s.disrupt(fleet.OperationMove, "w009", "spare")
	s.waitState("w009", fleet.Draining, fleet.Drained, fleet.Returning)
	s.waitState("w009", fleet.Serving)
}
