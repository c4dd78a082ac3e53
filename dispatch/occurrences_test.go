package dispatch

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// scheduled returns a job with a schedule. Each occurrence has two tasks one after the
// other, which take 0.6 s together.
func scheduled(id string, times int, first time.Time, interval time.Duration) *work.Job {
	second := step(1)
	second.After = []int{0}
	j := job(step(1), second)
	j.ID, j.Schedule = id, work.Schedule{Times: times, First: first, Interval: interval}
	return j
}

func (w *simulation) rows() int {
	return w.s.Stages.Len() + w.s.Tasks.Len()
}

// Guards against an owner that exceeds its memory because of one accepted job: a job that
// is due every five minutes for a year has a million tasks, of which none is due.
func TestLongScheduleHasNoRowsBeforeItIsDue(t *testing.T) {
	const year = 365 * 24 * time.Hour
	w := newSimulation(t, "a", "b")
	w.run(200 * time.Millisecond)
	w.accept(scheduled("year", int(year/(5*time.Minute)), w.now.Add(5*time.Second), 5*time.Minute))
	w.run(time.Second)
	if w.rows() != 0 {
		t.Errorf("%d rows for occurrences that are not due", w.rows())
	}
	w.accept(job(step(2)))
	w.run(2 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("the job beside the schedule is saved as %+v, want completed", saved)
	}
	w.run(5 * time.Second)
	if n := w.startCount(work.TaskName{Job: "year", Step: 1}); n != 1 {
		t.Errorf("the last task of the first occurrence was started %d times, want once", n)
	}
	if w.rows() != 0 {
		t.Errorf("%d rows between two occurrences", w.rows())
	}
}

// Guards against an owner that exceeds its memory because all occurrences of a long
// schedule are due at once, and against occurrences that are then left out or run twice.
func TestOverdueOccurrencesAreOpenedAsOthersFinish(t *testing.T) {
	const times = 6000
	w := newSimulation(t, "a", "b", "c", "d")
	w.runTime = simulationStep
	w.countsVisits = true // the comparison of the indexes would visit all rows in each tick
	w.run(200 * time.Millisecond)
	for _, f := range w.workers {
		f.Capacity.MilliCores, f.Capacity.MemoryMB = 400_000, 400_000
		w.ledger.Revision++
		entry := f.Worker
		w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
	}
	w.accept(scheduled("backlog", times, w.now, 0))
	starts := map[work.TaskName]int{}
	w.observe = func(task work.TaskName) { starts[task]++ }
	limit := maxOpenTasks + maxOpenTasks // tasks, and as many stages
	for range 1200 {
		w.run(10 * simulationStep)
		if w.rows() > limit {
			t.Fatalf("%d rows, want up to %d", w.rows(), limit)
		}
		if saved := w.saved["backlog"]; saved != nil && saved.State.Final() {
			break
		}
	}
	if saved := w.saved["backlog"]; saved == nil || saved.State != work.JobCompleted {
		t.Fatalf("saved as %v", saved.State)
	}
	for task, n := range starts {
		if n != 1 {
			t.Errorf("%v was started %d times", task, n)
		}
	}
	if len(starts) != 2*times {
		t.Errorf("%d tasks were started, want %d", len(starts), 2*times)
	}
}

// Guards against occurrences that run again, or never, after a change of the owner, and
// against a record of the progress that grows with each occurrence.
func TestNewOwnerContinuesASchedule(t *testing.T) {
	const times = 40
	w := newSimulation(t, "a", "b")
	w.run(200 * time.Millisecond)
	w.accept(scheduled("j1", times, w.now, 200*time.Millisecond))
	for range 4 {
		w.run(2 * time.Second)
		w.s.DropPool("pool")
		w.ledger.Revision++
		w.token = w.ledger.Revision
		w.s.ApplyContacts(w.now, ledger.Record{
			Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Content: w.contacts, Revision: w.ledger.Revision,
		})
		if saved := w.saved["j1"]; len(saved.Finished) != 1 || len(saved.Stages) > 8 {
			t.Errorf("the record has %d ranges and %d stages", len(saved.Finished), len(saved.Stages))
		}
	}
	w.run(5 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Fatalf("saved progress is %+v, want completed", saved)
	}
	for number := range times {
		for step := range 2 {
			if n := w.startCount(work.TaskName{Job: "j1", Occurrence: number, Step: step}); n != 1 {
				t.Errorf("step %d of occurrence %d was started %d times", step, number, n)
			}
		}
	}
	if w.rows()+w.s.Occurrences.Len() != 0 {
		t.Errorf("%d rows and %d occurrences remain", w.rows(), w.s.Occurrences.Len())
	}
}

// Guards against occurrences that run again because the record of an earlier version
// lists the steps of finished ones.
func TestRecordOfAnEarlierVersionIsRestored(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.accept(scheduled("j1", 3, w.now, 0))
	var saved work.Progress
	saved.State = work.JobRunning
	for _, done := range []work.StageProgress{{Occurrence: 0, Step: 0}, {Occurrence: 0, Step: 1}, {Occurrence: 2, Step: 0}} {
		done.SetDone(0)
		saved.Stages = append(saved.Stages, done)
	}
	w.ledger.Revision++
	w.ledger.Apply(w.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindProgress, Name: "j1"}, Content: &saved, Revision: w.ledger.Revision})
	w.token = w.ledger.Revision
	w.run(3 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Fatalf("saved progress is %+v, want completed", saved)
	}
	want := map[work.TaskName]int{
		{Job: "j1", Occurrence: 0, Step: 0}: 0, {Job: "j1", Occurrence: 0, Step: 1}: 0, {Job: "j1", Occurrence: 1, Step: 0}: 1,
		{Job: "j1", Occurrence: 1, Step: 1}: 1, {Job: "j1", Occurrence: 2, Step: 0}: 0, {Job: "j1", Occurrence: 2, Step: 1}: 1,
	}
	for task, n := range want {
		if got := w.startCount(task); got != n {
			t.Errorf("%v was started %d times, want %d", task, got, n)
		}
	}
}

// Guards against two runs of a task whose occurrence an earlier owner has started by a
// clock that is ahead, and against the loss of an end of such a run.
func TestRunsOfOccurrencesThatAreNotDueAreKept(t *testing.T) {
	w := newSimulation(t, "a", "b")
	due := w.now.Add(3 * time.Second)
	w.accept(scheduled("j1", 2, due, 0))
	w.token = w.ledger.Revision + 1
	w.ledger.Revision++
	running, ended := work.TaskName{Job: "j1"}, work.TaskName{Job: "j1", Occurrence: 1}
	w.workers["a"].running = []fakeRun{{task: running, run: 1, done: w.now.Add(time.Second)}}
	w.workers["a"].leaseUntil = w.workers["a"].clock(w.now) + simulationMaxLease
	w.workers["b"].ended = []work.RunEnd{{Number: 1, Task: ended, Run: 1, Reason: work.EndDone}}
	w.run(8 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("saved progress is %+v, want completed", saved)
	}
	for _, task := range []work.TaskName{running, ended} {
		if n := w.startCount(task); n != 0 {
			t.Errorf("%v was started %d times beside the run of the earlier owner", task, n)
		}
	}
}
