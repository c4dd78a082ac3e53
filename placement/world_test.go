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

// clockStart is the initial time of the simulated clock.
var clockStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// platformTask is a task on the simulated platform.
type platformTask struct {
	operation, job, worker string
	status                 TaskStatus
	endsAt, leaseExpiresAt time.Time
	used                   Resources
}

// delayedAction is an effect or event scheduled for a later time.
type delayedAction struct {
	at  time.Time
	run func()
}

// simulation runs a State against a simulated store and platform whose calls can be
// lost, delayed and answered out of order.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	tickNumber uint64
	state      *State
	program    engine.Program[State, Event]
	policy     *policy.Effective
	workers    []WorkerInfo

	pages      [PageCount]StoredPage
	tasks      map[string]*platformTask
	operations []string
	scheduled  []delayedAction
	epoch      uint64
	lastToken  uint64
	submitted  []Spec

	faults          bool
	storeDown       bool
	faultyWorker    string
	acknowledged    map[string]bool
	reportedNotRun  map[string]bool
	emittedStarts   map[string]map[string]bool // job ID to operations whose start was emitted
	refused         map[string]bool            // operations that the platform provably did not execute
	executed        map[string]map[string]bool // job ID to operations that the platform executed
	checkpoints     map[string]int
	repliesByToken  map[uint64]Reply
	starts          []StartTask
	controls        []ControlTask
	quarantines     []QuarantineChange
	notifications   []Notification
	checkedAttempts map[string]bool // operations of attempts whose limits were checked
	violation       string
}

func newSimulation(seed uint64, doc policy.Document, workers []WorkerInfo) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: clockStart, policy: policy.Resolve(&doc, clockStart), workers: workers,
		tasks: map[string]*platformTask{}, acknowledged: map[string]bool{}, reportedNotRun: map[string]bool{},
		emittedStarts: map[string]map[string]bool{}, refused: map[string]bool{}, executed: map[string]map[string]bool{},
		checkpoints: map[string]int{}, checkedAttempts: map[string]bool{}, repliesByToken: map[uint64]Reply{},
	}
	for i := range sim.pages {
		sim.pages[i].Page.Index = i
	}
	sim.program = Program(nil)
	sim.takeover(0)
	return sim
}

// makeWorkers returns workers of 16 cores in zones a and b, two per rack. Jobs may use
// 8 of the cores.
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

func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// takeover replaces the controller by a new one that loads the committed pages.
func (sim *simulation) takeover(callDelay time.Duration) {
	sim.epoch++
	sim.state = New(Config{Incarnation: fmt.Sprintf("c%d", sim.epoch), Seed: sim.epoch})
	sim.state.cfg.Retention = 24 * time.Hour // keeps every job for the whole run
	sim.step(PolicyChanged{sim.policy}, Takeover{Epoch: sim.epoch, Pages: sim.pages[:], CallsAllowedFrom: sim.now.Add(callDelay)},
		FleetChanged{Workers: sim.workers, Complete: true})
}

// step runs one tick and executes its effects.
func (sim *simulation) step(events ...Event) {
	sim.tickNumber++
	sim.program.Step(sim.state, engine.Tick{Now: sim.now, Seq: sim.tickNumber}, events...)
	sim.checkState()
	out := &sim.state.Out
	out.Replies.Drain(sim.recordReply)
	out.Writes.Drain(sim.write)
	out.Reads.Drain(sim.read)
	out.Starts.Drain(sim.start)
	out.Controls.Drain(sim.control)
	out.Renewals.Drain(sim.renew)
	out.Quarantines.Drain(func(q QuarantineChange) { sim.quarantines = append(sim.quarantines, q) })
	out.Notifications.Drain(func(n Notification) { sim.notifications = append(sim.notifications, n) })
}

// advance moves the clock forward. It runs scheduled actions when they are due and ticks
// at each deadline.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for range 1000 {
		next := earliest(sim.state.NextDeadline(), end)
		for _, action := range sim.scheduled {
			next = earliest(next, action.at)
		}
		sim.now = later(sim.now, next)
		if !sim.now.Before(end) {
			sim.now = end
		}
		sim.runDue()
		sim.step()
		if !sim.now.Before(end) {
			return
		}
	}
	sim.recordViolation("more than 1000 ticks within %v: busy loop", d)
}

func (sim *simulation) runDue() {
	sim.endTasks()
	var due []delayedAction
	rest := sim.scheduled[:0]
	for _, action := range sim.scheduled {
		if action.at.After(sim.now) {
			rest = append(rest, action)
		} else {
			due = append(due, action)
		}
	}
	sim.scheduled = rest
	for _, action := range due {
		action.run()
	}
}

// after schedules an event for the current controller. After a takeover it is dropped.
func (sim *simulation) after(d time.Duration, event Event) {
	target := sim.state
	sim.scheduled = append(sim.scheduled, delayedAction{sim.now.Add(d), func() {
		if sim.state == target {
			sim.step(event)
		}
	}})
}

func (sim *simulation) faultWithChance(percent int) bool {
	return sim.faults && sim.random.IntN(100) < percent
}

func (sim *simulation) delay(limit time.Duration) time.Duration {
	if !sim.faults {
		return 10 * time.Millisecond
	}
	return time.Duration(sim.random.Int64N(int64(limit)) + 1)
}

func (sim *simulation) write(put WritePage) {
	index := put.Page.Index
	result := PageResult{Index: index, WriteID: put.WriteID, Result: WriteUnknown}
	apply := func() {
		result.Result = WriteConflict
		if sim.pages[index].Revision == put.Revision {
			sim.pages[index] = StoredPage{put.Page, put.Revision + 1, put.WriteID}
			result.Result, result.Revision = WriteCommitted, put.Revision+1
		}
	}
	switch {
	case sim.storeDown || sim.faultWithChance(5):
		result.Result = WriteNotApplied
	case sim.faultWithChance(5): // the write is applied after its caller timed out
		sim.scheduled = append(sim.scheduled, delayedAction{sim.now.Add(sim.delay(4 * time.Second)), apply})
	default:
		apply()
		if sim.faultWithChance(5) { // the response is lost
			result.Result = WriteUnknown
		}
	}
	sim.after(sim.delay(time.Second), result)
}

func (sim *simulation) read(r ReadPage) {
	at := sim.pages[r.Index]
	sim.after(sim.delay(time.Second), PageRead{
		Index: r.Index, Failed: sim.storeDown || sim.faultWithChance(20), Page: at.Page, WriteID: at.WriteID, Revision: at.Revision,
	})
}

func addOperation(set map[string]map[string]bool, job, operation string) {
	if set[job] == nil {
		set[job] = map[string]bool{}
	}
	set[job][operation] = true
}

func (sim *simulation) start(s StartTask) {
	sim.starts = append(sim.starts, s)
	addOperation(sim.emittedStarts, s.Job, s.Operation)
	if !sim.committed(s) {
		sim.recordViolation("start of %s emitted before its page was committed", s.Operation)
	}
	if sim.reportedNotRun[s.Job] {
		sim.recordViolation("job %s was reported as not run and then started", s.Job)
	}
	result := StartResult{Operation: s.Operation, Result: CallUnknown}
	switch {
	case sim.faultWithChance(10): // the request is lost, or delayed and its response lost
		if sim.faultWithChance(50) {
			sim.scheduled = append(sim.scheduled, delayedAction{sim.now.Add(sim.delay(DefaultCallTimeout)), func() { sim.execute(s) }})
		}
	default:
		result.Result = sim.execute(s)
		if sim.faultWithChance(5) {
			result.Result = CallUnknown
		}
		if result.Result == CallRefused && len(sim.startsOf(s.Operation)) == 1 {
			sim.refused[s.Operation] = true
		}
	}
	sim.after(sim.delay(DefaultCallTimeout), result)
}

func (sim *simulation) startsOf(operation string) (out []StartTask) {
	for _, s := range sim.starts {
		if s.Operation == operation {
			out = append(out, s)
		}
	}
	return out
}

func (sim *simulation) committed(s StartTask) bool {
	for _, r := range sim.pages[PageOf(s.Job)].Page.Jobs {
		if r.Spec.ID == s.Job {
			return r.Attempt != nil && r.Attempt.Operation == s.Operation
		}
	}
	return false
}

// execute starts a task on the platform unless its operation ID is already known.
func (sim *simulation) execute(s StartTask) CallResult {
	if _, ok := sim.tasks[s.Operation]; ok {
		return CallDone
	}
	for i := range sim.workers {
		if sim.workers[i].Name == s.Worker && sim.workers[i].Condition != ConditionAvailable {
			return CallRefused
		}
	}
	addOperation(sim.executed, s.Job, s.Operation)
	used := Resources{max(1, s.Reserved.MilliCores/2), s.Reserved.MemoryMB / 2, s.Reserved.Accelerators}
	sim.tasks[s.Operation] = &platformTask{
		operation: s.Operation, job: s.Job, worker: s.Worker, status: TaskRunning, used: used,
		endsAt: sim.now.Add(20*time.Second + sim.delay(time.Minute)), leaseExpiresAt: sim.now.Add(s.Lease),
	}
	sim.operations = append(sim.operations, s.Operation)
	return CallDone
}

// endTasks ends tasks that failed, are complete or whose lease has expired.
func (sim *simulation) endTasks() {
	for _, operation := range sim.operations {
		task := sim.tasks[operation]
		switch {
		case task.status != TaskRunning && task.status != TaskThrottled:
		case task.worker == sim.faultyWorker:
			task.status = TaskFailed
		case !sim.now.Before(task.leaseExpiresAt):
			task.status = TaskLeaseExpired
		case !sim.now.Before(task.endsAt):
			task.status = TaskDone
			if sim.faultWithChance(10) {
				task.status = TaskFailed
			}
		}
	}
}

func (sim *simulation) control(c ControlTask) {
	sim.controls = append(sim.controls, c)
	task, ok := sim.tasks[c.Operation]
	result := CallNotFound
	switch {
	case sim.faultWithChance(5):
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
			sim.checkpoints[task.job]++
		case ActionStop:
			task.status = TaskStopped
		}
	}
	if sim.faultWithChance(5) {
		result = CallUnknown
	}
	sim.after(sim.delay(DefaultCallTimeout), ControlResult{c.Operation, c.Action, result})
}

func (sim *simulation) renew(r RenewTasks) {
	if sim.faultWithChance(5) {
		return
	}
	for _, operation := range r.Operations {
		if task := sim.tasks[operation]; task != nil {
			task.leaseExpiresAt = sim.now.Add(r.Lease)
		}
	}
}

// report takes a task list of the current state and delivers it with a delay.
func (sim *simulation) report() {
	var list []TaskObservation
	for _, operation := range sim.operations {
		task := sim.tasks[operation]
		list = append(list, TaskObservation{Operation: operation, Status: task.status, Used: task.used, PowerWatts: task.used.MilliCores / 100})
	}
	lag := min(sim.delay(DefaultMaxReportLag), DefaultMaxReportLag-time.Millisecond)
	sim.after(lag+sim.delay(3*time.Second), TasksReported{ObservedAt: sim.now.Add(lag), Tasks: list})
}

func (sim *simulation) submit(spec Spec) uint64 {
	sim.lastToken++
	delete(sim.reportedNotRun, spec.ID) // a resubmission after a refusal is a new submission
	sim.submitted = append(sim.submitted, spec)
	sim.step(Submitted{Spec: spec, ReplyToken: sim.lastToken})
	return sim.lastToken
}

func (sim *simulation) cancel(job string) {
	sim.lastToken++
	sim.step(CancelRequested{Job: job, ReplyToken: sim.lastToken})
}

func (sim *simulation) recordReply(a Reply) {
	sim.repliesByToken[a.Token] = a
	switch {
	case a.Outcome == outcome.Completed && a.Job.State != "":
		sim.acknowledged[a.Job.ID] = true
	case a.Outcome == outcome.NotRun && a.Reason == ReasonNotDurable:
		sim.reportedNotRun[a.Job.ID] = true
	}
}

func (sim *simulation) setCondition(worker string, condition Condition) {
	sim.updateCondition(worker, condition)
	sim.step(FleetChanged{Workers: sim.workers})
}

func (sim *simulation) updateCondition(worker string, condition Condition) {
	for i := range sim.workers {
		if sim.workers[i].Name == worker {
			sim.workers[i].Condition = condition
		}
	}
}

// setConditionDelayed changes the condition of a worker. The controller learns of it
// after a delay.
func (sim *simulation) setConditionDelayed(worker string, condition Condition) {
	sim.updateCondition(worker, condition)
	sim.after(sim.delay(3*time.Second), FleetChanged{Workers: slices.Clone(sim.workers)})
}

func (sim *simulation) jobState(id string) JobState {
	view, _ := sim.state.Get(id)
	return view.State
}
