package admission

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// lateWorkWeight is the weight of the work of late jobs: owners start the tasks of
	// jobs that can be in time first. It is that of the owners' demand for machines.
	lateWorkWeight = 0.25
	// maxJobWork bounds the work of one job, so that sums stay exact and the sizes that a
	// client declares can't overflow them: 10 million core-seconds.
	maxJobWork = 1e13
	// capacityHold is how long a higher report of a pool's machines counts after a lower
	// one. The first report of a new owner states two machines.
	capacityHold = 2 * time.Second
)

// coreSecond is a second of a core in units of work, which are thousandths of a core times
// milliseconds.
const coreSecond = 1e6

// Load is what this process knows of the use of teams and the work of pools. Its tables
// grow with the manifest, the registry and the mirrored jobs only.
type Load struct {
	Teams   table.Table[Team]
	Pools   table.Table[Pool]
	Uses    table.Table[Use]
	Jobs    table.Table[Job]
	Workers table.Table[Worker]
	Reports table.Table[Report]
	// Partitions divides pools; nil until the record has been read.
	Partitions work.Partitions
	// Waits lists jobs accepted by this process that have started since the last tick.
	Waits table.Outbound[Wait]

	active    bool // the manifest has teams
	reload    bool // the mirrored jobs are not in the tables yet
	spare     int  // machines that the owners of all pools don't need
	millicore int  // of all registered workers

	teamByName   table.Index[string]
	poolByName   table.Index[string]
	useByKey     table.Index[useKey]
	usesOfPool   table.MultiIndex[table.ID]
	jobByID      table.Index[string]
	workerByName table.Index[string]
	reportByName table.Index[string]
	reportsOf    table.MultiIndex[table.ID] // by pool
	inTime       table.Heap[time.Time]      // jobs by the end of their objective
}

// Team is a team of the manifest, or one whose jobs are still in the mirror. The team
// without a name has the jobs of public queues.
type Team struct {
	Name   string
	Weight float64
	Cap    int // thousandths of a core; 0 means no limit
	Listed bool
	work   outstanding
	jobs   int
}

// Pool is a pool that the manifest, a worker or a report names.
type Pool struct {
	Name       string
	work       outstanding
	workers    int
	millicores int // of its registered workers
}

// Use is the outstanding work of a team in a pool.
type Use struct {
	Team, Pool table.ID
	work       outstanding
	jobs       int
}

type useKey struct{ team, pool table.ID }

// outstanding is the work of accepted, unfinished jobs, in units of work.
type outstanding struct {
	all  int64
	late int64 // of jobs whose objective has passed; part of all
}

func (o *outstanding) add(amount int64, late bool) {
	o.all += amount
	if late {
		o.late += amount
	}
}

// expected returns the core-seconds that delay a new job.
func (o *outstanding) expected() float64 {
	return (float64(o.all) - (1-lateWorkWeight)*float64(o.late)) / coreSecond
}

// Job is a job that the mirror holds, or a submission that this process holds.
type Job struct {
	ID        string
	team      table.ID
	pool      table.ID
	use       table.ID
	work      int64 // outstanding
	late      bool  // its objective has passed
	held      bool  // this process may still store it
	own       bool  // this process accepted it and has not reported its wait
	firstSeen time.Time
}

// Worker is a registered worker.
type Worker struct {
	Name       string
	pool       table.ID
	millicores int
	revision   int64
}

// Report is the last report of the owner of a partition.
type Report struct {
	Partition  string
	ReceivedAt time.Time
	revision   int64
	spare      int // machines beyond the need
	// machines of the present and the previous interval of capacityHold
	highest, previous int
	intervalStart     time.Time
}

// Wait is the time from the acceptance of a job to its start.
type Wait struct {
	Team string
	Time time.Duration
}

// Configure takes over the teams of a manifest.
func (l *Load) Configure(m *work.Manifest) {
	switch {
	case !m.HasTeams():
		*l = Load{
			Workers: l.Workers, Reports: l.Reports, Pools: l.Pools, Partitions: l.Partitions, spare: l.spare, millicore: l.millicore,
			poolByName: l.poolByName, workerByName: l.workerByName, reportByName: l.reportByName, reportsOf: l.reportsOf,
		}
		for _, p := range l.Pools.All() {
			p.work = outstanding{}
		}
		return
	case !l.active:
		l.active, l.reload = true, true
	}
	for _, t := range l.Teams.All() {
		t.Listed, t.Weight, t.Cap = false, 0, 0
	}
	for i := range m.Teams {
		t := l.Teams.Get(l.teamID(m.Teams[i].Name))
		t.Listed, t.Weight, t.Cap = true, m.Teams[i].Weight, m.Teams[i].Cap.MilliCores
	}
	for id := range l.Teams.All() {
		l.forgetTeam(id)
	}
}

func (l *Load) teamID(name string) table.ID {
	id, ok := l.teamByName.Get(name)
	if !ok {
		id = l.Teams.Insert(Team{Name: name})
		l.teamByName.Put(name, id)
	}
	return id
}

// forgetTeam deletes a team that the manifest no longer has, after its last job.
func (l *Load) forgetTeam(id table.ID) {
	if t := l.Teams.Get(id); !t.Listed && t.jobs == 0 {
		l.teamByName.Delete(t.Name)
		l.Teams.Delete(id)
	}
}

func (l *Load) poolID(name string) table.ID {
	id, ok := l.poolByName.Get(name)
	if !ok {
		id = l.Pools.Insert(Pool{Name: name})
		l.poolByName.Put(name, id)
	}
	return id
}

func (l *Load) useID(team, pool table.ID) table.ID {
	key := useKey{team, pool}
	id, ok := l.useByKey.Get(key)
	if !ok {
		id = l.Uses.Insert(Use{Team: team, Pool: pool})
		l.useByKey.Put(key, id)
		l.usesOfPool.Add(pool, id)
	}
	return id
}

// insertJob adds a job without work.
func (l *Load) insertJob(now time.Time, spec *work.Job) table.ID {
	team, pool := l.teamID(spec.Team), l.poolID(spec.Pool)
	use := l.useID(team, pool)
	id := l.Jobs.Insert(Job{ID: spec.ID, team: team, pool: pool, use: use, firstSeen: now})
	l.jobByID.Put(spec.ID, id)
	l.Teams.Get(team).jobs++
	l.Uses.Get(use).jobs++
	l.inTime.Put(id, now.Add(objective(spec)))
	return id
}

// setWork sets the outstanding work of a job.
func (l *Load) setWork(id table.ID, amount int64) {
	j := l.Jobs.Get(id)
	l.addWork(j, amount-j.work, j.late)
	j.work = amount
	if amount == 0 {
		l.inTime.Remove(id)
	}
}

func (l *Load) addWork(j *Job, amount int64, late bool) {
	l.Teams.Get(j.team).work.add(amount, late)
	l.Pools.Get(j.pool).work.add(amount, late)
	l.Uses.Get(j.use).work.add(amount, late)
}

// setLate moves the work of a job to that of late jobs.
func (l *Load) setLate(id table.ID) {
	j := l.Jobs.Get(id)
	l.inTime.Remove(id)
	l.addWork(j, -j.work, false)
	j.late = true
	l.addWork(j, j.work, true)
}

func (l *Load) deleteJob(id table.ID) {
	l.setWork(id, 0)
	l.inTime.Remove(id)
	j := *l.Jobs.Get(id)
	team := l.Teams.Get(j.team)
	l.jobByID.Delete(j.ID)
	l.Jobs.Delete(id)
	team.jobs--
	l.forgetTeam(j.team)
	use := l.Uses.Get(j.use)
	if use.jobs--; use.jobs == 0 {
		l.usesOfPool.Remove(j.pool, j.use)
		l.useByKey.Delete(useKey{j.team, j.pool})
		l.Uses.Delete(j.use)
	}
}
