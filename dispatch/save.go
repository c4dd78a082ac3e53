package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Saving of progress.
const (
	// saveInterval limits the rate of an owner's progress writes. It delays the
	// acknowledgement of ended runs a little.
	saveInterval = 120 * time.Millisecond
	// firstSaveDelay is the delay until the state of a job that only started is
	// saved. The job states and the number of waiting jobs that clients see may
	// be up to two seconds old.
	firstSaveDelay = 700 * time.Millisecond
	// maxSavesInFlight allows a second write while a slow one is in flight.
	maxSavesInFlight = 2
	// maxSavedJobs keeps a write, with two entries per job and one for the
	// owner, within the 32 entries of a store transaction.
	maxSavedJobs = 15
)

// saveProgress stores the progress of changed jobs, final states first.
func saveProgress(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		for s.mayOrder(p, tick.Now) && p.savesInFlight < maxSavesInFlight && !tick.Now.Before(p.nextSaveAt) {
			jobs := s.takeJobsToSave(tick.Now, p)
			if len(jobs) == 0 {
				break
			}
			s.saveJobs(id, jobs)
			p.nextSaveAt = tick.Now.Add(saveInterval / maxSavesInFlight)
		}
	}
}

// takeJobsToSave removes the jobs of the next write from the pool's queue.
func (s *State) takeJobsToSave(now time.Time, p *Pool) []table.ID {
	var jobs []table.ID
	for len(jobs) < maxSavedJobs {
		id, at, ok := p.unsavedJobs.Min()
		if !ok || now.Before(at) {
			break
		}
		p.unsavedJobs.Remove(id)
		s.visitedIndexed++
		jobs = append(jobs, id)
	}
	return jobs
}

func (s *State) saveJobs(poolID table.ID, jobs []table.ID) {
	p := s.Pools.Get(poolID)
	write := ledger.Write{
		ID: s.NextWrite(), NotAfter: p.OwnedUntil,
		Expect: []ledger.Condition{{Key: ledger.Key{Kind: ledger.KindOwner, Name: p.Name}, Revision: p.Token}},
	}
	for _, id := range jobs {
		j := s.Jobs.Get(id)
		key := ledger.Key{Kind: ledger.KindProgress, Name: j.Spec.ID}
		write.Expect = append(write.Expect, ledger.Condition{Key: key, Revision: j.revision})
		j.dirty, j.saveWrite, j.savingState, j.savingCrashes = false, write.ID, s.progress(j), j.crashes
		write.Put = append(write.Put, ledger.Put{Key: key, Content: j.savingState})
		j.savingEnds, j.unsavedEnds = append(j.savingEnds, j.unsavedEnds...), nil
	}
	p.savesInFlight++
	s.pendingWrites[write.ID] = pendingWrite{pool: poolID, jobs: jobs}
	s.Out.Writes.Add(write)
}

func (s *State) progress(j *Job) *work.Progress {
	if j.Final != 0 {
		return &work.Progress{State: j.Final}
	}
	p := &work.Progress{State: work.JobRunning, Finished: slices.Clone(j.finished)}
	for _, id := range j.occurrences {
		if o := s.Occurrences.Get(id); o.unfinished > 0 {
			p.Stages = s.appendStages(p.Stages, o)
		}
	}
	return p
}

// appendStages appends the progress of the stages of an occurrence, as far as they have
// any.
func (s *State) appendStages(stages []work.StageProgress, o *Occurrence) []work.StageProgress {
	for _, stageID := range o.Stages {
		stage := s.Stages.Get(stageID)
		saved := work.StageProgress{Occurrence: o.Number, Step: stage.Step}
		for index, taskID := range stage.Tasks {
			t := s.Tasks.Get(taskID)
			if t.State == TaskDone {
				saved.SetDone(index)
			}
			if len(t.FailedRuns) > 0 && t.State != TaskDone {
				saved.Failed = append(saved.Failed, work.TaskRuns{Index: index, Runs: slices.Clone(t.FailedRuns)})
			}
			if t.hasCrashesToSave() {
				saved.Crashed = append(saved.Crashed, s.taskCrashes(index, t))
			}
		}
		if len(saved.Done)+len(saved.Failed)+len(saved.Crashed) > 0 {
			stages = append(stages, saved)
		}
	}
	return stages
}

// WriteDone records the result of a store write and reports whether this package
// issued the write.
func (s *State) WriteDone(tick engine.Tick, result ledger.WriteResult) bool {
	pending, ok := s.pendingWrites[result.ID]
	if !ok {
		return false
	}
	delete(s.pendingWrites, result.ID)
	p := s.Pools.Get(pending.pool)
	if p == nil {
		return true
	}
	if pending.isReport {
		s.reportAnswered(tick.Now, pending.pool, result)
		return true
	}
	if pending.jobs == nil {
		s.contactsSaved(tick.Now, p, pending, result)
		return true
	}
	p.savesInFlight--
	if result.Outcome != ledger.Applied {
		p.nextSaveAt = tick.Now.Add(writeRetryDelay)
		s.log(events.ProgressNotSaved, events.F("pool", p.Name), events.F("outcome", result.Outcome.String()),
			events.F("jobs", len(pending.jobs)), events.Err(result.Err))
	}
	current := map[string]int64{}
	for _, seen := range result.Current {
		if seen.Key.Kind == ledger.KindProgress {
			current[seen.Key.Name] = seen.Revision
			if seen.Deleted {
				current[seen.Key.Name] = 0
			}
		}
		if seen.Key.Kind == ledger.KindOwner && seen.Revision != p.Token {
			p.OwnedUntil = time.Time{} // another process owns the pool; the watch will report it
		}
	}
	for _, id := range pending.jobs {
		if j := s.Jobs.Get(id); j != nil && j.saveWrite == result.ID {
			s.jobSaved(tick.Now, id, result, current)
		}
	}
	return true
}

func (s *State) jobSaved(now time.Time, id table.ID, result ledger.WriteResult, current map[string]int64) {
	j := s.Jobs.Get(id)
	j.saveWrite = 0
	defer s.queueSave(id, j) // it may have changed, or must be written again
	if result.Outcome != ledger.Applied {
		if revision, ok := current[j.Spec.ID]; ok {
			j.revision = revision
		}
		j.dirty = true
		return
	}
	j.revision = result.Revision
	if j.savedCrashes < j.savingCrashes {
		j.savedCrashes = j.savingCrashes
		s.Pools.Get(j.Pool).placementNeeded = true // suspects of the job may start
	}
	s.markOccurrencesSaved(j, j.savingState)
	if j.savingState.State.Final() {
		j.finalSaved, j.finalUnsaved, j.dirty = true, false, false
		// Ends that were read meanwhile change nothing that would have to be saved.
		j.savingEnds, j.unsavedEnds = append(j.savingEnds, j.unsavedEnds...), nil
		s.noteRemovable(id, j)
	}
	s.Mirror.Apply(now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindProgress, Name: j.Spec.ID}, Revision: result.Revision, Content: j.savingState,
	})
	for _, end := range j.savingEnds {
		if w := s.Workers.Get(end.worker); w != nil && w.Incarnation == end.incarnation {
			delete(w.unsavedEnds, end.number)
			if len(w.unsavedEnds) == 0 {
				s.schedulePoll(end.worker, now)
			}
		}
	}
	j.savingEnds = nil
}
