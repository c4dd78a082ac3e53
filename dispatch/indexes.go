package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/estimate"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// The functions of this file keep the indexes by which systems find the rows that are
// due, so that the work of a tick follows what has changed and not the size of the
// tables: a process mirrors all workers of the site and owns few of them.

// setPool assigns a worker to an owned pool, or to none if the pool is 0.
func (s *State) setPool(id, pool table.ID) {
	w := s.Workers.Get(id)
	if w.pool == pool {
		return
	}
	if p := s.Pools.Get(w.pool); p != nil {
		p.workers.Remove(id)
	}
	w.pool = pool
	s.slowWorkers.Remove(id)
	w.suspicion, w.slowCapped = estimate.Suspicion{}, false
	s.pollQueue.Remove(id)
	s.leaseChecks.Remove(id)
	p := s.Pools.Get(pool)
	if p == nil {
		s.unsettled.Remove(id)
		return
	}
	p.workers.Add(id)
	w.tokenRaise = max(w.tokenRaise, p.highestRaise) // the row of a worker may be inserted anew
	w.incarnationRaise = w.tokenRaise
	p.contactsChanged, p.placementNeeded = true, true
	s.unsettled.Put(id, !w.Listed || len(w.lapsed) > 0)
	s.queuePoll(id)
	s.checkLeases(id)
}

// workersOf iterates over the workers of an owned pool. The loop may take the present
// worker out of the pool, but no other one.
func (s *State) workersOf(pool table.ID) func(yield func(table.ID, *Worker) bool) {
	return func(yield func(table.ID, *Worker) bool) {
		p := s.Pools.Get(pool)
		if p == nil {
			return
		}
		for i := p.workers.Len() - 1; i >= 0; i-- {
			id := p.workers.At(i)
			s.visitedIndexed++
			if !yield(id, s.Workers.Get(id)) {
				return
			}
		}
	}
}

// schedulePoll sets the time of the next poll of a worker.
func (s *State) schedulePoll(id table.ID, at time.Time) {
	s.Workers.Get(id).nextPollAt = at
	s.queuePoll(id)
}

func (s *State) queuePoll(id table.ID) {
	if w := s.Workers.Get(id); w.pool != 0 && !w.pollInFlight {
		s.pollQueue.Put(id, w.nextPollAt)
	}
}

// checkLeases schedules the check whether the leases of a worker's runs have expired.
func (s *State) checkLeases(id table.ID) {
	w := s.Workers.Get(id)
	if at := w.leasesExpireAt(); w.pool != 0 && len(w.runs) > 0 && !at.IsZero() {
		s.leaseChecks.Put(id, at)
	}
}

// takeDue removes the rows that are due from a queue and returns those whose pool may
// send orders. The others remain in the queue.
func (s *State) takeDue(queue *table.Heap[time.Time], now time.Time) []table.ID {
	var due, blocked []table.ID
	var blockedAt []time.Time
	for {
		id, at, ok := queue.Min()
		if !ok || now.Before(at) {
			break
		}
		queue.Remove(id)
		s.visitedIndexed++
		if s.mayOrder(s.Pools.Get(s.Workers.Get(id).pool), now) {
			due = append(due, id)
		} else {
			blocked, blockedAt = append(blocked, id), append(blockedAt, at)
		}
	}
	for i, id := range blocked {
		queue.Put(id, blockedAt[i])
	}
	return due
}

// deleteWorker removes the row of a worker.
func (s *State) deleteWorker(id table.ID) {
	s.setPool(id, 0)
	s.unsettled.Remove(id)
	s.leaving.Remove(id)
	w := s.Workers.Get(id)
	machine := w.Machine
	s.workerByID.Delete(w.ID)
	s.Workers.Delete(id)
	s.forgetMachine(machine)
}

// requestStop asks for the stop of a run, which stopRuns repeats until the run is gone.
func (s *State) requestStop(id table.ID) {
	s.Runs.Get(id).stopRequested = true
	s.stopRequests.Add(id)
}

// insertRun adds a run to its worker, and to its task if it has one.
func (s *State) insertRun(run Run) table.ID {
	if t := s.Tasks.Get(run.Task); t != nil {
		step := stepOf(s, t)
		run.longRunning, run.latencySensitive, run.bestEffort = step.LongRunning, step.LatencyTarget > 0, step.BestEffort
		run.onProbation, run.crashed = t.onProbation(), t.hasCrashedRepeatedly()
		run.kind = s.kindOf(t)
	}
	if t := s.Tasks.Get(run.surplusOf); t != nil {
		t.surplusRuns++
	}
	s.chargeTeam(&run)
	id := s.Runs.Insert(run)
	if run.Task != 0 {
		s.setTaskRun(run.Task, id)
	}
	s.bestEffortRuns.Put(id, run.bestEffort)
	w := s.Workers.Get(run.Worker)
	w.runs = append(w.runs, id)
	w.used = w.used.Add(run.Size)
	w.load.count(&run, 1)
	if len(w.runs) == 1 {
		s.checkLeases(run.Worker)
	}
	return id
}

// count adds n runs like the given one.
func (l *workerLoad) count(run *Run, n int) {
	add := func(counter *int, is bool) {
		if is {
			*counter += n
		}
	}
	add(&l.starts, run.State == RunOrdered)
	add(&l.longRunning, run.longRunning)
	add(&l.latencySensitive, run.latencySensitive)
	add(&l.bestEffort, run.bestEffort)
	add(&l.onProbation, run.onProbation)
	add(&l.crashed, run.crashed)
}

// updateRunLoad applies a change to a run and corrects the load of its worker.
func (s *State) updateRunLoad(run *Run, change func()) {
	w := s.Workers.Get(run.Worker)
	w.load.count(run, -1)
	change()
	w.load.count(run, 1)
}

// setRunState changes the state of a run.
func (s *State) setRunState(run *Run, state RunState) {
	s.updateRunLoad(run, func() { run.State = state })
}

// updateProbation records on the present run of a task what its crashes call for.
func (s *State) updateProbation(t *Task) {
	if run := s.Runs.Get(t.Run); run != nil {
		s.updateRunLoad(run, func() { run.onProbation, run.crashed = t.onProbation(), t.hasCrashedRepeatedly() })
	}
}

// deleteRun removes the row of a run.
func (s *State) deleteRun(id table.ID) {
	s.stopRequests.Remove(id)
	s.bestEffortRuns.Remove(id)
	s.releaseTeam(s.Runs.Get(id))
	s.Runs.Delete(id)
}

// setTaskRun records the run that may exist of a task, or 0 for none.
func (s *State) setTaskRun(taskID, run table.ID) {
	t := s.Tasks.Get(taskID)
	stage := s.Stages.Get(t.Stage)
	j, o := s.Jobs.Get(stage.Job), s.Occurrences.Get(stage.Occurrence)
	if t.Run != 0 {
		j.activeRuns--
		o.activeRuns--
	}
	if t.Run = run; run != 0 {
		j.activeRuns++
		o.activeRuns++
	}
	s.noteRemovable(stage.Job, j)
	s.noteRemovableOccurrence(stage.Occurrence)
}

// noteRemovable lists a job for removal if its final state is saved and no run of it may
// exist.
func (s *State) noteRemovable(id table.ID, j *Job) {
	if j.finalSaved && j.activeRuns == 0 {
		s.finishedJobs = append(s.finishedJobs, id)
	}
}

// markDirty has a job saved at the given time, or earlier.
func (s *State) markDirty(id table.ID, at time.Time) {
	j := s.Jobs.Get(id)
	if !j.dirty || at.Before(j.saveAfter) {
		j.saveAfter = at
	}
	j.dirty = true
	s.queueSave(id, j)
}

// queueSave puts a changed job into the queue of its pool. Final states come first. A
// job whose write is in flight follows when that has ended.
func (s *State) queueSave(id table.ID, j *Job) {
	p := s.Pools.Get(j.Pool)
	if p == nil || !j.dirty || j.saveWrite != 0 {
		return
	}
	at := j.saveAfter
	if j.finalUnsaved {
		at = time.Time{}
	}
	p.unsavedJobs.Put(id, at)
}
