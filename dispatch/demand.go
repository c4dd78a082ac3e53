package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// demandEvery is the shortest interval between two reports.
	demandEvery = 400 * time.Millisecond
	// demandAtLeast is the longest one, so that the owner of the fleet can
	// tell an unchanged report from a lost owner.
	demandAtLeast = 4 * time.Second
	// fillTarget is the part of a machine that placement can fill with tasks
	// of mixed sizes.
	fillTarget = 0.85
	// needWindow is how long a need is remembered, at least.
	needWindow = 800 * time.Millisecond
	// lateShare is how much of the work of late jobs counts as need: they earn
	// little, but must be done.
	lateShare = 0.25
	// reserve is how many machines a pool keeps beyond its need, for the next
	// job.
	reserve = 1
	// leastMachines is the smallest size of a pool.
	leastMachines = 2
)

// reportDemand tells the owner of the fleet how many machines a pool needs and
// which it can spare.
func reportDemand(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.ordering(p, tick.Now) || p.demandWrite != 0 || tick.Now.Before(p.demandAt.Add(demandEvery)) {
			continue
		}
		demand := s.demand(tick.Now, id, p)
		old := &p.demand
		same := old.Have == demand.Have && (old.Need == demand.Need || max(old.Need, demand.Need) <= demand.Have) && len(old.Spare) == len(demand.Spare)
		if same && tick.Now.Before(p.demandAt.Add(demandAtLeast)) {
			continue
		}
		p.demand, p.demandAt, p.demandWrite = demand, tick.Now, s.NextWrite()
		s.writes[p.demandWrite] = writeTarget{pool: id, demand: true}
		s.Out.Writes.Add(ledger.Write{
			ID: p.demandWrite, NotAfter: p.Until,
			Expect: []ledger.Condition{{Key: ledger.Key{Kind: ledger.KindOwner, Name: p.Name}, Revision: p.Token}},
			Put:    []ledger.Put{{Key: ledger.Key{Kind: ledger.KindDemand, Name: p.Name}, Content: &demand}},
		})
	}
}

// demand computes the report of a pool.
func (s *State) demand(now time.Time, poolID table.ID, p *Pool) work.Demand {
	var have []table.ID
	cores, busy, lasting := 0, 0, 0
	for id, w := range s.Workers.All() {
		if w.pool != poolID || !w.Listed || w.Draining || w.maintenance {
			continue
		}
		have = append(have, id)
		cores += w.Capacity.MilliCores
		hosts := false
		for _, runID := range w.runs {
			if t := s.Tasks.Get(s.Runs.Get(runID).Task); t != nil && stepOf(s, t).Lasting {
				hosts = true
			}
		}
		if hosts {
			lasting++
		}
		busy += w.used.MilliCores
	}
	for _, stageID := range p.ready {
		if stage := s.Stages.Get(stageID); stage != nil && stage.Ready > 0 {
			j := s.Jobs.Get(stage.Job)
			waiting := float64(stage.Ready * j.Spec.Steps[stage.Step].Reserved().MilliCores)
			if !now.Before(j.Objective) {
				waiting *= lateShare
			}
			busy += int(waiting)
		}
	}
	d := work.Demand{Have: len(have)}
	if len(have) == 0 {
		if busy > 0 {
			d.Need = leastMachines
		}
		return d
	}
	perMachine := float64(cores) / float64(len(have)) * fillTarget
	need := max(int(math.Ceil(float64(busy)/max(1, perMachine))), lasting+reserve, leastMachines)
	d.Need = s.smoothNeed(now, p, need)
	if n := d.Have - d.Need - reserve; n > 0 {
		d.Spare = s.spareWorkers(have, n)
	}
	return d
}

// smoothNeed returns the highest need of the present and the last window, so
// that a short dip between two jobs does not send machines away.
func (s *State) smoothNeed(now time.Time, p *Pool, need int) int {
	if now.Sub(p.needAt) > needWindow {
		p.lastNeed, p.need, p.needAt = p.need, need, now
	}
	p.need = max(p.need, need)
	return max(p.need, p.lastNeed)
}

// spareWorkers returns the least busy workers without lasting tasks.
func (s *State) spareWorkers(have []table.ID, n int) []string {
	free := slices.DeleteFunc(slices.Clone(have), func(id table.ID) bool {
		for _, runID := range s.Workers.Get(id).runs {
			if t := s.Tasks.Get(s.Runs.Get(runID).Task); t != nil && stepOf(s, t).Lasting {
				return true
			}
		}
		return false
	})
	slices.SortFunc(free, func(a, b table.ID) int {
		x, y := s.Workers.Get(a), s.Workers.Get(b)
		return cmp.Or(cmp.Compare(x.used.MilliCores, y.used.MilliCores), cmp.Compare(x.ID, y.ID))
	})
	var names []string
	for _, id := range free[:min(n, len(free))] {
		names = append(names, s.Workers.Get(id).ID)
	}
	return names
}
