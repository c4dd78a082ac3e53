package dispatch

import (
	"cmp"
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// readyQueue holds the stages of a pool that have ready tasks, in placement order. A
// change moves only the stage that it concerns: sorting all of them again slows an owner
// down the more, the longer its queue has become.
type readyQueue struct {
	teams      table.Table[teamQueue]
	teamByName table.Index[string]
	count      int // stages of all teams
	// shared is set once the pool has had a job of a team. Until then the order is that of
	// a single queue and nothing is computed about shares.
	shared bool
	// turns orders the teams during a placement, in which a turn ends at the weighted use
	// limit. capacity is that of the pool, and unownedUse what jobs without a team use.
	turns                table.Heap[turn]
	limit                float64
	capacity, unownedUse placement.Resources
	// overdue holds the stages that have waited beyond their bound, by the time of their
	// next turn.
	overdue            table.Heap[time.Time]
	startsSinceOverdue int
	reservedUntil      time.Time
	// overloaded is set while not all jobs that can be in time have room.
	overloaded        bool
	overloadCheckAt   time.Time
	overloadChangedAt time.Time
	// changes holds the time at which the place of a stage changes next.
	changes table.Heap[time.Time]
	// millicores and lateMillicores are those of the ready tasks of jobs before and
	// after their deadline.
	millicores, lateMillicores int
	// smallest is not larger, in any resource, than a task of any stage.
	smallest placement.Resources
}

// rank is the first part of the placement order.
type rank uint8

// The ranks of ready stages.
const (
	rankLongRunning rank = iota
	rankInTime           // the job can still meet its deadline
	rankLate
	rankWorthless // the job earns nothing any more
)

// readyClass is the first part of the placement order. Teams share a pool within a class.
type readyClass struct {
	rank     rank
	priority int
}

// Compare implements table.Priority.
func (c readyClass) Compare(other readyClass) int {
	return cmp.Or(cmp.Compare(c.rank, other.rank), cmp.Compare(c.priority, other.priority))
}

// readyOrder is the place of a stage among those of its team: long-running stages come
// first, then jobs that can still meet their deadline, and then all others. Within each
// group the queue's priority decides, then the earliest deadline for jobs that can meet
// it, and the highest value density, that is the least work, for the others.
type readyOrder struct {
	class    readyClass
	deadline int64 // Unix nanoseconds, or 0 where the density decides
	density  float64
	stage    table.ID
}

// Compare implements table.Priority.
func (o readyOrder) Compare(other readyOrder) int {
	return cmp.Or(o.class.Compare(other.class), cmp.Compare(o.deadline, other.deadline),
		cmp.Compare(other.density, o.density), cmp.Compare(o.stage, other.stage))
}

// changeReadyTasks adds n to the number of ready tasks of a stage.
func (s *State) changeReadyTasks(now time.Time, id table.ID, n int) {
	stage := s.Stages.Get(id)
	p := s.Pools.Get(s.Jobs.Get(stage.Job).Pool)
	if stage.ReadyTasks == 0 {
		s.rankStage(now, p, id)
	}
	s.countReady(p, stage, n)
	if stage.ReadyTasks == 0 {
		p.ready.remove(stage, id)
	}
}

// removeReady takes a stage out of the queue.
func (s *State) removeReady(id table.ID) {
	stage := s.Stages.Get(id)
	p := s.Pools.Get(s.Jobs.Get(stage.Job).Pool)
	if p == nil || stage.ReadyTasks == 0 {
		return
	}
	s.countReady(p, stage, -stage.ReadyTasks)
	p.ready.remove(stage, id)
}

func (q *readyQueue) remove(stage *Stage, id table.ID) {
	q.teams.Get(stage.readyQueue).stages.Remove(id)
	q.changes.Remove(id)
	q.overdue.Remove(id)
	stage.readyQueue = 0
	q.count--
}

func (s *State) countReady(p *Pool, stage *Stage, n int) {
	stage.ReadyTasks += n
	millicores := n * s.stepOfStage(stage).Reserved().MilliCores
	if stage.late {
		p.ready.lateMillicores += millicores
	} else {
		p.ready.millicores += millicores
	}
}

// rankStage puts a stage at its present place in the queue.
func (s *State) rankStage(now time.Time, p *Pool, id table.ID) {
	stage := s.Stages.Get(id)
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	if stage.readyQueue == 0 {
		stage.readyQueue = p.ready.queueOf(j.Spec.Team)
		p.ready.count++
	}
	if p.ready.shared && j.workLeft == nil {
		s.setWorth(j)
	}
	lateFrom, worthlessFrom := s.lateFrom(j, stage.Step), j.overdueAt.Add(-j.remainingTime[stage.Step])
	order := readyOrder{
		class:   readyClass{rank: rankLate, priority: j.Spec.Limits.Priority},
		density: j.ValueDensity, stage: id,
	}
	if p.ready.shared {
		order.density = j.worth / max(0.001, j.workLeft[stage.Step])
	}
	switch {
	case step.LongRunning:
		order.class.rank = rankLongRunning
	case now.Before(lateFrom) && p.ready.overloaded:
		order.class.rank = rankInTime
	case now.Before(lateFrom):
		order.class.rank, order.deadline, order.density = rankInTime, j.Deadline.UnixNano(), 0
	case p.ready.shared && !now.Before(worthlessFrom):
		order.class.rank, order.deadline, order.density = rankWorthless, j.Deadline.UnixNano(), 0
	}
	stage.late = !now.Before(j.Deadline)
	p.ready.teams.Get(stage.readyQueue).stages.Put(id, order)
	if p.ready.Len() == 1 {
		p.ready.smallest = step.Reserved()
	}
	p.ready.smallest = smallestOf(p.ready.smallest, step.Reserved())
	switch {
	case order.class.rank == rankInTime:
		p.ready.changes.Put(id, lateFrom)
	case !stage.late:
		p.ready.changes.Put(id, j.Deadline)
	case !p.ready.shared:
	case now.Before(worthlessFrom):
		p.ready.changes.Put(id, worthlessFrom)
	case !p.ready.overdue.Contains(id):
		p.ready.overdue.Put(id, now)
	}
}

// lateFrom returns when a job becomes late unless a step starts before.
func (s *State) lateFrom(j *Job, step int) time.Time {
	return j.Deadline.Add(-time.Duration(estimateMargin * float64(j.remainingTime[step])))
}

// updateReadyOrder moves the stages whose jobs have become late.
func (s *State) updateReadyOrder(now time.Time, p *Pool) {
	for {
		id, at, ok := p.ready.changes.Min()
		if !ok || now.Before(at) {
			return
		}
		p.ready.changes.Remove(id)
		s.visitedIndexed++
		stage := s.Stages.Get(id)
		waiting := stage.ReadyTasks
		s.countReady(p, stage, -waiting)
		s.rankStage(now, p, id)
		s.countReady(p, stage, waiting)
		p.placementNeeded = true
	}
}

// smallestOf returns the smaller amount of each resource.
func smallestOf(a, b placement.Resources) placement.Resources {
	return placement.Resources{
		MilliCores: min(a.MilliCores, b.MilliCores), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
