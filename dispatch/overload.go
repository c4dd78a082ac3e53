package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Order under overload: which jobs are to be in time when there isn't room for all. See
// docs/design/order.md.
const (
	// overloadCheckInterval is the shortest interval between two checks, which visit the
	// ready stages that can be in time, and the runs, of a pool.
	overloadCheckInterval = 50 * time.Millisecond
	// overloadFrom and overloadUntil are the loads between which the order is kept. Below
	// overloadFrom, estimates that are off decide more than the order.
	overloadFrom  = 1.3
	overloadUntil = 1.0
	// minOverloadTime is how long an order is kept at least, since a change moves all
	// stages that can be in time.
	minOverloadTime = 500 * time.Millisecond
	// A job is worth fixedWorth and the rest in proportion to its work against the mean of
	// its kind, up to maxWorth.
	fixedWorth = 0.3
	maxWorth   = 4.0
	// kindMemory is the number of jobs over which the mean work of a kind is taken.
	kindMemory = 200
	// deadlineBucket is the resolution of a deadlineLoad.
	deadlineBucket  = 250 * time.Millisecond
	deadlineBuckets = 64
)

// deadlineLoad is the work that is to be done in time, by the time left for it.
type deadlineLoad [deadlineBuckets]float64 // core-seconds

// add includes work that must be done within the time left.
func (l *deadlineLoad) add(left time.Duration, coreSeconds float64) {
	l[min(max(0, int(left/deadlineBucket)), deadlineBuckets-1)] += coreSeconds
}

// onCores returns the load of the cores: the highest ratio, over all deadlines, of the work
// due by then to what the cores do by then. Above 1 not everything can be in time.
func (l *deadlineLoad) onCores(cores float64) float64 {
	highest, due := 0.0, 0.0
	for i, coreSeconds := range l {
		due += coreSeconds
		highest = max(highest, due/max(0.001, cores*float64(i+1)*deadlineBucket.Seconds()))
	}
	return highest
}

// jobKind is what is known of the jobs of one queue.
type jobKind struct {
	jobs     int
	meanWork float64 // core-seconds
}

func (k *jobKind) add(coreSeconds float64) {
	k.jobs = min(k.jobs+1, kindMemory)
	k.meanWork += (coreSeconds - k.meanWork) / float64(k.jobs)
}

// worth returns the benefit of a job of the kind that is in time.
func (k *jobKind) worth(coreSeconds float64) float64 {
	return min(maxWorth, fixedWorth+(1-fixedWorth)*coreSeconds/max(0.001, k.meanWork))
}

// setWorth derives the benefit of a job from its work and that of its kind.
func (s *State) setWorth(j *Job) {
	id, ok := s.kindByQueue.Get(j.Spec.Queue)
	if !ok {
		id = s.kinds.Insert(jobKind{})
		s.kindByQueue.Put(j.Spec.Queue, id)
	}
	kind := s.kinds.Get(id)
	kind.add(j.Work)
	j.worth, j.workLeft = kind.worth(j.Work), j.workByStep()
}

// workByStep returns, for each step, its expected core-seconds and those of all steps that
// depend on it.
func (j *Job) workByStep() []float64 {
	steps := j.Spec.Steps
	left := make([]float64, len(steps))
	dependents := make([]map[int]bool, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		left[i] += j.stepWork(i)
		for after := range dependents[i] {
			left[i] += j.stepWork(after)
		}
		for _, before := range steps[i].After {
			if dependents[before] == nil {
				dependents[before] = map[int]bool{}
			}
			dependents[before][i] = true
			for after := range dependents[i] {
				dependents[before][after] = true
			}
		}
	}
	return left
}

// checkOverload decides whether the in-time stages of a pool go by deadline or, since not
// all can be in time, by benefit per core-second.
func (s *State) checkOverload(now time.Time, poolID table.ID, p *Pool) {
	q := &p.ready
	if !q.shared || now.Before(q.overloadCheckAt) || q.Len() == 0 && !q.overloaded {
		return
	}
	q.overloadCheckAt = now.Add(overloadCheckInterval)
	load, inTime := s.deadlineLoad(now, poolID, p)
	cores := 0.0
	for _, w := range s.workersOf(poolID) {
		if w.Listed && s.reachable(now, w) {
			cores += float64(w.Capacity.MilliCores) / 1000
		}
	}
	ratio := load.onCores(cores * usableShare)
	overloaded := ratio > overloadFrom || q.overloaded && ratio > overloadUntil
	if overloaded == q.overloaded || now.Before(q.overloadChangedAt.Add(minOverloadTime)) {
		return
	}
	q.overloaded, q.overloadChangedAt = overloaded, now
	for _, id := range inTime {
		s.rankStage(now, p, id)
	}
	s.log(events.OverloadOrder, events.F("pool", p.Name), events.F("overloaded", overloaded), events.F("load", ratio),
		events.F("cores", int(cores)), events.F("stages", len(inTime)))
	s.count("overload_changes")
}

// deadlineLoad returns the work of the jobs of a pool that can still be in time, and their
// ready stages.
func (s *State) deadlineLoad(now time.Time, poolID table.ID, p *Pool) (load deadlineLoad, inTime []table.ID) {
	for id := range p.ready.all {
		stage := s.Stages.Get(id)
		j := s.Jobs.Get(stage.Job)
		if j.workLeft != nil && now.Before(s.lateFrom(j, stage.Step)) && !j.Spec.Steps[stage.Step].LongRunning {
			inTime = append(inTime, id)
			done := float64(len(stage.Tasks)-stage.ReadyTasks) / float64(len(stage.Tasks))
			load.add(j.Deadline.Sub(now), j.workLeft[stage.Step]-done*j.stepWork(stage.Step))
		}
	}
	slices.Sort(inTime)
	for _, w := range s.workersOf(poolID) {
		for _, runID := range w.runs {
			run := s.Runs.Get(runID)
			t := s.Tasks.Get(run.Task)
			if t == nil || run.longRunning || run.bestEffort {
				continue
			}
			_, j, _ := s.stageJobAndStep(t)
			left := j.expected(run.Name.Step) - now.Sub(run.OrderedAt)
			load.add(max(left, j.Deadline.Sub(now)), max(0, left).Seconds()*float64(run.Size.MilliCores)/1000)
		}
	}
	return load, inTime
}
