package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/work"
)

// waitLimit is how long a job may have nothing running while its pool has room for it.
const waitLimit = 3 * time.Second

// acceptLong accepts a job of tasks that run for a minute, of which each worker gets so many
// at most; 0 for any number.
func (w *simulation) acceptLong(id string, tasks, maxPerWorker int) {
	long := step(tasks)
	long.Estimate, long.MaxPerWorker = time.Minute, maxPerWorker
	j := job(long)
	j.ID = id
	w.accept(j)
}

// acceptSmall accepts a job of one task.
func (w *simulation) acceptSmall(id string) work.TaskName {
	small := job(step(1))
	small.ID = id
	w.accept(small)
	return work.TaskName{Job: id}
}

// checkStarts checks that a task is started within waitLimit.
func (w *simulation) checkStarts(name work.TaskName) {
	w.t.Helper()
	w.run(waitLimit)
	if w.startCount(name) == 0 {
		w.t.Errorf("%s is not started within %v", name, waitLimit)
	}
}

// putOnProbation has two workers have crashed under each of the tasks of a job.
func (w *simulation) putOnProbation(job string, tasks int) {
	loadJobs(w.s, w.tickNow())
	for index := range tasks {
		w.s.Tasks.Get(w.s.findTask(w.tickNow(), work.TaskName{Job: job, Index: index})).CrashedRuns = []int{-2, -1}
	}
}

// crashUnder crashes the worker of a task and brings it back after a second.
func (w *simulation) crashUnder(name work.TaskName) {
	t := w.s.Tasks.Get(w.s.findTask(w.tickNow(), name))
	id := w.s.Workers.Get(w.s.Runs.Get(t.Run).Worker).ID
	w.crash(id)
	w.run(time.Second)
	w.restart(id)
}

// makeProgress has the runs of a minute progress, so that none of them counts as hanging.
func (w *simulation) makeProgress() {
	w.runTime = 0
	w.progress = func(r fakeRun) int { return int(100 * w.now.Sub(r.began) / time.Minute) }
}

// Guards against a queue that stands still behind long runs whose workers have crashed: nothing
// else started on a worker for as long as a run on probation lasted (review/12, LOST).
func TestQueueStartsBesideLongRunsWhoseWorkersHaveCrashed(t *testing.T) {
	for name, newOwner := range map[string]bool{"same owner": false, "restored from the record": true} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a", "b", "c")
			w.makeProgress()
			w.run(200 * time.Millisecond)
			w.acceptLong("j1", 3, 1)
			w.run(2500 * time.Millisecond)
			for range 2 {
				for index := range 3 {
					w.crashUnder(work.TaskName{Job: "j1", Index: index})
					w.run(1500 * time.Millisecond)
				}
			}
			if newOwner {
				w.changeOwner()
				w.run(time.Second)
			}
			w.checkStarts(w.acceptSmall("j2"))
		})
	}
}

// Guards against the same where the crashes came right after the starts, so that the tasks
// are on probation: it has to end once their next run has survived its start.
func TestProbationEndsOnceTheRunHasSurvivedItsStart(t *testing.T) {
	for name, c := range map[string]struct{ lasting, newOwner bool }{
		"long tasks":                      {},
		"tasks that last":                 {lasting: true},
		"long tasks with a new owner":     {newOwner: true},
		"tasks that last, with a new one": {lasting: true, newOwner: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a", "b", "c")
			w.makeProgress()
			w.run(200 * time.Millisecond)
			long := step(3)
			long.Estimate, long.LongRunning = time.Minute, c.lasting
			w.accept(job(long))
			w.putOnProbation("j1", 3)
			w.run(time.Second)
			if c.newOwner {
				w.changeOwner()
			}
			w.checkStarts(w.acceptSmall("j2"))
		})
	}
}

// Guards against tasks on probation that wait for each other's end, since there are more of
// them than the pool has workers.
func TestMoreTasksOnProbationThanWorkersStart(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.makeProgress()
	w.run(200 * time.Millisecond)
	for n := range 3 {
		id := fmt.Sprintf("k%d", n)
		w.acceptLong(id, 4, 0)
		w.putOnProbation(id, 4)
	}
	w.run(waitLimit)
	for n := range 3 {
		for index := range 4 {
			if name := (work.TaskName{Job: fmt.Sprintf("k%d", n), Index: index}); w.startCount(name) != 1 {
				t.Errorf("%s was started %d times, want 1", name, w.startCount(name))
			}
		}
	}
}

// Guards against a worker that is reserved again and again for a task on probation which can't
// start there, since its step is at its limit per worker, while others that could start wait.
func TestReservationForProbationLeavesRoomToOthers(t *testing.T) {
	w := newSimulation(t, "a")
	w.makeProgress()
	w.run(200 * time.Millisecond)
	limited := step(2)
	limited.LongRunning, limited.MaxPerWorker = true, 1 // such stages come first
	w.accept(job(limited))
	w.run(time.Second)
	w.putOnProbation("j1", 2)
	running := w.s.Tasks.Get(w.s.findTask(w.tickNow(), work.TaskName{Job: "j1"}))
	running.CrashedRuns = nil
	w.run(time.Second)
	w.checkStarts(w.acceptSmall("j2"))
}

// Guards against a worker that is slow for good, since it runs a task that lasts: such runs are
// not rated, and no other start could prove the mark wrong.
func TestSlowWorkerIsProbedBesideTasksThatLast(t *testing.T) {
	w := newSimulation(t, "a")
	w.runTime = 0
	w.run(200 * time.Millisecond)
	lasting := step(1)
	lasting.LongRunning = true
	w.accept(job(lasting))
	w.run(time.Second)
	id, _ := w.s.workerByID.Get("a")
	w.s.slowWorkers.Put(id, true)
	w.s.Workers.Get(id).nextProbeAt = w.now
	w.checkStarts(w.acceptSmall("j2"))
}

// Guards against jobs that are failed for the crashes of a task beside them which crashes its
// worker some time after its start: they may start beside it, but where there is room
// they are kept apart.
func TestTasksStartApartFromThoseWhoseWorkersHaveCrashed(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.makeProgress()
	w.run(200 * time.Millisecond)
	w.acceptLong("j1", 1, 0)
	w.putOnProbation("j1", 1)
	w.run(2 * time.Second)
	for n := range 5 {
		w.acceptSmall(fmt.Sprintf("k%d", n))
		w.run(300 * time.Millisecond)
	}
	for id, f := range w.workers {
		if len(f.running) != 1 && len(f.running) != 5 {
			t.Errorf("%d tasks run on worker %s, want the one whose workers have crashed or the 5 others", len(f.running), id)
		}
	}
}

// Guards against tasks that are put on probation, or stay on it under a next owner, for crashes
// which came long after the start of their runs: after the restart of many workers each of their
// tasks would need a worker of its own.
func TestLateCrashesLeadToNoProbation(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.makeProgress()
	w.run(200 * time.Millisecond)
	w.acceptLong("j1", 1, 0)
	name := work.TaskName{Job: "j1"}
	for range 3 {
		w.run(1500 * time.Millisecond)
		w.crashUnder(name)
	}
	w.run(time.Second)
	check := func() {
		t.Helper()
		task := w.s.Tasks.Get(w.s.findTask(w.tickNow(), name))
		if len(task.CrashedRuns) != 3 || task.LateCrashes != 3 || task.onProbation() {
			t.Errorf("the task is %+v, want three late crashes and no probation", task)
		}
	}
	check()
	w.changeOwner()
	w.run(time.Second)
	check()
}

// Guards against a task that crashes its workers at their start and is spared the probation for
// crashes of its earlier runs that came late.
func TestEarlyCrashesLeadToProbationBesideLateOnes(t *testing.T) {
	task := Task{CrashedRuns: []int{1, 2, 3}, EarlyCrashes: 1, LateCrashes: 2}
	if task.onProbation() {
		t.Error("on probation after one crash at a start")
	}
	task.CrashedRuns, task.EarlyCrashes = append(task.CrashedRuns, 4), 2
	if !task.onProbation() {
		t.Error("not on probation after two crashes at a start")
	}
}

// Guards against a pool that asks for no machine since it counts the cores of workers on which
// nothing may start for longer than a machine takes to arrive.
func TestNeedLeavesOutQuarantinedWorkers(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.makeProgress()
	w.run(200 * time.Millisecond)
	w.acceptLong("j1", 14, 0) // 7000 of 12000 millicores
	w.run(time.Second)
	before := w.demand.Need
	id, _ := w.s.workerByID.Get("a")
	w.s.Workers.Get(id).quarantinedUntil = w.now.Add(quarantineTime)
	w.run(time.Second)
	if w.demand.Need != before+1 {
		t.Errorf("the pool needs %d machines, %d without the quarantine", w.demand.Need, before)
	}
}
