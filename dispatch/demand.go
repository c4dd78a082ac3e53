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
	// urgentReportInterval is the shortest interval between two reports while
	// the pool lacks machines. It is short because a machine takes 1.5 s to
	// arrive, while a phase of the load lasts only about 8 s.
	urgentReportInterval = 80 * time.Millisecond
	// reportInterval is the shortest interval otherwise; each report has a cost.
	reportInterval = 400 * time.Millisecond
	// demandCheckInterval is the shortest interval between two computations of the
	// demand, which visit all workers of the pool: events come far more often at a
	// peak, and the computed demand hardly changes with one of them.
	demandCheckInterval = 20 * time.Millisecond
	// maxReportInterval is the longest interval between two reports, so that the
	// owner of the fleet can tell an unchanged demand from a lost pool owner.
	maxReportInterval = 4 * time.Second
	// usableShare is the share of a machine's capacity that placement can use
	// for tasks of mixed sizes.
	usableShare = 0.85
	// releaseReportInterval is the shortest interval between two reports that
	// release more machines. It is short because another pool may lack them.
	releaseReportInterval = 160 * time.Millisecond
	// needWindow is the minimum time for which a past need keeps machines in the
	// pool. It can be short, since machines released by mistake are reclaimed
	// with a single report.
	needWindow = 300 * time.Millisecond
	// lateWorkWeight is the weight of late jobs in the need: they earn little,
	// but must be completed.
	lateWorkWeight = 0.25
	// spareMachines is the number of machines that a pool keeps beyond its need
	// for the next job.
	spareMachines = 1
	// maxNeed bounds the need that follows from the sizes that clients declare: the owner
	// of the fleet allots missing machines one by one. No fleet has that many.
	maxNeed = 10_000
	// minMachines is the smallest size that a pool aims for.
	minMachines = 2
	// arrivalWindow is the longest window over which the arrival rate of work is
	// measured, and arrivalWindow/arrivalWindowDivisor the shortest one, within
	// which a rise of the load is detected if many jobs arrive per second.
	arrivalWindow = 500 * time.Millisecond
	// usualWatchDelay is the time in which the watch of an owner usually delivers a job:
	// its pause, the call, and the group commit that stores the job.
	usualWatchDelay      = 100 * time.Millisecond
	arrivalWindowDivisor = 4
	// trendWindow is how far back the arrival rate before arrivalWindow is measured,
	// to tell whether the load is rising.
	trendWindow = 3 * arrivalWindow
	// minGrowth is the ratio of the two rates from which the load counts as rising;
	// the rates of an even load of 35 jobs a second differ by up to that ratio.
	minGrowth = 1.3
	// maxGrowth bounds the factor by which a rising rate is extrapolated over the time
	// that a machine takes to arrive.
	maxGrowth = 2.0
	// maxReclaimed bounds the conditions of a report, so that it stays within
	// the 32 entries of a store transaction.
	maxReclaimed = 24
)

// arrival is the work of a recently accepted job.
type arrival struct {
	at   time.Time
	work float64 // core-seconds
}

// recordArrival includes a job that was accepted some time ago in the arrival rate of the
// pool. Beyond the usual delay of the watch the time of its acceptance counts: the jobs that
// a stalled watch delivers at once would otherwise look like a load that no fleet can serve.
func (p *Pool) recordArrival(now time.Time, acceptedAgo time.Duration, j *Job) {
	if now.Sub(p.OwnedSince) > arrivalWindow { // the jobs that a new owner sees first were accepted earlier
		p.arrivals = append(p.arrivals, arrival{at: now.Add(-max(0, acceptedAgo-usualWatchDelay)), work: j.Work})
	}
}

// recordArrival includes a new job in what the pool knows of its load.
func (s *State) recordArrival(now time.Time, poolID table.ID, j *Job) {
	p := s.Pools.Get(poolID)
	before := len(p.arrivals)
	p.recordArrival(now, s.acceptedAgo(j.Spec), j)
	if s.Config.Forecast && len(p.arrivals) > before {
		p.recordForecastArrival(p.arrivals[before].at, j.Work)
	}
}

// workArrivalRate returns the cores that keep up with the arriving jobs, as a
// lower confidence bound, since a few jobs predict little about the next ones.
func (p *Pool) workArrivalRate(now time.Time) float64 {
	p.arrivals = slices.DeleteFunc(p.arrivals, func(a arrival) bool { return now.Sub(a.at) > trendWindow })
	highest := 0.0
	for window := arrivalWindow; window >= arrivalWindow/arrivalWindowDivisor; window /= 2 {
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

// expectedArrivalRate extrapolates a rising arrival rate, in cores, to the time at
// which a machine that is ordered now arrives.
func (p *Pool) expectedArrivalRate(now time.Time) float64 {
	rate := p.workArrivalRate(now)
	earlier := 0.0
	for _, a := range p.arrivals {
		if now.Sub(a.at) > arrivalWindow {
			earlier += a.work
		}
	}
	earlier /= (trendWindow - arrivalWindow).Seconds()
	if rate <= minGrowth*earlier {
		return rate
	}
	return min(maxGrowth*rate, rate+2*(rate-minGrowth*earlier))
}

// releasesVoided reports whether the workers that an earlier owner released may
// be used again. This owner's first report voids those releases, and the local
// copy of the store must have reached it to contain every move that was planned
// before.
func (s *State) releasesVoided(p *Pool) bool {
	return p.firstReportRevision != 0 && s.Mirror.Revision >= p.firstReportRevision
}

// reportDemand reports to the owner of the fleet how many machines each pool
// needs and which workers it releases.
func reportDemand(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.mayOrder(p, tick.Now) || p.demandWrite != 0 || tick.Now.Before(p.demandRetryAt) || tick.Now.Before(p.demandAt.Add(urgentReportInterval)) ||
			tick.Now.Before(p.demandCheckedAt.Add(demandCheckInterval)) {
			continue
		}
		p.demandCheckedAt = tick.Now
		if p.firstReportRevision == 0 {
			first := work.Demand{Need: minMachines, Have: minMachines}
			s.reportTeams(id, &first)
			s.writeDemand(tick.Now, id, first, nil)
			continue
		}
		have := s.availableWorkers(tick.Now, id)
		s.updateForecast(tick.Now, p)
		demand := work.Demand{Need: s.machineNeed(tick.Now, p, have), Have: len(have), Expected: s.expectedMachines(tick.Now, p, have)}
		reclaim := s.adjustSurplus(tick.Now, p, have, max(demand.Need+spareMachines, demand.Expected))
		reclaim = s.keepForWaitingStages(tick, p, have, reclaim)
		for _, workerID := range have {
			if w := s.Workers.Get(workerID); w.surplus && w.holdsNothing() && w.Machine != "" && !slices.Contains(reclaim, workerID) {
				demand.Released = append(demand.Released, w.ID)
			}
		}
		s.reportTeams(id, &demand)
		if s.shouldReport(tick.Now, p, &demand, reclaim) {
			s.writeDemand(tick.Now, id, demand, reclaim)
		}
	}
}

func (s *State) shouldReport(now time.Time, p *Pool, demand *work.Demand, reclaim []table.ID) bool {
	old := &p.lastDemand
	if len(reclaim) > 0 || s.teamsUrgent(p, demand) || (demand.Need > demand.Have && demand.Need-demand.Have > old.Need-old.Have) ||
		(demand.Expected > demand.Have && demand.Expected-demand.Have > old.Expected-old.Have) {
		return true
	}
	if len(demand.Released) > len(old.Released) && !now.Before(p.demandAt.Add(releaseReportInterval)) {
		return true
	}
	if now.Before(p.demandAt.Add(reportInterval)) {
		return false
	}
	same := old.Have == demand.Have && (old.Need == demand.Need || max(old.Need, demand.Need) <= demand.Have) &&
		(old.Expected == demand.Expected || max(old.Expected, demand.Expected) <= demand.Have) &&
		slices.Equal(old.Released, demand.Released) && s.sameTeams(old, demand)
	return !same || !now.Before(p.demandAt.Add(maxReportInterval))
}

// writeDemand stores a report, on the condition that no move is planned for the
// machine of a reclaimed worker.
func (s *State) writeDemand(now time.Time, id table.ID, demand work.Demand, reclaim []table.ID) {
	p := s.Pools.Get(id)
	p.demandAt, p.demandWrite = now, s.NextWrite()
	s.pendingWrites[p.demandWrite] = pendingWrite{pool: id, demand: &demand}
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
	for _, name := range demand.Released { // the write may be applied even if its answer is lost
		if workerID, ok := s.workerByID.Get(name); ok {
			s.Workers.Get(workerID).released = true
		}
	}
	s.Out.Writes.Add(write)
	s.log(events.DemandReported, events.F("pool", p.Name), events.F("write", p.demandWrite), events.F("need", demand.Need), events.F("expected", demand.Expected), events.F("have", demand.Have),
		events.F("released", len(demand.Released)), events.F("reclaimed", len(reclaim)), events.F("waiting_stages", p.ready.Len()),
		events.F("inflow_cores", int(p.workArrivalRate(now))))
}

// demandSaved records the result of writing a report. Released workers that the
// stored report no longer lists may be used again.
func (s *State) demandSaved(now time.Time, id table.ID, demand *work.Demand, result ledger.WriteResult) {
	p := s.Pools.Get(id)
	p.demandWrite = 0
	if result.Outcome != ledger.Applied {
		p.demandRetryAt = now.Add(writeRetryDelay)
		s.log(events.DemandNotSaved, events.F("pool", p.Name), events.F("write", result.ID), events.F("outcome", result.Outcome.String()), events.Err(result.Err))
		return
	}
	s.log(events.DemandStored, events.F("pool", p.Name), events.F("write", result.ID), events.F("revision", result.Revision),
		events.F("released", len(demand.Released)), events.F("after_ms", now.Sub(p.demandAt).Milliseconds()))
	p.lastDemand = *demand
	if p.firstReportRevision == 0 {
		p.firstReportRevision = result.Revision
	}
	for _, w := range s.workersOf(id) {
		if w.released && !slices.Contains(demand.Released, w.ID) {
			w.released, w.surplus, p.placementNeeded, p.contactsChanged = false, false, true, true
		}
	}
}

// maxFailedPolls is the number of consecutive unanswered polls after which a
// worker is not counted, because the registry lists workers for some seconds
// after they left.
const maxFailedPolls = 2

// availableWorkers returns the workers of a pool that answer, are not draining
// and are not subject to a machine order.
func (s *State) availableWorkers(now time.Time, pool table.ID) []table.ID {
	var have []table.ID
	for id, w := range s.workersOf(pool) {
		answers := w.tokenAccepted && w.failedPolls < maxFailedPolls && now.Sub(w.lastListAt) < reachableAfterList
		if w.Listed && answers && !w.Draining && !w.underMaintenance {
			have = append(have, id)
		}
	}
	return have
}

// machineNeed computes how many machines a pool can use.
func (s *State) machineNeed(now time.Time, p *Pool, have []table.ID) int {
	capacity, busy, longRunning, closed := 0, 0, 0, 0
	for _, id := range have {
		w := s.Workers.Get(id)
		capacity += w.Capacity.MilliCores
		busy += w.used.MilliCores
		if w.load.longRunning > 0 {
			longRunning++
		}
		if s.slowWorkers.Contains(id) || now.Before(w.quarantinedUntil) {
			closed++ // it gets hardly any tasks, or none for longer than a machine takes to arrive
		}
	}
	s.updateReadyOrder(now, p)
	waiting := max(0, float64(p.ready.millicores)+lateWorkWeight*float64(p.ready.lateMillicores)-float64(s.waitingForCap(p)))
	if len(have) == 0 {
		if waiting > 0 {
			return minMachines
		}
		return 0
	}
	// A machine arrives 1.5 s after its order. Until then about as much work arrives
	// as the pool must be able to run at a time, beside what waits already.
	wanted := max(float64(busy), p.arrivalRateToServe(now, float64(busy)/1000)*1000) + waiting
	perMachine := float64(capacity) / float64(len(have)) * usableShare
	machines := closed + int(math.Ceil(min(wanted/max(1, perMachine), maxNeed)))
	return p.smoothNeed(now, max(machines, longRunning+spareMachines, s.longRunningWorkers(p)+spareMachines, minMachines))
}

// longRunningWorkers returns how many workers the long-running steps of a pool
// need because of their limits per worker.
func (s *State) longRunningWorkers(p *Pool) int {
	workers := 0
	for _, id := range p.longRunningJobs {
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

// smoothNeed returns the highest need in the current and the previous window, so
// that a short dip between two jobs does not release machines.
func (p *Pool) smoothNeed(now time.Time, need int) int {
	if now.Sub(p.windowStart) > needWindow {
		p.previousNeed, p.windowNeed, p.windowStart = p.windowNeed, need, now
	}
	p.windowNeed = max(p.windowNeed, need)
	return max(p.windowNeed, p.previousNeed)
}

// adjustSurplus marks the least busy workers beyond the number to keep as
// surplus, and clears the mark if there are too few others. It returns the
// released workers among the latter; they may be used only after a report that
// reclaims them is stored.
func (s *State) adjustSurplus(now time.Time, p *Pool, have []table.ID, keep int) []table.ID {
	var kept, surplus []table.ID
	for _, id := range have {
		if s.Workers.Get(id).surplus {
			surplus = append(surplus, id)
		} else {
			kept = append(kept, id)
		}
	}
	if excess := len(kept) - keep; excess > 0 {
		free := slices.DeleteFunc(kept, func(id table.ID) bool {
			w := s.Workers.Get(id)
			return w.load.longRunning > 0 || now.Before(w.keptUntil)
		})
		slices.SortFunc(free, s.compareForRelease)
		for _, id := range free[:min(excess, len(free))] {
			s.Workers.Get(id).surplus = true
		}
		return nil
	}
	missing := min(keep-len(kept), len(surplus))
	slices.SortFunc(surplus, func(a, b table.ID) int { return s.compareForRelease(b, a) })
	var reclaim []table.ID
	for _, id := range surplus[:missing] {
		if w := s.Workers.Get(id); !w.released {
			w.surplus, p.placementNeeded = false, true
		} else if len(reclaim) < maxReclaimed {
			reclaim = append(reclaim, id)
		}
	}
	return reclaim
}

// compareForRelease orders released workers first, then workers whose machine is
// scheduled for maintenance, then by used capacity.
func (s *State) compareForRelease(a, b table.ID) int {
	x, y := s.Workers.Get(a), s.Workers.Get(b)
	return cmp.Or(compareTrueFirst(x.released, y.released), compareTrueFirst(x.maintenancePending, y.maintenancePending), cmp.Compare(x.used.MilliCores, y.used.MilliCores), cmp.Compare(x.ID, y.ID))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
