package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// idleWorld is a world with more workers than an idle pool keeps.
func idleWorld(t *testing.T) *world {
	var names []string
	for i := range 8 {
		names = append(names, fmt.Sprintf("w%d", i))
	}
	w := newWorld(t, names...)
	w.run(3 * time.Second)
	if w.demand == nil || len(w.demand.Released) != len(names)-leastMachines-reserve {
		t.Fatalf("the report of an idle pool is %+v", w.demand)
	}
	return w
}

// startedOn returns the workers on which tasks were started.
func (w *world) startedOn() []string {
	var names []string
	for id, f := range w.workers {
		if len(f.started) > 0 {
			names = append(names, id)
		}
	}
	return names
}

// Guards against work on a machine that the fleet's owner may move at any
// moment: a released worker is used again only after a report without it is
// stored.
func TestReleasedWorkerIsReclaimedBeforeItIsUsed(t *testing.T) {
	w := idleWorld(t)
	released := slices.Clone(w.demand.Released)
	w.holdKind = ledger.KindDemand
	w.accept(job(step(60)))
	w.run(200 * time.Millisecond)
	for _, id := range w.startedOn() {
		if slices.Contains(released, id) {
			t.Fatalf("a task was started on %s, which the stored report releases", id)
		}
	}
	w.holdKind = 0
	w.run(2 * time.Second)
	if len(w.startedOn()) <= leastMachines+reserve {
		t.Errorf("tasks were started on %v only", w.startedOn())
	}
}

// Guards against a reclaimed worker whose move was planned in the same moment:
// the report must not be stored beside the record of a move.
func TestReclaimRequiresThatNoMoveIsPlanned(t *testing.T) {
	w := idleWorld(t)
	released := slices.Clone(w.demand.Released)
	w.accept(job(step(60)))
	w.own()
	var report *ledger.Write
	for range 20 {
		w.now = w.now.Add(worldStep)
		w.own()
		reportDemand(w.s, w.tickNow())
		for _, write := range drained[ledger.Write](&w.s.Out.Writes) {
			if write.Put[0].Key.Kind == ledger.KindDemand {
				report = &write
			}
		}
		if report != nil {
			break
		}
		loadJobs(w.s, w.tickNow())
	}
	if report == nil {
		t.Fatal("no report")
	}
	stored, _ := report.Put[0].Content.(*work.Demand)
	for _, id := range released {
		condition := ledger.Condition{Key: ledger.Key{Kind: ledger.KindMachineMove, Name: w.workers[id].Machine}}
		if !slices.Contains(stored.Released, id) && !slices.Contains(report.Expect, condition) {
			t.Errorf("%s is reclaimed without the condition that no move of its machine exists", id)
		}
	}
}

// Guards against a new owner that uses workers which an earlier owner released:
// until its own first report is stored and seen, a move may be planned.
func TestNewOwnerVoidsTheReleasesOfTheEarlierOne(t *testing.T) {
	w := newWorld(t, "w1", "w2")
	w.holdKind = ledger.KindDemand
	w.accept(job(step(4)))
	w.run(time.Second)
	if started := w.startedOn(); len(started) != 0 {
		t.Fatalf("tasks were started on %v before the first report was stored", started)
	}
	w.holdKind = 0
	w.run(time.Second)
	if len(w.startedOn()) == 0 {
		t.Error("no task was started after the first report")
	}
}

// Guards against a forecast from a single job, and against one that misses a
// turn of the demand until a backlog has formed.
func TestInflowGrowsWithTheNumberOfJobs(t *testing.T) {
	now := worldStart
	p := &Pool{OwnedSince: now.Add(-time.Minute)}
	p.arrived(now, &Job{Work: 10})
	if cores := p.inflow(now); cores != 0 {
		t.Errorf("one job gives a forecast of %v cores", cores)
	}
	const interval = 20 * time.Millisecond
	steady := 10 / interval.Seconds()
	for i := range 25 {
		now = now.Add(interval)
		p.arrived(now, &Job{Work: 10})
		if cores := p.inflow(now); cores > steady {
			t.Errorf("%d jobs give a forecast of %v cores, the inflow is %v", i+2, cores, steady)
		}
		if cores := p.inflow(now); i == 8 && cores < 0.5*steady {
			t.Errorf("after 180 ms the forecast is %v cores, the inflow is %v", cores, steady)
		}
	}
	if cores := p.inflow(now); cores < 0.7*steady {
		t.Errorf("25 jobs give a forecast of %v cores, the inflow is %v", cores, steady)
	}
	if cores := p.inflow(now.Add(2 * arrivalWindow)); cores != 0 {
		t.Errorf("old jobs give a forecast of %v cores", cores)
	}
}

func lastingStep(count, perWorker int) work.Step {
	lasting := step(count)
	lasting.LongRunning, lasting.MaxPerWorker, lasting.Estimate = true, perWorker, 0
	return lasting
}

// Guards against a lasting step whose tasks wait for workers that the pool
// gave up: its limit per worker is part of the need.
func TestNeedCountsTheSpreadOfLastingSteps(t *testing.T) {
	w := idleWorld(t)
	w.runTime = 0
	w.accept(job(lastingStep(6, 1)))
	w.run(3 * time.Second)
	if n := len(w.startedOn()); n != 6 {
		t.Errorf("6 lasting tasks with a limit of one per worker run on %d workers", n)
	}
	if w.demand.Need < 6+reserve {
		t.Errorf("the reported need is %d machines", w.demand.Need)
	}
}

// Guards against lasting tasks that keep many workers switched on, and against
// all tasks of a step on one worker.
func TestLastingTasksGather(t *testing.T) {
	w := idleWorld(t)
	w.runTime = 0
	w.accept(job(lastingStep(6, 0)))
	w.run(time.Second)
	second := job(lastingStep(3, 1))
	second.ID = "j2"
	w.accept(second)
	w.run(time.Second)
	if n := len(w.startedOn()); n != 3 {
		t.Errorf("lasting tasks run on %d workers, 3 are enough", n)
	}
}

// Guards against a count that contains workers which left: the registry keeps
// them for seconds, and the pool would get no others meanwhile.
func TestSilentWorkersAreNotCounted(t *testing.T) {
	w := newWorld(t, "w1", "w2", "w3", "w4")
	w.run(3 * time.Second)
	w.workers["w1"].silent, w.workers["w2"].silent = true, true
	w.run(6 * time.Second)
	if w.demand.Have != 2 {
		t.Errorf("the report counts %d workers, 2 answer", w.demand.Have)
	}
}

// Guards against a takeover that waits for released workers: they left, or may
// leave at any moment, and nothing ran on them.
func TestReleasedWorkersAreNoContacts(t *testing.T) {
	w := idleWorld(t)
	for _, contact := range w.contacts {
		if slices.Contains(w.demand.Released, contact.Worker) {
			t.Fatalf("%s is released and among the contacts", contact.Worker)
		}
	}
	w.observe = func(task work.TaskName) {
		for id, f := range w.workers {
			if len(f.started) > 0 && !slices.ContainsFunc(w.contacts, func(c work.Contact) bool { return c.Worker == id }) {
				t.Errorf("%s was started on %s, which is not among the stored contacts", task, id)
			}
		}
	}
	w.accept(job(step(60)))
	w.run(2 * time.Second)
	if len(w.startedOn()) <= leastMachines+reserve {
		t.Errorf("tasks were started on %v only", w.startedOn())
	}
}

// Guards against lasting tasks that hold up the end of a wave: they leave
// machines whose maintenance is to come early, and don't start on them again.
func TestLastingTasksLeaveMachinesThatAreDue(t *testing.T) {
	w := idleWorld(t)
	w.runTime = 0
	w.accept(job(lastingStep(3, 1)))
	w.run(time.Second)
	hosts := w.startedOn()
	due := map[string]bool{}
	for _, id := range hosts {
		due[w.workers[id].Machine] = true
	}
	w.s.SetMaintenancePending(due)
	w.accept(&work.Job{ID: "j2", Payload: "p", Steps: []work.Step{step(60)}, Limits: work.Limits{MaxFailures: 2, SlowdownFactor: 2}}) // keeps more workers
	w.run(4 * time.Second)
	for _, id := range hosts {
		for _, r := range w.workers[id].running {
			if r.task.Job == "j1" {
				t.Errorf("%s still runs on %s, whose maintenance is to come", r.task, id)
			}
		}
	}
	running := 0
	for _, f := range w.workers {
		for _, r := range f.running {
			if r.task.Job == "j1" {
				running++
			}
		}
	}
	if running != 3 {
		t.Errorf("%d of 3 lasting tasks run", running)
	}
}
