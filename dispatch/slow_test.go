package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// slowLoad describes a trial with slow workers: 12 workers of 4 cores at 60 % load, with
// jobs of one or two steps of 6 tasks of 300 to 900 ms, estimates off by 50 % per job and
// sizes by 25 % per task.
type slowLoad struct {
	slow      int           // workers that become 5 times slower after 2 s
	recoverAt time.Duration // when they are as fast as before; 0 for never
	without   string        // system that isn't run
	judges    bool
	slowJob   func(id int) bool // jobs whose tasks take 5 times as long as others
	longTasks bool              // tasks of 2 to 4 s, with checkpoints
}

// setSlowness changes the speed of a worker and of the runs on it.
func (f *fakeWorker) setSlowness(now time.Time, slowness float64) {
	scale := slowness / max(1, f.slowness)
	for i := range f.running {
		r := &f.running[i]
		r.from = now.Add(-time.Duration(scale * float64(now.Sub(r.from))))
		r.done = now.Add(time.Duration(scale * float64(r.done.Sub(now))))
	}
	f.slowness = slowness
}

// slowResult is what a trial with slow workers shows.
type slowResult struct {
	overloadResult
	foundAfter   time.Duration // longest time until a slow worker was marked; 0 if none was
	found, wrong int           // marked workers, slow and others
	mostMarked   int
	markedAtEnd  int
	restarts     int
}

func runSlow(t *testing.T, seed int64, load slowLoad) slowResult {
	random := rand.New(rand.NewSource(seed))
	w := newSimulation(t)
	w.without = load.without
	w.s.Team = func(name string) *work.Team { return &work.Team{Name: name, Weight: 1000} }
	const workers = 12
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%02d", i))
	}
	w.run(200 * time.Millisecond)
	if !load.judges {
		w.pool().peers = nil
	}
	w.countsVisits = true
	accepted, done := map[string]*work.Job{}, map[string]time.Duration{}
	runTimes := map[work.TaskName]time.Duration{}
	w.runTimeOf = func(o StartOrder) time.Duration { return runTimes[o.Task] }
	var result slowResult
	marked := map[string]bool{}
	begin := w.now
	for tick := range 1200 {
		at := w.now.Sub(begin)
		for i := range load.slow {
			f := w.workers[fmt.Sprintf("w%02d", i)]
			slowness := 1.0
			if at >= 2*time.Second && (load.recoverAt == 0 || at < load.recoverAt) {
				slowness = 5
			}
			f.setSlowness(w.now, slowness)
		}
		rate := 12.0 // jobs a second of 6 to 12 tasks of half a core and 0.6 s
		if load.longTasks {
			rate = 2.5
		}
		if tick < 1000 && random.Float64() < rate*simulationStep.Seconds() {
			j := job()
			j.ID, j.Team = fmt.Sprintf("j%d", len(accepted)), "team"
			j.Limits.SlowdownFactor, j.Limits.Latency = 1.6, time.Second
			for i := range 1 + random.Intn(2) {
				s := work.Step{Count: 6, Size: placement.Resources{MilliCores: 500, MemoryMB: 100}, Estimate: time.Duration(300+random.Intn(600)) * time.Millisecond}
				if load.longTasks {
					s.Estimate *= 4
				}
				if i > 0 {
					s.After = []int{0}
				}
				off := 0.5 + random.Float64()
				if load.slowJob != nil && load.slowJob(len(accepted)) {
					off = 5
				}
				for index := range s.Count {
					runTimes[work.TaskName{Job: j.ID, Step: i, Index: index}] = time.Duration(off * (0.75 + 0.5*random.Float64()) * float64(s.Estimate))
				}
				j.Steps = append(j.Steps, s)
			}
			accepted[j.ID] = j
			w.accept(j)
			j.AcceptedAt = w.now
		}
		w.run(simulationStep)
		w.noteDone(accepted, done)
		now := 0
		for id, worker := range w.s.Workers.All() {
			if !w.s.slowWorkers.Contains(id) {
				continue
			}
			now++
			if marked[worker.ID] {
				continue
			}
			marked[worker.ID] = true
			if w.workers[worker.ID].slowness > 1 {
				result.found++
				result.foundAfter = max(result.foundAfter, at-2*time.Second)
			} else {
				result.wrong++
			}
		}
		result.mostMarked, result.markedAtEnd = max(result.mostMarked, now), now
	}
	for _, task := range w.s.Tasks.All() {
		if task.movedOff {
			result.restarts++
		}
	}
	for range 20_000 {
		if len(done) == len(accepted) {
			break
		}
		w.run(simulationStep)
		w.noteDone(accepted, done)
	}
	result.overloadResult = resultOf(t, accepted, done, 3)
	return result
}

// Guards against a worker that becomes 5 times slower and keeps getting its share of the
// tasks, each of which makes a job late. Load: slowLoad with one and two slow workers, seeds
// 1 to 6. Beside it the former rule, which doesn't judge rates.
func TestSlowWorkersAreFoundAndSpared(t *testing.T) {
	for _, slow := range []int{1, 2} {
		var present, former overloadResult
		found, wrong, latest := 0, 0, time.Duration(0)
		for seed := int64(1); seed <= 6; seed++ {
			r := runSlow(t, seed, slowLoad{slow: slow, judges: true})
			found, wrong, latest = found+r.found, wrong+r.wrong, max(latest, r.foundAfter)
			present.add(r.overloadResult)
			former.add(runSlow(t, seed, slowLoad{slow: slow}).overloadResult)
		}
		t.Logf("%d slow of 12, seeds 1 to 6: %d found within %v, %d others marked\n  new:    %v\n  former: %v", slow, found, latest, wrong, present, former)
		if found < 6*slow || latest > 1500*time.Millisecond || wrong > 0 {
			t.Errorf("%d of %d slow workers found within %v, %d others marked; want all within 1.5 s and no others", found, 6*slow, latest, wrong)
		}
		if present.inTime <= former.inTime || present.benefit <= former.benefit {
			t.Errorf("%d slow: new %v, former %v", slow, present, former)
		}
	}
}

// Guards against marks for a queue that becomes slow everywhere, for some jobs that are slow
// themselves, for more than the allowed share of a pool, and marks that stay when a worker is
// as fast as before. Load: slowLoad, seeds 1 to 4.
func TestSlowMarksAccuseNobodyWrongly(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		if r := runSlow(t, seed, slowLoad{judges: true, slowJob: func(id int) bool { return id > 30 }}); r.wrong > 0 {
			t.Errorf("seed %d: %d workers marked for a slow queue", seed, r.wrong)
		}
		if r := runSlow(t, seed, slowLoad{judges: true, slowJob: func(id int) bool { return id%15 == 7 }}); r.wrong > 0 {
			t.Errorf("seed %d: %d workers marked for slow jobs", seed, r.wrong)
		}
		if r := runSlow(t, seed, slowLoad{judges: true, slow: 6}); r.mostMarked > 4 {
			t.Errorf("seed %d: %d of 12 workers marked, want at most a third", seed, r.mostMarked)
		}
		if r := runSlow(t, seed, slowLoad{judges: true, slow: 1, recoverAt: 3 * time.Second}); r.found != 1 || r.markedAtEnd != 0 {
			t.Errorf("seed %d: %d found, %d still marked 9 s after they recovered", seed, r.found, r.markedAtEnd)
		}
	}
}

// Guards against restarts that throw away more than they gain. Load: slowLoad with tasks of
// 1.2 to 3.6 s, two slow workers, seeds 1 to 8. Beside it the same without restarts.
func TestRestartOfSlowRunsPays(t *testing.T) {
	var with, without overloadResult
	restarts := 0
	for seed := int64(1); seed <= 8; seed++ {
		r := runSlow(t, seed, slowLoad{slow: 2, judges: true, longTasks: true})
		restarts += r.restarts
		with.add(r.overloadResult)
		without.add(runSlow(t, seed, slowLoad{slow: 2, judges: true, longTasks: true, without: "restart runs of slow workers"}).overloadResult)
	}
	t.Logf("seeds 1 to 8, %d restarts seen at the end of the load\n  with:    %v\n  without: %v", restarts, with, without)
	if with.inTime < without.inTime || with.benefit < without.benefit {
		t.Errorf("with restarts %v, without %v", with, without)
	}
}

// newSlowRun returns a simulation in which a run of a wide stage on a slow worker was just
// ordered to stop, and its task. Stops get no answer if ignoreStops is set.
func newSlowRun(t *testing.T, ignoreStops bool) (*simulation, work.TaskName) {
	w := newSharedSimulation(t, map[string]float64{"team": 1000})
	w.ignoreStops = ignoreStops
	w.runTimeOf = func(StartOrder) time.Duration { return 1500 * time.Millisecond }
	w.workers["w2"].slowness = 8
	for i := range 3 {
		j := teamJob(fmt.Sprintf("j%d", i), "team", 5)
		j.Steps[0].Estimate, j.Limits.Latency = 1500*time.Millisecond, 4*time.Second
		w.accept(j)
	}
	for range 200 {
		w.run(simulationStep)
		for _, task := range w.s.Tasks.All() {
			if task.movedOff {
				return w, w.s.taskName(task)
			}
		}
	}
	t.Fatal("no run of the slow worker was restarted")
	return nil, work.TaskName{}
}

// Guards against a task that runs twice because the stop of its slow run gets no answer. One
// failure: stops are lost for 3 s.
func TestRestartWaitsForTheEndOfTheSlowRun(t *testing.T) {
	w, name := newSlowRun(t, true)
	w.run(3 * time.Second)
	if starts := w.startCount(name); starts != 1 {
		t.Errorf("task %v was started %d times while its first run was not known to have ended", name, starts)
	}
	w.ignoreStops = false
	w.run(5 * time.Second)
	if starts := w.startCount(name); starts != 2 {
		t.Errorf("task %v was started %d times, want a second start after the stop", name, starts)
	}
}

// Guards against a mark that outlives the ownership from which it comes. One failure: the
// owner is replaced.
func TestSlowMarksEndWithTheOwnership(t *testing.T) {
	w, _ := newSlowRun(t, false)
	if w.s.slowWorkers.Len() != 1 {
		t.Fatalf("%d workers are marked, want 1", w.s.slowWorkers.Len())
	}
	id := w.s.slowWorkers.At(0)
	w.s.DropPool("pool")
	if slow, fine := w.s.Workers.Get(id).suspicion.Weights(); w.s.slowWorkers.Len() != 0 || slow != 0 || fine != 0 {
		t.Errorf("%d workers are marked after the ownership, suspicion %.1f and %.1f", w.s.slowWorkers.Len(), slow, fine)
	}
}
