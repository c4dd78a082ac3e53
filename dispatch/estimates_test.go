package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/estimate"
)

// runBiased runs 40 jobs of a team whose tasks take twice the declared 300 ms.
func runBiased(t *testing.T, team string) *simulation {
	w := newSharedSimulation(t, map[string]float64{"team": 1000})
	w.runTime = 600 * time.Millisecond
	for i := range 40 {
		w.accept(teamJob(fmt.Sprintf("j%d", i), team, 4))
		w.run(100 * time.Millisecond)
	}
	w.run(2 * time.Second)
	return w
}

func (w *simulation) factor() float64 {
	return w.pool().runTimes.Factor(w.now, estimate.StepKey{Queue: "queue"}, "")
}

// Guards against jobs that count as able to be in time although their tasks are known to
// take twice as long as declared, and against a need that counts half of their work.
// Load: 40 jobs of 4 tasks that take 600 ms instead of 300.
func TestExpectedTimesFollowFinishedRuns(t *testing.T) {
	w := runBiased(t, "team")
	if factor := w.factor(); factor < 1.7 || factor > 2.1 {
		t.Errorf("the factor is %.2f after 40 jobs of twice the declared time", factor)
	}
	w.runTime = 0
	w.accept(teamJob("next", "team", 4))
	w.run(simulationStep)
	id, _ := w.s.jobByID.Get("next")
	j := w.s.Jobs.Get(id)
	if left := j.remainingTime[0]; left < 500*time.Millisecond || j.Work < 1 {
		t.Errorf("a new job has %v left and %.2f core-seconds of work, want about 600 ms and 1.2", left, j.Work)
	}
	if allowed := j.Deadline.Sub(w.now); allowed > 1700*time.Millisecond {
		t.Errorf("the deadline is in %v, want the objective by the declared times, 1.6 s", allowed)
	}
}

// Guards against learnt times in a pool that serves no teams, whose order stays as it was,
// and against times that outlive a change of the owner.
func TestNothingIsLearntWithoutTeamsOrAfterAHandover(t *testing.T) {
	if factor := runBiased(t, "").factor(); factor != 1 {
		t.Errorf("the factor is %.2f without teams", factor)
	}
	w := runBiased(t, "team")
	w.ledger.Revision++
	w.token = w.ledger.Revision
	w.run(200 * time.Millisecond)
	if factor := w.factor(); factor != 1 {
		t.Errorf("the factor is %.2f after the handover", factor)
	}
}

// Guards against a run from a checkpoint that counts as a short run of the whole task.
func TestRestoredRunsCountWithoutTheRestoredPart(t *testing.T) {
	run := Run{startClock: 10 * time.Second, firstClock: 10100 * time.Millisecond, firstPercent: 60, restored: true}
	if whole := run.wholeTime(10900*time.Millisecond, 1); whole != 2*time.Second {
		t.Errorf("the whole task takes %v, want 2 s: 40 %% in 0.8 s", whole)
	}
	run.firstPercent = 95
	if whole := run.wholeTime(10900*time.Millisecond, 1); whole != 0 {
		t.Errorf("the whole task takes %v, want no statement from the last 5 %%", whole)
	}
	run.restored = false
	if whole := run.wholeTime(10900*time.Millisecond, 0.5); whole != 1800*time.Millisecond {
		t.Errorf("the whole task takes %v, want 1.8 s: half of it in 0.9 s", whole)
	}
}

// Guards against learnt times that make the order worse. Load: that of
// TestMoreJobsAreInTimeUnderOverload at mean loads of 0.45 and 0.7, with first steps that
// take twice and second steps that take half of the declared time, beside the 50 % by which
// each job is off; seeds 401 to 406. Beside it declared times with the same order.
func TestLearntTimesDoNotCostJobsInTime(t *testing.T) {
	for _, mean := range []float64{0.45, 0.7} {
		var learnt, declared overloadResult
		load := uneven{mean: mean, estimateError: 0.5, bias: [3]float64{2, 0.5, 1}}
		for seed := int64(401); seed <= 406; seed++ {
			load.learnsNothing = false
			learnt.add(runUneven(t, seed, load, true))
			load.learnsNothing = true
			declared.add(runUneven(t, seed, load, true))
		}
		t.Logf("mean load %.2f, seeds 401 to 406\n  learnt:   %v\n  declared: %v", mean, learnt, declared)
		if float64(learnt.inTime) < 0.97*float64(declared.inTime) || learnt.benefit < 0.97*declared.benefit {
			t.Errorf("mean load %.2f: learnt %v, declared %v", mean, learnt, declared)
		}
	}
}
