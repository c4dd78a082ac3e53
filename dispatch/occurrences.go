package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// maxOpenTasks bounds the tasks of a job's occurrences that are in the tables at the same
// time, unless it has a single larger one. Occurrences that are due wait beyond that: a
// schedule may name any number of them, at any interval, and each task is a row.
const maxOpenTasks = 5000

// findOccurrence returns the row of an occurrence, or 0 if it is not in the tables.
func (s *State) findOccurrence(j *Job, number int) table.ID {
	if i, found := s.occurrenceIndex(j, number); found {
		return j.occurrences[i]
	}
	return 0
}

func (s *State) occurrenceIndex(j *Job, number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(id table.ID, n int) int { return s.Occurrences.Get(id).Number - n })
}

// openDueOccurrences inserts the occurrences of a job that are due, as far as their
// number allows, and puts the job into the queue for the next one.
func (s *State) openDueOccurrences(tick engine.Tick, id table.ID) {
	for s.Jobs.Get(id).Final == 0 {
		number, due, ok := s.nextOccurrence(id)
		if !ok {
			return
		}
		if s.TimeOfDay().Before(due) {
			s.dueOccurrences.Put(id, due)
			return
		}
		s.openOccurrence(tick, id, number, nil)
	}
}

// nextOccurrence returns the first occurrence of a job that is neither finished nor in
// the tables, with its due time. It returns false if there is none, or no room for one.
func (s *State) nextOccurrence(id table.ID) (int, time.Time, bool) {
	j := s.Jobs.Get(id)
	for {
		j.nextOccurrence = j.finished.NextMissing(j.nextOccurrence)
		if s.findOccurrence(j, j.nextOccurrence) == 0 {
			break
		}
		j.nextOccurrence++
	}
	hasRoom := len(j.occurrences) == 0 || j.openTasks+j.Spec.TasksPerOccurrence() <= maxOpenTasks
	return j.nextOccurrence, j.Spec.Schedule.DueAt(j.nextOccurrence), hasRoom && j.nextOccurrence < j.Spec.Schedule.Occurrences()
}

// openScheduledOccurrences inserts the occurrences whose due time has come.
func openScheduledOccurrences(s *State, tick engine.Tick) {
	if s.dueOccurrences.Len() == 0 {
		return
	}
	now := s.TimeOfDay()
	for {
		id, at, ok := s.dueOccurrences.Min()
		if !ok || now.Before(at) {
			return
		}
		s.dueOccurrences.Remove(id)
		s.visitedIndexed++
		s.openDueOccurrences(tick, id)
	}
}

// openOccurrence inserts the rows of an occurrence with its saved progress, and makes
// the tasks ready that wait for nothing.
func (s *State) openOccurrence(tick engine.Tick, jobID table.ID, number int, saved []work.StageProgress) table.ID {
	spec := s.Jobs.Get(jobID).Spec
	id := s.Occurrences.Insert(Occurrence{Job: jobID, Number: number})
	stages := make([]table.ID, len(spec.Steps))
	for step := range spec.Steps {
		stages[step] = s.insertStage(jobID, id, spec, number, step)
	}
	o, j := s.Occurrences.Get(id), s.Jobs.Get(jobID)
	o.Stages, o.unfinished = stages, len(stages)
	at, _ := s.occurrenceIndex(j, number)
	j.occurrences = slices.Insert(j.occurrences, at, id)
	j.openTasks += spec.TasksPerOccurrence()
	for i := range saved {
		if step := saved[i].Step; step >= 0 && step < len(stages) {
			s.restoreStage(s.Stages.Get(stages[step]), &saved[i])
		}
	}
	for _, stageID := range stages {
		s.linkDependencies(o, stageID)
	}
	for _, stageID := range stages {
		s.unblockStage(tick, stageID)
	}
	return id
}

func (s *State) insertStage(job, occurrence table.ID, spec *work.Job, number, step int) table.ID {
	stage := Stage{Job: job, Occurrence: occurrence, Step: step, DueAt: spec.Schedule.DueAt(number), perWorker: map[table.ID]int{}}
	id := s.Stages.Insert(stage)
	tasks := make([]table.ID, spec.Steps[step].Count)
	for index := range tasks {
		tasks[index] = s.Tasks.Insert(Task{Stage: id, Index: index})
	}
	s.Stages.Get(id).Tasks = tasks
	return id
}

// restoreOccurrences inserts the occurrences of which a part is saved as done. A record
// of an earlier version lists the steps of finished occurrences as well.
func (s *State) restoreOccurrences(tick engine.Tick, jobID table.ID, progress *work.Progress) {
	occurrences := s.Jobs.Get(jobID).Spec.Schedule.Occurrences()
	s.Jobs.Get(jobID).finished = slices.Clone(progress.Finished)
	for rest := progress.Stages; len(rest) > 0; {
		number, n := rest[0].Occurrence, 1
		for n < len(rest) && rest[n].Occurrence == number {
			n++
		}
		saved := rest[:n]
		rest = rest[n:]
		j := s.Jobs.Get(jobID)
		if number < 0 || number >= occurrences || j.finished.Contains(number) || s.findOccurrence(j, number) != 0 {
			continue
		}
		id := s.openOccurrence(tick, jobID, number, saved)
		if s.Occurrences.Get(id).unfinished == 0 {
			s.Jobs.Get(jobID).finished = s.Jobs.Get(jobID).finished.With(number)
			s.closeOccurrence(id)
		}
	}
}

func (s *State) restoreStage(stage *Stage, saved *work.StageProgress) {
	for index, taskID := range stage.Tasks {
		if saved.IsDone(index) {
			s.Tasks.Get(taskID).State = TaskDone
			stage.DoneTasks++
		}
	}
	for _, failed := range saved.Failed {
		if failed.Index < len(stage.Tasks) {
			t := s.Tasks.Get(stage.Tasks[failed.Index])
			t.FailedRuns = t.restoreRuns(failed.Runs)
		}
	}
	for _, crashed := range saved.Crashed {
		if crashed.Index < len(stage.Tasks) {
			t := s.Tasks.Get(stage.Tasks[crashed.Index])
			t.CrashedRuns, t.EarlyCrashes, t.LateCrashes = t.restoreRuns(crashed.Runs), crashed.Early, crashed.Late
			t.unaccountedRun, t.LastRun = crashed.Running, max(t.LastRun, crashed.Running)
		}
	}
}

// linkDependencies counts the unfinished stages that a stage depends on and
// registers it with them.
func (s *State) linkDependencies(o *Occurrence, id table.ID) {
	stage := s.Stages.Get(id)
	if s.stageDone(stage) {
		o.unfinished--
	}
	for _, before := range s.Jobs.Get(stage.Job).Spec.Steps[stage.Step].After {
		dependency := s.Stages.Get(o.Stages[before])
		if !s.stageDone(dependency) {
			stage.OpenDependencies++
			dependency.dependents = append(dependency.dependents, id)
		}
	}
}

// unblockStage makes the tasks of a stage ready if the stages it depends on are
// done and its due time has passed.
func (s *State) unblockStage(tick engine.Tick, id table.ID) {
	stage := s.Stages.Get(id)
	if stage.OpenDependencies > 0 || s.stageDone(stage) {
		return
	}
	if !stage.DueAt.IsZero() && s.TimeOfDay().Before(stage.DueAt) {
		s.dueStages.Put(id, stage.DueAt)
		return
	}
	for _, taskID := range stage.Tasks {
		if t := s.Tasks.Get(taskID); t.State == TaskBlocked {
			s.makeReady(tick.Now, taskID)
		}
	}
}

func unblockDueStages(s *State, tick engine.Tick) {
	if s.dueStages.Len() == 0 {
		return
	}
	now := s.TimeOfDay()
	for {
		id, at, ok := s.dueStages.Min()
		if !ok || now.Before(at) {
			return
		}
		s.dueStages.Remove(id)
		if s.Stages.Get(id) != nil {
			s.unblockStage(tick, id)
		}
	}
}

// finishStage counts a finished stage of an occurrence, and finishes the occurrence and
// the job where it was the last one.
func (s *State) finishStage(id table.ID) {
	o := s.Occurrences.Get(id)
	if o.unfinished--; o.unfinished > 0 {
		return
	}
	j := s.Jobs.Get(o.Job)
	j.finished = j.finished.With(o.Number)
	s.completeIfDone(o.Job)
}

// markOccurrencesSaved records which occurrences a saved progress record holds as
// finished, so that their rows may be removed.
func (s *State) markOccurrencesSaved(j *Job, saved *work.Progress) {
	for _, id := range j.occurrences {
		if o := s.Occurrences.Get(id); o.unfinished == 0 && !o.saved && saved.Finished.Contains(o.Number) {
			o.saved = true
			s.noteRemovableOccurrence(id)
		}
	}
}

// noteRemovableOccurrence lists an occurrence for removal if it is saved as finished and
// no run of it may exist.
func (s *State) noteRemovableOccurrence(id table.ID) {
	if o := s.Occurrences.Get(id); o.saved && o.activeRuns == 0 {
		s.finishedOccurrences = append(s.finishedOccurrences, id)
	}
}

// closeOccurrence removes a finished occurrence, which makes room for the next ones.
func (s *State) closeOccurrence(id table.ID) {
	o := s.Occurrences.Get(id)
	jobID := o.Job
	j := s.Jobs.Get(jobID)
	if at, found := s.occurrenceIndex(j, o.Number); found {
		j.occurrences = slices.Delete(j.occurrences, at, at+1)
	}
	j.openTasks -= j.Spec.TasksPerOccurrence()
	s.deleteOccurrence(id)
	if _, due, ok := s.nextOccurrence(jobID); ok && j.Final == 0 {
		s.dueOccurrences.Put(jobID, due)
	}
}

// deleteOccurrence deletes the rows of an occurrence.
func (s *State) deleteOccurrence(id table.ID) {
	for _, stageID := range s.Occurrences.Get(id).Stages {
		for _, taskID := range s.Stages.Get(stageID).Tasks {
			s.Tasks.Delete(taskID)
		}
		s.dueStages.Remove(stageID)
		s.removeReady(stageID)
		s.Stages.Delete(stageID)
	}
	s.Occurrences.Delete(id)
}
