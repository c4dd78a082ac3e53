package dispatch

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// simulationStart is the initial time of the simulated clock.
var simulationStart = time.Unix(1000, 0)

const (
	simulationStep     = 10 * time.Millisecond
	simulationMaxLease = 6 * time.Second
	// simulationMaxHold is the lease to which workers shorten longer ones. It exceeds
	// those of the owner, so that only a lease meant for another clock is shortened.
	simulationMaxHold = 10 * time.Second
	ticketValidity    = 3 * time.Second
)

// fakeRun is a run on a fake worker.
type fakeRun struct {
	task work.TaskName
	run  int
	done time.Time // zero: never ends
	from time.Time // with runTimeOf: begin of the run, from which its progress follows
	// percent and load are listed; a percent of 0 stands for servingPercent.
	percent, load int
	speed         int // in percent, as ordered; 0 stands for full speed
	began         time.Time
}

// fakeWorker executes orders like a worker of the platform.
type fakeWorker struct {
	work.Worker
	clockOffset time.Duration
	silent      bool // neither answers nor executes orders
	token       int64
	leaseUntil  time.Duration
	running     []fakeRun
	ended       []work.RunEnd
	lastEnd     int64
	stopped     map[work.TaskName]int
	started     []work.TaskName // tasks of all accepted starts
	fails       bool            // all runs end with a failure
	slowness    float64         // with runTimeOf: factor by which runs take longer; 0 for 1
	slowClock   float64         // share by which its clock is slower
	unlisted    bool            // its registry entry was removed
	// keepsNumbers has it accept a start of a run that is there without effect, and refuse
	// one of a run that is not higher than an ended one, as the platform's workers do.
	keepsNumbers bool
}

// simulation connects the state of one owner with fake workers and a store that
// answers immediately.
type simulation struct {
	t         *testing.T
	s         *State
	ledger    *ledger.JobMirror
	now       time.Time
	seq       uint64
	lastID    uint64
	workers   map[string]*fakeWorker
	token     int64
	runTime   time.Duration
	runTimeOf func(StartOrder) time.Duration // replaces runTime
	saved     map[string]*work.Progress
	storeDown bool // the store applies no write, and each has an unknown result
	// intercept may answer a start in place of the worker; observe is called for
	// every start that a worker executes.
	intercept func(StartOrder) (StartAnswer, bool)
	observe   func(work.TaskName)
	// interceptPoll, interceptStop and interceptSpeed report whether they take the order in
	// place of the worker.
	interceptPoll  func(PollOrder) bool
	interceptStop  func(StopOrder) bool
	interceptSpeed func(SpeedOrder) bool
	deleted        []ledger.Key
	contacts       []work.Contact
	// contactsRevision is that of the stored contacts.
	contactsRevision int64
	// failKind has the effect of storeDown on writes of records of this kind.
	failKind ledger.Kind
	demand   *work.Demand // last stored report of the pool
	// revisions are those of the stored reports and moves, on which writes may depend.
	revisions map[ledger.Key]int64
	// interceptWrite reports whether it takes the write in place of the store.
	interceptWrite func(ledger.Write) bool
	// holdWrites keeps writes of records of this kind in flight until releaseWrites.
	holdWrites  ledger.Kind
	heldWrites  []ledger.Write
	without     string            // name of a system that isn't run
	ignoreStops bool              // stops get no answer
	progress    func(fakeRun) int // of a run, in percent; nil for the share of its time
	// countsVisits leaves out checkIndexes, which visits whole tables.
	countsVisits bool
	// policy reports whether the advice service allows a worker; nil allows all without a
	// ticket. asked counts the workers of all requests, by ID.
	policy   func(worker string) bool
	asked    map[string]int
	accepted []ledger.Record // jobs, as the watch has delivered them
	epoch    int             // of the ownership
}

func newSimulation(t *testing.T, workers ...string) *simulation {
	w := &simulation{}
	w.init(t)
	for _, id := range workers {
		w.addWorker(id)
	}
	return w
}

func (w *simulation) init(t *testing.T) {
	*w = simulation{t: t, now: simulationStart, ledger: &ledger.JobMirror{}, workers: map[string]*fakeWorker{}, runTime: 300 * time.Millisecond, saved: map[string]*work.Progress{}, revisions: map[ledger.Key]int64{}, asked: map[string]int{}}
	nextWrite := func() uint64 { w.lastID++; return w.lastID }
	w.s = New(Config{MaxLease: simulationMaxLease, LongestHold: simulationMaxHold}, w.ledger, nextWrite, func() time.Time { return w.now })
	w.ledger.Synced, w.ledger.Revision = true, 10
	w.token, w.epoch = 10, 1
}

func (w *simulation) addWorker(id string) *fakeWorker {
	f := &fakeWorker{Worker: work.Worker{
		ID: id, Incarnation: 1, Pool: "pool", Address: id + ":1", Machine: "m-" + id, Rack: "r1-1",
		Capacity: placement.Resources{MilliCores: 4000, MemoryMB: 4000},
	}, clockOffset: time.Hour, stopped: map[work.TaskName]int{}}
	w.workers[id] = f
	w.register(f)
	return f
}

// register writes the worker's entry into the registry, of which the owner learns at once.
func (w *simulation) register(f *fakeWorker) {
	w.ledger.Revision++
	entry := f.Worker
	w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
}

func (f *fakeWorker) clock(now time.Time) time.Duration {
	return f.clockOffset + time.Duration((1-f.slowClock)*float64(now.Sub(simulationStart)))
}

func (f *fakeWorker) reading(now time.Time) ClockReading {
	return ClockReading{Clock: f.clock(now), Incarnation: f.Incarnation, At: now}
}

// extendLease applies a lease that an order has carried.
func (f *fakeWorker) extendLease(now time.Time, until time.Duration) {
	f.leaseUntil = max(f.leaseUntil, min(until, f.clock(now)+simulationMaxHold))
}

func (f *fakeWorker) runs(task work.TaskName, run int) bool {
	return slices.ContainsFunc(f.running, func(r fakeRun) bool { return r.task == task && r.run == run })
}

// renewOwnership extends the ownership of the pool.
func (w *simulation) renewOwnership() {
	w.s.OwnPool(w.now, "pool", w.token, w.epoch, w.now.Add(2*time.Second))
}

// accept inserts a job into the ledger as the watch would.
func (w *simulation) accept(job *work.Job) {
	w.ledger.Revision++
	job.Pool, job.Queue = "pool", "queue"
	record := ledger.Record{
		Key: ledger.Key{Kind: ledger.KindJob, Name: job.ID}, Content: job, Revision: w.ledger.Revision, CreateRevision: w.ledger.Revision,
	}
	w.accepted = append(w.accepted, record)
	w.ledger.Apply(w.now, record)
}

// run advances the simulated time in steps of one tick.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(simulationStep)
		w.renewOwnership()
		w.tick()
	}
}

func (w *simulation) tickNow() engine.Tick {
	w.seq++
	return engine.Tick{Now: w.now, Seq: w.seq}
}

func (w *simulation) tick() {
	tick := w.tickNow()
	for _, system := range Systems {
		if system.Name != w.without {
			system.Run(w.s, tick)
		}
	}
	for _, f := range w.workers {
		f.advance(w.now)
	}
	w.execute(tick)
	w.checkIndexes()
}

func (f *fakeWorker) advance(now time.Time) {
	kept := f.running[:0]
	for _, r := range f.running {
		switch {
		case f.clock(now) >= f.leaseUntil:
			f.end(r, work.EndLeaseExpired)
		case !r.done.IsZero() && !now.Before(r.done) && f.fails:
			f.end(r, work.EndFailed)
		case !r.done.IsZero() && !now.Before(r.done):
			f.end(r, work.EndDone)
		default:
			kept = append(kept, r)
		}
	}
	f.running = kept
}

func (f *fakeWorker) end(r fakeRun, reason work.EndReason) {
	f.lastEnd++
	f.ended = append(f.ended, work.RunEnd{Number: f.lastEnd, Task: r.task, Run: r.run, Reason: reason})
	if f.keepsNumbers {
		f.stopped[r.task] = max(f.stopped[r.task], r.run)
	}
}

func drained[R any](o interface{ Drain(func(R)) }) []R {
	var rows []R
	o.Drain(func(r R) { rows = append(rows, r) })
	return rows
}

func (w *simulation) execute(tick engine.Tick) {
	for _, o := range drained[StartOrder](&w.s.Out.Starts) {
		answer, intercepted := StartAnswer(0), false
		if w.intercept != nil {
			answer, intercepted = w.intercept(o)
		}
		if !intercepted {
			answer = w.start(o)
		}
		if answer == 0 {
			continue // no answer yet
		}
		w.s.Started(tick, o, answer, w.workers[o.Target.ID].reading(w.now), nil)
	}
	for _, o := range drained[StopOrder](&w.s.Out.Stops) {
		if w.interceptStop != nil && w.interceptStop(o) {
			continue
		}
		f := w.workers[o.Target.ID]
		if !f.silent && !w.ignoreStops {
			f.stop(o)
			w.s.Stopped(tick, o, true, false, ClockReading{Clock: f.clock(w.now), At: w.now})
		}
	}
	for _, o := range drained[PollOrder](&w.s.Out.Polls) {
		if w.interceptPoll != nil && w.interceptPoll(o) {
			continue
		}
		result, reading, running, ended := w.poll(o)
		w.s.Polled(tick, o.Target, result, reading, running, ended)
	}
	for _, request := range drained[AdviceRequest](&w.s.Out.Advice) {
		tickets := map[string]string{}
		for _, id := range request.Workers {
			w.asked[id]++
			if w.policy(id) {
				tickets[id] = "ticket-" + id
			}
		}
		w.s.AdviceReceived(tick, request, tickets, ticketValidity, nil)
	}
	for _, write := range drained[ledger.Write](&w.s.Out.Writes) {
		if w.interceptWrite != nil && w.interceptWrite(write) {
			continue
		}
		if w.holdWrites != 0 && len(write.Put) > 0 && write.Put[0].Key.Kind == w.holdWrites {
			w.heldWrites = append(w.heldWrites, write)
			continue
		}
		w.applyWrite(tick, write)
	}
	w.s.Out.Logs.Drain(w.logged)
	w.s.Out.Counters.Drain(func(CounterIncrement) {})
	w.s.Out.Speeds.Drain(func(o SpeedOrder) {
		if w.interceptSpeed == nil || !w.interceptSpeed(o) {
			f := w.workers[o.Target.ID]
			f.setSpeed(o)
			w.s.SpeedSet(o, !f.silent)
		}
	})
}

func (f *fakeWorker) setSpeed(o SpeedOrder) {
	for i := range f.running {
		if r := &f.running[i]; r.task == o.Task && r.run == o.Number {
			r.speed = max(1, o.Percent)
		}
	}
}

func (w *simulation) start(o StartOrder) StartAnswer {
	f := w.workers[o.Target.ID]
	switch {
	case f.silent:
		return StartUnanswered
	case o.Target.Token < f.token:
		return StartFenced
	case o.LeaseUntil <= f.clock(w.now):
		return StartLate
	case f.keepsNumbers && f.runs(o.Task, o.Number):
		f.token = o.Target.Token
		f.extendLease(w.now, o.LeaseUntil)
		return StartAccepted
	case f.keepsNumbers && o.Number <= f.stopped[o.Task]:
		f.token = o.Target.Token
		f.extendLease(w.now, o.LeaseUntil)
		return StartOld
	case o.Number <= f.stopped[o.Task]:
		return StartOld
	case w.policy != nil && o.Ticket != "ticket-"+o.Target.ID:
		return StartNoTicket
	}
	f.token = o.Target.Token
	f.extendLease(w.now, o.LeaseUntil)
	r := fakeRun{task: o.Task, run: o.Number, began: w.now}
	if w.runTime > 0 {
		r.done = w.now.Add(w.runTime)
	}
	if w.runTimeOf != nil {
		r.from, r.done = w.now, w.now.Add(time.Duration(max(1, f.slowness)*float64(w.runTimeOf(o))))
	}
	f.running = append(f.running, r)
	f.started = append(f.started, o.Task)
	if w.observe != nil {
		w.observe(o.Task)
	}
	return StartAccepted
}

func (f *fakeWorker) stop(o StopOrder) {
	f.stopped[o.Task] = max(f.stopped[o.Task], o.Number)
	for i, r := range f.running {
		if r.task == o.Task && r.run == o.Number {
			f.end(r, work.EndStopped)
			f.running = slices.Delete(f.running, i, i+1)
			return
		}
	}
}

// poll executes a poll and returns the answer.
func (w *simulation) poll(o PollOrder) (PollResult, ClockReading, []work.RunStatus, []work.RunEnd) {
	f := w.workers[o.Target.ID]
	if f.silent {
		return PollFailed, ClockReading{}, nil, nil
	}
	if o.Target.Token < f.token {
		return PollFenced, f.reading(w.now), nil, nil
	}
	f.token = o.Target.Token
	f.extendLease(w.now, o.LeaseUntil)
	f.ended = slices.DeleteFunc(f.ended, func(e work.RunEnd) bool { return e.Number <= o.Acknowledged })
	var running []work.RunStatus
	for _, r := range f.running {
		percent := cmp.Or(r.percent, servingPercent)
		if w.progress != nil {
			percent = w.progress(r)
		} else if !r.from.IsZero() {
			percent = int(100 * w.now.Sub(r.from) / r.done.Sub(r.from))
		}
		running = append(running, work.RunStatus{Task: r.task, Run: r.run, Percent: percent, Load: r.load})
	}
	return PollAnswered, f.reading(w.now), running, slices.Clone(f.ended)
}

func (w *simulation) applyWrite(tick engine.Tick, write ledger.Write) {
	if w.storeDown || (w.failKind != 0 && len(write.Put) > 0 && write.Put[0].Key.Kind == w.failKind) {
		w.s.WriteDone(tick, ledger.WriteResult{ID: write.ID, Outcome: ledger.Unknown})
		return
	}
	if current, conflict := w.conflict(&write); conflict {
		w.s.WriteDone(tick, ledger.WriteResult{ID: write.ID, Outcome: ledger.Conflict, Current: current})
		return
	}
	w.ledger.Revision++
	for _, put := range write.Put {
		w.revisions[put.Key] = w.ledger.Revision
		if progress, ok := put.Content.(*work.Progress); ok {
			w.saved[put.Key.Name] = progress
		}
		if demand, ok := put.Content.(*work.Demand); ok {
			w.demand = demand
		}
		if contacts, ok := put.Content.([]work.Contact); ok {
			w.contacts, w.contactsRevision = contacts, w.ledger.Revision
		}
	}
	w.deleted = append(w.deleted, write.Delete...)
	w.s.WriteDone(tick, ledger.WriteResult{ID: write.ID, Outcome: ledger.Applied, Revision: w.ledger.Revision})
}

// conflict reports whether a condition on a report or a move does not hold, with the present
// records of these conditions.
func (w *simulation) conflict(write *ledger.Write) (current []ledger.Record, conflict bool) {
	for _, c := range write.Expect {
		if c.Key.Kind != ledger.KindDemand && c.Key.Kind != ledger.KindMachineMove {
			continue
		}
		record := ledger.Record{Key: c.Key, Revision: w.revisions[c.Key], Deleted: w.revisions[c.Key] == 0}
		if c.Key.Kind == ledger.KindDemand && !record.Deleted {
			record.Content = w.demand
		}
		current, conflict = append(current, record), conflict || record.Revision != c.Revision
	}
	return current, conflict
}

// releaseWrites applies the writes that were held in flight.
func (w *simulation) releaseWrites() {
	w.holdWrites = 0
	for _, write := range w.heldWrites {
		w.applyWrite(w.tickNow(), write)
	}
	w.heldWrites = nil
}

// job returns a job with the ID j1 and the given steps.
func job(steps ...work.Step) *work.Job {
	return &work.Job{ID: "j1", Payload: "payload", Steps: steps, Limits: work.Limits{MaxFailures: 2, SlowdownFactor: 2, Latency: time.Second}}
}

func step(count int) work.Step {
	return work.Step{Count: count, Size: placement.Resources{MilliCores: 500, MemoryMB: 100}, Estimate: 300 * time.Millisecond}
}

// startCount counts the accepted starts of a task on all workers.
func (w *simulation) startCount(task work.TaskName) int {
	n := 0
	for _, f := range w.workers {
		for _, started := range f.started {
			if started == task {
				n++
			}
		}
	}
	return n
}
