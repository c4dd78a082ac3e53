package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// urgentLimit is the stated target for the start of urgent work.
const urgentLimit = 2200 * time.Millisecond

func spec(id string, change ...func(*Spec)) Spec {
	s := Spec{ID: id, Tenant: "t", Pool: "orders", Class: ClassQuick, Size: Resources{2000, 1000, 0}}
	for _, f := range change {
		f(&s)
	}
	return s
}

func idempotent(s *Spec) { s.Idempotent = true }
func urgent(s *Spec)     { s.Class = ClassUrgent }
func long(s *Spec)       { s.Class = ClassLong }

func cores(n int) func(*Spec) { return func(s *Spec) { s.Size.MilliCores = n * milliCores } }

// quietWorld has no faults: calls take 10 ms. Jobs may use 8 of the 16 cores of a worker.
func quietWorld(workers int, change ...func(*policy.Document)) *world {
	doc := policy.Example("orders", "spare")
	for _, f := range change {
		f(&doc)
	}
	return newWorld(propertySeed, doc, makeWorkers("orders", workers))
}

func (w *world) mustHold(t *testing.T) {
	t.Helper()
	w.checkHistory()
	if w.violation != "" {
		t.Fatal(w.violation)
	}
}

func expect[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s = %v, want %v", what, got, want)
	}
}

// Guards against an acknowledgement before the group commit, and against a
// repeated ID that runs other content.
func TestSubmissionIsAcknowledgedAfterCommitAndRepeatable(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	first := w.submit(spec("a"))
	if _, ok := w.answers[first]; ok {
		t.Fatal("acknowledged before the commit")
	}
	w.advance(time.Second)
	expect(t, "first answer", w.answers[first].Outcome, outcome.Completed)
	again := w.submit(spec("a"))
	expect(t, "repeat", w.answers[again].Outcome, outcome.Completed)
	other := w.submit(spec("a", cores(1)))
	expect(t, "other content", w.answers[other].Reason, ReasonJobMismatch)
	expect(t, "starts", len(w.starts), 1)
	w.mustHold(t)
}

// Guards against "not run" for a submission that a write may have stored.
func TestSubmissionWithoutStore(t *testing.T) {
	for _, test := range []struct {
		name   string
		result WriteResult
		want   outcome.Kind
	}{
		{"provably not written", WriteNotApplied, outcome.NotRun},
		{"conflict", WriteConflict, outcome.NotRun},
		{"result unknown", WriteUnknown, outcome.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := quietWorld(1)
			w.advance(time.Second)
			page := PageOf("a")
			reply := w.submit(spec("a"))
			w.later = nil // the answer of the write is replaced
			writeID := w.state.page(page).inFlight
			w.storeDown = true
			w.step(PageResult{Index: page, WriteID: writeID, Result: test.result})
			w.advance(DefaultSubmitTimeout)
			expect(t, "outcome", w.answers[reply].Outcome, test.want)
			_, kept := w.state.Get("a")
			expect(t, "job kept", kept, test.want == outcome.Unknown)
		})
	}
}

// Guards against a second write of a page while one is in flight.
func TestOneWritePerPageInFlight(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	w.submit(spec("a"))
	writes := w.state.Counters.PageWrites
	w.now = w.now.Add(time.Minute) // no answer was delivered
	w.cancel("a")
	expect(t, "writes", w.state.Counters.PageWrites, writes)
}

// Guards against a new controller that is fenced by a late write of its
// predecessor, and against the loss of a job in that write.
func TestTakeoverReloadsPageWrittenLate(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	old := w.pages
	w.submit(spec("a"))
	w.advance(time.Second)
	late := w.pages
	w.pages = old
	w.takeover(7 * time.Second)
	w.later, w.pages = nil, late
	for i := range w.pages {
		w.step(PageResult{Index: i, WriteID: w.state.page(i).inFlight, Result: WriteConflict})
	}
	w.advance(20 * time.Second)
	expect(t, "fenced", w.state.Fenced(), false)
	expect(t, "claimed pages", w.state.claimed, PageCount)
	w.mustHold(t)
	if w.jobState("a") == "" {
		t.Fatal("job of the late write is lost")
	}
}

// Guards against effects of a controller whose page another one has taken.
func TestForeignWriteFences(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	page := PageOf("a")
	w.pages[page] = StoredPage{Page{Index: page, Epoch: w.epoch + 1}, w.pages[page].Revision + 1, "foreign"}
	reply := w.submit(spec("a"))
	w.advance(10 * time.Second)
	expect(t, "fenced", w.state.Fenced(), true)
	expect(t, "starts", len(w.starts), 0)
	expect(t, "outcome", w.answers[reply].Outcome, outcome.NotRun)
}

// Guards against a second run of a non-idempotent job and against a rerun
// before the task lease has lapsed.
func TestLostWorker(t *testing.T) {
	w := quietWorld(2)
	w.advance(time.Second)
	w.submit(spec("once"))
	w.submit(spec("again", idempotent))
	w.advance(time.Second)
	for _, x := range []string{"orders-w0", "orders-w1"} {
		w.setCondition(x, ConditionLost)
	}
	expect(t, "non-idempotent", w.jobState("once"), JobUnknown)
	expect(t, "idempotent", w.jobState("again"), JobPending)
	w.setCondition("orders-w0", ConditionAvailable)
	w.advance(DefaultTaskLease - time.Second)
	expect(t, "starts before the lease lapsed", len(w.starts), 2)
	w.advance(DefaultCallTimeout + DefaultLeaseMargin + 2*time.Second)
	expect(t, "starts", len(w.starts), 3)
	expect(t, "restarted", w.starts[2].Job, "again")
	w.mustHold(t)
}

// Guards against a bad job that runs for ever and a bad worker that eats jobs.
func TestFaultIsAttributed(t *testing.T) {
	w := quietWorld(5)
	w.advance(time.Second)
	w.badWorker = "orders-w0"
	for i := range 12 {
		w.submit(spec(fmt.Sprint("j", i), idempotent))
	}
	for range 20 {
		w.report()
		w.advance(time.Second)
	}
	expect(t, "quarantines", len(w.quarantines), 1)
	expect(t, "worker", w.quarantines[0].Worker, "orders-w0")
	w.badWorker = ""
	for range 40 {
		w.report()
		w.advance(2 * time.Second)
	}
	w.advance(DefaultQuarantineDuration)
	w.submit(spec("probe", idempotent))
	for range 40 {
		w.report()
		w.advance(time.Second)
	}
	expect(t, "changes after the probe", len(w.quarantines), 2)
	expect(t, "quarantined", w.quarantines[1].Quarantined, false)
	w.mustHold(t)
}

// Guards against a quarantine beyond the cap of the pool or the availability budget.
func TestQuarantineIsCapped(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers int
		allowed bool
		want    uint64
	}{{"cap", 4, true, 0}, {"budget", 5, false, 0}, {"allowed", 5, true, 1}} {
		t.Run(test.name, func(t *testing.T) {
			w := quietWorld(test.workers)
			w.state.cfg.MayQuarantine = func(string) bool { return test.allowed }
			x := w.state.worker("orders-w0")
			for i := range jobsUntilWorkerAtFault {
				w.state.recordFailure(&Job{Spec: spec(fmt.Sprint(i))}, x, w.now)
			}
			w.step()
			expect(t, "quarantines", w.state.Counters.Quarantines, test.want)
		})
	}
}

// Guards against an idempotent job that fails everywhere and is retried for ever.
func TestJobAtFaultFails(t *testing.T) {
	w := quietWorld(4)
	w.advance(time.Second)
	w.submit(spec("bad", idempotent))
	for range 10 {
		w.advance(time.Second)
		for _, task := range w.tasks {
			task.status = TaskFailed
		}
		w.report()
	}
	w.advance(5 * time.Second)
	expect(t, "state", w.jobState("bad"), JobFailed)
	expect(t, "starts", len(w.starts), workersUntilJobAtFault)
	expect(t, "faults left on a worker", len(w.state.worker("orders-w0").faults), 0)
}

// Guards against accepting jobs that can never run and against jobs that stay
// parked although the fleet has changed.
func TestRefusedAndParked(t *testing.T) {
	w := quietWorld(2)
	w.advance(time.Second)
	for reason, s := range map[Reason]Spec{
		ReasonUnknownPool:    spec("p", func(s *Spec) { s.Pool = "none" }),
		ReasonNoWorkers:      spec("w", func(s *Spec) { s.Pool = "spare" }),
		ReasonNoWorkerInZone: spec("z", func(s *Spec) { s.AvailabilityZone = "x" }),
		ReasonNoAccelerator:  spec("a", func(s *Spec) { s.Size.Accelerators = 1 }),
		ReasonTooLarge:       spec("l", cores(9)),
		ReasonBadRequest:     spec(""),
	} {
		reply := w.submit(s)
		expect(t, "reason of "+s.ID, w.answers[reply].Reason, reason)
	}
	w.setCondition("orders-w1", ConditionDraining)
	w.submit(spec("zone", func(s *Spec) { s.AvailabilityZone = "b" }))
	w.advance(time.Second)
	explanation, _ := w.state.Explain("zone")
	expect(t, "while draining", explanation.Reason, ReasonNoAvailableWorker)
	w.step(FleetChanged{Workers: w.workers[:1], Complete: true})
	explanation, _ = w.state.Explain("zone")
	expect(t, "state", explanation.State, JobParked)
	expect(t, "parked", explanation.Reason, ReasonNoWorkerInZone)
	w.setCondition("orders-w1", ConditionAvailable)
	w.advance(time.Second)
	expect(t, "after the fleet changed", w.jobState("zone"), JobRunning)
}

// Guards against a drain that never ends and against a drain that stops work
// which may not be started again.
func TestDrainChecksIdempotence(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	w.submit(spec("once"))
	w.submit(spec("again", idempotent))
	w.advance(time.Second)
	w.setCondition("orders-w0", ConditionDraining)
	w.advance(time.Second)
	expect(t, "non-idempotent", w.jobState("once"), JobRunning)
	expect(t, "idempotent", w.jobState("again"), JobPending)
	w.submit(spec("new"))
	w.advance(time.Second)
	expect(t, "starts", len(w.starts), 2)
	w.setCondition("orders-w0", ConditionAvailable)
	w.advance(time.Second)
	for _, s := range w.starts[2:] {
		expect(t, s.Job+" resumed", s.Resume, s.Job == "again")
	}
}

// Guards against urgent work that waits behind other classes, against
// preemption of urgent work, and against lost work where a throttle suffices.
func TestUrgentPreempts(t *testing.T) {
	for _, test := range []struct {
		name   string
		filler []func(*Spec)
		memory int // of the urgent job, in MB
		action ControlAction
		starts bool
	}{
		{"throttle", []func(*Spec){long}, 1000, ActionThrottle, true},
		{"checkpoint for memory", []func(*Spec){long, idempotent, func(s *Spec) { s.Size.MemoryMB = 32_000 }}, 30_000, ActionCheckpoint, true},
		{"never urgent", []func(*Spec){urgent, idempotent}, 1000, ActionNone, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := quietWorld(1)
			w.advance(time.Second)
			for i := range 2 {
				w.submit(spec(fmt.Sprint("filler", i), append(test.filler, cores(4))...))
			}
			w.advance(time.Second)
			expect(t, "fillers started", len(w.starts), 2)
			w.submit(spec("now", urgent, cores(3), func(s *Spec) { s.Size.MemoryMB = test.memory }))
			w.advance(urgentLimit)
			expect(t, "running", w.jobState("now") == JobRunning, test.starts)
			action := ActionNone
			if len(w.controls) > 0 {
				action = w.controls[0].Action
			}
			expect(t, "action", action, test.action)
			w.mustHold(t)
		})
	}
}

func (w *world) reportPower(watts int) {
	w.now = w.now.Add(DefaultCallTimeout + DefaultMaxReportLag + time.Second) // past the lag of what was started
	w.step(PowerReported{ObservedAt: w.now, Workers: []WorkerPower{{"orders-w0", watts}}})
	w.advance(time.Second)
}

// Guards against starts above the power cap, against checkpoints where
// throttles suffice, and against throttles that are never ended.
func TestPowerCap(t *testing.T) {
	w := quietWorld(1, func(d *policy.Document) { d.Site.PowerCapWatts = 1000 })
	w.advance(time.Second)
	w.submit(spec("quick", idempotent))
	w.submit(spec("long", long, idempotent))
	w.advance(time.Second)
	expect(t, "starts without a report", len(w.starts), 0)
	w.reportPower(500)
	expect(t, "starts", len(w.starts), 2)
	expect(t, "headroom", w.state.HeadroomWatts(), 1000-500-2*20)
	w.reportPower(1010)
	expect(t, "controls", len(w.controls), 1)
	expect(t, "action", w.controls[0].Action, ActionThrottle)
	expect(t, "lowest class first", w.controls[0].Operation, w.state.attempts.Get(mustJob(w, "long").attempt).Operation)
	w.submit(spec("blocked"))
	w.advance(time.Second)
	expect(t, "blocked", mustJob(w, "blocked").Reason, ReasonPowerCap)
	w.step(InrushChanged{Watts: 100})
	w.advance(time.Second)
	expect(t, "checkpoints", w.state.Counters.PowerCheckpoints, 2)
	w.reportPower(600)
	w.step(InrushChanged{})
	w.advance(time.Second)
	expect(t, "blocked job after the report", w.jobState("blocked"), JobRunning)
}

// Guards against throttles that stay, and against a restore near the cap.
func TestPowerRestoreHasHysteresis(t *testing.T) {
	w := quietWorld(1, func(d *policy.Document) { d.Site.PowerCapWatts = 1000 })
	w.advance(time.Second)
	w.reportPower(500)
	w.submit(spec("j", long))
	w.advance(time.Second)
	w.reportPower(1010)
	expect(t, "throttles", w.state.Counters.PowerThrottles, 1)
	w.reportPower(940)
	expect(t, "restores near the cap", w.state.Counters.Unthrottles, 0)
	w.reportPower(700)
	expect(t, "restores", w.state.Counters.Unthrottles, 1)
}

func mustJob(w *world, id string) *Job {
	job, _ := w.state.job(id)
	return job
}

// Guards against "cancelled" for a job whose unresolved start may still run.
func TestCancelOfUnresolvedStart(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	w.submit(spec("a"))
	for len(w.starts) == 0 {
		w.advance(10 * time.Millisecond)
	}
	operation := w.starts[0].Operation
	w.later = nil // the answer of the start is lost
	delete(w.tasks, operation)
	w.order = nil
	w.step(StartResult{Operation: operation, Result: CallUnknown})
	w.cancel("a")
	w.advance(20 * time.Second)
	expect(t, "before the lease lapsed", w.jobState("a"), JobStarting)
	expect(t, "stopped", w.controls[0].Action, ActionStop)
	w.advance(20 * time.Second)
	expect(t, "after", w.jobState("a"), JobCancelled)
	expect(t, "starts", len(w.starts), 1)
}

// Guards against one tenant that takes the pool because it submitted first.
func TestFairShareBetweenTenants(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	w.setCondition("orders-w0", ConditionUnavailable)
	for i := range 8 {
		w.submit(spec(fmt.Sprint("greedy", i), func(s *Spec) { s.Tenant = "greedy" }))
	}
	for i := range 8 {
		w.submit(spec(fmt.Sprint("late", i), func(s *Spec) { s.Tenant = "late" }))
	}
	w.setCondition("orders-w0", ConditionAvailable)
	w.advance(time.Second)
	share := map[string]int{}
	for _, s := range w.starts {
		share[mustJob(w, s.Job).Tenant]++
	}
	expect(t, "greedy", share["greedy"], 2)
	expect(t, "late", share["late"], 2)
}

// Guards against reservations that follow the declaration of a known family.
func TestReservationFollowsObservation(t *testing.T) {
	w := quietWorld(1)
	family := func(s *Spec) { s.Family = "ledger" }
	w.advance(time.Second)
	w.submit(spec("first", family, cores(8)))
	w.advance(time.Second)
	expect(t, "bounded declaration", w.starts[0].Reserved.MilliCores, 4000)
	for range 12 {
		w.report()
		w.advance(2 * time.Second)
	}
	expect(t, "first", w.jobState("first"), JobDone)
	w.submit(spec("second", family, cores(8)))
	w.advance(time.Second)
	expect(t, "observed", w.starts[1].Reserved.MilliCores, 2000)
	w.takeover(0)
	w.advance(time.Second)
	explanation, _ := w.state.Explain("second")
	expect(t, "observed after takeover", explanation.SizeObserved, true)
}

// Guards against jobs of a spread family on one rack.
func TestSpreadRacks(t *testing.T) {
	w := quietWorld(4)
	w.advance(time.Second)
	for i := range 3 {
		w.submit(spec(fmt.Sprint("s", i), func(s *Spec) { s.Family, s.SpreadRacks = "f", true }))
	}
	w.advance(time.Second)
	expect(t, "starts", len(w.starts), 2)
	expect(t, "reason", mustJob(w, "s2").Reason, ReasonAntiAffinity)
}

// Guards against pages that grow without end.
func TestFinishedJobsLeaveTheirPage(t *testing.T) {
	w := quietWorld(1)
	w.state.cfg.Retention = DefaultRetention
	w.advance(time.Second)
	w.submit(spec("a"))
	w.cancel("a")
	w.advance(DefaultRetention + time.Second)
	expect(t, "jobs in the page", len(w.pages[PageOf("a")].Page.Jobs), 0)
	expect(t, "estimated bytes", w.state.page(PageOf("a")).bytes, 0)
}
