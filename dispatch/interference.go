package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/interference"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// observationInterval is the shortest interval between two observations of a worker.
	// Workers' lists cover half a second.
	observationInterval = 800 * time.Millisecond
	// minObservedTime is how long a run must have been observed for a measure of its speed,
	// and minObservedProgress by how many percent it must have moved.
	minObservedTime     = 400 * time.Millisecond
	minObservedProgress = 5
	// interferencePerEffect turns an effect, as the logarithm of a factor, into a score.
	interferencePerEffect = 1.8
	// maxInterferenceCost bounds the cost, so that it goes before the packing of long-running
	// tasks but not before faults and maintenance. For steps whose data is in a rack the
	// bound is lower: a worker in that rack must stay ahead of all others.
	maxInterferenceCost     = 1.8
	maxInterferenceCostRack = 0.9
)

// kindOf returns the kind of a task: tasks of one image behave alike.
func (s *State) kindOf(t *Task) interference.Kind {
	stage, j, step := s.stageJobAndStep(t)
	return kindOfStep(j, step, stage.Step)
}

func kindOfStep(j *Job, step *work.Step, index int) interference.Kind {
	if step.Image != "" {
		return interference.Kind{Queue: j.Spec.Queue, Image: step.Image}
	}
	return interference.Kind{Queue: j.Spec.Queue, Step: index}
}

// noteObservable has the list of a worker observed, if enough time has passed since the
// last one. Workers without a serving or best-effort task are left out: tasks that reserve
// cores are not known to slow each other down, and most pools run only such tasks.
func (s *State) noteObservable(now time.Time, id table.ID) {
	w := s.Workers.Get(id)
	if s.Config.IgnoreInterference || w.load.latencySensitive+w.load.bestEffort == 0 || now.Sub(w.observedAt) < observationInterval {
		return
	}
	w.observedAt = now
	s.observable.Add(id)
}

// observeInterference learns from the lists of workers how much tasks slow each other down.
func observeInterference(s *State, tick engine.Tick) {
	for s.observable.Len() > 0 {
		w := s.Workers.Get(s.observable.TakeLast())
		if w == nil {
			continue
		}
		s.visitedIndexed++
		if p := s.Pools.Get(w.pool); p != nil {
			p.interference.Observe(tick.Now, w.ID, float64(w.used.MilliCores)/float64(max(1, w.Capacity.MilliCores)), s.observedTasks(tick.Now, w))
			s.logBeliefs(p)
		}
	}
}

// observedTasks returns what the last list of a worker tells about its runs.
func (s *State) observedTasks(now time.Time, w *Worker) []interference.Task {
	tasks := make([]interference.Task, 0, len(w.runs))
	for _, id := range w.runs {
		run := s.Runs.Get(id)
		t := s.Tasks.Get(run.Task)
		if t == nil || run.State != RunConfirmed {
			continue
		}
		stage, j, step := s.stageJobAndStep(t)
		task := interference.Task{Kind: run.kind, Team: run.team, Job: uint64(stage.Job), Weight: float64(run.speed) / fullSpeed}
		switch {
		case step.LatencyTarget > 0:
			if run.percent >= servingPercent && run.load > 0 {
				task.Cost = float64(run.load) / float64(max(1, step.LatencyTarget.Milliseconds()))
			}
		case !step.LongRunning && !step.BestEffort: // the speed of best-effort runs is set by this owner
			task.Cost = run.measureCost(now, step.Estimate)
		}
		if j.Final == 0 {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// measureCost returns the time that a run took for its last progress, as a multiple of the
// estimate, or 0 if it has not moved enough.
func (r *Run) measureCost(now time.Time, estimate time.Duration) float64 {
	elapsed, moved := now.Sub(r.observedAt), r.percent-r.observedPercent
	if r.observedAt.IsZero() {
		r.observedAt, r.observedPercent = now, r.percent
		return 0
	}
	if elapsed < minObservedTime || moved < minObservedProgress || estimate <= 0 {
		return 0
	}
	r.observedAt, r.observedPercent = now, r.percent
	return elapsed.Seconds() / estimate.Seconds() * 100 / float64(moved)
}

// logBeliefs logs what the model of a pool has begun or ceased to believe.
func (s *State) logBeliefs(p *Pool) {
	for _, b := range p.interference.TakeChanges() {
		event, counter := events.InterferenceEnded, "interference_ended"
		if b.Held {
			event, counter = events.InterferenceFound, "interference_found"
		}
		kinds, pairs, believed := p.interference.Sizes()
		s.count(counter)
		s.log(event, events.F("pool", p.Name), events.F("victim", b.Victim.String()), events.F("disturber", b.Disturber.String()),
			events.F("percent", int(100*(math.Exp(b.Effect)-1))), events.F("deviation", b.Deviation), events.F("workers", b.Workers),
			events.F("jobs", b.Jobs), events.F("samples", b.Samples), events.F("kinds", kinds), events.F("pairs", pairs), events.F("believed", believed))
	}
}

// partners returns the kinds beside which the tasks of a stage should not run.
func (s *State) partners(now time.Time, stage *Stage, j *Job, step *work.Step) []interference.Partner {
	p := s.Pools.Get(j.Pool)
	if p == nil || s.Config.IgnoreInterference {
		return nil
	}
	return p.interference.Partners(now, kindOfStep(j, step, stage.Step), j.Spec.Team)
}

// interferenceCost returns by how much a worker is less suited for a task because of the
// kinds that run there. It only orders workers that the task may use.
func (s *State) interferenceCost(w *Worker, step *work.Step, partners []interference.Partner) float64 {
	effect := 0.0
	for _, partner := range partners {
		if slices.ContainsFunc(w.runs, func(id table.ID) bool { return s.Runs.Get(id).kind == partner.Kind }) {
			effect += partner.Cost
		}
	}
	if step.Rack != "" {
		return min(maxInterferenceCostRack, interferencePerEffect*effect)
	}
	return min(maxInterferenceCost, interferencePerEffect*effect)
}
