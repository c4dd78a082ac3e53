package placement

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// State holds the tables of jobs. One control loop owns it.
type State struct {
	// Out holds the effects of the tick.
	Out Outbound
	// Counters are the plain values behind metrics.
	Counters Counters

	cfg        Config
	policy     *policy.Effective
	epoch      uint64
	active     bool
	fenced     bool // another controller wrote a page
	fleetKnown bool
	quietUntil time.Time
	startedAt  time.Time // of the takeover
	placing    bool      // platform calls were allowed in the last tick
	claimed    int       // pages written with the own epoch
	random     *rand.Rand
	order      uint64

	jobs          table.Table[Job]
	jobByID       table.Index[string]
	jobsByPage    table.MultiIndex[int]
	waitingByPool table.MultiIndex[string] // pending jobs without an attempt
	parkedByPool  table.MultiIndex[string]

	attempts         table.Table[Attempt]
	attemptByOp      table.Index[string]
	attemptsByWorker table.MultiIndex[string]
	attemptsByFamily table.MultiIndex[familyKey]

	workers       table.Table[Worker]
	workerByName  table.Index[string]
	workersByPool table.MultiIndex[string]
	capacity      Resources // of all known workers, without the shares of the pools

	tenants      table.Table[Tenant]
	tenantByName table.Index[string]
	families     table.Table[Family]
	familyByKey  table.Index[familyKey]

	pages   table.Table[pageRow]
	pageIDs [PageCount]table.ID

	power          powerState
	adjustments    table.Table[powerAdjustment]
	adjustByOp     table.MultiIndex[string]
	adjustByWorker table.MultiIndex[string]

	timers          timerQueue
	changedPools    changeSet[string]   // pools whose waiting jobs need a placement
	fleetPools      changeSet[string]   // pools whose parked jobs need a check
	drainCheck      changeSet[string]   // workers whose tasks need a look after a fleet change
	restoreCheck    changeSet[string]   // workers with room for throttled tasks
	attemptCheck    changeSet[table.ID] // attempts whose status needs a decision
	stopCheck       changeSet[table.ID] // attempts of jobs to be stopped
	quarantineCheck changeSet[string]   // workers with enough faults
	powerPools      changeSet[string]   // pools in which the power cap stopped a placement
	powerRestores   changeSet[string]   // workers whose throttled tasks wait for power
	cancels         []CancelRequested
	urgent          []table.ID // urgent jobs that found no room in this tick
	reportedAt      time.Time  // observation time of the newest task list
	renewAt         time.Time
	shedAt          time.Time // of the last shedding
}

// New returns an empty state that is not active.
func New(cfg Config) *State {
	s := &State{cfg: cfg.withDefaults()}
	s.random = rand.New(rand.NewPCG(s.cfg.Seed, 0))
	s.reset()
	return s
}

// reset empties all tables and drops effects other than answers. Policy,
// configuration and counters stay.
func (s *State) reset() {
	*s = State{
		Out:      Outbound{Replies: s.Out.Replies},
		Counters: s.Counters, cfg: s.cfg, policy: s.policy, random: s.random, order: s.order,
		power: powerState{inrush: s.power.inrush},
	}
	for i := range PageCount {
		s.pageIDs[i] = s.pages.Insert(pageRow{index: i})
	}
}

// Active reports whether the state belongs to the active controller and no
// other controller has taken the pages.
func (s *State) Active() bool { return s.active && !s.fenced }

// Fenced reports that another controller wrote a page, so this one must stop.
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

// ensureWorker returns the row of a worker and creates an unknown one if needed.
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

// touch marks a job as changed, so that its page is written.
func (s *State) touch(job *Job) {
	page := s.page(job.page)
	page.sequence++
	page.dirty = true
	job.record = nil
}

// setState changes the state of a job and keeps the waiting indexes and the
// tenant's count of waiting jobs.
func (s *State) setState(id table.ID, job *Job, state JobState, reason Reason) {
	s.leaveWaiting(id, job)
	former := job.State
	job.State, job.Reason = state, reason
	s.announceState(job, former)
	switch state {
	case JobPending:
		s.waitingByPool.Add(job.Pool, id)
		s.changedPools.add(job.Pool)
		s.tenant(job.Tenant).Waiting++
	case JobParked:
		s.parkedByPool.Add(job.Pool, id)
		s.tenant(job.Tenant).Waiting++
	}
	s.touch(job)
}

func (s *State) leaveWaiting(id table.ID, job *Job) {
	switch job.State {
	case JobPending:
		s.waitingByPool.Remove(job.Pool, id)
		s.tenant(job.Tenant).Waiting--
		if job.Class == ClassUrgent { // throttled tasks may have waited for it
			for _, row := range s.workersByPool.Get(job.Pool) {
				s.restoreCheck.add(s.workers.Get(row).Name)
			}
		}
	case JobParked:
		s.parkedByPool.Remove(job.Pool, id)
		s.tenant(job.Tenant).Waiting--
	}
}

// insertJob adds a row without marking its page as changed.
func (s *State) insertJob(job Job) (*Job, table.ID) {
	job.page = PageOf(job.ID)
	s.order++
	job.order = s.order
	id := s.jobs.Insert(job)
	s.jobByID.Put(job.ID, id)
	s.jobsByPage.Add(job.page, id)
	s.page(job.page).bytes += job.encodedBytes()
	return s.jobs.Get(id), id
}

// dropJob removes a job from all tables. Its page is written without it.
func (s *State) dropJob(id table.ID) {
	job := s.jobs.Get(id)
	s.endAttempt(job)
	s.leaveWaiting(id, job)
	s.touch(job)
	s.page(job.page).bytes -= job.encodedBytes()
	s.jobByID.Delete(job.ID)
	s.jobsByPage.Remove(job.page, id)
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

// retain keeps a finished job until the given moment.
func (s *State) retain(id table.ID, job *Job, until time.Time) {
	row := s.page(job.page)
	row.finished = append(row.finished, id)
	s.timers.add(until, timerRetention, id)
}

// view returns the copy of a job for callers.
func (s *State) view(job *Job) JobView {
	v := JobView{
		ID: job.ID, Tenant: job.Tenant, State: job.State, Reason: job.Reason, Detail: job.Detail, Attempts: job.Attempts,
	}
	if a := s.attempts.Get(job.attempt); a != nil {
		v.Worker = a.Worker
	}
	return v
}

// Get returns a job.
func (s *State) Get(jobID string) (JobView, bool) {
	job, _ := s.job(jobID)
	if job == nil {
		return JobView{}, false
	}
	return s.view(job), true
}

// Jobs calls yield for each job in table order until it returns false.
func (s *State) Jobs(yield func(JobView) bool) {
	for _, job := range s.jobs.All() {
		if !yield(s.view(job)) {
			return
		}
	}
}
