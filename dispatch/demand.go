package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// usableShare is the share of a machine's capacity that placement can use
	// for tasks of mixed sizes.
	usableShare = 0.85
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
