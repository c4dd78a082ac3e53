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
		{"target-slow-request", targetFault(target.Faults{SlowMS: 1000})},
		{"target-cuts-short-request", targetFault(target.Faults{TruncateResponse: true})},
		{"target-answers-other-attempt", otherAttempt},
		{"target-never-answers", targetFault(target.Faults{NeverRespond: true})},
		{"target-connection-cut", func(s *site, traffic *callers) {
			s.targetProxy["w001"].truncate(answers, "200")
			traffic.progress(150)
			s.targetProxy["w001"].heal()
		}},
		{"late-answer", lateAnswer},
		{"target-killed-request", func(s *site, traffic *callers) {
			s.fail("w001")
			traffic.progress(150)
			s.recover("w001")
		}},
		{"target-killed-drain", killedInOwnDrain},
		{"target-killed-again", killedInOwnDrain},
		{"target-fails-all-drain", func(s *site, _ *callers) {
			s.targetFaults("w002", target.Faults{FailFast: true})
			s.maintain("w002")
			s.targetFaults("w002", target.Faults{})
		}},
	}}
}

// failingTarget expects that a target that fails everything at once is not
// taken for an idle one: it receives less than the mean of its pool.
func failingTarget(s *site, traffic *callers) {
	s.targetFaults("w001", target.Faults{FailFast: true})
	traffic.progress(20)
	before := s.executed()
	traffic.progress(200)
	after := s.executed()
	others := 0
	for i := 2; i <= 4; i++ {
		worker := fmt.Sprintf("w%03d", i)
		others += after[worker] - before[worker]
	}
	if failing := after["w001"] - before["w001"]; 3*failing > others {
		s.t.Errorf("the failing target executed %d requests, the three others %d", failing, others)
	}
	s.targetFaults("w001", target.Faults{})
}

func (s *site) executed() map[string]int {
	var statuses []target.Status
	executed := map[string]int{}
	if s.get(s.at(targetAdminPort)+target.PathStatus, &statuses) == nil {
		for _, status := range statuses {
			executed[status.Worker] = status.Executed
		}
	}
	return executed
}

// targetFault runs traffic while a target misbehaves. The checker compares every
// answer with its request.
func targetFault(faults target.Faults) func(*site, *callers) {
	return func(s *site, traffic *callers) {
		s.targetFaults("w001", faults)
		traffic.progress(150)
		s.targetFaults("w001", target.Faults{})
	}
}

// otherAttempt expects that no caller gets an answer that names another attempt.
func otherAttempt(s *site, traffic *callers) {
	s.targetFaults("w001", target.Faults{WrongAttemptID: true})
	traffic.progress(50) // the answers sent before have arrived
	before, executed := traffic.completedBy("w001"), s.executed()["w001"]
	// The target may still be ejected because of an earlier fault.
	s.eventually(readyLimit, "the target executes requests", func() bool { return s.executed()["w001"] > executed+1 })
	traffic.progress(50)
	if after := traffic.completedBy("w001"); after != before {
		s.t.Errorf("callers got %d answers that name another attempt", after-before)
	}
	s.targetFaults("w001", target.Faults{})
}

// lateAnswer expects that an answer that arrives after the deadline reaches
// nobody, and that the order does not run again.
func lateAnswer(s *site, traffic *callers) {
	for _, p := range s.targetProxy {
		p.delay(answers, "7000")
	}
	order := s.order(s.issueKey(s.gateways[0]), 1)
	s.want(s.gateways[0], order, outcome.Unknown, outcome.ReasonAnswerTimeout)
	s.want(s.gateways[1], order, outcome.Unknown, outcome.ReasonAnswerTimeout)
	for _, p := range s.targetProxy {
		p.heal()
	}
	traffic.progress(30)
}

// fail stops a worker without warning and waits until the fleet knows it.
func (s *site) fail(worker string) {
	s.t.Helper()
	s.initiative(standin.FailWorker, standin.Selector{Workers: []string{worker}})
	s.waitState(worker, fleet.Suspected, fleet.Failed)
}

func (s *site) recover(worker string) {
	s.t.Helper()
	s.initiative(standin.RecoverWorker, standin.Selector{Workers: []string{worker}})
	s.waitState(worker, fleet.Serving)
}

// killedInOwnDrain expects that the drain of a worker that dies ends as failed,
// and that the worker serves after its recovery.
func killedInOwnDrain(s *site, traffic *callers) {
	s.slow("w005", 2000)
	s.disrupt(fleet.OperationMaintain, "w005", "")
	s.waitState("w005", fleet.Draining)
	s.fail("w005")
	s.targetFaults("w005", target.Faults{})
	s.recover("w005")
	traffic.progress(20)
	got := s.send(http.DefaultClient, s.gateways[0], s.order("", 1))
	if got.Outcome.Kind != outcome.Completed {
		s.t.Errorf("a request after the recovery ended as %v", got.Outcome)
	}
}
