package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// holdsNothing reports whether the worker has neither a run nor an end that is not
// saved. Such an end can only be read again from the worker.
func (w *Worker) holdsNothing() bool { return len(w.runs)+len(w.unsavedEnds) == 0 }

// WorkerIdle reports whether the worker holds nothing. Known is false if this process
// cannot tell.
func (s *State) WorkerIdle(worker string, now time.Time) (idle, known bool) {
	id, ok := s.workerByID.Get(worker)
	if !ok {
		return false, false
	}
	w := s.Workers.Get(id)
	p := s.Pools.Get(w.pool)
	if !s.mayOrder(p, now) || !w.tokenAccepted || !w.underMaintenance {
		return false, false
	}
	return w.holdsNothing(), true
}

// estimatedClock extrapolates the worker's clock from its last reading. The
// reading is from before its arrival, so the estimate is never behind the real
// clock by more than the reading's age. It may be ahead, since the worker's clock
// may be slower.
func (w *Worker) estimatedClock(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// leastClock returns the least that the worker's clock shows now.
func (w *Worker) leastClock(now time.Time) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + time.Duration((1-clockDrift)*float64(max(0, now.Sub(w.clockAt))))
}

// leasesExpireAt returns the latest time at which every run on the worker has
// ended because its lease expired, or zero if that is not known.
func (w *Worker) leasesExpireAt() time.Time {
	if w.clockAt.IsZero() {
		return w.strayLeasesUntil
	}
	return w.clockAt.Add(heldFor(max(0, w.leaseUntil-w.clock)))
}

// recordClock stores a reading of the worker's clock unless it is older than
// the stored one.
func (w *Worker) recordClock(r ClockReading) {
	if r.Clock > w.clock || w.clockAt.IsZero() {
		w.clock, w.clockAt = r.Clock, r.At
	}
}

// expireRuns gives up the runs of workers that have not answered until their
// leases expired, and deletes workers that left the registry.
func expireRuns(s *State, tick engine.Tick) {
	for _, id := range s.takeDue(&s.leaseChecks, tick.Now) {
		w := s.Workers.Get(id)
		if len(w.runs) == 0 || w.leasesExpireAt().IsZero() {
			continue
		}
		if tick.Now.Before(w.leasesExpireAt()) {
			s.checkLeases(id)
			continue
		}
		s.log(events.WorkerLeasesExpired, events.F("worker", w.ID), events.F("runs", len(w.runs)), events.F("born", w.Incarnation),
			events.F("silent_ms", tick.Now.Sub(w.clockAt).Milliseconds()), events.F("last_clock_ms", w.clock.Milliseconds()),
			events.F("lease_until_ms", w.leaseUntil.Milliseconds()))
		for _, run := range slices.Clone(w.runs) {
			if lapsed, counts := s.lapsedRun(tick.Now, w, s.Runs.Get(run)); counts {
				w.lapsed, w.lapsedAt = append(w.lapsed, lapsed), tick.Now
			}
			s.Runs.Get(run).crashInDoubt = false // it may have begun, so that its crash is not proven
			s.abandonRun(tick.Now, run, "lease-lapsed")
		}
		s.unsettled.Put(id, !w.Listed || len(w.lapsed) > 0)
	}
	for i := s.unsettled.Len() - 1; i >= 0; i-- {
		id := s.unsettled.At(i)
		s.visitedIndexed++
		w := s.Workers.Get(id)
		p := s.Pools.Get(w.pool)
		if !s.mayOrder(p, tick.Now) {
			continue
		}
		if len(w.lapsed) > 0 && tick.Now.Sub(w.lapsedAt) > crashProofTimeout {
			s.settleSuspicions(tick.Now, w)
			w.lapsed = nil
		}
		switch {
		case w.Listed && len(w.lapsed) == 0:
			s.unsettled.Remove(id)
		case !w.Listed && w.holdsNothing() && len(w.lapsed) == 0 && p.Reconciled && !w.pollInFlight:
			s.deleteWorker(id)
		}
	}
}

// Polling of workers.
const (
	// pollWait is how long a worker may hold a poll open while no run ends. It
	// bounds the age of a lease and the delay of an acknowledgement.
	pollWait = time.Second
	// idlePollWait is used for workers without runs. It is longer because each
	// poll has a cost.
	idlePollWait = 2 * time.Second
	// pollGap separates two polls of a worker, so that ends which occur at
	// nearly the same time are reported together.
	pollGap = 25 * time.Millisecond
	// pollRetryDelay is the delay after a failed poll; it grows with each
	// further failure.
	pollRetryDelay = 250 * time.Millisecond
	// reachableAfterList is how long a worker counts as reachable after it sent
	// its lists. It exceeds the longest wait of a poll plus the poll's timeout.
	reachableAfterList = 3200 * time.Millisecond
)

func (s *State) target(id table.ID, w *Worker, p *Pool) Target {
	return Target{
		Worker: id, ID: w.ID, Address: w.Address, Incarnation: w.Incarnation, Clock: w.clock, Token: w.token(p), Attempt: w.pollAttempt,
		NotAfter: p.OwnedUntil,
	}
}

func pollWorkers(s *State, tick engine.Tick) {
	for _, id := range s.takeDue(&s.pollQueue, tick.Now) {
		w := s.Workers.Get(id)
		p := s.Pools.Get(w.pool)
		w.pollAttempt++
		order := PollOrder{Target: s.target(id, w, p)}
		sameIncarnation := w.failedPolls == 0 && !w.mayHaveRestarted // as far as this owner knows
		if sameIncarnation {                                         // otherwise its ends may count from 1 again
			// Repeating a number would have the next incarnation forget ends of its own.
			if saved := w.lastSavedEnd(); saved > w.acknowledged {
				order.Acknowledged = saved
			}
		}
		if w.tokenAccepted && !w.clockAt.IsZero() {
			// The lease of a worker that does not answer is not extended, so
			// that its runs can be given up once the last lease has expired.
			if sameIncarnation && !w.leaseLimited {
				order.LeaseUntil = w.estimatedClock(tick.Now) + s.Config.MaxLease
				w.leaseUntil, w.leaseSentAt = max(w.leaseUntil, order.LeaseUntil), tick.Now
			}
			switch {
			case w.mayHaveRestarted || w.settlesStarts:
			case len(w.runs) > 0:
				order.Wait = pollWait
			default:
				order.Wait = idlePollWait
			}
		}
		w.pollInFlight, w.pollWaits, w.acknowledging = true, order.Wait > 0, order.Acknowledged
		s.Out.Polls.Add(order)
	}
}

// lastSavedEnd returns the highest end number up to which every end is saved.
func (w *Worker) lastSavedEnd() int64 {
	acknowledged := w.lastReadEnd
	for number := range w.unsavedEnds {
		acknowledged = min(acknowledged, number-1)
	}
	return acknowledged
}

// PollResult is the outcome of a poll.
type PollResult uint8

// The outcomes of a poll.
const (
	PollAnswered         PollResult = iota + 1
	PollFenced                      // the worker has seen a higher fencing token
	PollOtherIncarnation            // another incarnation has the address
	PollFailed                      // no usable answer
)

// Polled records the outcome of a poll.
func (s *State) Polled(tick engine.Tick, to Target, result PollResult, reading ClockReading, running []work.RunStatus, ended []work.RunEnd) {
	w := s.Workers.Get(to.Worker)
	if w == nil || w.ID != to.ID || w.pollAttempt != to.Attempt {
		return
	}
	w.pollInFlight = false
	s.queuePoll(to.Worker)
	p := s.Pools.Get(w.pool)
	if p == nil || w.token(p) != to.Token {
		return
	}
	switch result {
	case PollAnswered:
		// The lists of a new incarnation are applied in the same tick: they may contain a run
		// that was ordered before the restart was known, which must not start elsewhere.
		s.recognizeWorker(tick, to.Worker, reading.Incarnation)
		w.acknowledged = max(w.acknowledged, w.acknowledging)
		s.applyLists(tick, to, reading, running, ended)
	case PollOtherIncarnation:
		s.endIncarnation(tick.Now, to.Worker, w.Incarnation, fromRefusal)
		w.tokenAccepted, w.lastListAt = true, time.Time{} // no run of this incarnation can exist
		s.schedulePoll(to.Worker, tick.Now.Add(idlePollWait))
	case PollFenced:
		s.schedulePoll(to.Worker, tick.Now.Add(pollRetryDelay))
		s.log(events.OrderFenced, events.F("worker", w.ID), events.F("token", to.Token))
	case PollFailed:
		if w.failedPolls++; w.failedPolls == 1 {
			w.silentSince, p.contactsChanged = tick.Now, true
		}
		s.suspectFreshRuns(tick.Now, p, w) // of some the answer to the start comes later
		s.schedulePoll(to.Worker, tick.Now.Add(pollRetryDelay*time.Duration(min(w.failedPolls, 6))))
	}
}

// maxListedEnds is the largest number of ends in one answer of a worker. If the
// list of ends is full, the absence of a run proves nothing, since its end may
// not be listed yet.
const maxListedEnds = 500

func (s *State) applyLists(tick engine.Tick, to Target, reading ClockReading, running []work.RunStatus, ended []work.RunEnd) {
	id := to.Worker
	w := s.Workers.Get(id)
	p := s.Pools.Get(w.pool)
	clock := reading.Clock
	p.contactsChanged = p.contactsChanged || !w.tokenAccepted || w.failedPolls > 0
	// An answer under a lower token does not keep the worker from executing earlier orders.
	fenced := to.Token == w.token(p)
	if !w.tokenAccepted {
		// Orders of an earlier owner, or meant for an earlier incarnation, may have extended
		// the leases just before this poll.
		w.leaseUntil = max(w.leaseUntil, clock+s.longestUnknownLease(tick.Now, w))
		w.tokenAccepted, p.placementNeeded = fenced, true
	}
	w.recordClock(reading)
	s.checkLeases(id)
	w.lastListAt, w.failedPolls, w.silentSince, w.mayHaveRestarted = tick.Now, 0, time.Time{}, false
	for _, end := range ended {
		if end.Number > w.lastReadEnd {
			w.lastReadEnd = end.Number
			s.applyEnd(tick, id, end)
		}
	}
	s.settleSuspicions(tick.Now, w)
	w.lapsed = nil // it was cut off and has not crashed
	listed := make(map[table.ID]bool, len(running))
	for i := range running {
		listed[s.applyRunStatus(tick, id, clock, &running[i])] = true
	}
	if fenced {
		w.settlesStarts = false
	}
	if fenced && len(ended) < maxListedEnds {
		s.settleFencedRuns(tick.Now, w, to.Token, listed)
		s.endUnlistedRuns(tick, id, clock, listed)
	}
	next := tick.Now.Add(pollGap)
	if !fenced {
		next = tick.Now
	}
	s.schedulePoll(id, next)
	s.noteObservable(tick.Now, id)
}

// applyRunStatus records one running run of a list and returns its row.
func (s *State) applyRunStatus(tick engine.Tick, worker table.ID, clock time.Duration, status *work.RunStatus) table.ID {
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

// adoptRun records a run that this process did not start or had given up: one
// started by an earlier owner, or by an order that was executed late. The run is
// kept if its task has no other run, and stopped otherwise.
func (s *State) adoptRun(tick engine.Tick, worker table.ID, clock time.Duration, status *work.RunStatus) table.ID {
	w := s.Workers.Get(worker)
	p := s.Pools.Get(w.pool)
	run := Run{
		Name: status.Task, Number: status.Run, Worker: worker, State: RunConfirmed, OrderedAt: tick.Now,
		incarnation: w.Incarnation, token: w.token(p),
		workerClock: clock, percent: status.Percent, progressAt: tick.Now, startedAt: tick.Now, speed: fullSpeed, speedUncertain: true,
	}
	taskID := s.findTask(tick, status.Task)
	kept := false
	if t := s.Tasks.Get(taskID); t != nil {
		stage, j, step := s.stageJobAndStep(t)
		run.Size = step.Reserved()
		t.LastRun = max(t.LastRun, status.Run)
		s.accountFor(tick.Now, t, status.Run)
		// The stages it depends on may not be done in the tables yet, because
		// their ends are listed by workers that have not answered yet.
		if kept = t.Run == 0 && t.State != TaskDone && j.Final == 0; kept {
			run.Task = taskID
			if t.State == TaskReady {
				s.changeReadyTasks(tick.Now, t.Stage, -1)
			}
			t.State = TaskActive
			s.setCheckpoint(t, status.Checkpoint)
			stage.perWorker[worker]++
		} else {
			run.surplusOf = taskID
		}
	}
	id := s.insertRun(run)
	if kept {
		s.Tasks.Get(taskID).runFound = true
		s.markJobStarted(tick.Now, taskID)
	} else {
		s.requestStop(id)
	}
	p.contactsChanged = true
	s.log(events.RunAdopted, events.F("task", status.Task.String()), events.F("run", status.Run), events.F("worker", w.ID),
		events.F("born", w.Incarnation), events.F("kept", kept), events.F("worker_clock_ms", clock.Milliseconds()))
	return id
}

// setCheckpoint records a checkpoint that a worker has stated. That of any member of a
// gang is valid for all of them, and all have to start with the same one.
func (s *State) setCheckpoint(t *Task, checkpoint string) {
	if checkpoint == "" || checkpoint == t.Checkpoint {
		return
	}
	t.Checkpoint = checkpoint
	if stage, _, step := s.stageJobAndStep(t); step.Gang {
		for _, member := range stage.Tasks {
			s.Tasks.Get(member).Checkpoint = checkpoint
		}
	}
}

// endUnlistedRuns gives up runs that cannot exist because the worker's lists,
// which are newer than its last statement about the run, do not contain them.
func (s *State) endUnlistedRuns(tick engine.Tick, worker table.ID, clock time.Duration, listed map[table.ID]bool) {
	w := s.Workers.Get(worker)
	for _, id := range slices.Clone(w.runs) {
		run := s.Runs.Get(id)
		if run == nil || listed[id] {
			continue
		}
		switch {
		case run.State == RunConfirmed && clock > run.workerClock:
			s.abandonRun(tick.Now, id, "not-listed")
		case run.State == RunStopping && run.stopAnswered && clock > run.stopAnswerClock:
			s.abandonRun(tick.Now, id, "stopped-before-start")
		case run.State != RunUnanswered:
		case run.longRunning && s.fenceStart(w, run):
			// A stop would end it if it has begun since the list, however many tasks of its
			// step are unavailable.
		default:
			// The start may still be executed; a stop prevents that permanently.
			s.requestStop(id)
		}
	}
}

// applyEnd records one ended run of a list.
func (s *State) applyEnd(tick engine.Tick, worker table.ID, end work.RunEnd) {
	w := s.Workers.Get(worker)
	taskID := s.findTask(tick, end.Task)
	s.log(events.RunEnded, events.F("task", end.Task.String()), events.F("run", end.Run), events.F("worker", w.ID),
		events.F("born", w.Incarnation), events.F("reason", end.Reason.String()), events.F("end", end.Number), events.F("worker_clock_ms", w.clock.Milliseconds()))
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
		s.accountForEnd(tick.Now, worker, t, end)
		s.setCheckpoint(t, end.Checkpoint)
	}
	if ended != 0 {
		if end.Reason == work.EndDone {
			s.judgeRate(tick.Now, ended, w.clock, donePercent, true)
			s.observeRunTime(tick.Now, ended)
		}
		s.removeRun(ended)
	}
	if t == nil {
		return
	}
	s.applyEndToTask(tick, worker, taskID, end)
	if t = s.Tasks.Get(taskID); t != nil && t.Run == 0 && t.State == TaskActive {
		s.makeReady(tick.Now, taskID)
	}
}

func (s *State) applyEndToTask(tick engine.Tick, worker, taskID table.ID, end work.RunEnd) {
	t := s.Tasks.Get(taskID)
	stage, j, step := s.stageJobAndStep(t)
	jobID := stage.Job
	switch end.Reason {
	case work.EndDone:
		s.clearFaults(worker)
		if step.LongRunning {
			return
		}
		s.deferAcknowledgement(tick.Now, jobID, worker, end.Number)
		if step.Gang { // one end is reported for all members
			for _, member := range slices.Clone(stage.Tasks) {
				s.finishTask(tick, member)
			}
			return
		}
		s.finishTask(tick, taskID)
	case work.EndFailed:
		t.avoid(worker)
		s.recordFault(tick.Now, worker, j.Spec.ID, failureScore)
		if !step.LongRunning {
			s.deferAcknowledgement(tick.Now, jobID, worker, end.Number)
			s.failTask(taskID, end.Run)
		}
	}
}

// deferAcknowledgement marks the job for saving and keeps the end from being
// acknowledged before that.
func (s *State) deferAcknowledgement(now time.Time, job, worker table.ID, number int64) {
	j := s.Jobs.Get(job)
	w := s.Workers.Get(worker)
	if j.finalSaved {
		return
	}
	w.unsavedEnds[number] = struct{}{}
	j.unsavedEnds = append(j.unsavedEnds, pendingEnd{worker: worker, incarnation: w.Incarnation, number: number})
	j.Started = true
	s.markDirty(job, now)
}

// markJobStarted marks the job of a task as started.
func (s *State) markJobStarted(now time.Time, taskID table.ID) {
	stage := s.Stages.Get(s.Tasks.Get(taskID).Stage)
	if j := s.Jobs.Get(stage.Job); !j.Started {
		j.Started = true
		s.markDirty(stage.Job, now.Add(firstSaveDelay))
	}
}
