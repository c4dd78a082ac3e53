package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// The model is a pool with a fixed number of cores behind several processes that each
// follow one store with a delay. Under both rules tasks start in the order that part C of the
// overview page requires of owners: jobs that can still be in time first, then late ones,
// of both the team with the least use for its weight, and within it by age. A job's age
// counts from its acceptance, since owners can't see earlier tries. Callers return when they
// are told, up to maxTries times.
const (
	modelStep     = 20 * time.Millisecond
	modelRead     = 250 * time.Millisecond // between two reads of a process
	modelMachine  = 10                     // cores
	maxTries      = 4
	modelEstimate = 500 * time.Millisecond
	modelTasks    = 4
	modelDelay    = 60 * time.Millisecond // of a caller who returns
)

// modelTeam is a team with its demand, in jobs a second.
type modelTeam struct {
	name   string
	weight float64
	cap    int // cores
	rate   func(at time.Duration) float64
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between returns a rate within a period, and another outside it.
func between(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// play is a load on the model.
type play struct {
	cores     int
	processes int
	length    time.Duration
	teams     []modelTeam
	// process returns the process that a team's caller reaches.
	process func(team int, random *rand.Rand) int
	// read reports whether a process reads the store at a time.
	read func(process int, at time.Duration) bool
	// outage reports whether the store turns all processes away at a time.
	outage func(at time.Duration) bool
}

// call is a caller's job.
type call struct {
	spec    *work.Job
	team    int
	sentAt  time.Duration // first try
	tries   int
	nextAt  time.Duration
	arrived time.Duration // of the present try
	process int

	accepted   bool
	acceptedAt time.Duration
	refusedAt  time.Duration
	toStart    int
	running    int
	taskTime   time.Duration
	startedAt  time.Duration
	doneAt     time.Duration
}

// result sums up the calls of a team.
type result struct {
	sent, inTime, late, lost, refused, tries, served int
	waited, refusedAfter                             time.Duration
}

// worth is what the calls earn on average.
func (r *result) worth() float64 {
	return (float64(r.inTime) + 0.07*float64(r.late)) / float64(max(1, r.sent))
}

func (r *result) String() string {
	mean := func(sum time.Duration, n int) time.Duration {
		return (sum / time.Duration(max(1, n))).Round(time.Millisecond)
	}
	return fmt.Sprintf("sent %4d, in time %4d, late %4d, over %4d, waited %6v, refused %4d after %6v, tries per served %.2f, worth %.3f",
		r.sent, r.inTime, r.late, r.lost, mean(r.waited, r.served), r.refused, mean(r.refusedAfter, r.refused), float64(r.tries)/float64(max(1, r.served)), r.worth())
}

// world is the state of a play.
type world struct {
	play    *play
	random  *rand.Rand // of arrivals and run times, the same under both rules
	routes  *rand.Rand // of the processes that callers reach
	states  []*State
	waiting [][]*call // rejected, until the next read of the process
	log     []ledger.Record
	seen    []int // records that each process has read
	free    int
	running []int // tasks by team
	active  []*call
	ends    map[int][]*call // running tasks by the step in which they end
	calls   []*call
	former  bool
}

func (p *play) manifest() *work.Manifest {
	m := &work.Manifest{Version: 1}
	var teams []work.Team
	for _, t := range p.teams {
		teams = append(teams, work.Team{Name: t.name, Weight: t.weight, Cap: placement.Resources{MilliCores: t.cap * 1000}})
	}
	m.SetTeams(teams)
	return m
}

// run plays the load under one of the rules and returns the results by team.
func (p *play) run(former bool, seed uint64) ([]*result, *world) {
	w := &world{play: p, random: rand.New(rand.NewPCG(seed, 1)), routes: rand.New(rand.NewPCG(seed, 2)), free: p.cores, ends: map[int][]*call{}, former: former}
	for range p.processes {
		s := &State{Mirror: &ledger.JobMirror{Synced: true, ReadAt: start}}
		s.Load.Configure(p.manifest())
		for i := range p.cores / modelMachine {
			s.Load.ApplyWorker(fmt.Sprint("w", i), &work.Worker{Pool: "p", Capacity: placement.Resources{MilliCores: 1000 * modelMachine}}, 1)
		}
		w.states = append(w.states, s)
	}
	w.waiting, w.seen, w.running = make([][]*call, p.processes), make([]int, p.processes), make([]int, len(p.teams))
	var pending []*call
	owed := make([]float64, len(p.teams))
	end := p.length + 12*time.Second // for the last jobs
	for at := time.Duration(0); at < end; at += modelStep {
		w.work(at)
		w.read(at)
		for i, t := range p.teams {
			if at >= p.length {
				break
			}
			for owed[i] += t.rate(at) * modelStep.Seconds() * 2 * w.random.Float64(); owed[i] >= 1; owed[i]-- {
				pending = append(pending, w.newCall(i, at))
			}
		}
		kept := pending[:0]
		for _, c := range pending {
			switch {
			case c.nextAt > at:
				kept = append(kept, c)
			case !w.submit(c, at):
				kept = append(kept, c)
			}
		}
		pending = kept
		for i := range w.waiting { // those refused at the last read return
			for _, c := range w.waiting[i] {
				if c.nextAt > at && !slices.Contains(pending, c) {
					pending = append(pending, c)
				}
			}
			w.waiting[i] = slices.DeleteFunc(w.waiting[i], func(c *call) bool { return c.nextAt > at || c.refusedAt > 0 || c.accepted })
		}
	}
	return w.results(), w
}

func (w *world) newCall(team int, at time.Duration) *call {
	spec := &work.Job{
		ID: fmt.Sprintf("%s-%d", w.play.teams[team].name, len(w.calls)), Pool: "p", Team: w.play.teams[team].name,
		Limits: work.Limits{SlowdownFactor: 2, Latency: time.Second},
		Steps:  []work.Step{{Count: modelTasks, Size: placement.Resources{MilliCores: 1000}, Estimate: modelEstimate}},
	}
	c := &call{spec: spec, team: team, sentAt: at, nextAt: at, toStart: modelTasks}
	// Estimates are off by up to half, in both directions.
	c.taskTime = time.Duration((0.5 + w.random.Float64()) * float64(modelEstimate))
	w.calls = append(w.calls, c)
	return c
}

// submit makes a try of a call. It returns false if the caller returns later.
func (w *world) submit(c *call, at time.Duration) bool {
	c.tries++
	c.arrived, c.process = at, w.play.process(c.team, w.routes)
	if w.play.outage != nil && w.play.outage(at) {
		s := &State{failingSince: start.Add(at - time.Second)}
		w.refuse(c, at, s.RetryAfter(start.Add(at), c.spec.ID))
		return c.refusedAt > 0
	}
	if w.former || w.decide(c, at).Reason == None {
		w.accept(c, at)
		return true
	}
	w.waiting[c.process] = append(w.waiting[c.process], c)
	return true
}

func (w *world) decide(c *call, at time.Duration) Decision {
	return w.states[c.process].Decide(start.Add(at), Submission{Job: c.spec, TimeOfDay: start.Add(at)})
}

func (w *world) refuse(c *call, at, retryAfter time.Duration) {
	if c.tries == maxTries || at+retryAfter-c.sentAt > overloadFactor*c.objective() {
		c.refusedAt = at // the job would earn nothing
		return
	}
	c.nextAt = at + retryAfter + modelDelay
}

func (w *world) accept(c *call, at time.Duration) {
	c.accepted, c.acceptedAt = true, at
	w.states[c.process].Load.Hold(start.Add(at), c.spec)
	w.write(ledger.KindJob, c.spec.ID, c.spec)
	w.active = append(w.active, c)
}

func (w *world) write(kind ledger.Kind, name string, content any) {
	revision := int64(len(w.log) + 1)
	w.log = append(w.log, ledger.Record{Key: ledger.Key{Kind: kind, Name: name}, Content: content, Revision: revision, CreateRevision: revision})
}

// read lets the processes whose turn it is read the store, and answer rejected calls.
func (w *world) read(at time.Duration) {
	if at%time.Second == 0 {
		machines := w.play.cores / modelMachine
		w.write(ledger.KindDemand, "p", &work.Demand{Need: machines, Have: machines})
	}
	for i, s := range w.states {
		now := start.Add(at)
		offset := time.Duration(i) * modelRead / time.Duration(len(w.states)) / modelStep * modelStep
		turn := (at+offset)%modelRead < modelStep && (w.play.read == nil || w.play.read(i, at))
		if turn {
			for _, record := range w.log[w.seen[i]:] {
				if record.Key.Kind == ledger.KindDemand {
					s.Load.ApplyReport(now, record)
				} else {
					s.Mirror.Apply(now, record)
				}
			}
			w.seen[i], s.Mirror.ReadAt = len(w.log), now
		}
		for _, system := range Systems {
			system.Run(s, engine.Tick{Now: now})
		}
		for _, c := range w.waiting[i] {
			switch held := at - c.arrived; {
			case !turn && held < 400*time.Millisecond:
			case !turn:
				w.accept(c, at) // as intake does without a read
			default:
				if d := w.decide(c, at); d.Reason == None {
					w.accept(c, at)
				} else {
					w.refuse(c, at, d.RetryAfter)
				}
			}
		}
	}
}

func (c *call) objective() time.Duration { return objective(c.spec) }

// work ends the tasks that are done and starts others.
func (w *world) work(at time.Duration) {
	step := int(at / modelStep)
	for _, c := range w.ends[step] {
		w.free++
		w.running[c.team]--
		if c.running--; c.running == 0 && c.toStart == 0 {
			c.doneAt = at
			w.write(ledger.KindProgress, c.spec.ID, &work.Progress{State: work.JobCompleted})
		}
	}
	delete(w.ends, step)
	if w.free == 0 || len(w.active) == 0 {
		return
	}
	late := func(c *call) bool { return at+modelEstimate*5/4 >= c.acceptedAt+c.objective() }
	slices.SortStableFunc(w.active, func(a, b *call) int {
		if x, y := late(a), late(b); x != y {
			if x {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.acceptedAt, b.acceptedAt)
	})
	w.startByShare(at, late)
	w.active = slices.DeleteFunc(w.active, func(c *call) bool { return c.toStart == 0 })
}

// startByShare starts tasks in the order of w.active within each team, jobs that can still
// be in time first, of the team with the fewest running tasks for its weight.
func (w *world) startByShare(at time.Duration, late func(*call) bool) {
	queues := [2][][]*call{make([][]*call, len(w.play.teams)), make([][]*call, len(w.play.teams))}
	for _, c := range w.active {
		if late(c) {
			queues[1][c.team] = append(queues[1][c.team], c)
		} else {
			queues[0][c.team] = append(queues[0][c.team], c)
		}
	}
	for _, teams := range queues {
		for w.free > 0 {
			next, least := -1, 0.0
			for i := range teams {
				for len(teams[i]) > 0 && teams[i][0].toStart == 0 {
					teams[i] = teams[i][1:]
				}
				use := float64(w.running[i]) / w.play.teams[i].weight
				if len(teams[i]) > 0 && (next < 0 || use < least) {
					next, least = i, use
				}
			}
			if next < 0 {
				break
			}
			w.start(teams[next][0], at)
		}
	}
}

// start starts a task.
func (w *world) start(c *call, at time.Duration) {
	if c.startedAt == 0 {
		c.startedAt = at
		w.write(ledger.KindProgress, c.spec.ID, &work.Progress{State: work.JobRunning})
	}
	w.free--
	w.running[c.team]++
	c.running++
	c.toStart--
	endStep := int(at/modelStep) + max(1, int(c.taskTime/modelStep))
	w.ends[endStep] = append(w.ends[endStep], c)
}

func (w *world) results() []*result {
	results := make([]*result, len(w.play.teams))
	for i := range results {
		results[i] = &result{}
	}
	for _, c := range w.calls {
		r := results[c.team]
		r.sent++
		took := c.doneAt - c.sentAt
		switch {
		case c.refusedAt > 0:
			r.refused++
			r.refusedAfter += c.refusedAt - c.sentAt
			continue
		case c.doneAt == 0 || took > overloadFactor*c.objective():
			r.lost++
			continue
		case took > c.objective():
			r.late++
		default:
			r.inTime++
		}
		r.served++
		r.tries += c.tries
		r.waited += c.startedAt - c.sentAt
	}
	return results
}

// runs plays the load with several seeds and adds up the results.
func (p *play) runs(former bool) []*result {
	all := make([][]*result, len(p.teams))
	for seed := range uint64(3) {
		results, _ := p.run(former, seed)
		for i, r := range results {
			all[i] = append(all[i], r)
		}
	}
	sums := make([]*result, len(all))
	for i := range all {
		sums[i] = total(all[i])
	}
	return sums
}

// total adds up the results of teams.
func total(results []*result) *result {
	sum := &result{}
	for _, r := range results {
		sum.sent += r.sent
		sum.inTime += r.inTime
		sum.late += r.late
		sum.lost += r.lost
		sum.refused += r.refused
		sum.tries += r.tries
		sum.served += r.served
		sum.waited += r.waited
		sum.refusedAfter += r.refusedAfter
	}
	return sum
}
