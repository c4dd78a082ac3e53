package dispatch

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/quota"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	fleetDuty = "fleet"
	// storeLease is how long a duty stays with a process that no longer renews it, and
	// ownerMargin how much earlier that process stops.
	storeLease  = 1600 * time.Millisecond
	ownerMargin = 250 * time.Millisecond
	// capGrace is how long a manifest may remain in force after the next one was written.
	capGrace = 2 * time.Second
)

// capSite runs several processes that own partitions and the fleet, and share workers and
// a store whose watches are late.
type capSite struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Time
	pools      []string
	workers    map[string]*fakeWorker
	processes  []*capProcess
	store      map[ledger.Key]ledger.Record
	changes    []storeChange
	revision   int64
	owners     map[string]*dutyOwner
	manifests  []storedManifest
	specs      map[string]*work.Job
	submitted  map[string]time.Time
	started    map[string]time.Time // first start, by job
	late       []lateStart
	lateShare  float64 // starts that are carried out late, without an answer
	lostShare  float64 // writes that are applied without an answer
	fixedParts bool    // the former alternative: equal parts, and no owner of the fleet
	fleetLess  bool    // nobody claims the fleet
	shuffled   bool    // duties go to any process
	violations []string
	restarts   int
	starts     int
	writes     int
	highest    map[string]int // highest use in millicores, by team
}

type storeChange struct {
	record ledger.Record
	at     time.Time
}

type dutyOwner struct {
	process *capProcess
	token   int64
	epoch   int
	until   time.Time
}

type storedManifest struct {
	*work.Manifest
	at time.Time
}

type lateStart struct {
	order StartOrder
	at    time.Time
}

type capProcess struct {
	name        string
	sim         *simulation
	quota       *quota.State
	delivered   int
	lag         time.Duration // of its watches
	manifest    int           // number of applied manifests
	owned       map[string]work.Ownership
	tokens      map[string]int64
	renewedAt   time.Time
	frozenUntil time.Time
	cutUntil    time.Time // the store is out of reach
	writes      []timedWrite
}

type timedWrite struct {
	ledger.Write
	at time.Time
}

func newCapSite(t *testing.T, seed int64, processes, pools, workersPerPool int, caps map[string]int) *capSite {
	site := &capSite{
		t: t, random: rand.New(rand.NewSource(seed)), now: simulationStart, workers: map[string]*fakeWorker{}, store: map[ledger.Key]ledger.Record{},
		owners: map[string]*dutyOwner{}, specs: map[string]*work.Job{}, submitted: map[string]time.Time{}, started: map[string]time.Time{}, highest: map[string]int{},
	}
	site.revision = 10
	for i := range pools {
		pool := fmt.Sprintf("pool-%d", i)
		site.pools = append(site.pools, pool)
		for n := range workersPerPool {
			id := fmt.Sprintf("w-%d-%d", i, n)
			site.workers[id] = &fakeWorker{Worker: work.Worker{
				ID: id, Incarnation: 1, Pool: pool, Address: id + ":1", Machine: "m-" + id, Rack: "r1-1", Capacity: placement.Resources{MilliCores: 4000, MemoryMB: 4000},
			}, clockOffset: time.Hour, stopped: map[work.TaskName]int{}}
		}
	}
	for range processes {
		p := &capProcess{lag: 70 * time.Millisecond}
		site.processes = append(site.processes, p)
		site.restart(p)
	}
	site.setCaps(caps)
	return site
}

// restart replaces the state of a process by that of a new one, which owns nothing.
func (site *capSite) restart(p *capProcess) {
	site.restarts++
	p.name = strconv.Itoa(site.restarts)
	for _, owner := range site.owners {
		if owner.process == p {
			owner.process = &capProcess{frozenUntil: site.now.Add(time.Hour)}
		}
	}
	p.sim = &simulation{}
	p.sim.init(site.t)
	p.sim.ledger.Revision, p.sim.now, p.sim.workers = 0, site.now, site.workers
	p.sim.intercept = site.start
	p.sim.progress = func(r fakeRun) int { // rises, so that no run seems to hang
		return 100 - int(100*r.done.Sub(site.now)/site.specs[r.task.Job].Steps[r.task.Step].Estimate)
	}
	p.sim.s.NextWrite = func() uint64 { p.sim.lastID++; return p.sim.lastID }
	p.sim.s.Config.Retention = time.Minute // the rows of finished jobs stay for the whole test
	p.sim.s.TimeOfDay = func() time.Time { return site.now }
	p.quota = &quota.State{Duty: fleetDuty, NextWrite: p.sim.s.NextWrite}
	p.delivered, p.manifest, p.owned, p.tokens, p.writes = 0, 0, map[string]work.Ownership{}, map[string]int64{}, nil
	p.renewedAt, p.frozenUntil, p.cutUntil = time.Time{}, time.Time{}, time.Time{}
	for _, id := range slices.Sorted(maps.Keys(site.workers)) { // the order decides between equal workers
		entry := site.workers[id].Worker
		p.sim.s.ApplyWorker(site.now, &entry, 1)
	}
	p.sim.s.PartitionCount = len(site.pools)
	if site.fixedParts {
		p.sim.s.PartitionCount = len(site.pools) / 2 // the starting amount is then an equal part
	}
	p.quota.SetPartitions(site.pools)
}

// setCaps writes a manifest with the caps of the teams in millicores.
func (site *capSite) setCaps(caps map[string]int) {
	m := &work.Manifest{Version: int64(len(site.manifests) + 1)}
	var teams []work.Team
	for _, name := range slices.Sorted(maps.Keys(caps)) {
		teams = append(teams, work.Team{Name: name, Weight: 1, Cap: placement.Resources{MilliCores: caps[name]}})
	}
	m.SetTeams(teams)
	site.manifests = append(site.manifests, storedManifest{m, site.now})
}

// highestCap returns the highest cap of a team in the manifests that may be in force.
func (site *capSite) highestCap(team string) int {
	highest := 0
	for i, m := range site.manifests {
		if i+1 < len(site.manifests) && site.now.Sub(site.manifests[i+1].at) > capGrace {
			continue
		}
		highest = max(highest, m.Team(team).Cap.MilliCores)
	}
	return highest
}

// change stores a record.
func (site *capSite) change(record ledger.Record) {
	record.Revision, record.CreateRevision = site.revision, site.store[record.Key].CreateRevision
	if record.CreateRevision == 0 {
		record.CreateRevision = site.revision
	}
	if site.store[record.Key] = record; record.Deleted {
		delete(site.store, record.Key)
	}
	site.changes = append(site.changes, storeChange{record, site.now})
}

func (site *capSite) submit(id, team, pool string, steps ...work.Step) {
	spec := &work.Job{ID: id, Team: team, Pool: pool, Queue: "q", Steps: steps, Limits: work.Limits{MaxFailures: 5, SlowdownFactor: 2, Latency: time.Second}}
	site.specs[id], site.submitted[id] = spec, site.now
	site.revision++
	site.change(ledger.Record{Key: ledger.Key{Kind: ledger.KindJob, Name: id}, Content: spec})
}

// claim makes a process the owner of a duty.
func (site *capSite) claim(duty string, p *capProcess) {
	site.revision++
	owner := &dutyOwner{process: p, token: site.revision, epoch: 1, until: site.now.Add(storeLease)}
	if before := site.owners[duty]; before != nil {
		owner.epoch = before.epoch + 1
	}
	site.owners[duty] = owner
	site.change(ledger.Record{Key: ledger.Key{Kind: ledger.KindOwner, Name: duty}, Content: &work.Ownership{Node: p.name, Epoch: owner.epoch}})
}

func (site *capSite) running(p *capProcess) bool { return !site.now.Before(p.frozenUntil) }
func (site *capSite) reachesStore(p *capProcess) bool {
	return site.running(p) && !site.now.Before(p.cutUntil)
}

// run advances the simulated time.
func (site *capSite) run(d time.Duration) {
	for end := site.now.Add(d); site.now.Before(end); {
		site.now = site.now.Add(simulationStep)
		site.assignDuties()
		for _, f := range site.workers {
			f.advance(site.now)
		}
		site.late = slices.DeleteFunc(site.late, func(l lateStart) bool {
			if site.now.Before(l.at) {
				return false
			}
			site.execute(l.order)
			return true
		})
		for _, p := range site.processes {
			if site.running(p) {
				site.tick(p)
			}
		}
	}
}

func (site *capSite) assignDuties() {
	for _, p := range site.processes {
		if site.reachesStore(p) {
			p.renewedAt = site.now
		}
	}
	duties := site.pools
	if !site.fixedParts && !site.fleetLess {
		duties = append([]string{fleetDuty}, duties...)
	}
	for i, duty := range duties {
		if owner := site.owners[duty]; owner != nil {
			if site.reachesStore(owner.process) {
				owner.until = site.now.Add(storeLease)
			}
			if site.now.Before(owner.until) {
				continue
			}
		}
		first := i
		if site.shuffled {
			first = site.random.Intn(len(site.processes))
		}
		for n := range site.processes {
			if p := site.processes[(first+n)%len(site.processes)]; site.reachesStore(p) {
				site.claim(duty, p)
				break
			}
		}
	}
}

func (site *capSite) tick(p *capProcess) {
	p.sim.now = site.now
	tick := p.sim.tickNow()
	if site.reachesStore(p) {
		site.deliver(p)
	}
	for p.manifest < len(site.manifests) && site.now.Sub(site.manifests[p.manifest].at) >= p.lag {
		m := site.manifests[p.manifest].Manifest
		p.sim.s.SetTeams(m)
		p.quota.SetManifest(m)
		p.manifest++
	}
	site.applyOwnership(p)
	for _, system := range Systems {
		system.Run(p.sim.s, tick)
	}
	if !site.fixedParts {
		for _, system := range quota.Systems {
			system.Run(p.quota, tick)
		}
	}
	for _, out := range []interface{ Drain(func(ledger.Write)) }{&p.sim.s.Out.Writes, &p.quota.Writes} {
		out.Drain(func(w ledger.Write) {
			p.writes = append(p.writes, timedWrite{w, site.now.Add(time.Duration(5+site.random.Intn(25)) * time.Millisecond)})
		})
	}
	site.commit(p, tick)
	p.quota.Logs.Drain(func(events.Record) {})
	p.quota.Counters.Drain(func(quota.CounterIncrement) {})
	p.sim.execute(tick)
}

// deliver applies the changes that the watch of a process has reached.
func (site *capSite) deliver(p *capProcess) {
	for ; p.delivered < len(site.changes) && site.now.Sub(site.changes[p.delivered].at) >= p.lag; p.delivered++ {
		record := site.changes[p.delivered].record
		switch record.Key.Kind {
		case ledger.KindOwner:
			if owner, ok := record.Content.(*work.Ownership); ok {
				p.owned[record.Key.Name], p.tokens[record.Key.Name] = *owner, record.Revision
			}
		case ledger.KindContacts:
			p.sim.s.ApplyContacts(site.now, record)
		case ledger.KindDemand:
			p.quota.ApplyReport(site.now, record)
		case ledger.KindAllotment:
			p.sim.s.ApplyAllotment(record)
			p.quota.ApplyAllotment(record)
		default:
			p.sim.ledger.Apply(site.now, record)
		}
		p.sim.ledger.Revision = max(p.sim.ledger.Revision, record.Revision)
	}
}

func (site *capSite) applyOwnership(p *capProcess) {
	until := p.renewedAt.Add(storeLease - ownerMargin)
	for _, duty := range slices.Sorted(maps.Keys(p.owned)) {
		owner, token := p.owned[duty], p.tokens[duty]
		mine := owner.Node == p.name
		switch {
		case duty == fleetDuty:
			p.quota.Ownership = quota.Ownership{Owned: mine && p.sim.ledger.Revision >= token, Token: token, Since: site.now, ValidUntil: until}
		case mine:
			p.sim.s.OwnPool(site.now, duty, token, owner.Epoch, until)
		default:
			p.sim.s.DropPool(duty)
		}
	}
}

// commit applies the writes of a process that have reached the store.
func (site *capSite) commit(p *capProcess, tick engine.Tick) {
	due := p.writes
	p.writes = nil
	for _, w := range due {
		if site.now.Before(w.at) {
			p.writes = append(p.writes, w)
			continue
		}
		result := ledger.WriteResult{ID: w.ID, Outcome: ledger.Unknown}
		if site.reachesStore(p) {
			result = site.apply(w.Write)
			if result.Outcome == ledger.Applied && site.random.Float64() < site.lostShare {
				result = ledger.WriteResult{ID: w.ID, Outcome: ledger.Unknown}
			}
		}
		if !p.sim.s.WriteDone(tick, result) {
			p.quota.WriteDone(site.now, result)
		}
	}
}

func (site *capSite) apply(w ledger.Write) ledger.WriteResult {
	result := ledger.WriteResult{ID: w.ID, Outcome: ledger.Applied}
	for _, condition := range w.Expect {
		if current := site.store[condition.Key]; current.Revision != condition.Revision {
			result.Outcome = ledger.Conflict
			current.Key = condition.Key
			result.Current = append(result.Current, current)
		}
	}
	if result.Outcome == ledger.Conflict {
		return result
	}
	site.revision++
	site.writes++
	for _, put := range w.Put {
		site.change(ledger.Record{Key: put.Key, Content: put.Content})
	}
	for _, key := range w.Delete {
		site.change(ledger.Record{Key: key, Deleted: true})
	}
	result.Revision = site.revision
	return result
}

// start answers a start order in place of a worker.
func (site *capSite) start(o StartOrder) (StartAnswer, bool) {
	if site.random.Float64() < site.lateShare {
		site.late = append(site.late, lateStart{o, site.now.Add(time.Duration(site.random.Intn(6000)) * time.Millisecond)})
		return StartUnanswered, true
	}
	if site.workers[o.Target.ID].silent {
		return StartUnanswered, true
	}
	return site.execute(o), true
}

// execute carries out a start on its worker and checks the cap of its team.
func (site *capSite) execute(o StartOrder) StartAnswer {
	f := site.workers[o.Target.ID]
	switch {
	case o.Target.Token < f.token:
		return StartFenced
	case o.LeaseUntil <= f.clock(site.now):
		return StartLate
	case o.Number <= f.stopped[o.Task]:
		return StartOld
	}
	f.token, f.leaseUntil = o.Target.Token, max(f.leaseUntil, o.LeaseUntil)
	spec := site.specs[o.Task.Job]
	step := &spec.Steps[o.Task.Step]
	f.running = append(f.running, fakeRun{task: o.Task, run: o.Number, done: site.now.Add(step.Estimate)})
	site.starts++
	if _, known := site.started[spec.ID]; !known {
		site.started[spec.ID] = site.now
	}
	site.check(spec.Team, step.Size.MilliCores)
	return StartAccepted
}

// check records a violation if a start brought the use of a team beyond its cap.
func (site *capSite) check(team string, task int) {
	if team == "" {
		return
	}
	use := site.use(team)
	site.highest[team] = max(site.highest[team], use)
	if limit := site.highestCap(team); limit > 0 && float64(use) > 1.1*float64(limit)+float64(task) {
		site.violations = append(site.violations, fmt.Sprintf("%v: a start brought %s to %d of %d", site.now.Sub(simulationStart), team, use, limit))
	}
}

// use returns the millicores that a team has running.
func (site *capSite) use(team string) int {
	use := 0
	for _, f := range site.workers {
		for _, r := range f.running {
			if spec := site.specs[r.task.Job]; spec.Team == team {
				use += spec.Steps[r.task.Step].Size.MilliCores
			}
		}
	}
	return use
}

// reportViolations fails the test if the cap rule was violated.
func (site *capSite) reportViolations(label string) {
	site.t.Helper()
	for _, v := range site.violations[:min(5, len(site.violations))] {
		site.t.Errorf("%s: %s", label, v)
	}
}

// waits returns the mean and the longest time from the submission of a job to its first
// start. Jobs that have not started count until now.
func (site *capSite) waits(matches func(id string) bool) (mean, longest time.Duration) {
	n := 0
	for id, at := range site.submitted {
		if !matches(id) {
			continue
		}
		wait := site.now.Sub(at)
		if started, known := site.started[id]; known {
			wait = started.Sub(at)
		}
		mean, longest, n = mean+wait, max(longest, wait), n+1
	}
	return mean / time.Duration(max(1, n)), longest
}

// tasks returns a step of tasks of the given size in millicores.
func tasks(count, millicores int, runTime time.Duration) work.Step {
	return work.Step{Count: count, Size: placement.Resources{MilliCores: millicores, MemoryMB: 10}, Estimate: runTime}
}
