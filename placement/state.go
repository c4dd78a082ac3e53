package placement

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// State holds the tables of job placement. One control loop owns it.
type State struct {
	// Out holds the outbound effects of the tick.
	Out Outbound
	// Counters are the cumulative values that feed the metrics.
	Counters Counters

	cfg              Config
	policy           *policy.Effective
	epoch            uint64
	active           bool
	fenced           bool // another controller wrote a page
	fleetLoaded      bool
	callsAllowedFrom time.Time
	takeoverAt       time.Time
	placementEnabled bool // whether jobs could be placed in the last tick
	claimedPages     int  // pages committed with this controller's epoch
	random           *rand.Rand
	lastSubmitOrder  uint64

	jobs          table.Table[Job]
	jobByID       table.Index[string]
	jobsByPage    table.MultiIndex[int]
	waitingByPool table.MultiIndex[string] // pending jobs without an attempt
	parkedByPool  table.MultiIndex[string]

	attempts           table.Table[Attempt]
	attemptByOperation table.Index[string]
	attemptsByWorker   table.MultiIndex[string]
	attemptsByFamily   table.MultiIndex[familyKey]

	workers       table.Table[Worker]
	workerByName  table.Index[string]
	workersByPool table.MultiIndex[string]
	capacity      Resources // total of all workers of the fleet, without the job shares of the pools

	tenants      table.Table[Tenant]
	tenantByName table.Index[string]
	families     table.Table[Family]
	familyByKey  table.Index[familyKey]

	pages   table.Table[pageRow]
	pageIDs [PageCount]table.ID

	power                  powerState
	powerAdjustments       table.Table[powerAdjustment]
	adjustmentsByOperation table.MultiIndex[string]
	adjustmentsByWorker    table.MultiIndex[string]

	timers                timerQueue
	poolsToPlace          pendingSet[string]   // pools whose waiting jobs must be placed
	poolsToRecheck        pendingSet[string]   // pools whose waiting and parked jobs must be checked for feasibility
	workersToReconcile    pendingSet[string]   // workers whose tasks must be checked after a change of condition
	workersToUnthrottle   pendingSet[string]   // workers whose throttled tasks may have enough capacity
	attemptsToCheck       pendingSet[table.ID] // attempts whose status must be checked
	attemptsToStop        pendingSet[table.ID] // attempts of cancelled jobs
	workersToQuarantine   pendingSet[string]   // workers with enough failures
	poolsBlockedByPower   pendingSet[string]   // pools in which the power cap blocked a placement
	workersBlockedByPower pendingSet[string]   // workers whose throttled tasks the power cap blocks
	cancelRequests        []CancelRequested
	unplacedUrgent        []table.ID // urgent jobs that could not be placed in this tick
	newestTaskListAt      time.Time  // observation time of the newest task list
	nextRenewalAt         time.Time
	lastShedAt            time.Time // zero after a change in power draw
}

// New returns an empty, inactive state.
func New(cfg Config) *State {
	s := &State{cfg: cfg.withDefaults()}
	s.random = rand.New(rand.NewPCG(s.cfg.Seed, 0))
	s.reset()
	return s
}

// reset empties all tables and drops all effects except replies. Policy,
// configuration and counters are kept.
func (s *State) reset() {
	*s = State{
		Out:      Outbound{Replies: s.Out.Replies},
		Counters: s.Counters, cfg: s.cfg, policy: s.policy, random: s.random, lastSubmitOrder: s.lastSubmitOrder,
		power: powerState{inrush: s.power.inrush},
	}
	for i := range PageCount {
		s.pageIDs[i] = s.pages.Insert(pageRow{index: i})
	}
}

// Active reports whether this controller is active and no other controller has taken
// over the pages.
func (s *State) Active() bool { return s.active && !s.fenced }

// Fenced reports whether another controller wrote a page, so that this one must stop.
func (s *State) Fenced() bool { return s.fenced }

func (s *State) page(index int) *pageRow { return s.pages.Get(s.pageIDs[index]) }

func (s *State) job(id string) (*Job, table.ID) {
	row, ok := s.jobByID.Get(id)
	if !ok {
		return nil, 0
	}
	return s.jobs.Get(row), row
}

func (s *State) worker(name string) *Worker {
	id, ok := s.workerByName.Get(name)
	if !ok {
		return nil
	}
	return s.workers.Get(id)
}

// ensureWorker returns the row of a worker. If there is none, it inserts one that is not
// part of the fleet.
func (s *State) ensureWorker(name string) *Worker {
	if w := s.worker(name); w != nil {
		return w
	}
	id := s.workers.Insert(Worker{Name: name})
	s.workerByName.Put(name, id)
	return s.workers.Get(id)
}

func (s *State) tenant(name string) *Tenant {
	id, ok := s.tenantByName.Get(name)
	if !ok {
		id = s.tenants.Insert(Tenant{Name: name})
		s.tenantByName.Put(name, id)
	}
	return s.tenants.Get(id)
}

func (s *State) family(key familyKey) *Family {
	id, ok := s.familyByKey.Get(key)
	if !ok {
		id = s.families.Insert(Family{Tenant: key.tenant, Name: key.family})
		s.familyByKey.Put(key, id)
	}
	return s.families.Get(id)
}

func (j *Job) familyKey() familyKey { return familyKey{j.Tenant, j.Family} }

// markChanged marks a job and its page as changed, so that the page is written.
func (s *State) markChanged(job *Job) {
	page := s.page(job.pageIndex)
	page.sequence++
	page.dirty = true
	job.cachedRecord = nil
}

// setState changes the state of a job and updates the waiting indexes and the
// tenant's count of waiting jobs.
func (s *State) setState(id table.ID, job *Job, state JobState, reason Reason) {
	s.removeFromWaiting(id, job)
	former := job.State
	job.State, job.Reason = state, reason
	s.notifyState(job, former)
	switch state {
	case JobPending:
		s.waitingByPool.Add(job.Pool, id)
		s.poolsToPlace.add(job.Pool)
		s.tenant(job.Tenant).Waiting++
	case JobParked:
		s.parkedByPool.Add(job.Pool, id)
		s.tenant(job.Tenant).Waiting++
	}
	s.markChanged(job)
}

func (s *State) removeFromWaiting(id table.ID, job *Job) {
	switch job.State {
	case JobPending:
		s.waitingByPool.Remove(job.Pool, id)
		s.tenant(job.Tenant).Waiting--
		if job.Class == ClassUrgent { // its waiting may have blocked the end of throttles
			for _, row := range s.workersByPool.Get(job.Pool) {
				s.workersToUnthrottle.add(s.workers.Get(row).Name)
			}
		}
	case JobParked:
		s.parkedByPool.Remove(job.Pool, id)
		s.tenant(job.Tenant).Waiting--
	}
}

// insertJob inserts a job without marking its page as changed.
func (s *State) insertJob(job Job) (*Job, table.ID) {
	job.pageIndex = PageOf(job.ID)
	s.lastSubmitOrder++
	job.submitOrder = s.lastSubmitOrder
	id := s.jobs.Insert(job)
	s.jobByID.Put(job.ID, id)
	s.jobsByPage.Add(job.pageIndex, id)
	s.page(job.pageIndex).estimatedBytes += job.encodedBytes()
	return s.jobs.Get(id), id
}

// deleteJob deletes a job from all tables. The next write of its page omits it.
func (s *State) deleteJob(id table.ID) {
	job := s.jobs.Get(id)
	s.endAttempt(job)
	s.removeFromWaiting(id, job)
	s.markChanged(job)
	s.page(job.pageIndex).estimatedBytes -= job.encodedBytes()
	s.jobByID.Delete(job.ID)
	s.jobsByPage.Remove(job.pageIndex, id)
	s.jobs.Delete(id)
}

// finish moves a job to a final state and ends its attempt.
func (s *State) finish(id table.ID, job *Job, state JobState, reason Reason, now time.Time) {
	s.endAttempt(job)
	s.setState(id, job, state, reason)
	job.FinishedAt, job.Cancelling = now, false
	s.Counters.countFinished(state)
	s.retain(id, job, now.Add(s.cfg.Retention))
}

// retain keeps a finished job until the given time.
func (s *State) retain(id table.ID, job *Job, until time.Time) {
	page := s.page(job.pageIndex)
	page.finished = append(page.finished, id)
	s.timers.add(until, timerRetention, id)
}

// jobView returns a copy of a job for callers.
func (s *State) jobView(job *Job) JobView {
	v := JobView{
		ID: job.ID, Tenant: job.Tenant, State: job.State, Reason: job.Reason, Detail: job.Detail, Attempts: job.Attempts,
	}
	if a := s.attempts.Get(job.attempt); a != nil {
		v.Worker = a.Worker
	}
	return v
}

// Get returns the job with the given ID.
func (s *State) Get(jobID string) (JobView, bool) {
	job, _ := s.job(jobID)
	if job == nil {
		return JobView{}, false
	}
	return s.jobView(job), true
}

// Jobs calls yield for each job in table order, until yield returns false.
func (s *State) Jobs(yield func(JobView) bool) {
	for _, job := range s.jobs.All() {
		if !yield(s.jobView(job)) {
			return
		}
	}
}
