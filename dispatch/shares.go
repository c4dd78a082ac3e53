package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Weighted fair sharing of a pool between teams, and the bound on how often a stage is
// passed over. See docs/design/order.md.
const (
	// overdueInterval is the number of starts of a pool per start that goes to the stage
	// that is overdue for longest. It bounds how often such a stage is passed over, and the
	// part of the pool that work without benefit takes from the rest.
	overdueInterval = 8
	// maxOverdueTurns bounds the overdue starts of one placement and the stages that it
	// examines for them.
	maxOverdueTurns = 4
	// overdueRetryDelay is the delay until the next turn of an overdue stage that can't start
	// although there is room for smaller tasks.
	overdueRetryDelay = 250 * time.Millisecond
	// overdueReservation is how long workers are reserved for an overdue stage that fits on
	// no free capacity. It exceeds the run time of most tasks; the stage is tried again after it.
	overdueReservation = 8 * time.Second
)

// teamQueue holds the ready stages of one team in a pool, in the order within the team.
type teamQueue struct {
	team   string
	stages table.Sorted[readyOrder]
	next   int // position that the present placement has reached
}

// turn is the place of a team among the teams of a pool: that of its next stage, with the
// team's weighted use in place of the order within the team.
type turn struct {
	class readyClass
	share float64
	stage readyOrder
}

// Compare implements table.Priority.
func (t turn) Compare(other turn) int {
	return cmp.Or(t.class.Compare(other.class), cmp.Compare(t.share, other.share), t.stage.Compare(other.stage))
}

// Len returns the number of ready stages.
func (q *readyQueue) Len() int { return q.count }

// all iterates over the ready stages, team by team.
func (q *readyQueue) all(yield func(table.ID) bool) {
	for _, team := range q.teams.All() {
		for i := range team.stages.Len() {
			if !yield(team.stages.At(i)) {
				return
			}
		}
	}
}

// first returns up to n stages, the first ones of each team in turn.
func (q *readyQueue) first(n int) []table.ID {
	var stages []table.ID
	for i := 0; len(stages) < min(n, q.count); i++ {
		for _, team := range q.teams.All() {
			if i < team.stages.Len() && len(stages) < n {
				stages = append(stages, team.stages.At(i))
			}
		}
	}
	return stages
}

// queueOf returns the row of a team's queue, which it inserts for a new team.
func (q *readyQueue) queueOf(team string) table.ID {
	id, ok := q.teamByName.Get(team)
	if !ok {
		id = q.teams.Insert(teamQueue{team: team})
		q.teamByName.Put(team, id)
		q.shared = q.shared || team != ""
	}
	return id
}

// teamWeight returns the weight of a team. Jobs without a team, and those of a team that
// the manifest no longer lists, weigh as much as the smallest team.
func (s *State) teamWeight(name string) float64 {
	if name == "" {
		return 1
	}
	if team := s.Team(name); team != nil && team.Weight > 0 {
		return team.Weight
	}
	return 1
}

// weightedUse returns the use of a team's dominant resource, as a share of the pool, over
// the team's weight.
func (s *State) weightedUse(p *Pool, team string) float64 {
	use := p.ready.unownedUse
	if team != "" {
		use = p.teamUse(team)
	}
	return dominantShare(use, p.ready.capacity) / s.teamWeight(team)
}

func dominantShare(use, capacity placement.Resources) float64 {
	share := func(used, all int) float64 { return float64(used) / float64(max(1, all)) }
	return max(share(use.MilliCores, capacity.MilliCores), share(use.MemoryMB, capacity.MemoryMB),
		share(use.Accelerators, capacity.Accelerators))
}

// beginTurns prepares the turns of one placement.
func (s *State) beginTurns(poolID table.ID) {
	p := s.Pools.Get(poolID)
	q := &p.ready
	q.limit = math.Inf(1)
	if !q.shared {
		for _, team := range q.teams.All() {
			team.next = 0
		}
		return
	}
	q.capacity, q.unownedUse = placement.Resources{}, placement.Resources{}
	for _, w := range s.workersOf(poolID) {
		q.capacity, q.unownedUse = q.capacity.Add(w.Capacity), q.unownedUse.Add(w.used)
	}
	for _, use := range p.teams {
		q.unownedUse = q.unownedUse.Sub(use)
	}
	for id, team := range q.teams.All() {
		team.next = 0
		s.queueTurn(p, id)
	}
}

// queueTurn puts a team at its place among the teams of the pool.
func (s *State) queueTurn(p *Pool, id table.ID) {
	team := p.ready.teams.Get(id)
	if team.next >= team.stages.Len() {
		p.ready.turns.Remove(id)
		return
	}
	order := team.stages.PriorityAt(team.next)
	p.ready.turns.Put(id, turn{class: order.class, share: s.weightedUse(p, team.team), stage: order})
}

// nextTurn returns the team whose turn it is. The turn ends when the team's weighted use
// exceeds that of the next team with work of the same class.
func (q *readyQueue) nextTurn() *teamQueue {
	if !q.shared {
		for _, team := range q.teams.All() { // there is at most one
			if team.next < team.stages.Len() {
				return team
			}
		}
		return nil
	}
	id, now, ok := q.turns.Min()
	if !ok {
		return nil
	}
	q.turns.Remove(id)
	q.limit = math.Inf(1)
	if _, next, other := q.turns.Min(); other && next.class == now.class {
		q.limit = next.share
	}
	return q.teams.Get(id)
}

// endTurn puts the team back among the others after its turn.
func (s *State) endTurn(p *Pool, team *teamQueue) {
	if p.ready.shared {
		id, _ := p.ready.teamByName.Get(team.team)
		s.queueTurn(p, id)
	}
}

// turnOver reports, after a start of a task of the team, whether another team is next.
func (s *State) turnOver(p *Pool, team string, size placement.Resources) bool {
	q := &p.ready
	if !q.shared {
		return false
	}
	if team == "" {
		q.unownedUse = q.unownedUse.Add(size)
	}
	return s.weightedUse(p, team) > q.limit
}

// placeOverdue gives the stages that have waited longest beyond their bound one start in
// overdueInterval, whatever their team, class and size.
func (s *State) placeOverdue(tick engine.Tick, poolID table.ID, candidates []candidate) {
	p := s.Pools.Get(poolID)
	q := &p.ready
	if q.overdue.Len() == 0 || !q.smallest.Fits(largestFree(candidates)) {
		return
	}
	for range maxOverdueTurns {
		id, at, ok := q.overdue.Min()
		if !ok || tick.Now.Before(at) || q.startsSinceOverdue < overdueInterval {
			return
		}
		s.visitedIndexed++
		q.limit = -1 // ends the turn after one start
		if s.placeStage(tick, poolID, id, candidates) {
			q.startsSinceOverdue -= overdueInterval
			s.count("starts_overdue")
			continue
		}
		q.overdue.Put(id, tick.Now.Add(overdueRetryDelay))
		s.reserveForOverdue(tick.Now, p, id, candidates)
	}
}

// reserveForOverdue keeps other starts off enough workers to hold an overdue task, or all
// members of a gang. Without it small tasks would fill every gap that a large one needs.
// A pool reserves for one stage at a time, and for a limited time.
func (s *State) reserveForOverdue(now time.Time, p *Pool, stageID table.ID, candidates []candidate) {
	stage := s.Stages.Get(stageID)
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	if now.Before(p.ready.reservedUntil) || j.Spec.Limits.Advice.Needed() || s.strandedTask(now, p, stage, j) == nil || !s.capAllows(now, j.Pool, stage) {
		return
	}
	chosen := workersToReserve(step, stage.ReadyTasks, candidates)
	if chosen == nil {
		return
	}
	p.ready.reservedUntil = now.Add(overdueReservation)
	for _, i := range chosen {
		candidates[i].w.reservedFor, candidates[i].w.reservedForUntil = stageID, p.ready.reservedUntil
		candidates[i].reservedFor = stageID
	}
	s.log(events.WorkersReserved, events.F("stage", s.stageName(stage).StageName()), events.F("workers", len(chosen)),
		events.F("overdue_ms", now.Sub(j.Deadline).Milliseconds()), events.F("team", j.Spec.Team))
}

// workersToReserve returns the indexes of the candidates with the most free capacity that
// together hold one task of the step, or its whole gang, once they are empty. It returns
// nil if there are too few.
func workersToReserve(step *work.Step, waiting int, candidates []candidate) []int {
	size := step.Reserved()
	members := 1
	if step.Gang {
		members = waiting
	}
	slots := func(i int) int {
		c := &candidates[i]
		if step.Label != "" && !slices.Contains(c.w.Labels, step.Label) {
			return 0
		}
		n := 0
		for rest := c.w.Capacity; size.Fits(rest) && n < members && (step.WorkerLimit() == 0 || n < step.WorkerLimit()); n++ {
			rest = rest.Sub(size)
		}
		return n
	}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(candidates[b].free.MilliCores, candidates[a].free.MilliCores)
	})
	chosen, held := map[string][]int{}, map[string]int{}
	for _, i := range order {
		rack := ""
		if step.SameRack {
			rack = candidates[i].w.Rack
		}
		if n := slots(i); n > 0 {
			chosen[rack], held[rack] = append(chosen[rack], i), held[rack]+n
		}
		if held[rack] >= members {
			return chosen[rack]
		}
	}
	return nil
}

// isReady reports whether a stage exists and has ready tasks.
func (s *State) isReady(id table.ID) bool {
	stage := s.Stages.Get(id)
	return stage != nil && stage.readyQueue != 0
}
