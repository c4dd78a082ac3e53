package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// syncJob updates the tables from a row of the ledger.
func (s *State) syncJob(tick engine.Tick, row table.ID) {
	l := s.Mirror.Jobs.Get(row)
	if l == nil {
		return
	}
	poolID, owned := s.poolByName.Get(s.Partitions.PartitionOf(l.Pool(), l.ID))
	if !owned || !s.Pools.Get(poolID).Loaded {
		return
	}
	if l.CreateRevision > s.Mirror.Revision {
		// This process accepted the job itself. Until the watch reaches the
		// revision of the acceptance, the pool may have another owner that
		// already runs the job.
		s.awaitingWatch = append(s.awaitingWatch, row)
		return
	}
	if !l.FinishedAt.IsZero() {
		s.Pools.Get(poolID).finishedRecords.Put(row, l.FinishedAt.Add(s.Config.Retention+retentionSlack))
	}
	if l.Spec == nil {
		return // its records are incomplete, or it was cancelled before it was stored
	}
	id, known := s.jobByID.Get(l.ID)
	if !known {
		if l.Progress != nil && l.Progress.State.Final() {
			return
		}
		id = s.insertJob(tick, row, poolID)
	}
	j := s.Jobs.Get(id)
	j.revision = max(j.revision, l.ProgressRevision)
	if !known {
		s.recordArrival(tick.Now, poolID, j)
	}
	if l.Cancelled && j.Final == 0 {
		s.finishJob(id, work.JobCancelled, "")
	}
}

func (s *State) insertJob(tick engine.Tick, row, poolID table.ID) table.ID {
	l := s.Mirror.Jobs.Get(row)
	spec := l.Spec
	id := s.Jobs.Insert(Job{
		LedgerRow: row, Spec: spec, Pool: poolID, Created: l.CreateRevision, Started: l.Progress != nil, revision: l.ProgressRevision,
	})
	s.jobByID.Put(l.ID, id)
	if slices.ContainsFunc(spec.Steps, func(step work.Step) bool { return step.LongRunning }) {
		p := s.Pools.Get(poolID)
		p.longRunningJobs = append(p.longRunningJobs, id)
	}
	j := s.Jobs.Get(id)
	s.setDeadline(tick, j)
	if l.Progress != nil {
		s.restoreOccurrences(tick, id, l.Progress)
	}
	s.openDueOccurrences(tick, id)
	s.completeIfDone(id)
	return id
}

// restoreRuns returns a copy of saved run numbers. Later runs of the task get higher
// numbers.
func (t *Task) restoreRuns(saved []int) []int {
	for _, run := range saved {
		t.LastRun = max(t.LastRun, run)
	}
	return slices.Clone(saved)
}

func (s *State) stageDone(stage *Stage) bool { return stage.DoneTasks == len(stage.Tasks) }

func (s *State) makeReady(now time.Time, taskID table.ID) {
	t := s.Tasks.Get(taskID)
	if t.State == TaskReady || t.State == TaskDone {
		return
	}
	stage := s.Stages.Get(t.Stage)
	j := s.Jobs.Get(stage.Job)
	if j.Final != 0 {
		t.State = TaskDropped
		return
	}
	if stage.OpenDependencies > 0 {
		t.State = TaskBlocked
		return
	}
	t.State, t.ReadySince = TaskReady, now
	s.changeReadyTasks(now, t.Stage, 1)
	s.Pools.Get(j.Pool).placementNeeded = true
}

// finishTask marks a task as done, and unblocks dependent stages and completes
// the job where it was the last one.
func (s *State) finishTask(tick engine.Tick, taskID table.ID) {
	t := s.Tasks.Get(taskID)
	if t.State == TaskDone {
		return
	}
	stage := s.Stages.Get(t.Stage)
	if t.State == TaskReady {
		s.changeReadyTasks(tick.Now, t.Stage, -1)
	}
	t.State = TaskDone
	stage.DoneTasks++
	if !s.stageDone(stage) {
		return
	}
	for _, next := range stage.dependents {
		s.Stages.Get(next).OpenDependencies--
		s.unblockStage(tick, next)
	}
	s.finishStage(stage.Occurrence)
}

func (s *State) completeIfDone(id table.ID) {
	if j := s.Jobs.Get(id); j.finished.Len() >= j.Spec.Schedule.Occurrences() && j.Final == 0 {
		s.finishJob(id, work.JobCompleted, "")
	}
}

// failTask counts a failed run of a task, or of all members of its gang, and
// fails the job at the limit of its queue. Failures are counted by run number,
// since a new owner may read the end of a later run before that of an earlier
// run on another worker.
func (s *State) failTask(taskID table.ID, run int) {
	t := s.Tasks.Get(taskID)
	stage, j, step := s.stageJobAndStep(t)
	if t.State == TaskDone || step.LongRunning || slices.Contains(t.FailedRuns, run) {
		return
	}
	failed := []table.ID{taskID}
	if step.Gang {
		failed = stage.Tasks
	}
	for _, id := range failed {
		member := s.Tasks.Get(id)
		member.FailedRuns = append(member.FailedRuns, run)
	}
	if len(t.FailedRuns) >= max(1, j.Spec.Limits.MaxFailures) && j.Final == 0 {
		s.finishJob(stage.Job, work.JobFailed, s.taskName(t).String())
	}
}

// finishJob sets the final state of a job and stops its remaining runs.
func (s *State) finishJob(id table.ID, state work.JobState, reason string) {
	j := s.Jobs.Get(id)
	j.Final, j.Reason, j.finalUnsaved = state, reason, true
	s.markDirty(id, j.saveAfter)
	s.log(events.WorkFinished, events.F("job", j.Spec.ID), events.F("queue", j.Spec.Queue), events.F("state", state.String()),
		events.F("failed_task", reason), events.F("revision", j.revision))
	s.count("jobs_" + state.String())
	s.dueOccurrences.Remove(id)
	for _, occurrence := range j.occurrences {
		s.dropOccurrence(occurrence)
	}
}

// dropOccurrence drops the tasks of an occurrence that are not done, and stops their runs.
func (s *State) dropOccurrence(id table.ID) {
	for _, stageID := range s.Occurrences.Get(id).Stages {
		stage := s.Stages.Get(stageID)
		s.removeReady(stageID)
		for _, taskID := range stage.Tasks {
			t := s.Tasks.Get(taskID)
			if t.State == TaskDone {
				continue
			}
			t.State = TaskDropped
			if s.Runs.Get(t.Run) != nil {
				s.requestStop(t.Run)
			}
		}
	}
}

// removeFinishedJobs deletes the rows of jobs and occurrences whose end is saved and
// that have no runs left.
func removeFinishedJobs(s *State, _ engine.Tick) {
	for _, id := range s.finishedJobs {
		if j := s.Jobs.Get(id); j != nil && j.activeRuns == 0 {
			s.removeJob(id)
		}
	}
	s.finishedJobs = s.finishedJobs[:0]
	for _, id := range s.finishedOccurrences {
		if o := s.Occurrences.Get(id); o != nil && o.activeRuns == 0 {
			s.closeOccurrence(id)
		}
	}
	s.finishedOccurrences = s.finishedOccurrences[:0]
}

func (s *State) removeJob(id table.ID) {
	j := s.Jobs.Get(id)
	s.dueOccurrences.Remove(id)
	for _, occurrence := range j.occurrences {
		s.deleteOccurrence(occurrence)
	}
	if p := s.Pools.Get(j.Pool); p != nil {
		p.unsavedJobs.Remove(id)
		p.longRunningJobs = slices.DeleteFunc(p.longRunningJobs, func(other table.ID) bool { return other == id })
	}
	s.jobByID.Delete(j.Spec.ID)
	s.Jobs.Delete(id)
}

// findTask returns the row of a task, or 0 if its job is not in the tables or the task is
// not to run any more. It inserts the occurrence of a task that is not in the tables yet:
// an earlier owner may have started it by a clock that is ahead of this machine's.
func (s *State) findTask(tick engine.Tick, name work.TaskName) table.ID {
	id, ok := s.jobByID.Get(name.Job)
	if !ok {
		return 0
	}
	j := s.Jobs.Get(id)
	if name.Occurrence >= j.Spec.Schedule.Occurrences() || name.Step >= len(j.Spec.Steps) || name.Index >= j.Spec.Steps[name.Step].Count {
		return 0
	}
	occurrence := s.findOccurrence(j, name.Occurrence)
	if occurrence == 0 {
		if j.finished.Contains(name.Occurrence) || j.Final != 0 {
			return 0
		}
		occurrence = s.openOccurrence(tick, id, name.Occurrence, nil)
	}
	return s.Stages.Get(s.Occurrences.Get(occurrence).Stages[name.Step]).Tasks[name.Index]
}

// taskName returns the name of a task in the tables.
func (s *State) taskName(t *Task) work.TaskName {
	name := s.stageName(s.Stages.Get(t.Stage))
	name.Index = t.Index
	return name
}

// stageName returns the name of the first task of a stage.
func (s *State) stageName(stage *Stage) work.TaskName {
	return work.TaskName{
		Job: s.Jobs.Get(stage.Job).Spec.ID, Occurrence: s.Occurrences.Get(stage.Occurrence).Number, Step: stage.Step,
	}
}

func (s *State) stageJobAndStep(t *Task) (*Stage, *Job, *work.Step) {
	stage := s.Stages.Get(t.Stage)
	j := s.Jobs.Get(stage.Job)
	return stage, j, &j.Spec.Steps[stage.Step]
}
