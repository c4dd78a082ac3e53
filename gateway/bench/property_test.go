// Package bench tests the traffic shards with simulated targets and a fake clock,
// and benchmarks the proxy.
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

// scenario is a random load on targets that fail and randomly change their mode.
type scenario struct {
	sim        *simulation
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

// runScenario submits requests over about two seconds and abandons some of them. It
// returns when every deadline has passed.
func runScenario(seed uint64, chooser routing.Chooser, watch func(*scenario)) *scenario {
	sim := newSimulation(seed)
	s := &scenario{sim: sim, idempotent: map[string]bool{}}
	for i := range scenarioTargets {
		name := fmt.Sprintf("t%d", i)
		s.targets = append(s.targets, name)
		sim.addTarget(name, mode(sim.random.IntN(int(modeCount))))
	}
	snapshot := sim.snapshot(2, func(doc *policy.Document) { doc.Defaults.Pool.QueueLimit = scenarioQueue }, s.targets...)
	s.gateway = sim.addGateway(chooser, snapshot)
	sim.service = func(*traffic.Message) time.Duration { return sim.exponential(40 * time.Millisecond) }
	for i := range scenarioRequests {
		sim.after(time.Duration(sim.random.IntN(2000))*time.Millisecond, func() { s.submit(i) })
	}
	for range 10 {
		sim.after(time.Duration(sim.random.IntN(2000))*time.Millisecond, func() {
			sim.targets[s.targets[sim.random.IntN(len(s.targets))]].mode = mode(sim.random.IntN(int(modeCount)))
		})
	}
	if watch != nil {
		for at := time.Duration(0); at < 3*time.Second; at += 5 * time.Millisecond {
			sim.after(at, func() { watch(s) })
		}
	}
	sim.run(10 * time.Second)
	return s
}

func (s *scenario) submit(i int) {
	sim := s.sim
	id := fmt.Sprintf("r%d", i)
	s.idempotent[id] = sim.random.IntN(2) == 0
	submission := s.gateway.submit(id, fmt.Sprintf("tenant%d", sim.random.IntN(4)), routing.Class(sim.random.IntN(routing.ClassCount)),
		s.idempotent[id], scenarioTimeout)
	if sim.random.IntN(10) == 0 {
		sim.after(time.Duration(sim.random.IntN(100))*time.Millisecond, func() { s.gateway.step(&traffic.Abandoned{Submission: submission}) })
	}
}

func (s *scenario) executions(id string) int {
	sum := 0
	for _, target := range s.sim.targets {
		sum += target.executions[id]
	}
	return sum
}

func checkScenarios(t *testing.T, name string, runs int, holds func(seed uint64, chooser routing.Chooser) string) {
	t.Helper()
	checkProperty(t, name, prop.ForAll(func(seed uint64, credits bool) string {
		if credits {
			return holds(seed, routing.CreditsFirst{})
		}
		return holds(seed, routing.PowerOfTwoChoices{})
	}, gen.UInt64(), gen.Bool()), runs)
}

// Guards against a second execution of a request that is not idempotent, and against
// a retry of it after a possible execution.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	checkScenarios(t, "at most one execution", 60, func(seed uint64, chooser routing.Chooser) string {
		s := runScenario(seed, chooser, nil)
		for id, idempotent := range s.idempotent {
			if n := s.executions(id); n > 1 && !idempotent {
				return fmt.Sprintf("%s was executed %d times", id, n)
			}
		}
		return ""
	})
}

// Guards against the outcome "not run" for a request that a target executed, and
// against "completed" for a request that no target executed.
func TestNotRunIsOnlyAnsweredWhenNoTargetRanTheRequest(t *testing.T) {
	checkScenarios(t, "not run was not run", 60, func(seed uint64, chooser routing.Chooser) string {
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

// Guards against missing results, duplicate results and rows that are not deleted.
func TestEverySubmissionGetsExactlyOneAnswer(t *testing.T) {
	checkScenarios(t, "exactly one result", 60, func(seed uint64, chooser routing.Chooser) string {
		s := runScenario(seed, chooser, nil)
		for id := range s.idempotent {
			if n := len(s.gateway.results[id]); n != 1 {
				return fmt.Sprintf("%s has %d results, want 1", id, n)
			}
		}
		if n := s.gateway.state.Requests.Len(); n != 0 {
			return fmt.Sprintf("%d request rows were not deleted", n)
		}
		if n := s.gateway.state.Attempts.Len(); n != 0 {
			return fmt.Sprintf("%d attempt rows were not deleted", n)
		}
		return ""
	})
}

// Guards against a queue that grows beyond its limit under load.
func TestQueuesStayBounded(t *testing.T) {
	checkScenarios(t, "bounded queues", 30, func(seed uint64, chooser routing.Chooser) string {
		failure := ""
		runScenario(seed, chooser, func(s *scenario) {
			for _, pool := range s.gateway.state.Pools.All() {
				for class := routing.Urgent; class < routing.ClassCount; class++ {
					if n := pool.Scheduler.Waiting(class); n > scenarioQueue {
						failure = fmt.Sprintf("%d %v requests are queued, above the limit", n, class)
					}
				}
			}
		})
		return failure
	})
}

// Guards against retries that multiply the load when all targets fail.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	checkScenarios(t, "retry budget", 60, func(seed uint64, chooser routing.Chooser) string {
		s := runScenario(seed, chooser, nil)
		retries := s.gateway.sends - len(s.gateway.sent)
		if limit := scenarioRequests / 10; retries > limit {
			return fmt.Sprintf("%d retries of %d requests, at most %d are allowed", retries, scenarioRequests, limit)
		}
		return ""
	})
}
