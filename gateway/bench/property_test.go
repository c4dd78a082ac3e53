// Package bench drives the systems of the traffic shards with simulated targets
// and a fake clock, and measures the request path.
package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

const propertySeed = 20261204

func checkProperty(t *testing.T, name string, property gopter.Prop, runs int) {
	t.Helper()
	t.Logf("seed %d", propertySeed)
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = runs
	properties := gopter.NewProperties(params)
	properties.Property(name, property)
	properties.TestingRun(t)
}

// scenario is a random load on targets that misbehave and change their mode.
type scenario struct {
	world      *world
	gateway    *simGateway
	idempotent map[string]bool
	targets    []string
}

const (
	scenarioTargets  = 5
	scenarioRequests = 400
	scenarioQueue    = 30
	scenarioTimeout  = 800 * time.Millisecond
)

// runScenario submits requests over about two seconds, of which some callers go
// away, and waits until every deadline has passed.
func runScenario(seed uint64, chooser routing.Chooser, watch func(*scenario)) *scenario {
	w := newWorld(seed)
	s := &scenario{world: w, idempotent: map[string]bool{}}
	for i := range scenarioTargets {
		name := fmt.Sprintf("t%d", i)
		s.targets = append(s.targets, name)
		w.addTarget(name, mode(w.random.IntN(int(modeCount))))
	}
	snapshot := w.snapshot(2, func(doc *policy.Document) { doc.Defaults.Pool.QueueLimit = scenarioQueue }, s.targets...)
	s.gateway = w.addGateway(chooser, snapshot)
	w.service = func(*traffic.Message) time.Duration { return w.exponential(40 * time.Millisecond) }
	for i := range scenarioRequests {
		w.at(time.Duration(w.random.IntN(2000))*time.Millisecond, func() { s.submit(i) })
	}
	for range 10 {
		w.at(time.Duration(w.random.IntN(2000))*time.Millisecond, func() {
			w.targets[s.targets[w.random.IntN(len(s.targets))]].mode = mode(w.random.IntN(int(modeCount)))
		})
	}
	if watch != nil {
		for at := time.Duration(0); at < 3*time.Second; at += 5 * time.Millisecond {
			w.at(at, func() { watch(s) })
		}
	}
	w.run(10 * time.Second)
	return s
}

func (s *scenario) submit(i int) {
	w := s.world
	id := fmt.Sprintf("r%d", i)
	s.idempotent[id] = w.random.IntN(2) == 0
	submission := s.gateway.submit(id, fmt.Sprintf("tenant%d", w.random.IntN(4)), routing.Class(w.random.IntN(routing.ClassCount)),
		s.idempotent[id], scenarioTimeout)
	if w.random.IntN(10) == 0 {
		w.at(time.Duration(w.random.IntN(100))*time.Millisecond, func() { s.gateway.step(&traffic.Abandoned{Submission: submission}) })
	}
}

func (s *scenario) executions(id string) int {
	sum := 0
	for _, target := range s.world.targets {
		sum += target.executions[id]
	}
	return sum
}

func forScenarios(t *testing.T, name string, runs int, holds func(seed uint64, chooser routing.Chooser) string) {
	t.Helper()
	checkProperty(t, name, prop.ForAll(func(seed uint64, credits bool) string {
		if credits {
			return holds(seed, routing.CreditsFirst{})
		}
		return holds(seed, routing.PowerOfTwoChoices{})
	}, gen.UInt64(), gen.Bool()), runs)
}

// Guards against a second execution of a request that must not be repeated, and
// against a second send after a possible execution.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	forScenarios(t, "at most one execution", 60, func(seed uint64, chooser routing.Chooser) string {
		s := runScenario(seed, chooser, nil)
		for id, idempotent := range s.idempotent {
			if n := s.executions(id); n > 1 && !idempotent {
				return fmt.Sprintf("%s ran %d times", id, n)
			}
		}
		return ""
	})
}

// Guards against "not run" for a request that a target executed, and against
// "completed" for one that none executed.
func TestNotRunIsOnlyAnsweredWhenNoTargetRanTheRequest(t *testing.T) {
	forScenarios(t, "not run was not run", 60, func(seed uint64, chooser routing.Chooser) string {
		s := runScenario(seed, chooser, nil)
		for id, results := range s.gateway.results {
			ran := s.executions(id) > 0
			if results[0].Outcome.Kind == outcome.NotRun && ran || results[0].Outcome.Kind == outcome.Completed && !ran {
				return fmt.Sprintf("%s ended as %v, executed: %v", id, results[0].Outcome, ran)
			}
		}
		return ""
	})
}

// Guards against lost answers, double answers and rows that stay behind.
func TestEverySubmissionGetsExactlyOneAnswer(t *testing.T) {
	forScenarios(t, "exactly one answer", 60, func(seed uint64, chooser routing.Chooser) string {
		s := runScenario(seed, chooser, nil)
		for id := range s.idempotent {
			if n := len(s.gateway.results[id]); n != 1 {
				return fmt.Sprintf("%s has %d answers", id, n)
			}
		}
		if n := s.gateway.state.Requests.Len(); n != 0 {
			return fmt.Sprintf("%d request rows stay behind", n)
		}
		if n := s.gateway.state.Attempts.Len(); n != 0 {
			return fmt.Sprintf("%d attempt rows stay behind", n)
		}
		return ""
	})
}

// Guards against a queue that grows with the load.
func TestQueuesStayBounded(t *testing.T) {
	forScenarios(t, "bounded queues", 30, func(seed uint64, chooser routing.Chooser) string {
		failure := ""
		runScenario(seed, chooser, func(s *scenario) {
			for _, pool := range s.gateway.state.Pools.All() {
				for class := routing.Urgent; class < routing.ClassCount; class++ {
					if n := pool.Scheduler.Waiting(class); n > scenarioQueue {
						failure = fmt.Sprintf("%d %v requests wait", n, class)
					}
				}
			}
		})
		return failure
	})
}

// Guards against retries that multiply the load when everything fails.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	forScenarios(t, "retry budget", 60, func(seed uint64, chooser routing.Chooser) string {
		s := runScenario(seed, chooser, nil)
		retries := s.gateway.sends - len(s.gateway.sent)
		if limit := scenarioRequests / 10; retries > limit {
			return fmt.Sprintf("%d retries of %d requests, at most %d are allowed", retries, scenarioRequests, limit)
		}
		return ""
	})
}
