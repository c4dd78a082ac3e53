package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// obstacle is the reason why a task may not start on a worker that has room for it.
type obstacle uint8

const (
	noObstacle obstacle = iota
	obstacleSurplus
	obstacleUnreachable
	obstacleQuarantine
	obstacleContactNotSaved
	obstacleSlow
	obstacleStartsInFlight
	obstacleProbation // of the task, or of another one that has just started there
	obstacleReservedForProbation
	obstacleReservedForOverdue
	obstacleRack
	obstacleLabel
	obstacleWorkerLimit
	obstacleAvoided
	obstacleNoTicket
	obstacleCount
)

// String returns the name used in logs.
func (o obstacle) String() string {
	return [...]string{
		"none", "surplus", "unreachable", "quarantined", "contact_not_saved", "slow", "starts_in_flight", "probation", "reserved_for_probation",
		"reserved_for_overdue", "rack", "label", "worker_limit", "avoided", "no_ticket",
	}[o]
}

// workerObstacle returns what keeps all starts off a worker.
func (s *State) workerObstacle(now time.Time, id table.ID, w *Worker) obstacle {
	switch {
	case w.surplus:
		return obstacleSurplus
	case now.Before(w.quarantinedUntil):
		return obstacleQuarantine
	case !s.reachable(now, w):
		return obstacleUnreachable
	case !w.contactSaved:
		return obstacleContactNotSaved
	case !s.mayProbe(now, id, w):
		return obstacleSlow
	default:
		return noObstacle
	}
}

// constraint returns what keeps a task off a candidate that takes starts. rack is the only
// one in which the task may start, or "" for any.
func (s *State) constraint(now time.Time, c *candidate, stage *Stage, step *work.Step, t *Task, rack string) obstacle {
	switch {
	case c.w.load.starts >= maxStartsPerWorker && !step.Gang:
		return obstacleStartsInFlight
	case !step.Gang && s.isIsolated(now, c.w): // members of a gang can't wait for each other's probation
		return obstacleProbation
	case !step.Gang && t.onProbation() && s.freshRuns(now, c.w) > 0:
		return obstacleProbation
	case !step.Gang && !t.onProbation() && c.reserved:
		return obstacleReservedForProbation
	case c.reservedFor != 0 && c.reservedFor != t.Stage:
		return obstacleReservedForOverdue
	case rack != "" && c.w.Rack != rack:
		return obstacleRack
	}
	return stepConstraint(now, c, stage, step, t)
}

// stepConstraint returns what keeps a task off a candidate whatever has started there lately.
func stepConstraint(now time.Time, c *candidate, stage *Stage, step *work.Step, t *Task) obstacle {
	switch {
	case step.Label != "" && !slices.Contains(c.w.Labels, step.Label):
		return obstacleLabel
	case step.MaxPerWorker > 0 && stage.perWorker[c.id] >= step.MaxPerWorker:
		return obstacleWorkerLimit
	case step.WorkerLimit() > 0 && stage.perWorker[c.id] >= step.WorkerLimit() && !t.hasWaited(now, spreadTime):
		return obstacleWorkerLimit
	case !step.LongRunning && t.avoids(now, c.id):
		return obstacleAvoided
	}
	return noObstacle
}

func (s *State) satisfiesConstraints(now time.Time, c *candidate, stage *Stage, step *work.Step, t *Task, rack string) bool {
	return s.constraint(now, c, stage, step, t, rack) == noObstacle
}

const (
	// heldUpAfter is how long a task must have been ready until its stage is logged as held up.
	heldUpAfter = 2 * time.Second
	// heldUpLogInterval is the shortest interval between two such log records of a pool, and
	// maxHeldUpStages the number of stages, from the front of the queue, that are examined
	// for each.
	heldUpLogInterval = time.Second
	maxHeldUpStages   = 4
)

// logHeldUpStages logs for each pool why a stage waits although workers have room for it.
func logHeldUpStages(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if p.ready.Len() == 0 || !s.mayOrder(p, tick.Now) || s.Stopping || tick.Now.Before(p.heldUpCheckAt) {
			continue
		}
		p.heldUpCheckAt = tick.Now.Add(heldUpLogInterval)
		for _, stageID := range p.ready.first(maxHeldUpStages) {
			s.visitedIndexed++
			if s.logIfHeldUp(tick.Now, id, stageID) {
				break
			}
		}
	}
}

// logIfHeldUp logs the stage if it is held up although workers have room for it, and reports
// whether it is.
func (s *State) logIfHeldUp(now time.Time, poolID, stageID table.ID) bool {
	p, stage := s.Pools.Get(poolID), s.Stages.Get(stageID)
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	at := slices.IndexFunc(stage.Tasks, func(id table.ID) bool { return s.Tasks.Get(id).hasWaited(now, heldUpAfter) })
	if at < 0 {
		return false
	}
	t := s.Tasks.Get(stage.Tasks[at])
	counts, withRoom := s.countObstacles(now, poolID, stage, t)
	if withRoom == 0 {
		return false
	}
	fields := []events.Field{
		events.F("pool", p.Name), events.F("task", s.taskName(t).String()), events.F("waited_ms", now.Sub(t.ReadySince).Milliseconds()),
		events.F("millicores", step.Reserved().MilliCores), events.F("workers_with_room", withRoom), events.F("crashes", len(t.CrashedRuns)),
		events.F("unsaved_crashes", j.mustSaveCrashes(t)), events.F("may_run_elsewhere", s.mayRunElsewhere(p, j, t)),
		events.F("waits_for_cap", s.waitsForCap(p, j.Spec.Team)), events.F("need", p.windowNeed),
	}
	for o := noObstacle; o < obstacleCount; o++ {
		if counts[o] > 0 {
			fields = append(fields, events.F(o.String(), counts[o]))
		}
	}
	s.log(events.StageHeldUp, fields...)
	return true
}

// countObstacles counts the listed workers of a pool that have room for a task, by what keeps
// the task off them.
func (s *State) countObstacles(now time.Time, poolID table.ID, stage *Stage, t *Task) (counts [obstacleCount]int, withRoom int) {
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	for id, w := range s.workersOf(poolID) {
		c := s.newCandidate(now, id, w)
		if !w.Listed || !step.Reserved().Fits(c.free) {
			continue
		}
		withRoom++
		o := s.workerObstacle(now, id, w)
		if o == noObstacle {
			o = s.constraint(now, &c, stage, step, t, "")
		}
		if o == noObstacle && !s.mayStartOn(now, j, stage, w) {
			o = obstacleNoTicket
		}
		counts[o]++
	}
	return counts, withRoom
}
