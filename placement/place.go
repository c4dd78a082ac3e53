package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// starvationLimit is how long a job may wait while smaller jobs are placed before a
// worker is reserved for it.
const starvationLimit = time.Minute

// placementPass is the state of the placement of one pool in one tick.
type placementPass struct {
	pool           string
	now            time.Time
	unplaceable    map[equivalenceClass]Reason // equivalence classes for which no worker was found in this pass
	reservedWorker string                      // worker that accepts no placements, because a starving job waits for it
}

// equivalenceClass holds the properties that decide whether a worker can run a job.
// If placement fails for one job, it fails for all jobs of the class, so that a long
// queue costs one search per class.
type equivalenceClass struct {
	size       Resources
	zone       string
	spread     familyKey // zero without rack anti-affinity
	idempotent bool
}

// placeJobs places waiting jobs in the pools that changed.
func placeJobs(s *State, tick engine.Tick) {
	if s.placementEnabled = s.canPlace(tick.Now); !s.placementEnabled {
		return
	}
	for _, pool := range s.poolsToPlace.take() {
		pass := &placementPass{pool: pool, now: tick.Now, unplaceable: map[equivalenceClass]Reason{}}
		s.placePool(pass)
	}
}

// placePool places the job classes in strict order. Within a class, the tenant with
// the smallest weighted dominant share goes first (dominant resource fairness). Within
// a tenant, jobs are ordered by priority, then by age.
func (s *State) placePool(pass *placementPass) {
	for _, queues := range s.classQueues(pass.pool) {
		for len(queues) > 0 {
			i := s.leastServed(queues)
			queue := queues[i]
			tried := s.placeNext(pass, queue.ids)
			if queue.ids = queue.ids[tried:]; len(queue.ids) == 0 {
				queues = slices.Delete(queues, i, i+1)
			}
		}
	}
}

// placeNext tries jobs in order until one is placed. It returns the number of jobs tried.
func (s *State) placeNext(pass *placementPass, ids []table.ID) int {
	for i, id := range ids {
		job := s.jobs.Get(id)
		reason := s.tryPlace(pass, id, job)
		if reason == ReasonNone {
			return i + 1
		}
		job.Reason = reason
		if job.Class == ClassUrgent && (reason == ReasonNoCapacity || reason == ReasonPreempting) {
			s.unplacedUrgent = append(s.unplacedUrgent, id)
		}
	}
	return len(ids)
}

type tenantQueue struct {
	tenant table.ID
	weight float64
	ids    []table.ID
}

// classQueues returns the waiting jobs of a pool, grouped by class, highest first, and
// by tenant.
func (s *State) classQueues(pool string) [ClassUrgent][]*tenantQueue {
	var out [ClassUrgent][]*tenantQueue
	ids := slices.Clone(s.waitingByPool.Get(pool))
	slices.SortFunc(ids, func(x, y table.ID) int { return comparePlacementOrder(s.jobs.Get(x), s.jobs.Get(y)) })
	var last *tenantQueue
	var lastJob *Job
	for _, id := range ids {
		job := s.jobs.Get(id)
		if job.attempt != 0 {
			continue // an earlier attempt may run until its lease expires
		}
		if lastJob == nil || lastJob.Class != job.Class || lastJob.Tenant != job.Tenant {
			s.tenant(job.Tenant)
			row, _ := s.tenantByName.Get(job.Tenant)
			last = &tenantQueue{tenant: row, weight: s.policy.Tenant(job.Tenant).Weight}
			out[ClassUrgent-job.Class] = append(out[ClassUrgent-job.Class], last)
		}
		last.ids = append(last.ids, id)
		lastJob = job
	}
	return out
}

func comparePlacementOrder(x, y *Job) int {
	return cmp.Or(cmp.Compare(y.Class, x.Class), cmp.Compare(x.Tenant, y.Tenant),
		cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.submitOrder, y.submitOrder))
}

// leastServed returns the index of the queue whose tenant has the smallest weighted
// dominant share.
func (s *State) leastServed(queues []*tenantQueue) int {
	best, least := 0, 0.0
	for i, queue := range queues {
		share := s.dominantShare(s.tenants.Get(queue.tenant).Reserved) / max(queue.weight, minWeight)
		if i == 0 || share < least {
			best, least = i, share
		}
	}
	return best
}

const minWeight = 0.001 // smallest weight that the policy accepts

// dominantShare returns the largest share of the fleet's capacity over all resources.
func (s *State) dominantShare(r Resources) float64 {
	share := func(part, whole int) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return max(share(r.MilliCores, s.capacity.MilliCores), share(r.MemoryMB, s.capacity.MemoryMB),
		share(r.Accelerators, s.capacity.Accelerators))
}

// tryPlace begins an attempt of the job or returns the reason why it cannot.
func (s *State) tryPlace(pass *placementPass, id table.ID, job *Job) Reason {
	reservation := s.reservation(&job.Spec)
	if reason := s.limitReason(job, reservation); reason != ReasonNone {
		return reason
	}
	key := equivalenceClass{size: reservation, zone: job.AvailabilityZone, idempotent: job.Idempotent}
	if job.SpreadRacks {
		key.spread = job.familyKey()
	}
	if reason, ok := pass.unplaceable[key]; ok && len(job.FailedOn) == 0 {
		return s.reserveForStarving(pass, job, reservation, reason)
	}
	w, reason := s.pickWorker(pass, job, reservation)
	if w == nil {
		if len(job.FailedOn) == 0 {
			pass.unplaceable[key] = reason
		}
		return s.reserveForStarving(pass, job, reservation, reason)
	}
	s.beginAttempt(id, job, w, reservation, pass.now)
	return ReasonNone
}

// limitReason checks the tenant's quota and the power cap. If one of them blocks the
// job, the pool is recorded, so that placement is retried when the limit allows more.
func (s *State) limitReason(job *Job, reservation Resources) Reason {
	tenant := s.tenant(job.Tenant)
	if tenant.Reserved.MilliCores+reservation.MilliCores > s.quotaMilliCores(job.Tenant) {
		if !slices.Contains(tenant.blockedPools, job.Pool) {
			tenant.blockedPools = append(tenant.blockedPools, job.Pool)
		}
		return ReasonQuota
	}
	watts := reservation.MilliCores * s.cfg.WattsPerCore / milliCoresPerCore
	if watts <= s.HeadroomWatts() {
		return ReasonNone
	}
	s.poolsBlockedByPower.add(job.Pool)
	if job.Class == ClassUrgent {
		s.power.urgentDemand += watts
	}
	return ReasonPowerCap
}

// reserveForStarving reserves the suitable worker with the most free cores for a job
// that has waited too long while smaller jobs were placed.
func (s *State) reserveForStarving(pass *placementPass, job *Job, reservation Resources, reason Reason) Reason {
	if reason != ReasonNoCapacity || pass.reservedWorker != "" || pass.now.Sub(job.SubmittedAt) < starvationLimit {
		return reason
	}
	var best *Worker
	for _, id := range s.workersByPool.Get(job.Pool) {
		w := s.workers.Get(id)
		if w.acceptsJob(job, pass.now) && s.canHost(w, job, reservation) && (best == nil || s.freeMilliCores(w) > s.freeMilliCores(best)) {
			best = w
		}
	}
	if best != nil {
		pass.reservedWorker = best.Name
	}
	return reason
}

func (s *State) freeMilliCores(w *Worker) int {
	return s.usableCapacity(w).MilliCores - w.Reserved.MilliCores
}

// canHost reports whether the job could run on the worker if it were idle.
func (s *State) canHost(w *Worker, job *Job, reservation Resources) bool {
	return (job.AvailabilityZone == "" || job.AvailabilityZone == w.AvailabilityZone) && reservation.Fits(s.usableCapacity(w))
}

// workerRank orders workers for a job; the smallest rank is best.
type workerRank struct {
	failed         bool // the job failed there before
	notProbing     bool // false for a probing worker, which goes first so that its quarantine can end
	faults         int
	zone           int // active jobs of the family in the zone
	rack           int // active jobs of the family in the rack
	freeMilliCores int
}

func (r workerRank) less(o workerRank) bool {
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(number(r.failed), number(o.failed)), cmp.Compare(number(r.notProbing), number(o.notProbing)),
		cmp.Compare(r.faults, o.faults), cmp.Compare(r.zone, o.zone),
		cmp.Compare(r.rack, o.rack), cmp.Compare(o.freeMilliCores, r.freeMilliCores)) < 0
}

// pickWorker returns the best worker with sufficient capacity. If there is none, it
// returns the reason of the last check that any worker reached.
func (s *State) pickWorker(pass *placementPass, job *Job, reservation Resources) (*Worker, Reason) {
	zones, racks := s.familySpread(job)
	var best *Worker
	var bestRank workerRank
	reason := ReasonNoAvailableWorker
	for _, id := range s.workersByPool.Get(job.Pool) {
		w := s.workers.Get(id)
		switch {
		case !s.canHost(w, job, reservation) || !w.acceptsJob(job, pass.now):
			continue
		case job.SpreadRacks && racks[w.Rack] > 0:
			if reason == ReasonNoAvailableWorker {
				reason = ReasonAntiAffinity
			}
			continue
		case w.Name == pass.reservedWorker || !reservation.Fits(s.usableCapacity(w).Sub(w.Reserved)):
			reason = ReasonNoCapacity
			continue
		}
		r := workerRank{job.failedOn(w.Name), !w.Quarantine.Probing, len(w.faults), zones[w.AvailabilityZone], racks[w.Rack], s.freeMilliCores(w)}
		if best == nil || r.less(bestRank) {
			best, bestRank = w, r
		}
	}
	return best, reason
}

// familySpread counts the family's attempts by zone and rack. It is nil for jobs
// without rack anti-affinity.
func (s *State) familySpread(job *Job) (zones, racks map[string]int) {
	if !job.SpreadRacks {
		return nil, nil
	}
	zones, racks = map[string]int{}, map[string]int{}
	for _, id := range s.attemptsByFamily.Get(job.familyKey()) {
		if a := s.attempts.Get(id); a.holdsReservation {
			w := s.ensureWorker(a.Worker)
			zones[w.AvailabilityZone]++
			racks[w.Rack]++
		}
	}
	return zones, racks
}
