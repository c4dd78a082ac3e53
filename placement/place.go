package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// starvationLimit is how long a job may be passed over by smaller ones before a
// worker is held for it.
const starvationLimit = time.Minute

// placementPass is the work on one pool in one tick.
type placementPass struct {
	pool    string
	now     time.Time
	blocked map[shape]Reason // shapes that found no worker in this pass
	held    string           // worker kept free for a starving job
}

// shape holds what decides whether a worker suits a job. Jobs of one shape fail
// together, so that a long queue costs one search per shape.
type shape struct {
	size       Resources
	zone       string
	spread     familyKey // zero without anti-affinity
	idempotent bool
}

// placeJobs places waiting jobs in the pools where something changed.
func placeJobs(s *State, tick engine.Tick) {
	if s.placing = s.canPlace(tick.Now); !s.placing {
		return
	}
	for _, pool := range s.changedPools.take() {
		pass := &placementPass{pool: pool, now: tick.Now, blocked: map[shape]Reason{}}
		s.placePool(pass)
	}
}

// placePool serves the classes in strict order. Within a class the tenant with
// the least weighted dominant share goes first; within a tenant priority, then
// age decide.
func (s *State) placePool(pass *placementPass) {
	for _, queues := range s.classQueues(pass.pool) {
		for len(queues) > 0 {
			i := s.leastServed(queues)
			queue := queues[i]
			used := s.placeNext(pass, queue.ids)
			if queue.ids = queue.ids[used:]; len(queue.ids) == 0 {
				queues = slices.Delete(queues, i, i+1)
			}
		}
	}
}

// placeNext tries jobs in order until one is placed and returns how many it tried.
func (s *State) placeNext(pass *placementPass, ids []table.ID) int {
	for i, id := range ids {
		job := s.jobs.Get(id)
		reason := s.tryPlace(pass, id, job)
		if reason == ReasonNone {
			return i + 1
		}
		job.Reason = reason
		if job.Class == ClassUrgent && (reason == ReasonNoCapacity || reason == ReasonPreempting) {
			s.urgent = append(s.urgent, id)
		}
	}
	return len(ids)
}

type tenantQueue struct {
	tenant table.ID
	weight float64
	ids    []table.ID
}

// classQueues returns the waiting jobs of a pool by class, highest first, and tenant.
func (s *State) classQueues(pool string) [ClassUrgent][]*tenantQueue {
	var out [ClassUrgent][]*tenantQueue
	ids := slices.Clone(s.waitingByPool.Get(pool))
	slices.SortFunc(ids, func(x, y table.ID) int { return comparePlacement(s.jobs.Get(x), s.jobs.Get(y)) })
	var last *tenantQueue
	var lastJob *Job
	for _, id := range ids {
		job := s.jobs.Get(id)
		if job.attempt != 0 {
			continue // an earlier attempt may run until its lease lapses
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

func comparePlacement(x, y *Job) int {
	return cmp.Or(cmp.Compare(y.Class, x.Class), cmp.Compare(x.Tenant, y.Tenant),
		cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.order, y.order))
}

// leastServed returns the queue whose tenant has the least weighted dominant share.
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

const minWeight = 0.001 // least weight that the policy accepts

// dominantShare is the largest share of any resource of the whole fleet.
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

// tryPlace starts an attempt of the job or returns why it cannot.
func (s *State) tryPlace(pass *placementPass, id table.ID, job *Job) Reason {
	reserve := s.reservation(&job.Spec)
	if reason := s.withinLimits(job, reserve); reason != ReasonNone {
		return reason
	}
	key := shape{size: reserve, zone: job.AvailabilityZone, idempotent: job.Idempotent}
	if job.SpreadRacks {
		key.spread = job.familyKey()
	}
	if reason, ok := pass.blocked[key]; ok && len(job.FailedOn) == 0 {
		return s.starve(pass, job, reserve, reason)
	}
	w, reason := s.pickWorker(pass, job, reserve)
	if w == nil {
		if len(job.FailedOn) == 0 {
			pass.blocked[key] = reason
		}
		return s.starve(pass, job, reserve, reason)
	}
	s.beginAttempt(id, job, w, reserve, pass.now)
	return ReasonNone
}

// withinLimits checks the tenant's quota and the power cap, and notes the pool
// for another try when the limit eases.
func (s *State) withinLimits(job *Job, reserve Resources) Reason {
	tenant := s.tenant(job.Tenant)
	if tenant.Reserved.MilliCores+reserve.MilliCores > s.quotaMilliCores(job.Tenant) {
		if !slices.Contains(tenant.blockedPools, job.Pool) {
			tenant.blockedPools = append(tenant.blockedPools, job.Pool)
		}
		return ReasonQuota
	}
	watts := reserve.MilliCores * s.cfg.WattsPerCore / milliCores
	if watts <= s.HeadroomWatts() {
		return ReasonNone
	}
	s.powerPools.add(job.Pool)
	if job.Class == ClassUrgent {
		s.power.wanted += watts
	}
	return ReasonPowerCap
}

// starve holds the emptiest suitable worker for a job that has waited too long
// while smaller ones were placed.
func (s *State) starve(pass *placementPass, job *Job, reserve Resources, reason Reason) Reason {
	if reason != ReasonNoCapacity || pass.held != "" || pass.now.Sub(job.SubmittedAt) < starvationLimit {
		return reason
	}
	var best *Worker
	for _, id := range s.workersByPool.Get(job.Pool) {
		w := s.workers.Get(id)
		if w.accepts(job, pass.now) && s.suits(w, job, reserve) && (best == nil || s.freeCores(w) > s.freeCores(best)) {
			best = w
		}
	}
	if best != nil {
		pass.held = best.Name
	}
	return reason
}

func (s *State) freeCores(w *Worker) int { return s.usable(w).MilliCores - w.Reserved.MilliCores }

// suits reports whether the job could run on the worker if it were empty.
func (s *State) suits(w *Worker, job *Job, reserve Resources) bool {
	return (job.AvailabilityZone == "" || job.AvailabilityZone == w.AvailabilityZone) && reserve.Fits(s.usable(w))
}

// rank orders workers for a job; the least rank is best.
type rank struct {
	failed bool // the job failed there before
	normal bool // not in need of a probe; a probe goes first, so that a quarantine ends
	faults int
	zone   int // active jobs of the family in the zone
	rack   int // active jobs of the family in the rack
	free   int
}

func (r rank) less(o rank) bool {
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(number(r.failed), number(o.failed)), cmp.Compare(number(r.normal), number(o.normal)),
		cmp.Compare(r.faults, o.faults), cmp.Compare(r.zone, o.zone),
		cmp.Compare(r.rack, o.rack), cmp.Compare(o.free, r.free)) < 0
}

// pickWorker returns the best worker with room, or the most advanced reason why
// there is none.
func (s *State) pickWorker(pass *placementPass, job *Job, reserve Resources) (*Worker, Reason) {
	zones, racks := s.familySpread(job)
	var best *Worker
	var bestRank rank
	reason := ReasonNoAvailableWorker
	for _, id := range s.workersByPool.Get(job.Pool) {
		w := s.workers.Get(id)
		switch {
		case !s.suits(w, job, reserve) || !w.accepts(job, pass.now):
			continue
		case job.SpreadRacks && racks[w.Rack] > 0:
			if reason == ReasonNoAvailableWorker {
				reason = ReasonAntiAffinity
			}
			continue
		case w.Name == pass.held || !reserve.Fits(s.usable(w).Sub(w.Reserved)):
			reason = ReasonNoCapacity
			continue
		}
		r := rank{job.failedOn(w.Name), !w.Quarantine.Probing, len(w.faults), zones[w.AvailabilityZone], racks[w.Rack], s.freeCores(w)}
		if best == nil || r.less(bestRank) {
			best, bestRank = w, r
		}
	}
	return best, reason
}

// familySpread counts the family's attempts by zone and rack, for jobs with
// anti-affinity only.
func (s *State) familySpread(job *Job) (zones, racks map[string]int) {
	if !job.SpreadRacks {
		return nil, nil
	}
	zones, racks = map[string]int{}, map[string]int{}
	for _, id := range s.attemptsByFamily.Get(job.familyKey()) {
		if a := s.attempts.Get(id); a.holding {
			w := s.ensureWorker(a.Worker)
			zones[w.AvailabilityZone]++
			racks[w.Rack]++
		}
	}
	return zones, racks
}
