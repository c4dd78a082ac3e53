package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// demandUrgent is the shortest interval between two reports while the pool
	// lacks machines: a machine needs 1.5 s to come, and turns last some 8 s.
	demandUrgent = 80 * time.Millisecond
	// demandEvery is the shortest interval otherwise; reports are priced.
	demandEvery = 400 * time.Millisecond
	// demandAtLeast is the longest one, so that the owner of the fleet can
	// tell an unchanged report from a lost owner.
	demandAtLeast = 4 * time.Second
	// fillTarget is the part of a machine that placement can fill with tasks
	// of mixed sizes.
	fillTarget = 0.85
	// demandRelease is the shortest interval between two reports that release
	// more machines: another pool may lack them.
	demandRelease = 160 * time.Millisecond
	// needWindow is how long a need is remembered, at least. Machines that are
	// given up by mistake are reclaimed with one report.
	needWindow = 300 * time.Millisecond
	// lateShare is how much of the work of late jobs counts as need: they earn
	// little, but must be done.
	lateShare = 0.25
	// reserve is how many machines a pool keeps beyond its need, for the next
	// job.
	reserve = 1
	// leastMachines is the smallest size of a pool.
	leastMachines = 2
	// arrivalWindow is the longest time over which the inflow of work is
	// measured, and arrivalWindow/shortestWindow the shortest: with many jobs a
	// second, the start of a turn shows within the latter.
	arrivalWindow  = 500 * time.Millisecond
	shortestWindow = 4
	// maxReclaimed bounds the conditions of a report, within the 32 entries of
	// a store transaction.
	maxReclaimed = 24
)

// arrival is the work of a job that was accepted a moment ago.
type arrival struct {
	at   time.Time
	work float64 // core-seconds
}

// arrived counts a job for the inflow of the pool.
func (p *Pool) arrived(now time.Time, j *Job) {
	if now.Sub(p.OwnedSince) > arrivalWindow { // the first jobs of an owner are old ones
		p.arrivals = append(p.arrivals, arrival{at: now, work: j.Work})
	}
}

// inflow returns the cores that keep up with the jobs that come, as a lower
// confidence bound: few jobs say little about the next ones.
func (p *Pool) inflow(now time.Time) float64 {
	p.arrivals = slices.DeleteFunc(p.arrivals, func(a arrival) bool { return now.Sub(a.at) > arrivalWindow })
	highest := 0.0
	for window := arrivalWindow; window >= arrivalWindow/shortestWindow; window /= 2 {
		sum, jobs := 0.0, 0
		for _, a := range p.arrivals {
			if now.Sub(a.at) <= window {
				sum += a.work
				jobs++
			}
		}
		if jobs > 0 {
			highest = max(highest, sum/window.Seconds()*(1-1/math.Sqrt(float64(jobs))))
		}
	}
	return highest
}

// reclaimed reports whether the pool's machines are in the hands of this owner:
// its first report voids what an earlier one released, and the mirror shows
// every move that was planned before.
func (s *State) reclaimed(p *Pool) bool { return p.reported != 0 && s.Ledger.Revision >= p.reported }

// reportDemand tells the owner of the fleet how many machines a pool needs and
// which it gives up.
func reportDemand(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.ordering(p, tick.Now) || p.demandWrite != 0 || tick.Now.Before(p.demandRetry) || tick.Now.Before(p.demandAt.Add(demandUrgent)) {
			continue
		}
		if p.reported == 0 {
			s.writeDemand(tick.Now, id, work.Demand{Need: leastMachines, Have: leastMachines}, nil)
			continue
		}
		have := s.poolWorkers(tick.Now, id)
		demand := work.Demand{Need: s.need(tick.Now, p, have), Have: len(have)}
		reclaim := s.adjust(p, have, demand.Need+reserve)
		for _, workerID := range have {
			if w := s.Workers.Get(workerID); w.surplus && len(w.runs) == 0 && w.Machine != "" && !slices.Contains(reclaim, workerID) {
				demand.Released = append(demand.Released, w.ID)
			}
		}
		if s.worthReporting(tick.Now, p, &demand, reclaim) {
			s.writeDemand(tick.Now, id, demand, reclaim)
		}
	}
}

func (s *State) worthReporting(now time.Time, p *Pool, demand *work.Demand, reclaim []table.ID) bool {
	old := &p.demand
	if len(reclaim) > 0 || (demand.Need > demand.Have && demand.Need-demand.Have > old.Need-old.Have) {
		return true
	}
	if len(demand.Released) > len(old.Released) && !now.Before(p.demandAt.Add(demandRelease)) {
		return true
	}
	if now.Before(p.demandAt.Add(demandEvery)) {
		return false
	}
	same := old.Have == demand.Have && (old.Need == demand.Need || max(old.Need, demand.Need) <= demand.Have) &&
		slices.Equal(old.Released, demand.Released)
	return !same || !now.Before(p.demandAt.Add(demandAtLeast))
}

// writeDemand stores a report. A reclaimed worker must not be under a move.
func (s *State) writeDemand(now time.Time, id table.ID, demand work.Demand, reclaim []table.ID) {
	p := s.Pools.Get(id)
	p.demandAt, p.demandWrite = now, s.NextWrite()
	s.writes[p.demandWrite] = writeTarget{pool: id, demand: &demand}
	write := ledger.Write{
		ID: p.demandWrite, NotAfter: p.OwnedUntil,
		Expect: []ledger.Condition{{Key: ledger.Key{Kind: ledger.KindOwner, Name: p.Name}, Revision: p.Token}},
		Put:    []ledger.Put{{Key: ledger.Key{Kind: ledger.KindDemand, Name: p.Name}, Content: &demand}},
	}
	for _, workerID := range reclaim {
		write.Expect = append(write.Expect, ledger.Condition{
			Key: ledger.Key{Kind: ledger.KindMachineMove, Name: s.Workers.Get(workerID).Machine},
		})
	}
	for _, name := range demand.Released { // the write may be carried out whatever its answer is
		if workerID, ok := s.workerByID.Get(name); ok {
			s.Workers.Get(workerID).released = true
		}
	}
	s.Out.Writes.Add(write)
	s.log(events.DemandReported, events.F("pool", p.Name), events.F("need", demand.Need), events.F("have", demand.Have),
		events.F("released", len(demand.Released)), events.F("reclaimed", len(reclaim)), events.F("waiting_stages", len(p.ready)),
		events.F("inflow_cores", int(p.inflow(now))))
}

// demandSaved records the answer to a report. Workers that it no longer
// releases may be used again.
func (s *State) demandSaved(now time.Time, id table.ID, demand *work.Demand, result ledger.WriteResult) {
	p := s.Pools.Get(id)
	p.demandWrite = 0
	if result.Outcome != ledger.Applied {
		p.demandRetry = now.Add(retryWrite)
		s.log(events.DemandNotSaved, events.F("pool", p.Name), events.F("outcome", result.Outcome.String()), events.Err(result.Err))
		return
	}
	p.demand = *demand
	if p.reported == 0 {
		p.reported = result.Revision
	}
	for _, w := range s.Workers.All() {
		if w.pool == id && w.released && !slices.Contains(demand.Released, w.ID) {
			w.released, w.surplus, p.place = false, false, true
		}
	}
}

// lostLooks is the number of unanswered looks in a row after which a worker is
// no longer counted; the registry keeps workers that left for some seconds.
const lostLooks = 2

// poolWorkers returns the workers of a pool that answer, and neither leave nor
// are under an order.
func (s *State) poolWorkers(now time.Time, pool table.ID) []table.ID {
	var have []table.ID
	for id, w := range s.Workers.All() {
		answers := w.fenced && w.failedLook < lostLooks && now.Sub(w.lookedAt) < reachableFor
		if w.pool == pool && w.Listed && answers && !w.Draining && !w.maintenance {
			have = append(have, id)
		}
	}
	return have
}

// need computes how many machines a pool can use.
func (s *State) need(now time.Time, p *Pool, have []table.ID) int {
	cores, busy, lasting := 0, 0, 0
	for _, id := range have {
		w := s.Workers.Get(id)
		cores += w.Capacity.MilliCores
		busy += w.used.MilliCores
		if s.hostsLasting(w) {
			lasting++
		}
	}
	for _, stageID := range p.ready {
		if stage := s.Stages.Get(stageID); stage != nil && stage.ReadyTasks > 0 {
			j := s.Jobs.Get(stage.Job)
			waiting := float64(stage.ReadyTasks * j.Spec.Steps[stage.Step].Reserved().MilliCores)
			if !now.Before(j.Deadline) {
				waiting *= lateShare
			}
			busy += int(waiting)
		}
	}
	if len(have) == 0 {
		if busy > 0 {
			return leastMachines
		}
		return 0
	}
	wanted := max(float64(busy), p.inflow(now)*1000)
	perMachine := float64(cores) / float64(len(have)) * fillTarget
	return s.smoothNeed(now, p, max(int(math.Ceil(wanted/max(1, perMachine))), lasting+reserve, s.spread(p)+reserve, leastMachines))
}

// spread returns how many workers the lasting steps of a pool need by their
// limits per worker.
func (s *State) spread(p *Pool) int {
	workers := 0
	for _, id := range p.lasting {
		if j := s.Jobs.Get(id); j != nil && j.Final == 0 {
			for i := range j.Spec.Steps {
				if step := &j.Spec.Steps[i]; step.LongRunning {
					workers = max(workers, step.MinWorkers())
				}
			}
		}
	}
	return workers
}

func (s *State) hostsLasting(w *Worker) bool {
	return slices.ContainsFunc(w.runs, func(run table.ID) bool {
		t := s.Tasks.Get(s.Runs.Get(run).Task)
		return t != nil && stepOf(s, t).LongRunning
	})
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

// adjust keeps new work off the least busy workers beyond the number to keep,
// and takes workers back if there are too few. It returns those that need a
// stored report first.
func (s *State) adjust(p *Pool, have []table.ID, keep int) []table.ID {
	var kept, surplus []table.ID
	for _, id := range have {
		if s.Workers.Get(id).surplus {
			surplus = append(surplus, id)
		} else {
			kept = append(kept, id)
		}
	}
	if excess := len(kept) - keep; excess > 0 {
		free := slices.DeleteFunc(kept, func(id table.ID) bool { return s.hostsLasting(s.Workers.Get(id)) })
		slices.SortFunc(free, s.byUse)
		for _, id := range free[:min(excess, len(free))] {
			s.Workers.Get(id).surplus = true
		}
		return nil
	}
	missing := min(keep-len(kept), len(surplus))
	slices.SortFunc(surplus, func(a, b table.ID) int { return s.byUse(b, a) })
	var reclaim []table.ID
	for _, id := range surplus[:missing] {
		if w := s.Workers.Get(id); !w.released {
			w.surplus, p.place = false, true
		} else if len(reclaim) < maxReclaimed {
			reclaim = append(reclaim, id)
		}
	}
	return reclaim
}

// byUse orders workers by what runs there. Those that were released come first,
// then those whose machine has a maintenance to come.
func (s *State) byUse(a, b table.ID) int {
	x, y := s.Workers.Get(a), s.Workers.Get(b)
	return cmp.Or(first(x.released, y.released), first(x.due, y.due), cmp.Compare(x.used.MilliCores, y.used.MilliCores), cmp.Compare(x.ID, y.ID))
}

// first orders what is true before what is not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
