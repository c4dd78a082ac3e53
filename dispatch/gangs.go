package dispatch

import (
	"slices"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// placeGang starts all members of a gang at once, in one rack if the step
// requires that.
func (s *State) placeGang(tick engine.Tick, poolID, stageID table.ID, candidates []candidate) {
	stage := s.Stages.Get(stageID)
	if stage.ReadyTasks != len(stage.Tasks)-stage.DoneTasks {
		return // members of the previous attempt have not ended yet
	}
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	for _, taskID := range stage.Tasks {
		t := s.Tasks.Get(taskID)
		if s.mayRunElsewhere(s.Pools.Get(poolID), j, t) {
			return
		}
	}
	chosen := s.placesForGang(tick, stage, j, step, candidates)
	if chosen == nil {
		if j.Spec.Limits.Advice.Needed() {
			s.requestAdvice(tick, stageID, candidates)
		}
		return
	}
	run := s.nextGangRun(s.Pools.Get(poolID), stage, j)
	for i, taskID := range stage.Tasks {
		if s.Tasks.Get(taskID).State == TaskReady {
			s.startTask(tick, s.Pools.Get(poolID), taskID, &candidates[chosen[i]], run)
		}
	}
}

// placesForGang returns the index of a candidate for each member of a gang, all in one
// rack if the step requires that, or nil if there is no room for all.
func (s *State) placesForGang(tick engine.Tick, stage *Stage, j *Job, step *work.Step, candidates []candidate) []int {
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
		if chosen := s.assembleGang(tick, stage, j, step, slices.Clone(candidates), rack); chosen != nil {
			return chosen
		}
	}
	return nil
}

// assembleGang returns the index of a candidate for each member, or nil if some
// member fits nowhere.
func (s *State) assembleGang(tick engine.Tick, stage *Stage, j *Job, step *work.Step, trial []candidate, rack string) []int {
	counted := Stage{Step: stage.Step, perWorker: map[table.ID]int{}, advice: stage.advice}
	chosen := make([]int, len(stage.Tasks))
	for i, taskID := range stage.Tasks {
		t := s.Tasks.Get(taskID)
		if t.State != TaskReady {
			continue
		}
		best := s.bestCandidate(tick, &counted, j, step, t, trial, rack)
		if best < 0 {
			return nil
		}
		chosen[i] = best
		trial[best].free = trial[best].free.Sub(step.Reserved())
		counted.perWorker[trial[best].id]++
	}
	return chosen
}

// nextGangRun returns a run number above that of every run of the stage's tasks
// that can exist.
func (s *State) nextGangRun(p *Pool, stage *Stage, j *Job) int {
	last := 0
	for _, taskID := range stage.Tasks {
		last = max(last, s.Tasks.Get(taskID).LastRun)
	}
	return s.runNumberAfter(p, j, last)
}
