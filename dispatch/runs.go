package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Orders.
const (
	// retryStop is the pause before a stop without effect is repeated for the
	// first time. It doubles up to maxRetryStop: an owner that is short of
	// processor time would make its shortage worse by repeating many stops.
	retryStop    = 500 * time.Millisecond
	maxRetryStop = 4 * time.Second
	// hangAfter is how long a run may show no progress. The lists show whole
	// percents, which a run of the longest kind passes every 60 ms.
	hangAfter = 1800 * time.Millisecond
	// heardFor is the longest age of a list that proves a run to be at work: a
	// look's wait and the time of a slow answer.
	heardFor = lookWait + 500*time.Millisecond
	// fullPace is the speed of a run that nobody paced.
	fullPace = 100
	// atWork is the percent that a lasting task shows while it serves.
	atWork = 100
)

// StartAnswer is the answer to a start.
type StartAnswer uint8

// The answers to a start.
const (
	StartAccepted         StartAnswer = iota + 1
	StartNoRoom                       // does not fit there
	StartOld                          // a run not lower was stopped or ended there
	StartLate                         // the lease time had passed
	StartNoTicket                     // the queue's policy did not allow it
	StartUnhealthy                    // the worker did nothing
	StartOtherIncarnation             // another life holds the address
	StartFenced                       // a higher token is known there
	StartInvalid                      // refused for good
	StartNotSent                      // provably not executed
	StartUnanswered                   // may have been executed, or may still be
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
	// noRoomPause keeps starts from a worker that had less room than its
	// lists showed.
	noRoomPause = 300 * time.Millisecond
	// unhealthyPause is the pause after a worker said that it did nothing.
	unhealthyPause = 700 * time.Millisecond
	// invalidPause delays the repetition of a start that the worker can't read.
	invalidPause = 2 * time.Second
)

// Started records the answer to a start.
func (s *State) Started(tick engine.Tick, order StartOrder, answer StartAnswer, reading ClockReading, err error) {
	run := s.Runs.Get(order.Run)
	w := s.Workers.Get(order.Target.Worker)
	if answer != StartAccepted {
		s.log(events.StartRefused, events.F("task", order.Task.String()), events.F("run", order.Number),
			events.F("worker", order.Target.ID), events.F("answer", answer.String()), events.F("token", order.Target.Token), events.Err(err))
		s.count("starts_" + answer.String())
	}
	if run == nil || w == nil || run.State != RunOrdered {
		return
	}
	if p := s.Pools.Get(w.pool); p != nil {
		p.place = true // another start may follow
	}
	if reading.Clock > 0 && (reading.Incarnation == 0 || reading.Incarnation == w.Incarnation) {
		w.readClock(reading)
	}
	switch answer {
	case StartAccepted:
		run.State, run.clock, run.progressAt = RunConfirmed, reading.Clock, tick.Now
		if run.Task != 0 {
			s.begin(tick.Now, run.Task)
		}
		return
	case StartUnanswered:
		run.State = RunUnanswered
		w.nextLook = tick.Now
		return
	case StartNoRoom:
		w.noRoomUntil = tick.Now.Add(noRoomPause)
	case StartLate:
		w.clockAt, w.clock = time.Time{}, 0
		w.nextLook = tick.Now
	case StartNoTicket:
		if t := s.Tasks.Get(run.Task); t != nil {
			delete(s.Stages.Get(t.Stage).tickets, w.ID)
		}
	case StartUnhealthy, StartNotSent:
		w.noRoomUntil = tick.Now.Add(unhealthyPause)
		s.suspect(tick.Now, order.Target.Worker, order.Task.Job, failureSuspicion)
	case StartOtherIncarnation:
		s.endLife(tick.Now, order.Target.Worker, w.Incarnation)
		w.lookedAt = time.Time{}
		return
	case StartFenced:
		w.noRoomUntil = tick.Now.Add(unhealthyPause)
	case StartInvalid:
		if t := s.Tasks.Get(run.Task); t != nil {
			t.NotBefore = tick.Now.Add(invalidPause)
		}
	}
	s.loseRun(tick.Now, order.Run, answer.String())
}

// Stopped records the answer to a stop.
func (s *State) Stopped(tick engine.Tick, order StopOrder, done, otherLife bool, clock time.Duration) {
	run := s.Runs.Get(order.Run)
	if run == nil {
		return
	}
	switch {
	case otherLife:
		if w := s.Workers.Get(order.Target.Worker); w != nil {
			s.endLife(tick.Now, order.Target.Worker, w.Incarnation)
			w.lookedAt = time.Time{}
		}
	case done:
		run.stopAnswers, run.stopClock = true, clock
		if w := s.Workers.Get(run.Worker); w != nil && !w.looking {
			w.nextLook = tick.Now
		}
	}
}

// removeRun takes a run off its worker and its task.
func (s *State) removeRun(id table.ID) {
	run := s.Runs.Get(id)
	if w := s.Workers.Get(run.Worker); w != nil {
		if i := slices.Index(w.runs, id); i >= 0 {
			w.runs = slices.Delete(w.runs, i, i+1)
			w.used = w.used.Sub(run.Size)
		}
		if p := s.Pools.Get(w.pool); p != nil {
			p.place = true
		}
	}
	if t := s.Tasks.Get(run.Task); t != nil {
		stage := s.Stages.Get(t.Stage)
		if stage.perWorker[run.Worker]--; stage.perWorker[run.Worker] <= 0 {
			delete(stage.perWorker, run.Worker)
		}
		if t.Run == id {
			t.Run = 0
		}
	}
	s.Runs.Delete(id)
}

// loseRun ends a run of which nothing can exist any more, and makes its task
// ready again.
func (s *State) loseRun(now time.Time, id table.ID, reason string) {
	run := s.Runs.Get(id)
	task := run.Task
	s.log(events.RunAbandoned, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("reason", reason))
	s.removeRun(id)
	if t := s.Tasks.Get(task); t != nil && t.State == TaskActive && t.Run == 0 {
		s.makeReady(now, task)
	}
}

// updateRun records what a list says about a known run.
func (s *State) updateRun(tick engine.Tick, id table.ID, clock time.Duration, status *work.RunStatus) {
	run := s.Runs.Get(id)
	if run.State == RunOrdered || run.State == RunUnanswered {
		run.State, run.progressAt = RunConfirmed, tick.Now
		if run.Task != 0 {
			s.begin(tick.Now, run.Task)
		}
	}
	run.clock = max(run.clock, clock)
	if status.Percent != run.percent {
		run.percent, run.progressAt = status.Percent, tick.Now
	}
	run.load = status.Load
	t := s.Tasks.Get(run.Task)
	if t == nil {
		return
	}
	t.Checkpoint = orKeep(status.Checkpoint, t.Checkpoint)
	_, _, step := s.step(t)
	stands := !step.LongRunning && !step.BestEffort && !step.Gang && run.pace == fullPace && run.State == RunConfirmed
	if stands && !run.stopAsked && tick.Now.Sub(run.progressAt) > hangAfter {
		s.log(events.RunStalled, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("percent", run.percent),
			events.F("still_ms", tick.Now.Sub(run.progressAt).Milliseconds()))
		t.AvoidWorker = run.Worker
		run.stopAsked = true
		s.suspect(tick.Now, run.Worker, run.Name.Job, hangSuspicion)
	}
}

// stopRuns orders the end of runs that nobody needs.
func stopRuns(s *State, tick engine.Tick) {
	for id, run := range s.Runs.All() {
		pause := min(retryStop<<max(0, run.stopTries-1), maxRetryStop)
		if !run.stopAsked || run.State == RunOrdered || tick.Now.Before(run.stopAt.Add(pause)) && !run.stopAt.IsZero() {
			continue
		}
		w := s.Workers.Get(run.Worker)
		p := s.Pools.Get(w.pool)
		if !s.ordering(p, tick.Now) {
			continue
		}
		run.State, run.stopAt, run.stopTries = RunStopping, tick.Now, min(run.stopTries+1, 8)
		s.Out.Stops.Add(StopOrder{Target: s.target(run.Worker, w, p), Run: id, Task: run.Name, Number: run.Number})
		s.log(events.RunStopOrdered, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("worker", w.ID),
			events.F("token", p.Token))
	}
}

// Suspicion of workers.
const (
	failureSuspicion = 1.0
	// hangSuspicion is higher: a run without progress is hardly ever the
	// task's own fault.
	hangSuspicion = 1.5
	// unfitAt is the suspicion at which a worker gets no more work, from at
	// least two jobs: a job that can never be done fails everywhere.
	unfitAt = 3.0
	// unfitFor is the length of a quarantine. Afterwards one failure is enough
	// for the next.
	unfitFor = 2500 * time.Millisecond
	// maxUnfitShare caps the quarantined part of a pool.
	maxUnfitShare = 0.34
)

func (s *State) suspect(now time.Time, id table.ID, job string, amount float64) {
	w := s.Workers.Get(id)
	if w == nil {
		return
	}
	if w.failedJobs == nil {
		w.failedJobs = map[string]struct{}{}
	}
	w.failedJobs[job] = struct{}{}
	w.suspicion += amount
	if w.suspicion < unfitAt || len(w.failedJobs) < 2 || now.Before(w.unfitUntil) {
		return
	}
	unfit, all := 0, 0
	for _, other := range s.Workers.All() {
		if other.pool == w.pool && other.Listed {
			all++
			if now.Before(other.unfitUntil) {
				unfit++
			}
		}
	}
	if float64(unfit+1) > maxUnfitShare*float64(all) {
		s.log(events.WorkerUnfitCapped, events.F("worker", w.ID), events.F("unfit", unfit), events.F("workers", all))
		return
	}
	w.unfitUntil, w.suspicion = now.Add(unfitFor), unfitAt-failureSuspicion
	s.log(events.WorkerUnfit, events.F("worker", w.ID), events.F("jobs", len(w.failedJobs)), events.F("for_ms", unfitFor.Milliseconds()))
}

func (s *State) clearSuspicion(id table.ID) {
	w := s.Workers.Get(id)
	w.suspicion, w.failedJobs = 0, nil
}

// evictEarlyEvery is the interval of looks for lasting tasks on machines whose
// maintenance is to come; there is time, and it walks over all workers.
const evictEarlyEvery = 100 * time.Millisecond

// evictWorkers takes lasting tasks off workers under maintenance, within the
// availability limit of their step, and long tasks that keep checkpoints.
// Everything else ends by itself. Lasting tasks also leave workers whose
// maintenance is to come, as long as others can take them.
func evictWorkers(s *State, tick engine.Tick) {
	early := !tick.Now.Before(s.evictedEarly.Add(evictEarlyEvery))
	if early {
		s.evictedEarly = tick.Now
	}
	for _, w := range s.Workers.All() {
		if (w.maintenance || early && w.due) && s.ordering(s.Pools.Get(w.pool), tick.Now) {
			s.evict(tick.Now, w)
		}
	}
}

func (s *State) evict(now time.Time, w *Worker) {
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		t := s.Tasks.Get(run.Task)
		if t == nil || run.stopAsked || run.State != RunConfirmed {
			continue
		}
		stage, _, step := s.step(t)
		switch {
		case step.LongRunning:
			run.stopAsked = s.mayTakeAway(now, stage, step, run.Task) && (w.maintenance || s.hasOtherHost(now, stage, step, w))
		case w.maintenance && step.Checkpointing && t.Checkpoint != "" && !step.Gang:
			run.stopAsked = true
		}
	}
}

// hasOtherHost reports whether a worker without a maintenance to come can take
// a task of a lasting step.
func (s *State) hasOtherHost(now time.Time, stage *Stage, step *work.Step, from *Worker) bool {
	for id, w := range s.Workers.All() {
		c := candidate{id: id, w: w, free: w.Capacity.Sub(w.used)}
		if w.pool == from.pool && !w.due && s.usable(now, w) && step.Reserved().Fits(c.free) && c.allowed(stage, step, &Task{}, "") {
			return true
		}
	}
	return false
}

// mayTakeAway reports whether one more task of a lasting step may be
// unavailable.
func (s *State) mayTakeAway(now time.Time, stage *Stage, step *work.Step, except table.ID) bool {
	if step.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, taskID := range stage.Tasks {
		if taskID == except {
			continue
		}
		run := s.Runs.Get(s.Tasks.Get(taskID).Run)
		if run == nil || run.State != RunConfirmed || run.stopAsked || run.percent < atWork || !s.heard(now, run.Worker) {
			away++
		}
	}
	return away < step.MaxUnavailable
}

// ReadyForHandover reports whether no start is in flight and nothing waits to be saved,
// so that a planned stop loses nothing by handing over.
func (s *State) ReadyForHandover() bool {
	for _, run := range s.Runs.All() {
		if run.State == RunOrdered {
			return false
		}
	}
	for _, j := range s.Jobs.All() {
		if j.urgent || len(j.ends)+len(j.savingEnds) > 0 {
			return false
		}
	}
	return true
}

// heard reports whether the worker's last list is recent enough to tell what
// is at work there.
func (s *State) heard(now time.Time, worker table.ID) bool {
	w := s.Workers.Get(worker)
	return w.failedLook == 0 && now.Sub(w.lookedAt) < heardFor
}
