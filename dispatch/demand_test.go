package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// newIdleSimulation returns a simulation with more workers than an idle pool
// keeps.
func newIdleSimulation(t *testing.T) *simulation {
	var names []string
	for i := range 8 {
		names = append(names, fmt.Sprintf("w%d", i))
	}
	w := newSimulation(t, names...)
	w.run(3 * time.Second)
	if w.demand == nil || len(w.demand.Released) != len(names)-minMachines-spareMachines {
		t.Fatalf("demand of the idle pool is %+v", w.demand)
	}
	return w
}

// startedOn returns the IDs of the workers on which tasks were started.
func (w *simulation) startedOn() []string {
	var names []string
	for id, f := range w.workers {
		if len(f.started) > 0 {
			names = append(names, id)
		}
	}
	return names
}

// Guards against starts on a machine that the owner of the fleet may move at any
// time. A released worker may be used again only after a report that reclaims it
// is stored.
func TestReleasedWorkerIsReclaimedBeforeUse(t *testing.T) {
	w := newIdleSimulation(t)
	released := slices.Clone(w.demand.Released)
	w.failKind = ledger.KindDemand
	w.accept(job(step(60)))
	w.run(200 * time.Millisecond)
	for _, id := range w.startedOn() {
		if slices.Contains(released, id) {
			t.Fatalf("a task was started on %s, which the stored report lists as released", id)
		}
	}
	w.failKind = 0
	w.run(2 * time.Second)
	if len(w.startedOn()) <= minMachines+spareMachines {
		t.Errorf("tasks were started on %v only", w.startedOn())
	}
}

// Guards against reclaiming a worker whose move is planned at the same time. The
// report must be conditional on the absence of a record of the move.
func TestReclaimRequiresNoPlannedMove(t *testing.T) {
	w := newIdleSimulation(t)
	released := slices.Clone(w.demand.Released)
	w.accept(job(step(60)))
	w.renewOwnership()
	var report *ledger.Write
	for range 20 {
		w.now = w.now.Add(simulationStep)
		w.renewOwnership()
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
		t.Fatal("no demand report was written")
	}
	stored, _ := report.Put[0].Content.(*work.Demand)
	for _, id := range released {
		condition := ledger.Condition{Key: ledger.Key{Kind: ledger.KindMachineMove, Name: w.workers[id].Machine}}
		if !slices.Contains(stored.Released, id) && !slices.Contains(report.Expect, condition) {
			t.Errorf("%s is reclaimed without the condition that no move of its machine is planned", id)
		}
	}
}

// Guards against a new owner that uses workers which an earlier owner released.
// Until its own first report is stored and seen, a move of them may be planned.
func TestNewOwnerVoidsEarlierReleases(t *testing.T) {
	w := newSimulation(t, "w1", "w2")
	w.failKind = ledger.KindDemand
	w.accept(job(step(4)))
	w.run(time.Second)
	if started := w.startedOn(); len(started) != 0 {
		t.Fatalf("tasks were started on %v before the first report was stored", started)
	}
	w.failKind = 0
	w.run(time.Second)
	if len(w.startedOn()) == 0 {
		t.Error("no task was started after the first report")
	}
}

// Guards against an arrival rate that is based on a single job, and against one
// that shows a rise of the load only after a backlog has formed.
func TestWorkArrivalRateGrowsWithJobCount(t *testing.T) {
	now := simulationStart
	p := &Pool{OwnedSince: now.Add(-time.Minute)}
	p.recordArrival(now, 0, &Job{Work: 10})
	if cores := p.workArrivalRate(now); cores != 0 {
		t.Errorf("the arrival rate after one job is %v cores, want 0", cores)
	}
	const interval = 20 * time.Millisecond
	steady := 10 / interval.Seconds()
	for i := range 25 {
		now = now.Add(interval)
		p.recordArrival(now, 0, &Job{Work: 10})
		if cores := p.workArrivalRate(now); cores > steady {
			t.Errorf("the measured arrival rate after %d jobs is %v cores, the actual one only %v", i+2, cores, steady)
		}
		if cores := p.workArrivalRate(now); i == 8 && cores < 0.5*steady {
			t.Errorf("the measured arrival rate after 180 ms is %v cores, less than half of the actual %v", cores, steady)
		}
	}
	if cores := p.workArrivalRate(now); cores < 0.7*steady {
		t.Errorf("the measured arrival rate after 25 jobs is %v cores, less than 0.7 of the actual %v", cores, steady)
	}
	if cores := p.workArrivalRate(now.Add(2 * arrivalWindow)); cores != 0 {
		t.Errorf("the arrival rate long after the last job is %v cores, want 0", cores)
	}
}

func longRunningStep(count, perWorker int) work.Step {
	result := step(count)
	result.LongRunning, result.MaxPerWorker, result.Estimate = true, perWorker, 0
	return result
}

// Guards against a long-running step whose tasks wait for workers that the pool
// has released. The limit of tasks per worker must be part of the need.
func TestNeedIncludesLongRunningWorkerLimits(t *testing.T) {
	w := newIdleSimulation(t)
	w.runTime = 0
	w.accept(job(longRunningStep(6, 1)))
	w.run(3 * time.Second)
	if n := len(w.startedOn()); n != 6 {
		t.Errorf("6 long-running tasks with a limit of one per worker run on %d workers, want 6", n)
	}
	if w.demand.Need < 6+spareMachines {
		t.Errorf("the reported need is %d machines", w.demand.Need)
	}
}

// Guards against long-running tasks that keep many workers switched on, and
// against placing all tasks of a step on one worker.
func TestLongRunningTasksShareWorkers(t *testing.T) {
	w := newIdleSimulation(t)
	w.runTime = 0
	w.accept(job(longRunningStep(6, 0)))
	w.run(time.Second)
	second := job(longRunningStep(3, 1))
	second.ID = "j2"
	w.accept(second)
	w.run(time.Second)
	if n := len(w.startedOn()); n != 3 {
		t.Errorf("long-running tasks run on %d workers, want 3", n)
	}
}

// Guards against counting workers that have left. The registry lists them for
// some seconds, during which the pool would get no replacement.
func TestSilentWorkersAreNotCounted(t *testing.T) {
	w := newSimulation(t, "w1", "w2", "w3", "w4")
	w.run(3 * time.Second)
	w.workers["w1"].silent, w.workers["w2"].silent = true, true
	w.run(6 * time.Second)
	if w.demand.Have != 2 {
		t.Errorf("the report counts %d workers, want the 2 that answer", w.demand.Have)
	}
}

// Guards against a takeover that waits for released workers. They have left or
// may leave at any time, and have no runs.
func TestReleasedWorkersAreNotContacts(t *testing.T) {
	w := newIdleSimulation(t)
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
	if len(w.startedOn()) <= minMachines+spareMachines {
		t.Errorf("tasks were started on %v only", w.startedOn())
	}
}

// Guards against long-running tasks that delay the end of a maintenance wave.
// They must leave machines that are scheduled for maintenance early, and must
// not be started on them again.
func TestLongRunningTasksLeaveMachinesPendingMaintenance(t *testing.T) {
	w := newIdleSimulation(t)
	w.runTime = 0
	w.accept(job(longRunningStep(3, 1)))
	w.run(time.Second)
	hosts := w.startedOn()
	pending := map[string]bool{}
	for _, id := range hosts {
		pending[w.workers[id].Machine] = true
	}
	w.s.SetMaintenancePending(pending)
	w.accept(&work.Job{ID: "j2", Payload: "p", Steps: []work.Step{step(60)}, Limits: work.Limits{MaxFailures: 2, SlowdownFactor: 2}}) // keeps more workers in the pool
	w.run(4 * time.Second)
	for _, id := range hosts {
		for _, r := range w.workers[id].running {
			if r.task.Job == "j1" {
				t.Errorf("%s still runs on %s, which is scheduled for maintenance", r.task, id)
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
		t.Errorf("%d of 3 long-running tasks run", running)
	}
}

// Load pattern: a turn of demand begins in a pool with few machines, and arrives faster
// than these can start it. Guards against a need that counts either the arriving or the
// waiting work: a machine arrives 1.5 s later and then has both to run.
func TestNeedCountsArrivingAndWaitingWork(t *testing.T) {
	w := newIdleSimulation(t)
	for i := range 50 {
		next := job(step(8))
		next.ID = fmt.Sprintf("turn-%d", i)
		w.accept(next)
		w.run(20 * time.Millisecond)
	}
	id, _ := w.s.poolByName.Get("pool")
	p := w.s.Pools.Get(id)
	waiting := 0
	for id := range p.ready.all {
		stage := w.s.Stages.Get(id)
		waiting += stage.ReadyTasks * w.s.stepOfStage(stage).Reserved().MilliCores
	}
	have := w.s.availableWorkers(w.now, id)
	perMachine := float64(w.s.Workers.Get(have[0]).Capacity.MilliCores) * usableShare
	arriving := p.workArrivalRate(w.now) * 1000
	if waiting == 0 || arriving == 0 {
		t.Fatalf("%d millicores wait and %.0f arrive, the load must exceed the pool", waiting, arriving)
	}
	if need, want := w.s.machineNeed(w.now, p, have), int((arriving+float64(waiting))/perMachine); need < want {
		t.Errorf("the need is %d machines, want %d for %.0f arriving and %d waiting millicores", need, want, arriving, waiting)
	}
}

// Load pattern: five times the mean in turns. Guards against a pool that follows a
// rising load with machines ordered for the load of 1.5 s before, and against an
// extrapolation of an even load.
func TestRisingArrivalRateIsExtrapolated(t *testing.T) {
	now := simulationStart
	p := &Pool{OwnedSince: now.Add(-time.Minute)}
	arrive := func(jobsPerSecond float64, d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Duration(float64(time.Second) / jobsPerSecond))
			p.recordArrival(now, 0, &Job{Work: 10})
		}
	}
	arrive(35, 2*time.Second)
	if rate, expected := p.workArrivalRate(now), p.expectedArrivalRate(now); expected > rate {
		t.Errorf("an even load of %.0f cores is extrapolated to %.0f", rate, expected)
	}
	arrive(2, 3*time.Second)
	arrive(35, 300*time.Millisecond)
	rate, expected := p.workArrivalRate(now), p.expectedArrivalRate(now)
	if expected < 1.5*rate || expected > maxGrowth*rate {
		t.Errorf("the start of a turn with %.0f cores is extrapolated to %.0f, want 1.5 to %v times as much", rate, expected, maxGrowth)
	}
}

// Guards against an owner of the fleet that exceeds its memory because one job declares
// tasks of millions of cores: it lists the missing machines of a report one by one.
func TestNeedIsBoundedWhateverJobsDeclare(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.run(time.Second)
	absurd := step(1000)
	absurd.Size.MilliCores = 1_000_000_000
	w.accept(job(absurd))
	w.run(2 * time.Second)
	if w.demand.Need > maxNeed {
		t.Errorf("the pool reports a need of %d machines", w.demand.Need)
	}
}

// Guards against jobs that a stalled watch delivers at once and that count as a load of
// that moment: the pool would ask for more machines than the fleet has, and keep those
// that the pool whose demand rises next needs. Load: 40 jobs a second, a stall of 1.2 s.
func TestArrivalRateAfterAStalledWatch(t *testing.T) {
	const jobsPerSecond, workOfJob = 40, 5.0
	stall := 1200 * time.Millisecond
	start := time.Unix(1000, 0)
	former, present := &Pool{}, &Pool{}
	now := start.Add(10 * time.Second)
	for i := range int(jobsPerSecond * stall.Seconds()) {
		age := stall - time.Duration(i)*time.Second/jobsPerSecond
		former.recordArrival(now, 0, &Job{Work: workOfJob}) // as if all had been accepted now
		present.recordArrival(now, age, &Job{Work: workOfJob})
	}
	const real = jobsPerSecond * workOfJob
	before, after := former.workArrivalRate(now), present.workArrivalRate(now)
	t.Logf("real rate %v cores, measured %.0f as arrivals of the moment, %.0f by the time of acceptance", real, before, after)
	if after > 2*real || after < real/2 {
		t.Errorf("the measured rate is %.0f cores, want about %v", after, real)
	}
	if before < 5*real {
		t.Errorf("the former rule measures %.0f cores: the load of this test is too small to show the fault", before)
	}
}
