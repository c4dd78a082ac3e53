package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// reportInterval bounds how often a shard reports demand. Refusals by leaving
// targets are reported at once.
const reportInterval = 250 * time.Millisecond

// reportDemand tells control which pools have another demand than before.
func reportDemand(s *State, tick engine.Tick) {
	due := s.demandChanged.Len() > 0 && !tick.Now.Before(s.reportAt)
	if !due && len(s.draining) == 0 {
		return
	}
	report := Report{Draining: s.draining}
	s.draining = nil
	if due {
		s.reportAt = tick.Now.Add(reportInterval)
		for s.demandChanged.Len() > 0 {
			report.Demand = append(report.Demand, s.demand(s.demandChanged.TakeLast()))
		}
	}
	s.reports.Add(report)
}

func (s *State) demand(id table.ID) PoolDemand {
	pool := s.Pools.Get(id)
	return PoolDemand{Pool: pool.Name, Requests: pool.requests}
}

func (s *State) nextReport() time.Time {
	if s.demandChanged.Len() == 0 {
		return time.Time{}
	}
	return s.reportAt
}
