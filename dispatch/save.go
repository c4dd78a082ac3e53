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

// Saving.
const (
	// saveInterval bounds the writes of an owner. Ends of running jobs are
	// acknowledged a little later for it.
	saveInterval = 120 * time.Millisecond
	// beginInterval is the delay until a job that only began is saved; the
	// shown state and the number of waiting jobs may be two seconds old.
	beginInterval = 700 * time.Millisecond
	// maxSavesInFlight lets one slow write not hold up the next.
	maxSavesInFlight = 2
	// maxSavedJobs keeps a write, with two entries a job and one for the
	// owner, within the 32 entries of a store transaction.
	maxSavedJobs = 15
)

// saveProgress writes the progress of changed jobs, final states first.
func saveProgress(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		for s.ordering(p, tick.Now) && p.saves < maxSavesInFlight && !tick.Now.Before(p.saveRetry) {
			jobs := s.jobsToSave(tick, id)
			if len(jobs) == 0 {
				break
			}
			s.saveJobs(id, jobs)
			p.saveRetry = tick.Now.Add(saveInterval / maxSavesInFlight)
		}
	}
}

func (s *State) jobsToSave(tick engine.Tick, pool table.ID) []table.ID {
	var final, others []table.ID
	for id, j := range s.Jobs.All() {
		if j.Pool != pool || !j.dirty || j.saving != 0 {
			continue
		}
		switch {
		case j.urgent:
			final = append(final, id)
		case !tick.Now.Before(j.saveAfter):
			others = append(others, id)
		}
	}
	final = append(final, others...)
	return final[:min(len(final), maxSavedJobs)]
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
		j.dirty, j.saving, j.savingState = false, write.ID, s.progress(j)
		write.Put = append(write.Put, ledger.Put{Key: key, Content: j.savingState})
		j.savingEnds, j.ends = append(j.savingEnds, j.ends...), nil
	}
	p.saves++
	s.writes[write.ID] = writeTarget{pool: poolID, jobs: jobs}
	s.Out.Writes.Add(write)
}

func (s *State) progress(j *Job) *work.Progress {
	if j.Final != 0 {
		return &work.Progress{State: j.Final}
	}
	p := &work.Progress{State: work.JobRunning}
	for _, stageID := range j.stages {
		stage := s.Stages.Get(stageID)
		saved := work.StageProgress{Occurrence: stage.Occurrence, Step: stage.Step}
		for index, taskID := range stage.Tasks {
			t := s.Tasks.Get(taskID)
			if t.State == TaskDone {
				saved.SetDone(index)
			}
			if len(t.FailedRuns) > 0 && t.State != TaskDone {
				saved.Failed = append(saved.Failed, work.TaskFailures{Index: index, Runs: slices.Clone(t.FailedRuns)})
			}
		}
		if len(saved.Done)+len(saved.Failed) > 0 {
			p.Stages = append(p.Stages, saved)
		}
	}
	return p
}

// WriteDone records the result of a write and reports whether it was one of
// this package.
func (s *State) WriteDone(tick engine.Tick, result ledger.WriteResult) bool {
	target, ok := s.writes[result.ID]
	if !ok {
		return false
	}
	delete(s.writes, result.ID)
	p := s.Pools.Get(target.pool)
	if p == nil {
		return true
	}
	if target.demand != nil {
		s.demandSaved(tick.Now, target.pool, target.demand, result)
		return true
	}
	if target.jobs == nil {
		s.contactsSaved(tick.Now, p, target, result)
		return true
	}
	p.saves--
	if result.Outcome != ledger.Applied {
		p.saveRetry = tick.Now.Add(retryWrite)
		s.log(events.ProgressNotSaved, events.F("pool", p.Name), events.F("outcome", result.Outcome.String()),
			events.F("jobs", len(target.jobs)), events.Err(result.Err))
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
			p.OwnedUntil = time.Time{} // another process owns the pool; the watch will tell
		}
	}
	for _, id := range target.jobs {
		if j := s.Jobs.Get(id); j != nil && j.saving == result.ID {
			s.jobSaved(tick.Now, j, result, current)
		}
	}
	return true
}

func (s *State) jobSaved(now time.Time, j *Job, result ledger.WriteResult, current map[string]int64) {
	j.saving = 0
	if result.Outcome != ledger.Applied {
		if revision, ok := current[j.Spec.ID]; ok {
			j.revision = revision
		}
		j.dirty = true
		return
	}
	j.revision = result.Revision
	if j.savingState.State.Final() {
		j.saved, j.urgent = true, false
	}
	s.Ledger.Apply(now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindProgress, Name: j.Spec.ID}, Revision: result.Revision, Content: j.savingState,
	})
	for _, end := range j.savingEnds {
		if w := s.Workers.Get(end.worker); w != nil && w.Incarnation == end.born {
			delete(w.acking, end.number)
			if len(w.acking) == 0 {
				w.nextLook = now
			}
		}
	}
	j.savingEnds = nil
}
