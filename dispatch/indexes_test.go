package dispatch

import (
	"github.com/waxwingbridge/waxwingbridge/table"
)

// checkIndexes compares the indexes with what a scan of the tables finds. All tests on
// a simulation run it: a row that is missing in an index is never polled, saved, stopped
// or placed again.
func (w *simulation) checkIndexes() {
	if w.t == nil || w.countsVisits { // a benchmark, or a test of the visits
		return
	}
	w.t.Helper()
	s := w.s
	inPool := map[table.ID]int{}
	for id, worker := range s.Workers.All() {
		w.checkWorker(id, worker)
		inPool[worker.pool]++
	}
	for id, p := range s.Pools.All() {
		if p.workers.Len() != inPool[id] {
			w.t.Errorf("pool %s lists %d workers, has %d", p.Name, p.workers.Len(), inPool[id])
		}
		w.checkReadyQueue(id, p)
	}
	for id, run := range s.Runs.All() {
		if run.stopRequested != s.stopRequests.Contains(id) || run.bestEffort != s.bestEffortRuns.Contains(id) {
			w.t.Errorf("run %v %d is not indexed as it is", run.Name, run.Number)
		}
	}
	for id, j := range s.Jobs.All() {
		active := w.checkOccurrences(id, j)
		p := s.Pools.Get(j.Pool)
		if j.activeRuns != active || j.dirty && j.saveWrite == 0 && !p.unsavedJobs.Contains(id) {
			w.t.Errorf("job %s: %d active runs, counted %d; dirty %v, queued %v", j.Spec.ID, active, j.activeRuns, j.dirty, p.unsavedJobs.Contains(id))
		}
	}
}

// checkOccurrences returns the number of tasks of a job of which a run may exist.
func (w *simulation) checkOccurrences(id table.ID, j *Job) int {
	w.t.Helper()
	s := w.s
	active, tasks, previous := 0, 0, -1
	for _, occurrenceID := range j.occurrences {
		o := s.Occurrences.Get(occurrenceID)
		activeHere, unfinished := 0, 0
		for _, stageID := range o.Stages {
			stage := s.Stages.Get(stageID)
			if !s.stageDone(stage) {
				unfinished++
			}
			for _, taskID := range stage.Tasks {
				tasks++
				if s.Tasks.Get(taskID).Run != 0 {
					activeHere++
				}
			}
		}
		if o.Job != id || o.Number <= previous || o.activeRuns != activeHere || o.unfinished != unfinished ||
			(unfinished == 0) != j.finished.Contains(o.Number) {
			w.t.Errorf("occurrence %d of %s after %d: %d active runs, counted %d; %d unfinished stages, counted %d; finished %v",
				o.Number, j.Spec.ID, previous, activeHere, o.activeRuns, unfinished, o.unfinished, j.finished)
		}
		active, previous = active+activeHere, o.Number
	}
	if tasks != j.openTasks {
		w.t.Errorf("job %s has %d tasks in the tables, counted %d", j.Spec.ID, tasks, j.openTasks)
	}
	return active
}

func (w *simulation) checkWorker(id table.ID, worker *Worker) {
	w.t.Helper()
	s := w.s
	owned := worker.pool != 0
	if owned && !worker.pollInFlight != s.pollQueue.Contains(id) || !owned && s.pollQueue.Contains(id) {
		w.t.Errorf("worker %s: poll in flight %v, queued %v", worker.ID, worker.pollInFlight, s.pollQueue.Contains(id))
	}
	if owned && len(worker.runs) > 0 && !worker.clockAt.IsZero() && !s.leaseChecks.Contains(id) {
		w.t.Errorf("the leases of worker %s are not checked", worker.ID)
	}
	if owned && (!worker.Listed || len(worker.lapsed) > 0) && !s.unsettled.Contains(id) || !owned && s.unsettled.Contains(id) {
		w.t.Errorf("worker %s: listed %v, unsettled %v", worker.ID, worker.Listed, s.unsettled.Contains(id))
	}
	if !owned && s.slowWorkers.Contains(id) {
		w.t.Errorf("worker %s of no owned pool is listed as slow", worker.ID)
	}
	if s.leaving.Contains(id) != (worker.underMaintenance || worker.maintenancePending) {
		w.t.Errorf("worker %s is not indexed as leaving", worker.ID)
	}
	var load workerLoad
	for _, runID := range worker.runs {
		run := s.Runs.Get(runID)
		load.count(run, 1)
		if t := s.Tasks.Get(run.Task); t != nil && (run.longRunning != stepOf(s, t).LongRunning || run.onProbation != t.onProbation()) {
			w.t.Errorf("run %v %d differs from its task", run.Name, run.Number)
		}
	}
	if load != worker.load {
		w.t.Errorf("worker %s: load %+v, counted %+v", worker.ID, load, worker.load)
	}
}

// ranksAsNow reports whether a stage that can be in time is ordered by density under
// overload, and by deadline otherwise.
func (w *simulation) ranksAsNow(p *Pool, id table.ID, stage *Stage) bool {
	queue := p.ready.teams.Get(stage.readyQueue)
	for i := range queue.stages.Len() {
		if order := queue.stages.PriorityAt(i); queue.stages.At(i) == id && order.class.rank == rankInTime {
			j := w.s.Jobs.Get(stage.Job)
			return j.workLeft == nil || (order.deadline == 0) == p.ready.overloaded || !w.now.Before(w.s.lateFrom(j, stage.Step))
		}
	}
	return true
}

func (w *simulation) checkReadyQueue(id table.ID, p *Pool) {
	w.t.Helper()
	s := w.s
	stages, millicores := 0, 0
	queued := func(id table.ID, stage *Stage) bool {
		team, ok := p.ready.teamByName.Get(s.Jobs.Get(stage.Job).Spec.Team)
		return ok && stage.readyQueue == team && p.ready.teams.Get(team).stages.Contains(id)
	}
	for stageID, stage := range s.Stages.All() {
		if s.Jobs.Get(stage.Job).Pool != id {
			continue
		}
		ready := 0
		for _, taskID := range stage.Tasks {
			if s.Tasks.Get(taskID).State == TaskReady {
				ready++
			}
		}
		if ready != stage.ReadyTasks || (ready > 0) != queued(stageID, stage) {
			w.t.Errorf("stage %d of job %s: %d tasks are ready, counted %d, queued %v", stage.Step, s.Jobs.Get(stage.Job).Spec.ID, ready,
				stage.ReadyTasks, queued(stageID, stage))
		}
		if ready > 0 && !w.ranksAsNow(p, stageID, stage) {
			w.t.Errorf("stage %d of job %s is not ordered by the present rule", stage.Step, s.Jobs.Get(stage.Job).Spec.ID)
		}
		if p.ready.overdue.Contains(stageID) && (ready == 0 || w.now.Before(s.Jobs.Get(stage.Job).overdueAt.Add(-s.Jobs.Get(stage.Job).remainingTime[stage.Step]))) {
			w.t.Errorf("stage %d of job %s is listed as overdue with %d ready tasks", stage.Step, s.Jobs.Get(stage.Job).Spec.ID, ready)
		}
		if ready > 0 {
			stages++
			size := s.stepOfStage(stage).Reserved()
			millicores += ready * size.MilliCores
			if !p.ready.smallest.Fits(size) {
				w.t.Errorf("a waiting task of %+v is smaller than the smallest, %+v", size, p.ready.smallest)
			}
		}
	}
	listed := 0
	for range p.ready.all {
		listed++
	}
	if stages != p.ready.Len() || stages != listed || millicores != p.ready.millicores+p.ready.lateMillicores {
		w.t.Errorf("pool %s: %d ready stages with %d millicores, counted %d with %d and %d", p.Name, stages, millicores,
			p.ready.Len(), p.ready.millicores, p.ready.lateMillicores)
	}
}
