package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// WorkerSeen records a worker's entry in the registry.
func (s *State) WorkerSeen(now time.Time, entry *work.Worker, revision int64) {
	s.endEarlierLives(now, entry)
	id, known := s.workerByID.Get(entry.ID)
	if !known {
		id = s.insertWorker(Worker{Worker: *entry, revision: revision})
	}
	w := s.Workers.Get(id)
	if known {
		if revision <= w.revision {
			return
		}
		if w.Incarnation != 0 && entry.Incarnation != 0 && entry.Incarnation < w.Incarnation {
			return // an entry of an earlier life
		}
		if w.Incarnation != entry.Incarnation {
			s.endLife(now, id, entry.Incarnation)
		}
		if w.Draining != entry.Draining {
			s.log(events.WorkerDraining, events.F("worker", entry.ID), events.F("draining", entry.Draining),
				events.F("revision", revision), events.F("remaining_ms", entry.Remaining.Milliseconds()))
		}
		w.Worker, w.revision = *entry, revision
	}
	if !w.Listed {
		w.Listed, w.nextLook = true, now
	}
	if poolID, owned := s.poolByName.Get(s.partition(w)); owned {
		w.pool = poolID
		s.Pools.Get(poolID).place = true
	}
}

// endEarlierLives gives up what ran on a machine before its present worker. The
// worker of the earlier life answers nothing any more, and need not be waited
// for.
func (s *State) endEarlierLives(now time.Time, entry *work.Worker) {
	if entry.Machine == "" || entry.Incarnation <= s.lives[entry.Machine] {
		return
	}
	s.lives[entry.Machine] = entry.Incarnation
	for id, w := range s.Workers.All() {
		if w.Machine != entry.Machine || w.ID == entry.ID || w.Incarnation >= entry.Incarnation {
			continue
		}
		s.endLife(now, id, w.Incarnation)
		w.fenced, w.lookedAt = true, time.Time{}
		if w.Listed {
			w.nextLook = now.Add(idleLookWait)
		}
	}
}

// WorkerRemoved records that a worker's entry was removed. Its runs may go on
// until their lease lapses.
func (s *State) WorkerRemoved(id string, revision int64) {
	row, ok := s.workerByID.Get(id)
	if !ok {
		return
	}
	w := s.Workers.Get(row)
	if revision <= w.revision || !w.Listed {
		return
	}
	w.Listed, w.revision = false, revision
	s.log(events.WorkerUnregistered, events.F("worker", id), events.F("pool", w.Pool), events.F("runs", len(w.runs)), events.F("revision", revision))
	if w.pool == 0 {
		s.workerByID.Delete(id)
		s.Workers.Delete(row)
	}
}

// SetMaintenance tells whether a machine order takes the worker out of its pool.
func (s *State) SetMaintenance(worker string, on bool) {
	if id, ok := s.workerByID.Get(worker); ok {
		if w := s.Workers.Get(id); w.maintenance != on {
			w.maintenance = on
			if p := s.Pools.Get(w.pool); p != nil {
				p.place = true
			}
		}
	}
}

// SetMaintenancePending tells which machines have a maintenance to come. Lasting tasks leave
// them early, since only a few of a step may be away at a time.
func (s *State) SetMaintenancePending(machines map[string]bool) {
	for _, w := range s.Workers.All() {
		w.due = machines[w.Machine]
	}
}

// WorkerIdle reports whether no run can exist on the worker, and whether this
// process is in a position to know.
func (s *State) WorkerIdle(worker string, now time.Time) (idle, known bool) {
	id, ok := s.workerByID.Get(worker)
	if !ok {
		return false, false
	}
	w := s.Workers.Get(id)
	p := s.Pools.Get(w.pool)
	if !s.ordering(p, now) || !w.fenced || !w.maintenance {
		return false, false
	}
	return len(w.runs) == 0, true
}

// endLife gives up everything that ran in a worker's earlier life.
func (s *State) endLife(now time.Time, id table.ID, born int64) {
	w := s.Workers.Get(id)
	lost := slices.Clone(w.runs)
	for _, run := range lost {
		s.loseRun(now, run, "worker-restarted")
	}
	w = s.Workers.Get(id)
	w.Incarnation, w.fenced, w.saved, w.read = born, false, false, 0
	w.acking = map[int64]struct{}{}
	w.clock, w.clockAt, w.leaseUntil, w.nextLook = 0, time.Time{}, 0, now
	w.suspicion, w.failedJobs, w.unfitUntil = 0, nil, time.Time{}
	if len(lost) > 0 {
		s.log(events.WorkerLifeEnded, events.F("worker", w.ID), events.F("runs", len(lost)), events.F("born", born))
	}
}

// clockNow estimates the worker's clock. The worker's may be slower, so the
// estimate is never behind the truth by more than the age of the reading.
func (w *Worker) clockNow(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// lapsesAt returns when everything that was started on the worker has ended,
// at the latest.
func (w *Worker) lapsesAt() time.Time {
	left := max(0, w.leaseUntil-w.clock)
	return w.clockAt.Add(time.Duration(float64(left)/(1-clockDrift)) + lapseSlack)
}

// readClock records a reading of the clock.
func (w *Worker) readClock(r ClockReading) {
	if r.Clock > w.clock || w.clockAt.IsZero() {
		w.clock, w.clockAt = r.Clock, r.At
	}
}

// expireRuns gives up the runs of workers that have not answered for as long
// as their lease can last, and forgets workers that left.
func expireRuns(s *State, tick engine.Tick) {
	for id, w := range s.Workers.All() {
		p := s.Pools.Get(w.pool)
		if !s.ordering(p, tick.Now) {
			continue
		}
		if len(w.runs) > 0 && !w.clockAt.IsZero() && !tick.Now.Before(w.lapsesAt()) {
			s.log(events.WorkerLeasesLapsed, events.F("worker", w.ID), events.F("runs", len(w.runs)),
				events.F("silent_ms", tick.Now.Sub(w.clockAt).Milliseconds()))
			for _, run := range slices.Clone(w.runs) {
				s.loseRun(tick.Now, run, "lease-lapsed")
			}
		}
		if !w.Listed && len(w.runs) == 0 && p.Reconciled && !w.looking {
			s.workerByID.Delete(w.ID)
			s.Workers.Delete(id)
		}
	}
}

// Looks.
const (
	// lookWait is how long a worker may hold a look open without an end. It
	// bounds the age of a lease and the time until an acknowledgement.
	lookWait = time.Second
	// idleLookWait is the wait where nothing runs; looks are priced.
	idleLookWait = 2 * time.Second
	// lookGap gathers ends that come at nearly the same time.
	lookGap = 25 * time.Millisecond
	// retryLook is the pause after a look that failed.
	retryLook = 250 * time.Millisecond
	// reachableFor is how long a worker counts as reachable after a list. It
	// exceeds the longest wait of a look and its timeout.
	reachableFor = 3200 * time.Millisecond
)

func (s *State) target(id table.ID, w *Worker, p *Pool) Target {
	return Target{Worker: id, ID: w.ID, Address: w.Address, Incarnation: w.Incarnation, Token: p.Token, NotAfter: p.OwnedUntil}
}

func lookAtWorkers(s *State, tick engine.Tick) {
	for id, w := range s.Workers.All() {
		p := s.Pools.Get(w.pool)
		if w.looking || tick.Now.Before(w.nextLook) || !s.ordering(p, tick.Now) {
			continue
		}
		order := PollOrder{Target: s.target(id, w, p), Acknowledged: w.acknowledged()}
		if w.fenced && !w.clockAt.IsZero() {
			// A worker that does not answer gets no longer lease, so that its
			// runs can be given up once the last one has lapsed.
			if w.failedLook == 0 {
				order.LeaseUntil = w.clockNow(tick.Now) + s.Config.MaxLease
				w.leaseUntil = max(w.leaseUntil, order.LeaseUntil)
			}
			order.Wait = idleLookWait
			if len(w.runs) > 0 {
				order.Wait = lookWait
			}
		}
		w.looking = true
		s.Out.Polls.Add(order)
	}
}

// acknowledged returns the highest end up to which everything is saved.
func (w *Worker) acknowledged() int64 {
	acknowledged := w.read
	for number := range w.acking {
		acknowledged = min(acknowledged, number-1)
	}
	return acknowledged
}

// PollResult tells how a look ended.
type PollResult uint8

// The results of a look.
const (
	PollAnswered         PollResult = iota + 1
	PollFenced                      // the worker knows a higher token
	PollOtherIncarnation            // another life holds the address
	PollFailed                      // no usable answer
)

// Polled records the answer to a look.
func (s *State) Polled(tick engine.Tick, to Target, result PollResult, reading ClockReading, running []work.RunStatus, ended []work.RunEnd) {
	w := s.Workers.Get(to.Worker)
	if w == nil || w.ID != to.ID {
		return
	}
	w.looking = false
	p := s.Pools.Get(w.pool)
	if p == nil || p.Token != to.Token {
		return
	}
	switch result {
	case PollAnswered:
		if born := reading.Incarnation; born != 0 && w.Incarnation != 0 && born != w.Incarnation {
			if born > w.Incarnation {
				s.endLife(tick.Now, to.Worker, born)
			}
			w.nextLook = tick.Now.Add(lookGap)
			return
		}
		s.applyLists(tick, to.Worker, reading, running, ended)
	case PollOtherIncarnation:
		s.endLife(tick.Now, to.Worker, w.Incarnation)
		w.fenced, w.nextLook = true, tick.Now.Add(idleLookWait) // nothing of this life can run
		w.lookedAt = time.Time{}
	case PollFenced:
		w.nextLook = tick.Now.Add(retryLook)
		s.log(events.OrderFenced, events.F("worker", w.ID), events.F("token", to.Token))
	case PollFailed:
		w.failedLook++
		w.nextLook = tick.Now.Add(retryLook * time.Duration(min(w.failedLook, 6)))
	}
}

// maxListedEnds is how many ends a worker lists at once; with a full list, the
// absence of a run proves nothing.
const maxListedEnds = 500

func (s *State) applyLists(tick engine.Tick, id table.ID, reading ClockReading, running []work.RunStatus, ended []work.RunEnd) {
	w := s.Workers.Get(id)
	p := s.Pools.Get(w.pool)
	clock := reading.Clock
	if !w.fenced {
		w.fenced, p.place = true, true
		// An earlier owner may have renewed the leases just before.
		w.leaseUntil = max(w.leaseUntil, clock+s.Config.MaxLease)
	}
	w.readClock(reading)
	w.lookedAt, w.failedLook = tick.Now, 0
	for _, end := range ended {
		if end.Number > w.read {
			w.read = end.Number
			s.applyEnd(tick, id, end)
		}
	}
	listed := make(map[table.ID]bool, len(running))
	for i := range running {
		listed[s.applyRunning(tick, id, clock, &running[i])] = true
	}
	if len(ended) < maxListedEnds {
		s.applyAbsence(tick, id, clock, listed)
	}
	s.Workers.Get(id).nextLook = tick.Now.Add(lookGap)
}

// applyRunning records one row of a list and returns the run's row.
func (s *State) applyRunning(tick engine.Tick, worker table.ID, clock time.Duration, status *work.RunStatus) table.ID {
	w := s.Workers.Get(worker)
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		if run.Number == status.Run && run.Name == status.Task {
			s.updateRun(tick, id, clock, status)
			return id
		}
	}
	return s.adoptRun(tick, worker, clock, status)
}

// adoptRun records a run that this process did not start or no longer expects:
// one of an earlier owner, or an order that was carried out late. It is kept if
// its task needs it, and stopped otherwise.
func (s *State) adoptRun(tick engine.Tick, worker table.ID, clock time.Duration, status *work.RunStatus) table.ID {
	run := Run{
		Name: status.Task, Number: status.Run, Worker: worker, State: RunConfirmed, OrderedAt: tick.Now,
		clock: clock, percent: status.Percent, progressAt: tick.Now, pace: fullPace,
	}
	taskID := s.task(status.Task)
	kept := false
	if t := s.Tasks.Get(taskID); t != nil {
		stage, j, step := s.step(t)
		run.Size = step.Reserved()
		t.LastRun = max(t.LastRun, status.Run)
		// The stages before it may still look open: their ends wait in the
		// lists of other workers.
		if kept = t.Run == 0 && t.State != TaskDone && j.Final == 0; kept {
			run.Task = taskID
			if t.State == TaskReady {
				stage.ReadyTasks--
			}
			t.State, t.Checkpoint = TaskActive, orKeep(status.Checkpoint, t.Checkpoint)
			stage.perWorker[worker]++
		}
	}
	run.stopAsked = !kept
	id := s.Runs.Insert(run)
	if kept {
		t := s.Tasks.Get(taskID)
		t.Run, t.settled = id, true
		s.begin(tick.Now, taskID)
	}
	w := s.Workers.Get(worker)
	w.runs = append(w.runs, id)
	w.used = w.used.Add(run.Size)
	s.log(events.RunAdopted, events.F("task", status.Task.String()), events.F("run", status.Run), events.F("worker", w.ID),
		events.F("kept", kept), events.F("worker_clock_ms", clock.Milliseconds()))
	return id
}

func orKeep(value, previous string) string {
	if value == "" {
		return previous
	}
	return value
}

// applyAbsence ends runs that a list rules out.
func (s *State) applyAbsence(tick engine.Tick, worker table.ID, clock time.Duration, listed map[table.ID]bool) {
	w := s.Workers.Get(worker)
	for _, id := range slices.Clone(w.runs) {
		run := s.Runs.Get(id)
		if run == nil || listed[id] {
			continue
		}
		switch {
		case run.State == RunConfirmed && clock > run.clock:
			s.loseRun(tick.Now, id, "not-listed")
		case run.State == RunStopping && run.stopAnswers && clock > run.stopClock:
			s.loseRun(tick.Now, id, "stopped-before-start")
		case run.State == RunUnanswered:
			// The order may still be carried out; a stop rules it out for good.
			run.stopAsked = true
		}
	}
}

// applyEnd records one end of a list.
func (s *State) applyEnd(tick engine.Tick, worker table.ID, end work.RunEnd) {
	w := s.Workers.Get(worker)
	taskID := s.task(end.Task)
	s.log(events.RunEnded, events.F("task", end.Task.String()), events.F("run", end.Run), events.F("worker", w.ID),
		events.F("reason", end.Reason.String()), events.F("end", end.Number), events.F("worker_clock_ms", w.clock.Milliseconds()))
	s.count("run_ends_" + end.Reason.String())
	var ended table.ID
	for _, id := range w.runs {
		if run := s.Runs.Get(id); run.Number == end.Run && run.Name == end.Task {
			ended = id
		}
	}
	t := s.Tasks.Get(taskID)
	if t != nil {
		t.LastRun = max(t.LastRun, end.Run)
		t.Checkpoint = orKeep(end.Checkpoint, t.Checkpoint)
	}
	if ended != 0 {
		s.removeRun(ended)
	}
	if t == nil {
		return
	}
	s.accountEnd(tick, worker, taskID, end)
	if t = s.Tasks.Get(taskID); t != nil && t.Run == 0 && t.State == TaskActive {
		s.makeReady(tick.Now, taskID)
	}
}

func (s *State) accountEnd(tick engine.Tick, worker, taskID table.ID, end work.RunEnd) {
	t := s.Tasks.Get(taskID)
	stage, j, step := s.step(t)
	jobID := stage.Job
	switch end.Reason {
	case work.EndDone:
		s.clearSuspicion(worker)
		if step.LongRunning {
			return
		}
		s.recordEnd(tick.Now, jobID, worker, end.Number)
		if step.Gang { // one end stands for all members
			for _, member := range slices.Clone(stage.Tasks) {
				s.finishTask(tick, member)
			}
			return
		}
		s.finishTask(tick, taskID)
	case work.EndFailed:
		t.AvoidWorker = worker
		s.suspect(tick.Now, worker, j.Spec.ID, failureSuspicion)
		if !step.LongRunning {
			s.recordEnd(tick.Now, jobID, worker, end.Number)
			s.failTask(taskID, end.Run)
		}
	}
}

// recordEnd keeps an end from being acknowledged before the job is saved.
func (s *State) recordEnd(now time.Time, job, worker table.ID, number int64) {
	j := s.Jobs.Get(job)
	w := s.Workers.Get(worker)
	if j.saved {
		return
	}
	w.acking[number] = struct{}{}
	j.ends = append(j.ends, pendingEnd{worker: worker, born: w.Incarnation, number: number})
	j.Started, j.dirty, j.saveAfter = true, true, now
}

// begin marks a job as begun.
func (s *State) begin(now time.Time, taskID table.ID) {
	stage := s.Stages.Get(s.Tasks.Get(taskID).Stage)
	if j := s.Jobs.Get(stage.Job); !j.Started {
		j.Started, j.dirty, j.saveAfter = true, true, now.Add(beginInterval)
	}
}
