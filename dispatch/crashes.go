package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Tasks that crash their workers. A crash is put down to the runs that had just started
// on the worker; if there are none, to the tasks under which a worker had crashed before;
// and if there are none either, to all that ran there. Tasks to which two crashes are put
// down are on probation: they start on a worker that gets no other starts until they have
// survived that, so that the next crash shows whether they are the cause. A crash later in a
// run says little about the task and leads to no probation. The others lose the suspicion by
// ending.
const (
	// earlyCrash is how soon after the start of a run the contact to its worker must
	// break for the run to be a likely cause. Other crashes seldom come so soon, and
	// the run can't have ended unseen before.
	earlyCrash = 500 * time.Millisecond
	// survivedStart is how long after its start a list must show a run to rule it out as a
	// cause: a task that crashes its workers does so within some 10 ms.
	survivedStart = 100 * time.Millisecond
	// probationCrashes is the number of crashes from which a task is on probation, without
	// those of runs that had survived their start.
	probationCrashes = 2
	// startProofTimeout is how long a run on probation keeps other starts off its worker at
	// most if nothing tells whether it has begun. It exceeds the time limit of the order, after
	// which a stop settles the start.
	startProofTimeout = 2 * time.Second
	// maxEarlyCrashes is the number of early crashes at which a task is given up that was
	// the only early run in the last of them, and maxCrashes the number of all crashes.
	// The platform allows two more starts after three crashes.
	maxEarlyCrashes = 3
	maxCrashes      = 5
	// maxReservedShare is the share of a pool's workers that may be reserved for tasks
	// on probation.
	maxReservedShare = 0.25
	// reservationTime is how long a worker is reserved: until its fresh runs have proven
	// harmless and those that occupy it have ended.
	reservationTime = 2 * time.Second
	// clearedAfter is how long a long-running task serves until its crashes are
	// forgotten. Such a task meets crashes for other reasons in the course of time.
	clearedAfter = 5 * time.Second
	// crashMemory is how long after a crash that no early run explains one more crash is
	// needed to give up a task of the pool.
	crashMemory = 10 * time.Second
	// suspicionInterval is the time in which at most maxSavedJobs tasks of a pool come under
	// suspicion, so that the failure of a rack or of the network causes few store writes.
	suspicionInterval = time.Second
	// crashProofTimeout is how long a worker whose runs were given up may be away until
	// its return no longer counts as the crash of those runs.
	crashProofTimeout = 15 * time.Second
)

// lapsedRun is a run that was given up without knowing what became of the worker.
type lapsedRun struct {
	task   table.ID
	number int
	early  bool // contact to the worker was lost right after the start
	late   bool // the worker had listed the run a while after its start
	// inDoubt is the row of a run that the next incarnation may yet show to hold; 0 for none.
	inDoubt table.ID
}

// isSuspect reports whether a worker has crashed under the task.
func (t *Task) isSuspect() bool { return len(t.CrashedRuns) > 0 }

// lapsedRun returns how the run will count if its worker has crashed. It returns false
// for a run that may never have begun, unless its task is a suspect.
func (s *State) lapsedRun(now time.Time, w *Worker, run *Run) (lapsedRun, bool) {
	t := s.Tasks.Get(run.Task)
	began, beganAt := !run.startedAt.IsZero(), run.startedAt
	if !began && run.brokenOff {
		began, beganAt = true, run.OrderedAt
	}
	if t == nil || !began && !t.isSuspect() {
		return lapsedRun{}, false
	}
	lost := now
	if !w.silentSince.IsZero() {
		lost = w.silentSince
	}
	survived := run.survivedStart()
	return lapsedRun{task: run.Task, number: run.Number, early: began && lost.Sub(beganAt) <= earlyCrash && !survived, late: survived}, true
}

// suspectFreshRuns has the progress record name the runs that began right before their worker
// stopped answering, so that a next owner counts a crash for each that it finds nowhere. Runs
// of tasks with crashes are in the record from their start on.
func (s *State) suspectFreshRuns(now time.Time, p *Pool, w *Worker) {
	if w.Draining || w.underMaintenance {
		return
	}
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		lost, counts := s.lapsedRun(now, w, run)
		if !counts || !lost.early {
			continue
		}
		t := s.Tasks.Get(run.Task)
		stage, j, _ := s.stageJobAndStep(t)
		if t.isSuspect() || t.suspectedRun == run.Number || j.Final != 0 {
			continue
		}
		if now.Sub(p.suspicionsSince) >= suspicionInterval {
			p.suspicionsSince, p.suspicions = now, 0
		}
		if p.suspicions >= maxSavedJobs {
			return
		}
		p.suspicions++
		t.suspectedRun, j.Started = run.Number, true
		s.markDirty(stage.Job, now)
		s.log(events.RunSuspected, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("worker", w.ID),
			events.F("born", w.Incarnation), events.F("state", run.State.String()), events.F("ordered_ms_ago", now.Sub(run.OrderedAt).Milliseconds()))
	}
}

// settleSuspicions ends the suspicion of the runs on a worker: it has answered and not
// crashed, or its crash is being put down to runs, or its return proves nothing any more.
func (s *State) settleSuspicions(now time.Time, w *Worker) {
	for _, r := range w.lapsed {
		s.settleSuspicion(now, s.Tasks.Get(r.task), r.number)
	}
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		s.settleSuspicion(now, s.Tasks.Get(run.Task), run.Number)
	}
}

func (s *State) settleSuspicion(now time.Time, t *Task, run int) {
	if t != nil && t.suspectedRun == run && run != 0 {
		t.suspectedRun = 0
		s.saveUnfinished(now, t)
	}
}

// saveUnfinished has the job of a task saved unless it has a final state, which states no
// crashes.
func (s *State) saveUnfinished(now time.Time, t *Task) {
	if id := s.Stages.Get(t.Stage).Job; s.Jobs.Get(id).Final == 0 {
		s.markDirty(id, now)
	}
}

// survivedStart reports whether the worker has listed the run a while after its start.
func (r *Run) survivedStart() bool {
	began := cmp.Or(r.startClock, r.firstClock) // a run that was found has no answer to its start
	return began > 0 && r.workerClock-began >= survivedStart
}

// onProbation reports whether the task must start on a worker without other starts.
func (t *Task) onProbation() bool { return len(t.CrashedRuns)-t.LateCrashes >= probationCrashes }

// hasCrashedRepeatedly reports whether several workers have crashed under the task, early or
// late in its runs.
func (t *Task) hasCrashedRepeatedly() bool { return len(t.CrashedRuns) >= probationCrashes }

// isolates reports whether the run keeps other starts off its worker: its task is on
// probation, and the run may still crash the worker by its start. That ends with time in any
// case, so that a run which lasts keeps nothing waiting.
func (r *Run) isolates(now time.Time) bool {
	switch {
	case !r.onProbation || r.survivedStart():
		return false
	case r.startedAt.IsZero():
		return now.Sub(r.OrderedAt) < startProofTimeout
	default:
		return now.Sub(r.startedAt) < earlyCrash
	}
}

// isIsolated reports whether a run on probation keeps other starts off the worker.
func (s *State) isIsolated(now time.Time, w *Worker) bool {
	return w.load.onProbation > 0 && slices.ContainsFunc(w.runs, func(id table.ID) bool { return s.Runs.Get(id).isolates(now) })
}

// mustSaveCrashes reports whether the task has to wait until its crashes are saved:
// otherwise a next owner would start it as often again.
func (j *Job) mustSaveCrashes(t *Task) bool { return t.isSuspect() && j.savedCrashes < j.crashes }

// freshRuns returns how many runs on a worker started within earlyCrash.
func (s *State) freshRuns(now time.Time, w *Worker) int {
	fresh := 0
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		if s.Tasks.Get(run.Task) != nil && (run.startedAt.IsZero() || now.Sub(run.startedAt) < earlyCrash) {
			fresh++
		}
	}
	return fresh
}

// reserveWorker keeps new starts off a worker until a task on probation, which has found
// no worker without fresh runs, can start there. Only a worker where nothing else is in the
// way is reserved, so that the reservation ends with a start.
func (s *State) reserveWorker(now time.Time, stage *Stage, step *work.Step, t *Task, candidates []candidate) {
	j := s.Jobs.Get(stage.Job)
	best, fewest, reserved := -1, 0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.reserved || s.isIsolated(now, c.w) {
			reserved++
			continue
		}
		if !step.Reserved().Fits(c.free) || stepConstraint(now, c, stage, step, t) != noObstacle || !s.mayStartOn(now, j, stage, c.w) {
			continue
		}
		if fresh := s.freshRuns(now, c.w); best < 0 || fresh < fewest {
			best, fewest = i, fresh
		}
	}
	if best < 0 || reserved > 0 && float64(reserved+1) > maxReservedShare*float64(len(candidates)) {
		return
	}
	c := &candidates[best]
	c.reserved, c.w.reservedUntil = true, now.Add(reservationTime)
}

// recordCrash puts the crash of a worker down to tasks that ran on it. Workers that were
// being emptied ended as planned. endedWith reports whether a run has ended with the
// worker's incarnation.
func (s *State) recordCrash(now time.Time, w *Worker, endedWith func(*Run) bool) {
	s.settleSuspicions(now, w)
	ran := w.lapsed
	w.lapsed = nil
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		if lost, counts := s.lapsedRun(now, w, run); counts {
			if !endedWith(run) {
				lost.inDoubt = id
			}
			ran = append(ran, lost)
		}
	}
	ran = slices.DeleteFunc(ran, func(r lapsedRun) bool {
		t := s.Tasks.Get(r.task)
		return t == nil || t.State == TaskDone || t.State == TaskDropped
	})
	if w.Draining || w.underMaintenance || len(ran) == 0 && (w.released || w.surplus) {
		return
	}
	blamed, explained := s.blame(ran)
	if p := s.Pools.Get(w.pool); p != nil && !explained {
		p.unexplainedCrashAt = now
	}
	if len(ran) == 0 {
		return
	}
	s.log(events.WorkerCrashed, events.F("worker", w.ID), events.F("runs", len(ran)), events.F("blamed", len(blamed)),
		events.F("explained", explained))
	s.count("worker_crashes")
	for _, r := range blamed {
		s.blameTask(now, r, len(blamed) == 1)
	}
}

// blame returns the runs to which a crash is put down, and whether one of them explains it
// because it had just started.
func (s *State) blame(ran []lapsedRun) (blamed []lapsedRun, explained bool) {
	early := slices.DeleteFunc(slices.Clone(ran), func(r lapsedRun) bool { return !r.early })
	if len(early) > 0 {
		return early, true
	}
	suspects := slices.DeleteFunc(slices.Clone(ran), func(r lapsedRun) bool { return !s.Tasks.Get(r.task).isSuspect() })
	if len(suspects) > 0 {
		return suspects, false
	}
	return ran, false
}

// blameTask puts a crash down to a task, and fails its job at the limit, unless the run is in
// doubt. alone means that it is put down to no other task.
func (s *State) blameTask(now time.Time, ran lapsedRun, alone bool) {
	t := s.Tasks.Get(ran.task)
	if slices.Contains(t.CrashedRuns, ran.number) {
		return
	}
	t.CrashedRuns = append(t.CrashedRuns, ran.number)
	if ran.early {
		t.EarlyCrashes++
	}
	if ran.late {
		t.LateCrashes++
	}
	s.updateProbation(t)
	stage, j, _ := s.stageJobAndStep(t)
	j.Started = true
	s.markDirty(stage.Job, now)
	j.crashes++
	if run := s.Runs.Get(ran.inDoubt); run != nil {
		run.crashInDoubt, run.crashProven = true, ran.early && alone
		return
	}
	s.giveUpIfDue(now, t, ran.early && alone)
}

// decideCrash fails the job of a run at the limit of crashes once it is known that the run,
// to which a crash was put down while it was in doubt, does not exist.
func (s *State) decideCrash(now time.Time, run *Run) {
	if t := s.Tasks.Get(run.Task); t != nil && run.crashInDoubt && t.State != TaskDone {
		s.giveUpIfDue(now, t, run.crashProven)
	}
	run.crashInDoubt = false
}

// giveUpIfDue fails the job of a task that has crashed too many workers. proven means that it
// was the only early run in the last crash.
func (s *State) giveUpIfDue(now time.Time, t *Task, proven bool) {
	stage, j, step := s.stageJobAndStep(t)
	if j.Final != 0 || !mustGiveUp(now, t, step, s.Pools.Get(j.Pool), proven) {
		return
	}
	name := s.taskName(t)
	s.log(events.TaskGivenUp, events.F("task", name.String()), events.F("crashes", len(t.CrashedRuns)), events.F("early", t.EarlyCrashes))
	s.finishJob(stage.Job, work.JobFailed, name.String())
}

// withdrawCrash takes back a crash that was put down to a run which a worker has shown since:
// the order was executed after the restart.
func (s *State) withdrawCrash(now time.Time, t *Task, run int) {
	i := slices.Index(t.CrashedRuns, run)
	if i < 0 {
		return
	}
	t.CrashedRuns = slices.Delete(t.CrashedRuns, i, i+1)
	t.EarlyCrashes = min(t.EarlyCrashes, len(t.CrashedRuns))
	t.LateCrashes = min(t.LateCrashes, len(t.CrashedRuns)-t.EarlyCrashes)
	s.updateProbation(t)
	s.saveUnfinished(now, t)
}

// mustGiveUp reports whether a task has crashed too many workers. proven means that it
// was the only early run in the last crash.
func mustGiveUp(now time.Time, t *Task, step *work.Step, p *Pool, proven bool) bool {
	crashes := len(t.CrashedRuns)
	if crashes >= maxCrashes && !step.LongRunning { // workers crash for other reasons in the course of time
		return true
	}
	calm := now.Sub(p.unexplainedCrashAt) > crashMemory
	return proven && t.EarlyCrashes >= maxEarlyCrashes && (calm || crashes > maxEarlyCrashes)
}

// hasCrashesToSave reports whether the progress record has to state crashes of the task, or
// a run of it that may have crashed its worker.
func (t *Task) hasCrashesToSave() bool {
	return t.State != TaskDone && (t.isSuspect() || t.unaccountedRun != 0 || t.suspectedRun != 0)
}

// taskCrashes returns the durable form of a task's crashes.
func (s *State) taskCrashes(index int, t *Task) work.TaskCrashes {
	running := cmp.Or(t.unaccountedRun, t.suspectedRun)
	if run := s.Runs.Get(t.Run); run != nil && t.isSuspect() {
		running = run.Number
	}
	return work.TaskCrashes{Index: index, Runs: slices.Clone(t.CrashedRuns), Early: t.EarlyCrashes, Late: t.LateCrashes, Running: running}
}

// accountForEnd takes back what was held against a run that a worker lists as ended. The end
// is not acknowledged before that is saved: a next owner would find neither the run nor its
// end.
func (s *State) accountForEnd(now time.Time, worker table.ID, t *Task, end work.RunEnd) {
	id := s.Stages.Get(t.Stage).Job
	j := s.Jobs.Get(id)
	unsaved := j.dirty || j.saveWrite != 0 // a suspicion that has been taken back may still be stored
	if unsaved || t.suspectedRun == end.Run || t.unaccountedRun == end.Run || slices.Contains(t.CrashedRuns, end.Run) {
		s.deferAcknowledgement(now, id, worker, end.Number)
	}
	s.accountFor(now, t, end.Run)
	s.settleSuspicion(now, t, end.Run)
	s.withdrawCrash(now, t, end.Run)
}

// accountFor records that what became of a run of an earlier owner is known.
func (s *State) accountFor(now time.Time, t *Task, run int) {
	if t.unaccountedRun == run && run != 0 {
		t.unaccountedRun = 0
		s.saveUnfinished(now, t)
	}
}

// blameUnaccountedRuns counts a crash for each task with a run of an earlier owner in its
// record that is on no worker and in no list of ends. Otherwise the count would lose one
// crash with each change of the owner.
func (s *State) blameUnaccountedRuns(now time.Time, pool table.ID) {
	for id, t := range s.Tasks.All() {
		run := t.unaccountedRun
		if run == 0 || s.Jobs.Get(s.Stages.Get(t.Stage).Job).Pool != pool {
			continue
		}
		t.unaccountedRun = 0
		switch {
		case t.State == TaskDone || t.State == TaskDropped:
		case slices.Contains(t.CrashedRuns, run): // the earlier owner counted it in doubt
			s.giveUpIfDue(now, t, false)
		default:
			s.blameTask(now, lapsedRun{task: id, number: run}, false)
		}
	}
}

// clearSuspicion forgets the crashes of a long-running task that has served for a while.
func (s *State) clearSuspicion(now time.Time, t *Task, run *Run) {
	stage, _, step := s.stageJobAndStep(t)
	if !t.isSuspect() || !step.LongRunning || run.percent < servingPercent || now.Sub(run.startedAt) < clearedAfter {
		return
	}
	t.CrashedRuns, t.EarlyCrashes, t.LateCrashes = nil, 0, 0
	s.updateProbation(t)
	s.markDirty(stage.Job, now)
}
