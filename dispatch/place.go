package dispatch

import (
	"math"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/interference"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// runsPerEpoch separates the run numbers of successive owners. It exceeds
	// the number of starts of a task within one ownership.
	runsPerEpoch = 1000
	// placementRetryInterval is the longest time until waiting tasks are considered
	// again without a change that calls for it, since some limits end with time.
	placementRetryInterval = 200 * time.Millisecond
	// placementInterval is the shortest interval between two placements of a
	// pool, so that one placement covers the ended runs of several workers.
	placementInterval = 8 * time.Millisecond
	// maxStartsInFlight bounds the unanswered starts of a pool, and
	// maxStartsPerWorker those on one worker. If more starts were ordered than
	// can be sent within the time limit of an order, all of them would count as
	// unanswered.
	maxStartsInFlight  = 96
	maxStartsPerWorker = 8
	// estimateMargin multiplies the estimated remaining time of a job when it is
	// compared with the deadline. The longest task of each step decides how long
	// the step takes, and estimates are rough.
	estimateMargin = 1.25
	// dataLocalityWait is how long a ready task waits for capacity in the rack
	// that holds its data.
	dataLocalityWait = 400 * time.Millisecond
	// worthlessAfter is how many times its objective after the deadline a job stops to earn.
	worthlessAfter = 2
)

// setDeadline derives the deadline, the remaining times and the value density of
// a job from its steps and limits. The objective follows from the declared run times, what
// is left to do from the expected ones.
func (s *State) setDeadline(tick engine.Tick, j *Job) {
	s.setExpectedTimes(tick.Now, j)
	pathLength := make([]time.Duration, len(j.Spec.Steps))
	var criticalPath time.Duration
	workload := 0.0 // core-seconds
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		for _, before := range step.After {
			pathLength[i] = max(pathLength[i], pathLength[before])
		}
		pathLength[i] += step.Estimate
		criticalPath = max(criticalPath, pathLength[i])
		workload += j.stepWork(i)
	}
	age := s.acceptedAgo(j.Spec)
	allowed := time.Duration(max(1, j.Spec.Limits.SlowdownFactor)*float64(criticalPath)) + j.Spec.Limits.Latency
	j.Deadline = tick.Now.Add(allowed - age)
	j.overdueAt = j.Deadline.Add(worthlessAfter * allowed)
	j.remainingTime = make([]time.Duration, len(j.Spec.Steps))
	for i := len(j.remainingTime) - 1; i >= 0; i-- {
		j.remainingTime[i] += j.expected(i)
		for _, before := range j.Spec.Steps[i].After {
			j.remainingTime[before] = max(j.remainingTime[before], j.remainingTime[i])
		}
	}
	// The benefit of a job has a fixed part, so small jobs earn more per
	// core-second.
	j.Work, j.ValueDensity = workload, 1/max(0.001, workload)
}

// acceptedAgo returns how long ago a job was accepted, or 0 if the clocks of the two
// machines differ too much to tell.
func (s *State) acceptedAgo(job *work.Job) time.Duration {
	age := s.TimeOfDay().Sub(job.AcceptedAt)
	if age < 0 || age > time.Hour {
		return 0
	}
	return age
}

// placeTasks starts ready tasks on workers with free capacity.
func placeTasks(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.mayOrder(p, tick.Now) || s.Stopping || !s.releasesVoided(p) {
			continue
		}
		if tick.Now.Before(p.placedAt.Add(placementInterval)) {
			continue
		}
		s.updateReadyOrder(tick.Now, p)
		s.checkOverload(tick.Now, id, p)
		if !tick.Now.Before(p.retriedAt.Add(placementRetryInterval)) {
			p.retriedAt, p.placementNeeded = tick.Now, true
		}
		if p.placementNeeded && p.ready.Len() > 0 {
			s.placePool(tick, id)
			p.placedAt = tick.Now
		}
		p.placementNeeded = false
	}
}

// candidate is a worker that accepts starts, with its state within one
// placement.
type candidate struct {
	id       table.ID
	w        *Worker
	free     placement.Resources
	reserved bool // for a task on probation
	// reservedFor is the only stage that may start on the worker; 0 for any.
	reservedFor table.ID
	cost        float64 // subtracted from the score
	// longLease is set while leases on the worker may last longer than ordered here: if it is
	// lost, its tasks wait for that long.
	longLease bool
}

func (s *State) candidates(tick engine.Tick, pool table.ID) []candidate {
	var all []candidate
	for id, w := range s.workersOf(pool) {
		if !s.acceptsStarts(tick.Now, w) || !s.mayProbe(tick.Now, id, w) {
			continue
		}
		all = append(all, s.newCandidate(tick.Now, id, w))
	}
	return all
}

func (s *State) newCandidate(now time.Time, id table.ID, w *Worker) candidate {
	c := candidate{id: id, w: w, free: w.Capacity.Sub(w.used), reserved: now.Before(w.reservedUntil), longLease: now.Before(w.strayLeasesUntil)}
	if w.reservedFor != 0 && now.Before(w.reservedForUntil) && s.isReady(w.reservedFor) {
		c.reservedFor = w.reservedFor
	}
	if s.slowWorkers.Contains(id) {
		c.cost = slowCost
	}
	return c
}

func stepOf(s *State, t *Task) *work.Step {
	_, _, step := s.stageJobAndStep(t)
	return step
}

// acceptsStarts reports whether a start may be sent to the worker.
func (s *State) acceptsStarts(now time.Time, w *Worker) bool {
	return w.contactSaved && !w.surplus && s.reachable(now, w)
}

// reachable reports whether the worker itself can take a start.
func (s *State) reachable(now time.Time, w *Worker) bool {
	return w.Listed && w.tokenAccepted && !w.Draining && !w.underMaintenance && !w.clockAt.IsZero() &&
		now.Sub(w.lastListAt) < reachableAfterList && w.failedPolls == 0 && !w.mayHaveRestarted &&
		!now.Before(w.noStartsUntil) && !now.Before(w.quarantinedUntil)
}

func (s *State) placePool(tick engine.Tick, poolID table.ID) {
	candidates := s.candidates(tick, poolID)
	if len(candidates) == 0 {
		return
	}
	p := s.Pools.Get(poolID)
	p.startBudget = maxStartsInFlight
	for i := range candidates {
		p.startBudget -= candidates[i].w.load.starts
	}
	s.beginCaps(p, candidates)
	s.placeOverdue(tick, poolID, candidates)
	largest := largestFree(candidates)
	if !p.ready.smallest.Fits(largest) {
		return
	}
	s.beginTurns(poolID)
	exact := placement.Resources{MilliCores: math.MaxInt, MemoryMB: math.MaxInt, Accelerators: math.MaxInt}
	for {
		if p.startBudget <= 0 || !p.ready.smallest.Fits(largest) {
			return
		}
		team := p.ready.nextTurn()
		if team == nil {
			break
		}
		s.visitedIndexed++
		stageID := team.stages.At(team.next)
		size := s.stepOfStage(s.Stages.Get(stageID)).Reserved()
		started := size.Fits(largest) && s.placeStage(tick, poolID, stageID, candidates)
		if started {
			largest = largestFree(candidates)
		}
		interrupted := started && s.turnOver(p, team.team, placement.Resources{})
		if !interrupted && team.next < team.stages.Len() && team.stages.At(team.next) == stageID {
			exact = smallestOf(exact, size)
			team.next++
		}
		s.endTurn(p, team)
	}
	p.ready.smallest = exact
}

func (s *State) stepOfStage(stage *Stage) *work.Step {
	return &s.Jobs.Get(stage.Job).Spec.Steps[stage.Step]
}

// largestFree returns the largest free amount of each resource on any candidate.
// It lets placement skip most stages of an overloaded pool.
func largestFree(candidates []candidate) placement.Resources {
	var largest placement.Resources
	for i := range candidates {
		free := candidates[i].free
		largest.MilliCores = max(largest.MilliCores, free.MilliCores)
		largest.MemoryMB = max(largest.MemoryMB, free.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, free.Accelerators)
	}
	return largest
}

// placeStage starts the ready tasks of a stage and reports whether it started
// any.
func (s *State) placeStage(tick engine.Tick, poolID, stageID table.ID, candidates []candidate) bool {
	stage := s.Stages.Get(stageID)
	p := s.Pools.Get(poolID)
	j := s.Jobs.Get(stage.Job)
	waiting := stage.ReadyTasks
	step := &j.Spec.Steps[stage.Step]
	if !s.capAllows(tick.Now, poolID, stage) {
		return false
	}
	if j.Spec.Limits.Advice.Needed() && !s.hasUsableTicket(tick, stageID, candidates) {
		return false
	}
	if step.Gang {
		s.placeGang(tick, poolID, stageID, candidates)
		return stage.ReadyTasks < waiting
	}
	withoutWorker := false
	for _, taskID := range stage.Tasks {
		t := s.Tasks.Get(taskID)
		if p.startBudget <= 0 {
			break
		}
		if t.State != TaskReady || tick.Now.Before(t.NotBefore) || s.mayRunElsewhere(p, j, t) || j.mustSaveCrashes(t) {
			continue
		}
		if !s.capAllows(tick.Now, poolID, stage) {
			break
		}
		best := s.bestCandidate(tick, stage, j, step, t, candidates, "")
		if best < 0 && t.onProbation() {
			s.reserveWorker(tick.Now, stage, step, t, candidates)
			continue
		}
		if best < 0 {
			withoutWorker = true
			if t.AvoidWorker == 0 {
				break // the other tasks are of equal size and fit nowhere either
			}
			continue
		}
		s.startTask(tick, p, taskID, &candidates[best], 0)
		if s.turnOver(p, j.Spec.Team, step.Size) {
			break
		}
	}
	if withoutWorker && j.Spec.Limits.Advice.Needed() {
		s.requestAdvice(tick, stageID, candidates)
	}
	return stage.ReadyTasks < waiting
}

// avoidTime is how long a task waits for another worker after a run of it failed, stood
// still or was slow. Then it may return, since nothing else may have room for long. The
// time doubles with each further such run, up to maxAvoidTime: a worker may fail all that
// it starts for some seconds, and the task must not spend its attempts on it meanwhile.
const (
	avoidTime    = time.Second
	maxAvoidTime = 4 * time.Second
)

// avoid keeps the task off a worker for a while.
func (t *Task) avoid(worker table.ID) {
	t.AvoidWorker = worker
	t.avoidances++
}

// avoids reports whether the task waits for another worker than the given one.
func (t *Task) avoids(now time.Time, worker table.ID) bool {
	return t.AvoidWorker == worker && !t.hasWaited(now, min(avoidTime<<max(0, t.avoidances-1), maxAvoidTime))
}

// spreadTime is how long a long-running task waits for a worker with few others of its
// step. Then it starts beside them: a task that does not run serves nobody.
const spreadTime = time.Second

// hasWaited reports whether a task has been ready for a time.
func (t *Task) hasWaited(now time.Time, d time.Duration) bool {
	return t.State == TaskReady && now.Sub(t.ReadySince) >= d
}

// mayRunElsewhere reports whether an earlier owner may have started the task on
// a worker that has not answered this owner yet, or a surplus run has not ended.
func (s *State) mayRunElsewhere(p *Pool, j *Job, t *Task) bool {
	return t.surplusRuns > 0 || j.Created <= p.Token && !p.Reconciled && !t.runFound
}

// bestCandidate returns the index of the best candidate for a task, or -1.
func (s *State) bestCandidate(tick engine.Tick, stage *Stage, j *Job, step *work.Step, t *Task, candidates []candidate, rack string) int {
	return s.bestOf(tick, stage, j, step, t, candidates, rack, s.partners(tick.Now, stage, j, step))
}

// bestOf is bestCandidate with the kinds beside which the task should not run.
func (s *State) bestOf(tick engine.Tick, stage *Stage, j *Job, step *work.Step, t *Task, candidates []candidate, rack string, partners []interference.Partner) int {
	best, bestScore := -1, 0.0
	size := step.Reserved()
	nearExists := false
	for i := range candidates {
		c := &candidates[i]
		if step.Rack != "" && c.w.Rack == step.Rack {
			nearExists = true
		}
		if !size.Fits(c.free) || !s.satisfiesConstraints(tick.Now, c, stage, step, t, rack) {
			continue
		}
		if !s.mayStartOn(tick.Now, j, stage, c.w) {
			continue
		}
		if score := c.score(step, t) - s.interferenceCost(c.w, step, partners); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 && nearExists && candidates[best].w.Rack != step.Rack && tick.Now.Sub(t.ReadySince) < dataLocalityWait {
		return -1
	}
	return best
}

// score prefers workers in the rack of the data, then workers that keep
// latency-sensitive and best-effort tasks apart, then the least loaded.
// Long-running tasks are packed on few workers, since a worker that hosts one
// can't be switched off. Tasks whose workers have crashed are kept apart from others.
func (c *candidate) score(step *work.Step, t *Task) float64 {
	score := float64(c.free.MilliCores) / float64(max(1, c.w.Capacity.MilliCores))
	if step.Rack != "" && c.w.Rack == step.Rack {
		score += 4
	}
	if (step.BestEffort && c.w.load.latencySensitive > 0) || (step.LatencyTarget > 0 && c.w.load.bestEffort > 0) {
		score -= 2
	}
	if step.LongRunning && c.w.load.longRunning > 0 {
		score += 1.5
	}
	if c.w.load.crashed > 0 || t.hasCrashedRepeatedly() && len(c.w.runs) > 0 {
		score -= 2 // the next crash shows whether the one task is the cause
	}
	if step.LongRunning && (c.w.maintenancePending || c.longLease) {
		score -= 3
	}
	switch {
	case t.AvoidWorker != c.id:
	case step.LongRunning: // such a task may fail at any time without a fault of the worker
		score -= 0.3
	default:
		score -= 8
	}
	return score - c.w.faultScore - c.cost
}

func (s *State) runNumberAfter(p *Pool, j *Job, last int) int {
	if j.Created <= p.Token { // an earlier owner may have used the lower numbers
		last = max(last, p.Epoch*runsPerEpoch)
	}
	return last + 1
}

// startTask orders a run of the task on the candidate. A run number of 0 means
// the next number of the task.
func (s *State) startTask(tick engine.Tick, p *Pool, taskID table.ID, c *candidate, number int) {
	t := s.Tasks.Get(taskID)
	stage, j, step := s.stageJobAndStep(t)
	if number == 0 {
		number = s.runNumberAfter(p, j, t.LastRun)
	}
	name := s.taskName(t)
	size := step.Reserved()
	t.State, t.LastRun = TaskActive, number
	s.changeReadyTasks(tick.Now, t.Stage, -1)
	stage.perWorker[c.id]++
	order := StartOrder{
		Target: s.target(c.id, c.w, p), Task: name, Number: number, Payload: j.Spec.Payload,
		LeaseUntil: c.w.estimatedClock(tick.Now) + s.Config.MaxLease, Checkpoint: t.Checkpoint, Ticket: stage.advice.tickets[c.w.ID].value,
	}
	order.Target.Clock = c.w.leastClock(tick.Now)
	c.w.leaseUntil, c.w.leaseSentAt = max(c.w.leaseUntil, order.LeaseUntil), tick.Now
	disturbance := s.interferenceCost(c.w, step, s.partners(tick.Now, stage, j, step))
	if disturbance > 0 {
		s.count("starts_beside_disturbing_kinds")
	}
	order.Run = s.insertRun(Run{
		Task: taskID, Name: name, Number: number, Worker: c.id, State: RunOrdered, OrderedAt: tick.Now, Size: size,
		progressAt: tick.Now, speed: fullSpeed, restored: t.Checkpoint != "", token: order.Target.Token, unanswered: true,
	})
	c.free = c.free.Sub(size)
	returned := t.AvoidWorker == c.id && !step.LongRunning
	if returned {
		s.count("starts_returned")
	}
	if c.cost > 0 { // a probe
		c.free, c.w.nextProbeAt = placement.Resources{}, tick.Now.Add(probeInterval)
	}
	if t.isSuspect() {
		s.markDirty(stage.Job, tick.Now) // a next owner must know of this run
	}
	p.startBudget--
	p.ready.startsSinceOverdue = min(p.ready.startsSinceOverdue+1, maxStartsInFlight)
	s.Out.Starts.Add(order)
	s.count("starts")
	s.log(events.RunOrdered, events.F("task", name.String()), events.F("run", number), events.F("worker", c.w.ID),
		events.F("born", c.w.Incarnation), events.F("lease_until_ms", order.LeaseUntil.Milliseconds()), events.F("token", order.Target.Token), events.F("waited_ms", tick.Now.Sub(t.ReadySince).Milliseconds()),
		events.F("list_age_ms", tick.Now.Sub(c.w.lastListAt).Milliseconds()), events.F("free_millicores", c.free.MilliCores),
		events.F("interference", disturbance), events.F("returned", returned))
}
