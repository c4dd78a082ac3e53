package dispatch

import "time"

// Backlog is the work that waits for placement in all pools of this process.
type Backlog struct {
	Tasks     int
	LateTasks int           // tasks of jobs that have passed their deadline
	Oldest    time.Duration // how long the task that has waited longest is ready
}

// Backlog counts the tasks that wait for placement.
func (s *State) Backlog(now time.Time) Backlog {
	var b Backlog
	for _, p := range s.Pools.All() {
		for id := range p.ready.all {
			stage := s.Stages.Get(id)
			b.Tasks += stage.ReadyTasks
			if !now.Before(s.Jobs.Get(stage.Job).Deadline) {
				b.LateTasks += stage.ReadyTasks
			}
			for _, taskID := range stage.Tasks {
				if t := s.Tasks.Get(taskID); t.State == TaskReady {
					b.Oldest = max(b.Oldest, now.Sub(t.ReadySince))
				}
			}
		}
	}
	return b
}

// RowsVisited returns how many rows the systems have visited by iterating over whole
// tables or indexes. The few pools are not counted.
func (s *State) RowsVisited() uint64 {
	return s.visitedIndexed + s.Jobs.Visited() + s.Occurrences.Visited() + s.Stages.Visited() + s.Tasks.Visited() + s.Runs.Visited() + s.Workers.Visited() +
		s.Mirror.Jobs.Visited()
}
