package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// reportInterval is the minimum time between demand reports of a shard. Draining
// targets are reported immediately.
const reportInterval = 250 * time.Millisecond

// reportDemand reports the pools whose demand changed, and draining targets, to
// control.
func reportDemand(s *State, tick engine.Tick) {
	due := s.demandChanged.Len() > 0 && !tick.Now.Before(s.nextReportAt)
	if !due && len(s.drainingWorkers) == 0 {
		return
	}
	report := Report{Draining: s.drainingWorkers}
	s.drainingWorkers = nil
	if due {
		s.nextReportAt = tick.Now.Add(reportInterval)
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
	return s.nextReportAt
}
