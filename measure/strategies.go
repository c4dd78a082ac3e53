package measure

import (
	"math"
	"slices"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// waves is the planner under test.
type waves struct{}

func (waves) plan(s *site) []wave.Decision { return wave.Plan(s.view()) }
func (waves) spares(int) int               { return 0 }

// fixed is a baseline: it maintains a fixed number of workers of each pool at
// once, in the order of their IDs, without a canary, halt, borrowing or regard
// for demand and racks. Dedicated spares take the place of the disrupted
// workers, so that it keeps the same budget.
type fixed struct {
	share float64 // of the pool, rounded up; zero means one worker
}

func (f fixed) spares(size int) int { return max(1, int(math.Ceil(f.share*float64(size)-1e-9))) }

func (f fixed) plan(s *site) []wave.Decision {
	if s.tables.Wave.Status != fleet.WaveRunning {
		return nil
	}
	book := budget.Assess(s.tables, s.effective, nil)
	var decisions []wave.Decision
	pending := 0
	for _, spec := range s.effective.Pools() {
		waiting, inProgress := f.scan(s, spec.Name)
		pending += len(waiting) + inProgress
		pool := book.Pool(spec.Name)
		for _, worker := range waiting {
			// Spares serve in the place of all that do not, from the start.
			spares := f.spares(pool.Size)
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

func (fixed) scan(s *site, pool string) (waiting []string, inProgress int) {
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
