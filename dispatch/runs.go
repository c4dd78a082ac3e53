package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Orders to workers and the supervision of runs.
const (
	// stopRetryDelay is the delay before a stop without effect is repeated for
	// the first time. It doubles up to maxStopRetryDelay, because frequent
	// repetitions would worsen the overload of an owner that is short of
	// processor time.
	stopRetryDelay    = 500 * time.Millisecond
	maxStopRetryDelay = 4 * time.Second
	// hangTimeout is how long a run may show no progress. The lists show whole
	// percents; even the longest runs advance by one percent every 60 ms.
	hangTimeout = 1800 * time.Millisecond
	// listFreshFor is the longest age of a list that proves a run to be serving:
	// the wait of a poll plus the time of a slow answer.
	listFreshFor = pollWait + 500*time.Millisecond
	// fullSpeed is the speed, in percent, of a run that is not slowed down.
	fullSpeed = 100
	// servingPercent is the progress that a long-running task reports while it
	// serves.
	servingPercent = 100
)

// StartAnswer is the answer to a start.
type StartAnswer uint8

// The answers to a start.
const (
	StartAccepted         StartAnswer = iota + 1
	StartNoRoom                       // the worker has too little free capacity
	StartOld                          // a run with the same or a higher number was stopped or ended there
	StartLate                         // the lease had expired on the worker's clock
	StartNoTicket                     // the queue's policy requires a valid ticket
	StartUnhealthy                    // the worker is unhealthy and did not execute the order
	StartOtherIncarnation             // another incarnation has the address
	StartFenced                       // the worker has seen a higher fencing token
	StartInvalid                      // the worker rejects the order permanently
	StartNotSent                      // the order was certainly not executed
	StartUnanswered                   // the order may have been executed, or may be executed later
)

// String returns the name used in logs.
func (a StartAnswer) String() string {
	names := [...]string{
		"invalid", "accepted", "no-room", "old", "late", "no-ticket", "unhealthy", "other-life", "fenced", "refused",
		"not-sent", "unanswered",
	}
	if int(a) >= len(names) {
		return names[0]
	}
	return names[a]
}

const (
	// noRoomDelay is the time without starts on a worker that had less free
	// capacity than its lists showed.
	noRoomDelay = 300 * time.Millisecond
	// unhealthyDelay is the time without starts on a worker that did not execute
	// one because it is unhealthy, was not reached or has seen a higher fencing token.
	unhealthyDelay = 700 * time.Millisecond
	// invalidStartDelay is the delay before a task is started again after a
	// worker rejected its start as invalid.
	invalidStartDelay = 2 * time.Second
)

// Started records the answer to a start.
func (s *State) Started(tick engine.Tick, order StartOrder, answer StartAnswer, reading ClockReading, err error) {
	run := s.Runs.Get(order.Run)
	w := s.Workers.Get(order.Target.Worker)
	if answer != StartAccepted {
		s.logRefused(&order, answer, reading, err)
		s.count("starts_" + answer.String())
	} else {
		s.logAccepted(tick.Now, &order, run, reading)
	}
	if run == nil && w != nil && answer == StartAccepted {
		s.pollAtOnce(order.Target.Worker, tick.Now) // it runs though it was given up
	}
	if run == nil || w == nil || run.State != RunOrdered {
		return
	}
	if p := s.Pools.Get(w.pool); p != nil {
		p.placementNeeded = true // the answer makes room for another start in flight
	}
	if reading.Clock > 0 {
		if s.fromSameIncarnation(w, order.Target, reading) {
			w.recordClock(reading)
			s.checkLeases(order.Target.Worker)
		} else {
			if answer == StartAccepted {
				// Only a list from after the start tells which incarnation holds the run.
				s.replacePoll(order.Target.Worker, tick.Now)
				s.setRunState(run, RunUnanswered)
				return
			}
			s.pollAtOnce(order.Target.Worker, tick.Now)
		}
	}
	switch answer {
	case StartAccepted:
		s.setRunState(run, RunConfirmed)
		run.incarnation, run.unanswered = w.Incarnation, false
		run.workerClock, run.progressAt, run.startedAt = reading.Clock, tick.Now, tick.Now
		run.startClock = reading.Clock
		if run.Task != 0 {
			s.markJobStarted(tick.Now, run.Task)
		}
		return
	case StartUnanswered:
		s.setRunState(run, RunUnanswered)
		run.brokenOff = tick.Now.Sub(run.OrderedAt) < earlyCrash
		s.pollAtOnce(order.Target.Worker, tick.Now)
		return
	case StartOtherIncarnation:
		if s.isCurrent(w, order.Target) { // otherwise only this start was certainly not executed
			s.endIncarnation(tick.Now, order.Target.Worker, w.Incarnation, fromRefusal)
			w.lastListAt = time.Time{}
			return
		}
	case StartInvalid:
		if t := s.Tasks.Get(run.Task); t != nil {
			t.NotBefore = tick.Now.Add(invalidStartDelay)
		}
	default:
		if s.isCurrent(w, order.Target) {
			s.noteRefusal(tick.Now, &order, answer)
		}
	}
	if t := s.Tasks.Get(run.Task); t != nil { // a start that was not executed has crashed nothing
		s.withdrawCrash(tick.Now, t, run.Number)
		run.crashInDoubt = false
	}
	s.abandonRun(tick.Now, order.Run, answer.String())
}

// noteRefusal records what the refusal of a start says of the present incarnation of a worker.
func (s *State) noteRefusal(now time.Time, order *StartOrder, answer StartAnswer) {
	w := s.Workers.Get(order.Target.Worker)
	switch answer {
	case StartNoRoom:
		w.noStartsUntil = now.Add(noRoomDelay)
	case StartLate:
		w.lastListAt = time.Time{} // no starts before its next list
		s.pollAtOnce(order.Target.Worker, now)
	case StartNoTicket:
		if t := s.Tasks.Get(s.Runs.Get(order.Run).Task); t != nil {
			s.Stages.Get(t.Stage).advice.expireTicket(w)
		}
	case StartUnhealthy, StartNotSent:
		w.noStartsUntil = now.Add(unhealthyDelay)
		s.recordFault(now, order.Target.Worker, order.Task.Job, failureScore)
	case StartFenced:
		if p := s.Pools.Get(w.pool); order.Target.Token == w.token(p) { // otherwise this owner has fenced its own order
			w.noStartsUntil = now.Add(unhealthyDelay)
		}
	}
}

// Stopped records the answer to a stop.
func (s *State) Stopped(tick engine.Tick, order StopOrder, done, otherLife bool, reading ClockReading) {
	run := s.Runs.Get(order.Run)
	if run == nil {
		return
	}
	switch {
	case otherLife:
		if w := s.Workers.Get(order.Target.Worker); w != nil && s.isCurrent(w, order.Target) {
			s.endIncarnation(tick.Now, order.Target.Worker, w.Incarnation, fromRefusal)
			w.lastListAt = time.Time{}
		}
	case done:
		w := s.Workers.Get(run.Worker)
		if w == nil {
			return
		}
		// An earlier incarnation's knowledge of stopped runs has ended with it.
		switch {
		case s.fromSameIncarnation(w, order.Target, reading):
			run.stopAnswered, run.stopAnswerClock = true, reading.Clock
		case s.isCurrent(w, order.Target) && reading.Clock > 0:
			s.pollAtOnce(run.Worker, tick.Now)
		}
		if !w.pollInFlight {
			s.schedulePoll(run.Worker, tick.Now)
		}
	}
}

// removeRun deletes a run and detaches it from its worker and its task.
func (s *State) removeRun(id table.ID) {
	run := s.Runs.Get(id)
	if w := s.Workers.Get(run.Worker); w != nil {
		if i := slices.Index(w.runs, id); i >= 0 {
			w.runs = slices.Delete(w.runs, i, i+1)
			w.used = w.used.Sub(run.Size)
			w.load.count(run, -1)
		}
		if p := s.Pools.Get(w.pool); p != nil {
			p.placementNeeded = true
		}
	}
	if t := s.Tasks.Get(run.surplusOf); t != nil {
		t.surplusRuns--
	}
	if t := s.Tasks.Get(run.Task); t != nil {
		stage := s.Stages.Get(t.Stage)
		if stage.perWorker[run.Worker]--; stage.perWorker[run.Worker] <= 0 {
			delete(stage.perWorker, run.Worker)
		}
		if t.Run == id {
			s.setTaskRun(run.Task, 0)
		}
	}
	s.deleteRun(id)
}

// abandonRun removes a run that can no longer exist on its worker, and makes its
// task ready again.
func (s *State) abandonRun(now time.Time, id table.ID, reason string) {
	run := s.Runs.Get(id)
	task := run.Task
	s.decideCrash(now, run)
	s.logAbandoned(now, run, reason)
	s.removeRun(id)
	if t := s.Tasks.Get(task); t != nil && t.State == TaskActive && t.Run == 0 {
		s.makeReady(now, task)
	}
}

// updateRun records the listed status of a known run, and requests the stop of a
// run that hangs.
func (s *State) updateRun(tick engine.Tick, id table.ID, clock time.Duration, status *work.RunStatus) {
	run := s.Runs.Get(id)
	if run.State == RunOrdered || run.State == RunUnanswered {
		s.setRunState(run, RunConfirmed)
		run.progressAt, run.startedAt = tick.Now, tick.Now
		if run.Task != 0 {
			s.markJobStarted(tick.Now, run.Task)
		}
	}
	run.incarnation, run.crashInDoubt = s.Workers.Get(run.Worker).Incarnation, false
	run.workerClock = max(run.workerClock, clock)
	if status.Percent != run.percent {
		run.percent, run.progressAt = status.Percent, tick.Now
	}
	if run.firstClock == 0 {
		run.firstClock, run.firstPercent = clock, status.Percent
	}
	run.load = status.Load
	s.judgeRate(tick.Now, id, clock, status.Percent, false)
	t := s.Tasks.Get(run.Task)
	if t == nil {
		return
	}
	s.withdrawCrash(tick.Now, t, run.Number)
	s.setCheckpoint(t, status.Checkpoint)
	s.clearSuspicion(tick.Now, t, run)
	_, _, step := s.stageJobAndStep(t)
	monitored := !step.LongRunning && !step.BestEffort && !step.Gang && run.speed == fullSpeed && run.State == RunConfirmed
	if monitored && !run.stopRequested && tick.Now.Sub(run.progressAt) > hangTimeout {
		s.log(events.RunStalled, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("percent", run.percent),
			events.F("still_ms", tick.Now.Sub(run.progressAt).Milliseconds()))
		t.avoid(run.Worker)
		s.requestStop(id)
		s.recordFault(tick.Now, run.Worker, run.Name.Job, hangScore)
	}
}

// stopRuns orders stops of the runs for which one is requested.
func stopRuns(s *State, tick engine.Tick) {
	for i := range s.stopRequests.Len() {
		id := s.stopRequests.At(i)
		s.visitedIndexed++
		run := s.Runs.Get(id)
		pause := min(stopRetryDelay<<max(0, run.stopAttempts-1), maxStopRetryDelay)
		if run.State == RunOrdered || tick.Now.Before(run.stopOrderedAt.Add(pause)) && !run.stopOrderedAt.IsZero() {
			continue
		}
		w := s.Workers.Get(run.Worker)
		p := s.Pools.Get(w.pool)
		if !s.mayOrder(p, tick.Now) {
			continue
		}
		s.setRunState(run, RunStopping)
		run.stopOrderedAt, run.stopAttempts = tick.Now, min(run.stopAttempts+1, 8)
		target := s.target(run.Worker, w, p)
		target.Clock = w.leastClock(tick.Now)
		s.Out.Stops.Add(StopOrder{Target: target, Run: id, Task: run.Name, Number: run.Number})
		s.log(events.RunStopOrdered, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("worker", w.ID),
			events.F("born", w.Incarnation), events.F("token", w.token(p)))
	}
}

// Quarantine of workers on which runs fail.
const (
	// failureScore is added to the fault score of a worker for a failed run.
	failureScore = 1.0
	// hangScore is higher, since a run without progress is hardly ever the
	// task's own fault.
	hangScore = 1.5
	// quarantineScore is the fault score at which a worker is quarantined. The
	// faults must come from at least two jobs, since a job that can never
	// succeed fails on every worker.
	quarantineScore = 3.0
	// quarantineTime is the length of a quarantine. After it a single failure is
	// enough for the next one.
	quarantineTime = 2500 * time.Millisecond
	// maxQuarantinedShare caps the quarantined share of a pool's workers.
	maxQuarantinedShare = 0.34
)

func (s *State) recordFault(now time.Time, id table.ID, job string, score float64) {
	w := s.Workers.Get(id)
	if w == nil {
		return
	}
	if w.failedJobs == nil {
		w.failedJobs = map[string]struct{}{}
	}
	w.failedJobs[job] = struct{}{}
	w.faultScore += score
	if w.faultScore < quarantineScore || len(w.failedJobs) < 2 || now.Before(w.quarantinedUntil) {
		return
	}
	quarantined, all := s.unfitWorkers(now, w.pool)
	if float64(quarantined+1) > maxQuarantinedShare*float64(all) {
		s.log(events.WorkerUnfitCapped, events.F("worker", w.ID), events.F("unfit", quarantined), events.F("workers", all))
		return
	}
	w.quarantinedUntil, w.faultScore = now.Add(quarantineTime), quarantineScore-failureScore
	s.log(events.WorkerUnfit, events.F("worker", w.ID), events.F("jobs", len(w.failedJobs)), events.F("for_ms", quarantineTime.Milliseconds()))
}

func (s *State) clearFaults(id table.ID) {
	w := s.Workers.Get(id)
	w.faultScore, w.failedJobs = 0, nil
}

const (
	// evictionInterval is the shortest interval between two scans for tasks on workers
	// under maintenance. Their lists arrive at most every 25 ms.
	evictionInterval = 20 * time.Millisecond
	// earlyEvictionInterval is that for long-running tasks on machines that are
	// scheduled for maintenance, which are not urgent.
	earlyEvictionInterval = 100 * time.Millisecond
)

// handoverSlack is added to the time of a stop for the call that ordered it. Until
// then the lists may show tasks as serving that the earlier owner has stopped.
const handoverSlack = 300 * time.Millisecond

// evictWorkers stops long-running tasks on workers under maintenance, within the
// availability limit of their step, and tasks that have a checkpoint. All other
// runs end by themselves. Long-running tasks are also moved off workers that are
// scheduled for maintenance while other workers can take them.
func evictWorkers(s *State, tick engine.Tick) {
	if s.leaving.Len() == 0 || tick.Now.Before(s.lastEviction.Add(evictionInterval)) {
		return
	}
	s.lastEviction = tick.Now
	includePending := !tick.Now.Before(s.lastEarlyEviction.Add(earlyEvictionInterval))
	if includePending {
		s.lastEarlyEviction = tick.Now
	}
	if s.Stopping {
		return // the next owner could not tell which tasks are being stopped
	}
	for i := range s.leaving.Len() {
		s.visitedIndexed++
		w := s.Workers.Get(s.leaving.At(i))
		if !w.underMaintenance && (!includePending || !w.maintenancePending) {
			continue
		}
		p := s.Pools.Get(w.pool)
		if s.mayOrder(p, tick.Now) && !tick.Now.Before(p.OwnedSince.Add(s.Config.StopTime+handoverSlack)) {
			s.evict(tick.Now, w)
		}
	}
}

func (s *State) evict(now time.Time, w *Worker) {
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		t := s.Tasks.Get(run.Task)
		if t == nil || run.stopRequested || run.State != RunConfirmed {
			continue
		}
		stage, _, step := s.stageJobAndStep(t)
		switch {
		case step.LongRunning:
			if s.mayMakeUnavailable(now, stage, step, run.Task) && (w.underMaintenance || s.hasOtherHost(now, stage, step, w)) {
				s.requestStop(id)
			}
		case w.underMaintenance && step.Checkpointing && t.Checkpoint != "" && !step.Gang:
			s.requestStop(id)
		}
	}
}

// hasOtherHost reports whether a worker that is not scheduled for maintenance can
// take a task of a long-running step.
func (s *State) hasOtherHost(now time.Time, stage *Stage, step *work.Step, current *Worker) bool {
	j := s.Jobs.Get(stage.Job)
	for id, w := range s.workersOf(current.pool) {
		c := candidate{id: id, w: w, free: w.Capacity.Sub(w.used)}
		if !w.maintenancePending && j.mayMoveTo(stage, w) && s.acceptsStarts(now, w) && step.Reserved().Fits(c.free) && s.satisfiesConstraints(now, &c, stage, step, &Task{}, "") {
			return true
		}
	}
	return false
}

// mayMakeUnavailable reports whether one more task of a long-running step may be
// unavailable.
func (s *State) mayMakeUnavailable(now time.Time, stage *Stage, step *work.Step, except table.ID) bool {
	if step.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, taskID := range stage.Tasks {
		if taskID == except {
			continue
		}
		run := s.Runs.Get(s.Tasks.Get(taskID).Run)
		if run == nil || run.State != RunConfirmed || run.stopRequested || run.percent < servingPercent || !s.listIsFresh(now, run.Worker) {
			unavailable++
		}
	}
	return unavailable < step.MaxUnavailable
}

// ReadyForHandover reports whether no start is in flight and no final state, end of a
// run or end of a silent worker's leases waits to be saved, so that a planned shutdown can
// hand the pools over without loss.
func (s *State) ReadyForHandover() bool {
	for _, p := range s.Pools.All() {
		if p.Loaded && (p.contactsWrite != 0 || !p.handoverContactsSaved) {
			return false
		}
	}
	for _, run := range s.Runs.All() {
		if run.State == RunOrdered {
			return false
		}
	}
	for _, j := range s.Jobs.All() {
		if j.finalUnsaved || len(j.unsavedEnds)+len(j.savingEnds) > 0 {
			return false
		}
	}
	return true
}

// listIsFresh reports whether the worker's last list is recent enough to tell
// which tasks are serving there.
func (s *State) listIsFresh(now time.Time, worker table.ID) bool {
	w := s.Workers.Get(worker)
	return w.failedPolls == 0 && now.Sub(w.lastListAt) < listFreshFor
}
