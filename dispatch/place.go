package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// runsPerEpoch separates the run numbers of successive owners: a task is
	// started less often within one ownership.
	runsPerEpoch = 1000
	// reorderEvery is how often the queue is sorted anew while jobs wait, since
	// jobs become late.
	reorderEvery = 200 * time.Millisecond
	// placeEvery is the shortest interval between two placements of a pool; in
	// between, the ends of several workers come together.
	placeEvery = 8 * time.Millisecond
	// maxStartsInFlight bounds the starts of a pool without an answer, and
	// maxStartsPerWorker those on one worker. More than can be sent within the
	// time limit of an order would all count as unanswered.
	maxStartsInFlight  = 96
	maxStartsPerWorker = 8
	// restMargin is how much longer than estimated the rest of a job may take
	// if it is to count as in time: the longest task of a step decides, and
	// estimates are rough.
	restMargin = 1.25
	// nearDataPatience is how long a task waits for room near its data.
	nearDataPatience = 400 * time.Millisecond
)

// setObjective derives the order of a job from its limits.
func (s *State) setObjective(tick engine.Tick, j *Job) {
	chain := make([]time.Duration, len(j.Spec.Steps))
	var longest time.Duration
	workload := 0.0 // core-seconds
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		for _, before := range step.After {
			chain[i] = max(chain[i], chain[before])
		}
		chain[i] += step.Estimate
		longest = max(longest, chain[i])
		workload += float64(step.Count) * step.Estimate.Seconds() * float64(step.Reserved().MilliCores) / 1000
	}
	age := s.TimeOfDay().Sub(j.Spec.AcceptedAt)
	if age < 0 || age > time.Hour {
		age = 0 // clocks differ
	}
	allowed := time.Duration(max(1, j.Spec.Limits.SlowdownFactor)*float64(longest)) + j.Spec.Limits.Latency
	j.Deadline = tick.Now.Add(allowed - age)
	j.rest = make([]time.Duration, len(j.Spec.Steps))
	for i := len(j.rest) - 1; i >= 0; i-- {
		j.rest[i] += j.Spec.Steps[i].Estimate
		for _, before := range j.Spec.Steps[i].After {
			j.rest[before] = max(j.rest[before], j.rest[i])
		}
	}
	// A job's benefit has a fixed part, so small jobs earn more for their work.
	j.Work, j.ValueDensity = workload, 1/max(0.001, workload)
}

// placeTasks starts ready tasks on workers with room.
func placeTasks(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.ordering(p, tick.Now) || s.Stopping || !s.reclaimed(p) {
			continue
		}
		if tick.Now.Before(p.placedAt.Add(placeEvery)) {
			continue
		}
		s.orderReady(tick, p)
		if p.place && len(p.ready) > 0 {
			s.placePool(tick, id)
			p.placedAt = tick.Now
		}
		p.place = false
	}
}

// orderReady sorts the waiting stages and drops those without ready tasks.
func (s *State) orderReady(tick engine.Tick, p *Pool) {
	kept := p.ready[:0]
	for _, id := range p.ready {
		stage := s.Stages.Get(id)
		if stage == nil {
			continue
		}
		if stage.ReadyTasks == 0 {
			stage.queued = false
			continue
		}
		kept = append(kept, id)
	}
	p.ready = kept
	if !p.unordered && tick.Now.Before(p.sortedAt.Add(reorderEvery)) {
		return
	}
	p.unordered, p.sortedAt, p.place = false, tick.Now, true
	slices.SortStableFunc(p.ready, func(a, b table.ID) int { return s.compareStages(tick.Now, a, b) })
}

// compareStages puts lasting work first, then jobs that can still meet their
// objective, the earliest first, and then the others, the smallest first.
func (s *State) compareStages(now time.Time, a, b table.ID) int {
	x, y := s.Stages.Get(a), s.Stages.Get(b)
	j, k := s.Jobs.Get(x.Job), s.Jobs.Get(y.Job)
	rank := func(stage *Stage, j *Job) int {
		switch {
		case j.Spec.Steps[stage.Step].LongRunning:
			return 0
		case now.Add(time.Duration(restMargin * float64(j.rest[stage.Step]))).Before(j.Deadline):
			return 1
		default:
			return 2
		}
	}
	order := cmp.Or(cmp.Compare(rank(x, j), rank(y, k)), cmp.Compare(j.Spec.Limits.Priority, k.Spec.Limits.Priority))
	if order != 0 {
		return order
	}
	if rank(x, j) == 1 {
		return cmp.Or(j.Deadline.Compare(k.Deadline), cmp.Compare(a, b))
	}
	return cmp.Or(cmp.Compare(k.ValueDensity, j.ValueDensity), cmp.Compare(a, b))
}

// candidate is a worker with room in one placement.
type candidate struct {
	id      table.ID
	w       *Worker
	free    placement.Resources
	starts  int // orders without an answer
	lasting int
	serving int // lasting tasks with a latency target
	fillers int
}

func (s *State) candidates(tick engine.Tick, pool table.ID) []candidate {
	var all []candidate
	for id, w := range s.Workers.All() {
		if w.pool != pool || !s.usable(tick.Now, w) {
			continue
		}
		c := candidate{id: id, w: w, free: w.Capacity.Sub(w.used)}
		for _, runID := range w.runs {
			run := s.Runs.Get(runID)
			if run.State == RunOrdered {
				c.starts++
			}
			if t := s.Tasks.Get(run.Task); t != nil {
				c.count(stepOf(s, t), 1)
			}
		}
		all = append(all, c)
	}
	return all
}

func stepOf(s *State, t *Task) *work.Step {
	_, _, step := s.step(t)
	return step
}

func (c *candidate) count(step *work.Step, n int) {
	if step.LongRunning {
		c.lasting += n
	}
	if step.LatencyTarget > 0 {
		c.serving += n
	}
	if step.BestEffort {
		c.fillers += n
	}
}

// usable reports whether a start may be sent to the worker.
func (s *State) usable(now time.Time, w *Worker) bool {
	return w.Listed && w.fenced && w.saved && !w.Draining && !w.maintenance && !w.surplus && !w.clockAt.IsZero() &&
		now.Sub(w.lookedAt) < reachableFor && w.failedLook == 0 &&
		!now.Before(w.noRoomUntil) && !now.Before(w.unfitUntil)
}

func (s *State) placePool(tick engine.Tick, poolID table.ID) {
	candidates := s.candidates(tick, poolID)
	if len(candidates) == 0 {
		return
	}
	p := s.Pools.Get(poolID)
	p.startsLeft = maxStartsInFlight
	for i := range candidates {
		p.startsLeft -= candidates[i].starts
	}
	largest := largestFree(candidates)
	for _, stageID := range p.ready {
		if p.startsLeft <= 0 {
			return
		}
		stage := s.Stages.Get(stageID)
		if stage.ReadyTasks == 0 || !s.stepOfStage(stage).Reserved().Fits(largest) {
			continue
		}
		if s.placeStage(tick, poolID, stageID, candidates) {
			largest = largestFree(candidates)
		}
	}
}

func (s *State) stepOfStage(stage *Stage) *work.Step {
	return &s.Jobs.Get(stage.Job).Spec.Steps[stage.Step]
}

// largestFree returns the largest free amount of each resource on any
// candidate: most stages of an overloaded pool need not be looked at.
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
	if j.Spec.Limits.Advice.Needed() && !s.haveAdvice(tick, stageID, candidates) {
		return false
	}
	if step.Gang {
		s.placeGang(tick, poolID, stageID, candidates)
		return stage.ReadyTasks < waiting
	}
	for _, taskID := range stage.Tasks {
		t := s.Tasks.Get(taskID)
		if p.startsLeft <= 0 {
			break
		}
		if t.State != TaskReady || tick.Now.Before(t.NotBefore) || s.mayRunElsewhere(p, j, t) {
			continue
		}
		best := s.choose(tick, stage, j, step, t, candidates, "")
		if best < 0 {
			if t.AvoidWorker == 0 {
				break // equal tasks fit nowhere either
			}
			continue
		}
		s.start(tick, p, taskID, &candidates[best], 0)
	}
	return stage.ReadyTasks < waiting
}

// mayRunElsewhere reports whether an earlier owner may have started the task
// on a worker that has not answered yet.
func (s *State) mayRunElsewhere(p *Pool, j *Job, t *Task) bool {
	return j.Created <= p.Token && !p.Reconciled && !t.settled
}

// choose returns the best candidate for a task, or -1.
func (s *State) choose(tick engine.Tick, stage *Stage, j *Job, step *work.Step, t *Task, candidates []candidate, rack string) int {
	best, bestScore := -1, 0.0
	size := step.Reserved()
	nearExists := false
	for i := range candidates {
		c := &candidates[i]
		if step.Rack != "" && c.w.Rack == step.Rack {
			nearExists = true
		}
		if !size.Fits(c.free) || !c.allowed(stage, step, t, rack) {
			continue
		}
		if j.Spec.Limits.Advice.Needed() && !stage.ticketFor(c.w, tick.Now) {
			continue
		}
		if score := c.score(step, t); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 && nearExists && candidates[best].w.Rack != step.Rack && tick.Now.Sub(t.ReadySince) < nearDataPatience {
		return -1
	}
	return best
}

func (c *candidate) allowed(stage *Stage, step *work.Step, t *Task, rack string) bool {
	switch {
	case c.starts >= maxStartsPerWorker && !step.Gang:
		return false
	case rack != "" && c.w.Rack != rack:
		return false
	case step.Label != "" && !slices.Contains(c.w.Labels, step.Label):
		return false
	case step.WorkerLimit() > 0 && stage.perWorker[c.id] >= step.WorkerLimit():
		return false
	case t.AvoidWorker == c.id && !step.LongRunning:
		return false
	}
	return true
}

// score prefers workers near the data, then a separation of serving tasks from
// fillers, then the least loaded. Lasting tasks gather on few workers, since a
// worker that hosts one can't be switched off.
func (c *candidate) score(step *work.Step, t *Task) float64 {
	score := float64(c.free.MilliCores) / float64(max(1, c.w.Capacity.MilliCores))
	if step.Rack != "" && c.w.Rack == step.Rack {
		score += 4
	}
	if (step.BestEffort && c.serving > 0) || (step.LatencyTarget > 0 && c.fillers > 0) {
		score -= 2
	}
	if step.LongRunning && c.lasting > 0 {
		score += 1.5
	}
	if step.LongRunning && c.w.due {
		score -= 3
	}
	switch {
	case t.AvoidWorker != c.id:
	case step.LongRunning: // may fail at any time through no fault of the worker
		score -= 0.3
	default:
		score -= 8
	}
	return score - c.w.suspicion
}

// placeGang starts all members at once, in one rack where the step asks for it.
func (s *State) placeGang(tick engine.Tick, poolID, stageID table.ID, candidates []candidate) {
	stage := s.Stages.Get(stageID)
	if stage.ReadyTasks != len(stage.Tasks)-stage.DoneTasks {
		return // earlier members have not ended yet
	}
	j := s.Jobs.Get(stage.Job)
	for _, taskID := range stage.Tasks {
		if s.mayRunElsewhere(s.Pools.Get(poolID), j, s.Tasks.Get(taskID)) {
			return
		}
	}
	step := &j.Spec.Steps[stage.Step]
	racks := []string{""}
	if step.SameRack {
		racks = racks[:0]
		for i := range candidates {
			if rack := candidates[i].w.Rack; !slices.Contains(racks, rack) {
				racks = append(racks, rack)
			}
		}
	}
	for _, rack := range racks {
		trial := slices.Clone(candidates)
		chosen := s.assembleGang(tick, stage, j, step, trial, rack)
		if chosen == nil {
			continue
		}
		run := s.nextRun(s.Pools.Get(poolID), stage, j)
		for i, taskID := range stage.Tasks {
			if s.Tasks.Get(taskID).State == TaskReady {
				s.start(tick, s.Pools.Get(poolID), taskID, &candidates[chosen[i]], run)
			}
		}
		return
	}
}

// assembleGang returns a candidate for each member, or nil.
func (s *State) assembleGang(tick engine.Tick, stage *Stage, j *Job, step *work.Step, trial []candidate, rack string) []int {
	counted := Stage{perWorker: map[table.ID]int{}, tickets: stage.tickets}
	chosen := make([]int, len(stage.Tasks))
	for i, taskID := range stage.Tasks {
		t := s.Tasks.Get(taskID)
		if t.State != TaskReady {
			continue
		}
		best := s.choose(tick, &counted, j, step, t, trial, rack)
		if best < 0 {
			return nil
		}
		chosen[i] = best
		trial[best].free = trial[best].free.Sub(step.Reserved())
		counted.perWorker[trial[best].id]++
	}
	return chosen
}

// nextRun returns a number above that of every run of the stage's tasks that
// can exist.
func (s *State) nextRun(p *Pool, stage *Stage, j *Job) int {
	last := 0
	for _, taskID := range stage.Tasks {
		last = max(last, s.Tasks.Get(taskID).LastRun)
	}
	return s.runAfter(p, j, last)
}

func (s *State) runAfter(p *Pool, j *Job, last int) int {
	if j.Created <= p.Token { // an earlier owner may have used low numbers
		last = max(last, p.Epoch*runsPerEpoch)
	}
	return last + 1
}

// start orders a run of the task on the candidate. A run number of 0 means the
// task's next one.
func (s *State) start(tick engine.Tick, p *Pool, taskID table.ID, c *candidate, number int) {
	t := s.Tasks.Get(taskID)
	stage, j, step := s.step(t)
	if number == 0 {
		number = s.runAfter(p, j, t.LastRun)
	}
	name := work.TaskName{Job: j.Spec.ID, Occurrence: stage.Occurrence, Step: stage.Step, Index: t.Index}
	size := step.Reserved()
	t.State, t.LastRun = TaskActive, number
	stage.ReadyTasks--
	stage.perWorker[c.id]++
	order := StartOrder{
		Target: s.target(c.id, c.w, p), Task: name, Number: number, Payload: j.Spec.Payload,
		LeaseUntil: c.w.clockNow(tick.Now) + s.Config.MaxLease, Checkpoint: t.Checkpoint, Ticket: stage.tickets[c.w.ID].value,
	}
	order.Run = s.Runs.Insert(Run{
		Task: taskID, Name: name, Number: number, Worker: c.id, State: RunOrdered, OrderedAt: tick.Now, Size: size,
		progressAt: tick.Now, pace: fullPace,
	})
	t.Run = order.Run
	c.w.leaseUntil = max(c.w.leaseUntil, order.LeaseUntil)
	c.w.used = c.w.used.Add(size)
	c.w.runs = append(c.w.runs, order.Run)
	c.free = c.free.Sub(size)
	c.starts++
	p.startsLeft--
	c.count(step, 1)
	s.Out.Starts.Add(order)
	s.count("starts")
	s.log(events.RunOrdered, events.F("task", name.String()), events.F("run", number), events.F("worker", c.w.ID),
		events.F("token", p.Token), events.F("waited_ms", tick.Now.Sub(t.ReadySince).Milliseconds()),
		events.F("list_age_ms", tick.Now.Sub(c.w.lookedAt).Milliseconds()), events.F("free_millicores", c.free.MilliCores))
}

func (stage *Stage) ticketFor(w *Worker, now time.Time) bool {
	t, ok := stage.tickets[w.ID]
	return ok && t.born == w.Incarnation && now.Before(t.until)
}
