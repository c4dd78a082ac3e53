package test

import (
	"fmt"
	"net/http"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

func targetGroup() group {
	return group{name: "target", options: options{controllers: 1, targetProxies: true}, callers: 4, cells: []cell{
		{"target-fails-all-request", failingTarget},
		{"target-slow-request", trafficDuringTargetFault(target.Faults{SlowMS: 1000})},
		{"target-cuts-short-request", trafficDuringTargetFault(target.Faults{TruncateResponse: true})},
		{"target-answers-other-attempt", responseForWrongAttempt},
		{"target-never-answers", trafficDuringTargetFault(target.Faults{NeverRespond: true})},
		{"target-connection-cut", func(s *site, traffic *callers) {
			s.targetProxies["w001"].truncate(responses, "200")
			traffic.waitCompleted(150)
			s.targetProxies["w001"].heal()
		}},
		{"late-answer", lateResponse},
		{"target-killed-request", func(s *site, traffic *callers) {
			s.failWorker("w001")
			traffic.waitCompleted(150)
			s.recoverWorker("w001")
		}},
		{"target-killed-drain", targetKilledInDrain},
		{"target-killed-again", targetKilledInDrain},
		{"target-fails-all-drain", func(s *site, _ *callers) {
			s.setTargetFaults("w002", target.Faults{FailFast: true})
			s.maintainWorker("w002")
			s.setTargetFaults("w002", target.Faults{})
		}},
	}}
}

// failingTarget expects that load balancing does not mistake a target that fails
// every request immediately for an idle one: it executes no more requests than the
// mean of the three other targets of its pool.
func failingTarget(s *site, traffic *callers) {
	s.setTargetFaults("w001", target.Faults{FailFast: true})
	traffic.waitCompleted(20)
	before := s.executedByTarget()
	traffic.waitCompleted(200)
	after := s.executedByTarget()
	others := 0
	for i := 2; i <= 4; i++ {
		worker := fmt.Sprintf("w%03d", i)
		others += after[worker] - before[worker]
	}
	if failing := after["w001"] - before["w001"]; 3*failing > others {
		s.t.Errorf("the failing target executed %d requests, the three others %d in total", failing, others)
	}
	s.setTargetFaults("w001", target.Faults{})
}

func (s *site) executedByTarget() map[string]int {
	var statuses []target.Status
	executed := map[string]int{}
	if s.get(s.address(targetAdminPort)+target.PathStatus, &statuses) == nil {
		for _, status := range statuses {
			executed[status.Worker] = status.Executed
		}
	}
	return executed
}

// trafficDuringTargetFault returns a cell that sends requests while a target has
// faults. The invariant checker compares every response with its request.
func trafficDuringTargetFault(faults target.Faults) func(*site, *callers) {
	return func(s *site, traffic *callers) {
		s.setTargetFaults("w001", faults)
		traffic.waitCompleted(150)
		s.setTargetFaults("w001", target.Faults{})
	}
}

// responseForWrongAttempt expects that no caller gets a response whose attempt ID
// is that of another attempt.
func responseForWrongAttempt(s *site, traffic *callers) {
	s.setTargetFaults("w001", target.Faults{WrongAttemptID: true})
	traffic.waitCompleted(50) // until responses sent before the fault have arrived
	before, executed := traffic.completedBy("w001"), s.executedByTarget()["w001"]
	// An earlier fault may still keep the target ejected from load balancing.
	s.eventually(readyLimit, "the target executes requests", func() bool { return s.executedByTarget()["w001"] > executed+1 })
	traffic.waitCompleted(50)
	if after := traffic.completedBy("w001"); after != before {
		s.t.Errorf("callers got %d responses with the ID of another attempt", after-before)
	}
	s.setTargetFaults("w001", target.Faults{})
}

// lateResponse expects that a response that arrives after the deadline is discarded,
// and that the request is not executed again.
func lateResponse(s *site, traffic *callers) {
	for _, p := range s.targetProxies {
		p.delay(responses, "7000")
	}
	order := s.newOrder(s.issueKey(s.gateways[0]), 1)
	s.expectOutcome(s.gateways[0], order, outcome.Unknown, outcome.ReasonAnswerTimeout)
	s.expectOutcome(s.gateways[1], order, outcome.Unknown, outcome.ReasonAnswerTimeout)
	for _, p := range s.targetProxies {
		p.heal()
	}
	traffic.waitCompleted(30)
}

// failWorker stops a worker without notice and waits until the fleet document shows
// it as suspected or failed.
func (s *site) failWorker(worker string) {
	s.t.Helper()
	s.triggerInitiative(standin.FailWorker, standin.Selector{Workers: []string{worker}})
	s.waitState(worker, fleet.Suspected, fleet.Failed)
}

func (s *site) recoverWorker(worker string) {
	s.t.Helper()
	s.triggerInitiative(standin.RecoverWorker, standin.Selector{Workers: []string{worker}})
	s.waitState(worker, fleet.Serving)
}

// targetKilledInDrain expects that a worker that fails during its own drain becomes
// suspected or failed, and that it serves again after its recovery.
func targetKilledInDrain(s *site, traffic *callers) {
	s.slowTarget("w005", 2000)
	s.startOperation(fleet.OperationMaintain, "w005", "")
	s.waitState("w005", fleet.Draining)
	s.failWorker("w005")
	s.setTargetFaults("w005", target.Faults{})
	s.recoverWorker("w005")
	traffic.waitCompleted(20)
	got := s.send(http.DefaultClient, s.gateways[0], s.newOrder("", 1))
	if got.Outcome.Kind != outcome.Completed {
		s.t.Errorf("a request after the recovery ended as %v", got.Outcome)
	}
}
