package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// The need of a pool counts cores. A stage that fits only on some workers, because of its
// label, its size or its limit per worker, may wait although the pool has enough machines
// in number: those it needs are surplus.
const (
	// strandedAfter is how long a task waits until surplus workers are taken back for it.
	strandedAfter = 300 * time.Millisecond
	// keepTime is how long such a worker is kept, so that the start reaches it.
	keepTime = 2 * time.Second
	// maxStrandedStages bounds the stages that one check examines.
	maxStrandedStages = 16
)

// keepForWaitingStages takes surplus workers back that waiting stages need. It returns
// reclaim with the released ones among them; they may be used only after a report that
// reclaims them is stored.
func (s *State) keepForWaitingStages(tick engine.Tick, p *Pool, have, reclaim []table.ID) []table.ID {
	isSurplus := func(id table.ID) bool { return s.Workers.Get(id).surplus }
	if p.ready.Len() == 0 || !slices.ContainsFunc(have, isSurplus) {
		return reclaim
	}
	var kept, surplus []candidate
	for _, id := range have {
		w := s.Workers.Get(id)
		switch {
		case !s.reachable(tick.Now, w):
		case w.surplus && !slices.Contains(reclaim, id):
			surplus = append(surplus, s.newCandidate(tick.Now, id, w))
		default:
			kept = append(kept, s.newCandidate(tick.Now, id, w))
		}
	}
	for _, stageID := range p.ready.first(maxStrandedStages) {
		if len(surplus) == 0 {
			break
		}
		s.visitedIndexed++
		for _, id := range s.missingWorkers(tick, p, stageID, kept, surplus) {
			at := slices.IndexFunc(surplus, func(c candidate) bool { return c.id == id })
			w := surplus[at].w
			kept, surplus = append(kept, surplus[at]), slices.Delete(surplus, at, at+1)
			w.keptUntil = tick.Now.Add(keepTime)
			if !w.released {
				w.surplus, p.placementNeeded = false, true
			} else if len(reclaim) < maxReclaimed {
				reclaim = append(reclaim, id)
			}
			s.log(events.WorkerKept, events.F("worker", w.ID), events.F("stage", s.stageName(s.Stages.Get(stageID)).StageName()),
				events.F("released", w.released))
		}
	}
	return reclaim
}

// missingWorkers returns the surplus workers that a stage needs because it fits on none
// of the others.
func (s *State) missingWorkers(tick engine.Tick, p *Pool, stageID table.ID, kept, surplus []candidate) []table.ID {
	stage := s.Stages.Get(stageID)
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	t := s.strandedTask(tick.Now, p, stage, j)
	if t == nil || s.waitsForCap(p, j.Spec.Team) {
		return nil
	}
	if step.Gang {
		missing := s.missingGangWorkers(tick, stage, j, step, kept, surplus)
		if missing == nil && j.Spec.Limits.Advice.Needed() && !s.requestAdvice(tick, stageID, kept) {
			s.requestAdvice(tick, stageID, surplus)
		}
		return missing
	}
	fits := func(c candidate) bool {
		return step.Reserved().Fits(c.free) && s.satisfiesConstraints(tick.Now, &c, stage, step, t, "")
	}
	if slices.ContainsFunc(kept, func(c candidate) bool { return fits(c) && s.mayStartOn(tick.Now, j, stage, c.w) }) {
		return nil
	}
	fitting := slices.DeleteFunc(slices.Clone(surplus), func(c candidate) bool { return !fits(c) })
	if len(fitting) == 0 {
		return nil
	}
	if j.Spec.Limits.Advice.Needed() {
		if best, ok := s.missingAdvisedWorker(tick, stageID, kept, fitting); ok {
			return []table.ID{best.id}
		}
		return nil
	}
	return []table.ID{slices.MaxFunc(fitting, s.compareCandidatesForRelease).id}
}

func (s *State) compareCandidatesForRelease(a, b candidate) int {
	return s.compareForRelease(a.id, b.id)
}

// strandedTask returns a task of a stage that could have started strandedAfter ago, or nil.
func (s *State) strandedTask(now time.Time, p *Pool, stage *Stage, j *Job) *Task {
	for _, id := range stage.Tasks {
		t := s.Tasks.Get(id)
		if t.State == TaskReady && now.Sub(t.ReadySince) >= strandedAfter && !now.Before(t.NotBefore) && !s.mayRunElsewhere(p, j, t) &&
			!j.mustSaveCrashes(t) {
			return t
		}
	}
	return nil
}

// missingGangWorkers returns the surplus workers that, beside the others, hold all
// members of a gang.
func (s *State) missingGangWorkers(tick engine.Tick, stage *Stage, j *Job, step *work.Step, kept, surplus []candidate) []table.ID {
	if stage.ReadyTasks != len(stage.Tasks)-stage.DoneTasks || s.placesForGang(tick, stage, j, step, kept) != nil {
		return nil
	}
	all := slices.Concat(kept, surplus)
	var missing []table.ID
	for i, chosen := range s.placesForGang(tick, stage, j, step, all) {
		if id := all[chosen].id; chosen >= len(kept) && s.Tasks.Get(stage.Tasks[i]).State == TaskReady && !slices.Contains(missing, id) {
			missing = append(missing, id)
		}
	}
	return missing
}
