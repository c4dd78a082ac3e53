package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// epoch0 is the start of the fake clock.
var epoch0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// worldTask is a task at the stand-in platform.
type worldTask struct {
	operation, job, worker string
	status                 TaskStatus
	ends, lease            time.Time
	used                   Resources
}

// delayed is an effect or event that happens later.
type delayed struct {
	at  time.Time
	run func()
}

// world drives a State against a stand-in store and a stand-in platform whose
// calls are lost, delayed and answered out of order.
type world struct {
	rng     *rand.Rand
	now     time.Time
	seq     uint64
	state   *State
	program engine.Program[State, Event]
	policy  *policy.Effective
	workers []WorkerInfo

	pages     [PageCount]StoredPage
	tasks     map[string]*worldTask
	order     []string
	later     []delayed
	epoch     uint64
	replies   uint64
	submitted []Spec

	faults      bool
	storeDown   bool
	badWorker   string
	acked       map[string]bool
	notRun      map[string]bool
	emitted     map[string]map[string]bool // job: operations of which a start was emitted
	refused     map[string]bool            // operations that the platform provably did not start
	ran         map[string]map[string]bool // job: operations that the platform executed
	checkpoints map[string]int
	answers     map[uint64]Reply
	starts      []StartTask
	controls    []ControlTask
	quarantines []QuarantineChange
	changes     []Notification
	checked     map[string]bool // attempts whose limits were checked
	violation   string
}

func newWorld(seed uint64, doc policy.Document, workers []WorkerInfo) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch0, policy: policy.Resolve(&doc, epoch0), workers: workers,
		tasks: map[string]*worldTask{}, acked: map[string]bool{}, notRun: map[string]bool{},
		emitted: map[string]map[string]bool{}, refused: map[string]bool{}, ran: map[string]map[string]bool{},
		checkpoints: map[string]int{}, checked: map[string]bool{}, answers: map[uint64]Reply{},
	}
	for i := range w.pages {
		w.pages[i].Page.Index = i
	}
	w.program = Program(nil)
	w.takeover(0)
	return w
}

// makeWorkers returns workers of 8 cores in zones a and b, two per rack.
func makeWorkers(pool string, count int) []WorkerInfo {
	var out []WorkerInfo
	for i := range count {
		out = append(out, WorkerInfo{
			Name: fmt.Sprintf("%s-w%d", pool, i), Pool: pool, Rack: fmt.Sprintf("r%d", i/2),
			AvailabilityZone: string(rune('a' + i%2)), Capacity: Resources{16_000, 64_000, 0}, Condition: ConditionAvailable,
		})
	}
	return out
}

func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// takeover starts a new controller from the committed pages.
func (w *world) takeover(quiet time.Duration) {
	w.epoch++
	w.state = New(Config{Incarnation: fmt.Sprintf("c%d", w.epoch), Seed: w.epoch})
	w.state.cfg.Retention = 24 * time.Hour // no job may disappear during a run
	w.step(PolicyChanged{w.policy}, Takeover{Epoch: w.epoch, Pages: w.pages[:], CallsAllowedFrom: w.now.Add(quiet)},
		FleetChanged{Workers: w.workers, Complete: true})
}

// step runs one tick and performs its effects.
func (w *world) step(events ...Event) {
	w.seq++
	w.program.Step(w.state, engine.Tick{Now: w.now, Seq: w.seq}, events...)
	w.checkState()
	out := &w.state.Out
	out.Replies.Drain(w.answer)
	out.Writes.Drain(w.write)
	out.Reads.Drain(w.read)
	out.Starts.Drain(w.start)
	out.Controls.Drain(w.control)
	out.Renewals.Drain(w.renew)
	out.Quarantines.Drain(func(q QuarantineChange) { w.quarantines = append(w.quarantines, q) })
	out.Notifications.Drain(func(c Notification) { w.changes = append(w.changes, c) })
}

// advance moves the clock, runs what is due on the way and ticks at deadlines.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for range 1000 {
		next := earliest(w.state.NextDeadline(), end)
		for _, x := range w.later {
			next = earliest(next, x.at)
		}
		w.now = later(w.now, next)
		if !w.now.Before(end) {
			w.now = end
		}
		w.runDue()
		w.step()
		if !w.now.Before(end) {
			return
		}
	}
	w.violate("more than 1000 ticks within %v: the loop spins", d)
}

func (w *world) runDue() {
	w.lapseTasks()
	var due []delayed
	rest := w.later[:0]
	for _, x := range w.later {
		if x.at.After(w.now) {
			rest = append(rest, x)
		} else {
			due = append(due, x)
		}
	}
	w.later = rest
	for _, x := range due {
		x.run()
	}
}

// after schedules an event for the present controller; a successor ignores it.
func (w *world) after(d time.Duration, event Event) {
	target := w.state
	w.later = append(w.later, delayed{w.now.Add(d), func() {
		if w.state == target {
			w.step(event)
		}
	}})
}

func (w *world) chance(percent int) bool { return w.faults && w.rng.IntN(100) < percent }

func (w *world) delay(limit time.Duration) time.Duration {
	if !w.faults {
		return 10 * time.Millisecond
	}
	return time.Duration(w.rng.Int64N(int64(limit)) + 1)
}

func (w *world) write(put WritePage) {
	index := put.Page.Index
	result := PageResult{Index: index, WriteID: put.WriteID, Result: WriteUnknown}
	apply := func() {
		result.Result = WriteConflict
		if w.pages[index].Revision == put.Revision {
			w.pages[index] = StoredPage{put.Page, put.Revision + 1, put.WriteID}
			result.Result, result.Revision = WriteCommitted, put.Revision+1
		}
	}
	switch {
	case w.storeDown || w.chance(5):
		result.Result = WriteNotApplied
	case w.chance(5): // the write arrives after its caller gave up
		w.later = append(w.later, delayed{w.now.Add(w.delay(4 * time.Second)), apply})
	default:
		apply()
		if w.chance(5) { // the answer is lost
			result.Result = WriteUnknown
		}
	}
	w.after(w.delay(time.Second), result)
}

func (w *world) read(r ReadPage) {
	at := w.pages[r.Index]
	w.after(w.delay(time.Second), PageRead{
		Index: r.Index, Failed: w.storeDown || w.chance(20), Page: at.Page, WriteID: at.WriteID, Revision: at.Revision,
	})
}

func mark(set map[string]map[string]bool, job, operation string) {
	if set[job] == nil {
		set[job] = map[string]bool{}
	}
	set[job][operation] = true
}

func (w *world) start(s StartTask) {
	w.starts = append(w.starts, s)
	mark(w.emitted, s.Job, s.Operation)
	if !w.committed(s) {
		w.violate("start of %s before its page commit", s.Operation)
	}
	if w.notRun[s.Job] {
		w.violate("job %s was refused as not run and then started", s.Job)
	}
	result := StartResult{Operation: s.Operation, Result: CallUnknown}
	switch {
	case w.chance(10): // lost, or late without an answer
		if w.chance(50) {
			w.later = append(w.later, delayed{w.now.Add(w.delay(DefaultCallTimeout)), func() { w.execute(s) }})
		}
	default:
		result.Result = w.execute(s)
		if w.chance(5) {
			result.Result = CallUnknown
		}
		if result.Result == CallRefused && len(w.startsOf(s.Operation)) == 1 {
			w.refused[s.Operation] = true
		}
	}
	w.after(w.delay(DefaultCallTimeout), result)
}

func (w *world) startsOf(operation string) (out []StartTask) {
	for _, s := range w.starts {
		if s.Operation == operation {
			out = append(out, s)
		}
	}
	return out
}

func (w *world) committed(s StartTask) bool {
	for _, r := range w.pages[PageOf(s.Job)].Page.Jobs {
		if r.Spec.ID == s.Job {
			return r.Attempt != nil && r.Attempt.Operation == s.Operation
		}
	}
	return false
}

// execute starts a task at the platform unless its operation is known.
func (w *world) execute(s StartTask) CallResult {
	if _, ok := w.tasks[s.Operation]; ok {
		return CallDone
	}
	for i := range w.workers {
		if w.workers[i].Name == s.Worker && w.workers[i].Condition != ConditionAvailable {
			return CallRefused
		}
	}
	mark(w.ran, s.Job, s.Operation)
	used := Resources{max(1, s.Reserved.MilliCores/2), s.Reserved.MemoryMB / 2, s.Reserved.Accelerators}
	w.tasks[s.Operation] = &worldTask{
		operation: s.Operation, job: s.Job, worker: s.Worker, status: TaskRunning, used: used,
		ends: w.now.Add(20*time.Second + w.delay(time.Minute)), lease: w.now.Add(s.Lease),
	}
	w.order = append(w.order, s.Operation)
	return CallDone
}

// lapseTasks ends tasks that are complete or whose lease was not renewed.
func (w *world) lapseTasks() {
	for _, operation := range w.order {
		task := w.tasks[operation]
		switch {
		case task.status != TaskRunning && task.status != TaskThrottled:
		case task.worker == w.badWorker:
			task.status = TaskFailed
		case !w.now.Before(task.lease):
			task.status = TaskLeaseExpired
		case !w.now.Before(task.ends):
			task.status = TaskDone
			if w.chance(10) {
				task.status = TaskFailed
			}
		}
	}
}

func (w *world) control(c ControlTask) {
	w.controls = append(w.controls, c)
	task, ok := w.tasks[c.Operation]
	result := CallNotFound
	switch {
	case w.chance(5):
		result = CallUnknown
	case ok && (task.status == TaskRunning || task.status == TaskThrottled):
		result = CallDone
		switch c.Action {
		case ActionThrottle:
			task.status = TaskThrottled
		case ActionUnthrottle:
			task.status = TaskRunning
		case ActionCheckpoint:
			task.status = TaskCheckpointed
			w.checkpoints[task.job]++
		case ActionStop:
			task.status = TaskStopped
		}
	}
	if w.chance(5) {
		result = CallUnknown
	}
	w.after(w.delay(DefaultCallTimeout), ControlResult{c.Operation, c.Action, result})
}

func (w *world) renew(r RenewTasks) {
	if w.chance(5) {
		return
	}
	for _, operation := range r.Operations {
		if task := w.tasks[operation]; task != nil {
			task.lease = w.now.Add(r.Lease)
		}
	}
}

// report takes a task list that shows the present and delivers it with a lag.
func (w *world) report() {
	var list []TaskObservation
	for _, operation := range w.order {
		task := w.tasks[operation]
		list = append(list, TaskObservation{Operation: operation, Status: task.status, Used: task.used, PowerWatts: task.used.MilliCores / 100})
	}
	lag := min(w.delay(DefaultMaxReportLag), DefaultMaxReportLag-time.Millisecond)
	w.after(lag+w.delay(3*time.Second), TasksReported{ObservedAt: w.now.Add(lag), Tasks: list})
}

func (w *world) submit(spec Spec) uint64 {
	w.replies++
	delete(w.notRun, spec.ID) // a repeat after a refusal is a new submission
	w.submitted = append(w.submitted, spec)
	w.step(SubmitRequested{Spec: spec, ReplyToken: w.replies})
	return w.replies
}

func (w *world) cancel(job string) {
	w.replies++
	w.step(CancelRequested{Job: job, ReplyToken: w.replies})
}

func (w *world) answer(a Reply) {
	w.answers[a.Token] = a
	switch {
	case a.Outcome == outcome.Completed && a.Job.State != "":
		w.acked[a.Job.ID] = true
	case a.Outcome == outcome.NotRun && a.Reason == ReasonNotDurable:
		w.notRun[a.Job.ID] = true
	}
}

func (w *world) setCondition(worker string, condition Condition) {
	w.change(worker, condition)
	w.step(FleetChanged{Workers: w.workers})
}

func (w *world) change(worker string, condition Condition) {
	for i := range w.workers {
		if w.workers[i].Name == worker {
			w.workers[i].Condition = condition
		}
	}
}

// changeCondition changes a worker; the controller hears of it later.
func (w *world) changeCondition(worker string, condition Condition) {
	w.change(worker, condition)
	w.after(w.delay(3*time.Second), FleetChanged{Workers: slices.Clone(w.workers)})
}

func (w *world) jobState(id string) JobState {
	view, _ := w.state.Get(id)
	return view.State
}
