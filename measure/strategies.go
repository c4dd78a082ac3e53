package measure

import (
	"math"
	"slices"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// wavePlanner is the planner under test.
type wavePlanner struct{}

func (wavePlanner) plan(s *site) []wave.Decision { return wave.Plan(s.plannerInput()) }
func (wavePlanner) dedicatedSpares(int) int      { return 0 }

// fixedBaseline is a baseline that maintains a fixed number of workers of each pool
// at once, in the order of their IDs. It has no canary, halt or borrowing and ignores
// demand and racks. Dedicated spares replace the disrupted workers, so that it keeps
// the same budget.
type fixedBaseline struct {
	share float64 // of the pool, rounded up; zero means one worker
}

func (f fixedBaseline) dedicatedSpares(size int) int {
	return max(1, int(math.Ceil(f.share*float64(size)-1e-9)))
}

func (f fixedBaseline) plan(s *site) []wave.Decision {
	if s.tables.Wave.Status != fleet.WaveRunning {
		return nil
	}
	book := budget.Assess(s.tables, s.effective, nil)
	var decisions []wave.Decision
	pending := 0
	for _, spec := range s.effective.Pools() {
		waiting, inProgress := f.waitingWorkers(s, spec.Name)
		pending += len(waiting) + inProgress
		pool := book.Pool(spec.Name)
		for _, worker := range waiting {
			// Spares replace every worker that does not serve, from the start.
			spares := f.dedicatedSpares(pool.Size)
			replaced := min(spares, pool.Size-pool.Serving+1)
			if inProgress >= spares || pool.Serving-1+replaced < pool.Floor {
				break
			}
			decisions = append(decisions, wave.Decision{Kind: wave.DecisionMaintain, Worker: worker, Pool: spec.Name})
			book.RecordDisruption(spec.Name, s.tables.Worker(worker).AvailabilityZone)
			inProgress++
		}
	}
	if pending == 0 {
		decisions = append(decisions, wave.Decision{Kind: wave.DecisionDone})
	}
	return decisions
}

func (fixedBaseline) waitingWorkers(s *site, pool string) (waiting []string, inProgress int) {
	for _, id := range s.tables.WorkersOfPool(pool) {
		row := s.tables.Workers.Get(id)
		switch {
		case row.OperationID != 0:
			inProgress++
		case row.Available() && row.MaintainedAt.Before(s.tables.Wave.StartedAt):
			waiting = append(waiting, row.ID)
		}
	}
	slices.SortFunc(waiting, strings.Compare)
	return waiting, inProgress
}
