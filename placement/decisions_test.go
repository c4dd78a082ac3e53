package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// urgentLimit is the time limit for the start of an urgent job.
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

func cores(n int) func(*Spec) { return func(s *Spec) { s.Size.MilliCores = n * milliCoresPerCore } }

// newFaultFreeSimulation returns a simulation in which every call succeeds after 10 ms.
// Jobs may use 8 of the 16 cores of a worker.
func newFaultFreeSimulation(workers int, change ...func(*policy.Document)) *simulation {
	doc := policy.Example("orders", "spare")
	for _, f := range change {
		f(&doc)
	}
	return newSimulation(propertySeed, doc, makeWorkers("orders", workers))
}

func (sim *simulation) requireInvariants(t *testing.T) {
	t.Helper()
	sim.checkHistory()
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
}

func expect[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s = %v, want %v", what, got, want)
	}
}

// Guards against an acknowledgement before the page commit, and against a second
// submission with the same ID but a different specification that is accepted.
func TestSubmissionIsAcknowledgedAfterCommitAndRepeatable(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	first := sim.submit(spec("a"))
	if _, ok := sim.repliesByToken[first]; ok {
		t.Fatal("submission acknowledged before its page was committed")
	}
	sim.advance(time.Second)
	expect(t, "first reply", sim.repliesByToken[first].Outcome, outcome.Completed)
	again := sim.submit(spec("a"))
	expect(t, "repeat", sim.repliesByToken[again].Outcome, outcome.Completed)
	other := sim.submit(spec("a", cores(1)))
	expect(t, "different specification", sim.repliesByToken[other].Reason, ReasonJobMismatch)
	expect(t, "starts", len(sim.starts), 1)
	sim.requireInvariants(t)
}

// Guards against a submission that is reported as not run although a page write with an
// unknown outcome may have stored it.
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
			sim := newFaultFreeSimulation(1)
			sim.advance(time.Second)
			page := PageOf("a")
			token := sim.submit(spec("a"))
			sim.scheduled = nil // drops the response to the write; the test supplies its own
			writeID := sim.state.page(page).inFlightWriteID
			sim.storeDown = true
			sim.step(PageResult{Index: page, WriteID: writeID, Result: test.result})
			sim.advance(DefaultSubmitTimeout)
			expect(t, "outcome", sim.repliesByToken[token].Outcome, test.want)
			_, kept := sim.state.Get("a")
			expect(t, "job kept", kept, test.want == outcome.Unknown)
		})
	}
}

// Guards against a second write of a page while one is in flight.
func TestOneWritePerPageInFlight(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	sim.submit(spec("a"))
	writes := sim.state.Counters.PageWrites
	sim.now = sim.now.Add(time.Minute) // the response to the write is not delivered
	sim.cancel("a")
	expect(t, "writes", sim.state.Counters.PageWrites, writes)
}

// Guards against a new controller that is fenced by a delayed write of its
// predecessor, and against the loss of a job that this write contains.
func TestTakeoverReloadsPageWrittenLate(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	old := sim.pages
	sim.submit(spec("a"))
	sim.advance(time.Second)
	late := sim.pages
	sim.pages = old
	sim.takeover(7 * time.Second)
	sim.scheduled, sim.pages = nil, late
	for i := range sim.pages {
		sim.step(PageResult{Index: i, WriteID: sim.state.page(i).inFlightWriteID, Result: WriteConflict})
	}
	sim.advance(20 * time.Second)
	expect(t, "fenced", sim.state.Fenced(), false)
	expect(t, "claimed pages", sim.state.claimedPages, PageCount)
	sim.requireInvariants(t)
	if sim.jobState("a") == "" {
		t.Fatal("job of the delayed write is lost")
	}
}

// Guards against effects of a controller after another controller wrote one of its pages.
func TestForeignWriteFences(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	page := PageOf("a")
	sim.pages[page] = StoredPage{Page{Index: page, Epoch: sim.epoch + 1}, sim.pages[page].Revision + 1, "foreign"}
	token := sim.submit(spec("a"))
	sim.advance(10 * time.Second)
	expect(t, "fenced", sim.state.Fenced(), true)
	expect(t, "starts", len(sim.starts), 0)
	expect(t, "outcome", sim.repliesByToken[token].Outcome, outcome.NotRun)
}

// Guards against a second run of a non-idempotent job whose worker is lost, and
// against a rerun of an idempotent one before its task lease has expired.
func TestLostWorker(t *testing.T) {
	sim := newFaultFreeSimulation(2)
	sim.advance(time.Second)
	sim.submit(spec("once"))
	sim.submit(spec("again", idempotent))
	sim.advance(time.Second)
	for _, worker := range []string{"orders-w0", "orders-w1"} {
		sim.setCondition(worker, ConditionLost)
	}
	expect(t, "non-idempotent", sim.jobState("once"), JobUnknown)
	expect(t, "idempotent", sim.jobState("again"), JobPending)
	sim.setCondition("orders-w0", ConditionAvailable)
	sim.advance(DefaultTaskLease - time.Second)
	expect(t, "starts before the lease expired", len(sim.starts), 2)
	sim.advance(DefaultCallTimeout + DefaultLeaseMargin + 2*time.Second)
	expect(t, "starts", len(sim.starts), 3)
	expect(t, "restarted", sim.starts[2].Job, "again")
	sim.requireInvariants(t)
}

// Guards against a faulty worker that is not quarantined or does not return to service
// after a successful probe.
func TestFaultIsAttributed(t *testing.T) {
	sim := newFaultFreeSimulation(5)
	sim.advance(time.Second)
	sim.faultyWorker = "orders-w0"
	for i := range 12 {
		sim.submit(spec(fmt.Sprint("j", i), idempotent))
	}
	for range 20 {
		sim.report()
		sim.advance(time.Second)
	}
	expect(t, "quarantines", len(sim.quarantines), 1)
	expect(t, "worker", sim.quarantines[0].Worker, "orders-w0")
	sim.faultyWorker = ""
	for range 40 {
		sim.report()
		sim.advance(2 * time.Second)
	}
	sim.advance(DefaultQuarantineDuration)
	sim.submit(spec("probe", idempotent))
	for range 40 {
		sim.report()
		sim.advance(time.Second)
	}
	expect(t, "changes after the probe", len(sim.quarantines), 2)
	expect(t, "quarantined", sim.quarantines[1].Quarantined, false)
	sim.requireInvariants(t)
}

// Guards against a quarantine that exceeds the cap of the pool or the availability budget.
func TestQuarantineIsCapped(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers int
		allowed bool
		want    uint64
	}{{"cap", 4, true, 0}, {"budget", 5, false, 0}, {"allowed", 5, true, 1}} {
		t.Run(test.name, func(t *testing.T) {
			sim := newFaultFreeSimulation(test.workers)
			sim.state.cfg.MayQuarantine = func(string) bool { return test.allowed }
			worker := sim.state.worker("orders-w0")
			for i := range jobsUntilWorkerAtFault {
				sim.state.recordFailure(&Job{Spec: spec(fmt.Sprint(i))}, worker, sim.now)
			}
			sim.step()
			expect(t, "quarantines", sim.state.Counters.Quarantines, test.want)
		})
	}
}

// Guards against endless retries of an idempotent job that fails on every worker, and
// against counting its failures as faults of the workers.
func TestJobAtFaultFails(t *testing.T) {
	sim := newFaultFreeSimulation(4)
	sim.advance(time.Second)
	sim.submit(spec("bad", idempotent))
	for range 10 {
		sim.advance(time.Second)
		for _, task := range sim.tasks {
			task.status = TaskFailed
		}
		sim.report()
	}
	sim.advance(5 * time.Second)
	expect(t, "state", sim.jobState("bad"), JobFailed)
	expect(t, "starts", len(sim.starts), workersUntilJobAtFault)
	expect(t, "faults left on a worker", len(sim.state.worker("orders-w0").faults), 0)
}

// Guards against the acceptance of jobs that no worker can run, and against jobs that
// stay parked after a worker that can run them joins the fleet.
func TestRefusedAndParked(t *testing.T) {
	sim := newFaultFreeSimulation(2)
	sim.advance(time.Second)
	for reason, s := range map[Reason]Spec{
		ReasonUnknownPool:    spec("p", func(s *Spec) { s.Pool = "none" }),
		ReasonNoWorkers:      spec("w", func(s *Spec) { s.Pool = "spare" }),
		ReasonNoWorkerInZone: spec("z", func(s *Spec) { s.AvailabilityZone = "x" }),
		ReasonNoAccelerator:  spec("a", func(s *Spec) { s.Size.Accelerators = 1 }),
		ReasonTooLarge:       spec("l", cores(9)),
		ReasonBadRequest:     spec(""),
	} {
		token := sim.submit(s)
		expect(t, "reason of "+s.ID, sim.repliesByToken[token].Reason, reason)
	}
	sim.setCondition("orders-w1", ConditionDraining)
	sim.submit(spec("zone", func(s *Spec) { s.AvailabilityZone = "b" }))
	sim.advance(time.Second)
	explanation, _ := sim.state.Explain("zone")
	expect(t, "while draining", explanation.Reason, ReasonNoAvailableWorker)
	sim.step(FleetChanged{Workers: sim.workers[:1], Complete: true})
	explanation, _ = sim.state.Explain("zone")
	expect(t, "state", explanation.State, JobParked)
	expect(t, "parked", explanation.Reason, ReasonNoWorkerInZone)
	sim.setCondition("orders-w1", ConditionAvailable)
	sim.advance(time.Second)
	expect(t, "after the fleet changed", sim.jobState("zone"), JobRunning)
}

// Guards against a drain that never ends because idempotent tasks are not checkpointed,
// and against one that stops tasks which must not be started again.
func TestDrainChecksIdempotence(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	sim.submit(spec("once"))
	sim.submit(spec("again", idempotent))
	sim.advance(time.Second)
	sim.setCondition("orders-w0", ConditionDraining)
	sim.advance(time.Second)
	expect(t, "non-idempotent", sim.jobState("once"), JobRunning)
	expect(t, "idempotent", sim.jobState("again"), JobPending)
	sim.submit(spec("new"))
	sim.advance(time.Second)
	expect(t, "starts", len(sim.starts), 2)
	sim.setCondition("orders-w0", ConditionAvailable)
	sim.advance(time.Second)
	for _, s := range sim.starts[2:] {
		expect(t, s.Job+" resumed", s.Resume, s.Job == "again")
	}
}

// Guards against urgent jobs that wait for other classes, against preemption of
// urgent jobs, and against checkpoints where throttles suffice.
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
			sim := newFaultFreeSimulation(1)
			sim.advance(time.Second)
			for i := range 2 {
				sim.submit(spec(fmt.Sprint("filler", i), append(test.filler, cores(4))...))
			}
			sim.advance(time.Second)
			expect(t, "fillers started", len(sim.starts), 2)
			sim.submit(spec("now", urgent, cores(3), func(s *Spec) { s.Size.MemoryMB = test.memory }))
			sim.advance(urgentLimit)
			expect(t, "running", sim.jobState("now") == JobRunning, test.starts)
			action := ActionNone
			if len(sim.controls) > 0 {
				action = sim.controls[0].Action
			}
			expect(t, "action", action, test.action)
			sim.requireInvariants(t)
		})
	}
}

func (sim *simulation) reportPower(watts int) {
	sim.now = sim.now.Add(DefaultCallTimeout + DefaultMaxReportLag + time.Second) // so that the report includes the tasks started before
	sim.step(PowerReported{ObservedAt: sim.now, Workers: []WorkerPower{{"orders-w0", watts}}})
	sim.advance(time.Second)
}

// Guards against starts that exceed the power cap, against checkpoints where throttles
// suffice, and against jobs that stay blocked after the power draw has dropped.
func TestPowerCap(t *testing.T) {
	sim := newFaultFreeSimulation(1, func(d *policy.Document) { d.Site.PowerCapWatts = 1000 })
	sim.advance(time.Second)
	sim.submit(spec("quick", idempotent))
	sim.submit(spec("long", long, idempotent))
	sim.advance(time.Second)
	expect(t, "starts without a report", len(sim.starts), 0)
	sim.reportPower(500)
	expect(t, "starts", len(sim.starts), 2)
	expect(t, "headroom", sim.state.HeadroomWatts(), 1000-500-2*20)
	sim.reportPower(1010)
	expect(t, "controls", len(sim.controls), 1)
	expect(t, "action", sim.controls[0].Action, ActionThrottle)
	expect(t, "lowest class first", sim.controls[0].Operation, sim.state.attempts.Get(jobByID(sim, "long").attempt).Operation)
	sim.submit(spec("blocked"))
	sim.advance(time.Second)
	expect(t, "blocked", jobByID(sim, "blocked").Reason, ReasonPowerCap)
	sim.step(InrushChanged{Watts: 100})
	sim.advance(time.Second)
	expect(t, "checkpoints", sim.state.Counters.PowerCheckpoints, 2)
	sim.reportPower(600)
	sim.step(InrushChanged{})
	sim.advance(time.Second)
	expect(t, "blocked job after the report", sim.jobState("blocked"), JobRunning)
}

// Guards against throttles that do not end after the power draw has dropped, and against
// a throttle that ends while the draw is close to the cap.
func TestPowerRestoreHasHysteresis(t *testing.T) {
	sim := newFaultFreeSimulation(1, func(d *policy.Document) { d.Site.PowerCapWatts = 1000 })
	sim.advance(time.Second)
	sim.reportPower(500)
	sim.submit(spec("j", long))
	sim.advance(time.Second)
	sim.reportPower(1010)
	expect(t, "throttles", sim.state.Counters.PowerThrottles, 1)
	sim.reportPower(940)
	expect(t, "unthrottles near the cap", sim.state.Counters.Unthrottles, 0)
	sim.reportPower(700)
	expect(t, "unthrottles", sim.state.Counters.Unthrottles, 1)
}

func jobByID(sim *simulation, id string) *Job {
	job, _ := sim.state.job(id)
	return job
}

// Guards against a job that is reported as cancelled while its unresolved start may still
// be running.
func TestCancelOfUnresolvedStart(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	sim.submit(spec("a"))
	for len(sim.starts) == 0 {
		sim.advance(10 * time.Millisecond)
	}
	operation := sim.starts[0].Operation
	sim.scheduled = nil // the response to the start is lost
	delete(sim.tasks, operation)
	sim.operations = nil
	sim.step(StartResult{Operation: operation, Result: CallUnknown})
	sim.cancel("a")
	sim.advance(20 * time.Second)
	expect(t, "before the lease expired", sim.jobState("a"), JobStarting)
	expect(t, "stopped", sim.controls[0].Action, ActionStop)
	sim.advance(20 * time.Second)
	expect(t, "after", sim.jobState("a"), JobCancelled)
	expect(t, "starts", len(sim.starts), 1)
}

// Guards against a tenant that occupies the whole pool because it submitted first.
func TestFairShareBetweenTenants(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	sim.setCondition("orders-w0", ConditionUnavailable)
	for i := range 8 {
		sim.submit(spec(fmt.Sprint("greedy", i), func(s *Spec) { s.Tenant = "greedy" }))
	}
	for i := range 8 {
		sim.submit(spec(fmt.Sprint("late", i), func(s *Spec) { s.Tenant = "late" }))
	}
	sim.setCondition("orders-w0", ConditionAvailable)
	sim.advance(time.Second)
	share := map[string]int{}
	for _, s := range sim.starts {
		share[jobByID(sim, s.Job).Tenant]++
	}
	expect(t, "greedy", share["greedy"], 2)
	expect(t, "late", share["late"], 2)
}

// Guards against reservations by declared size for a family with observations.
func TestReservationFollowsObservation(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	family := func(s *Spec) { s.Family = "ledger" }
	sim.advance(time.Second)
	sim.submit(spec("first", family, cores(8)))
	sim.advance(time.Second)
	expect(t, "bounded declaration", sim.starts[0].Reserved.MilliCores, 4000)
	for range 12 {
		sim.report()
		sim.advance(2 * time.Second)
	}
	expect(t, "first", sim.jobState("first"), JobDone)
	sim.submit(spec("second", family, cores(8)))
	sim.advance(time.Second)
	expect(t, "observed", sim.starts[1].Reserved.MilliCores, 2000)
	sim.takeover(0)
	sim.advance(time.Second)
	explanation, _ := sim.state.Explain("second")
	expect(t, "observed after takeover", explanation.SizeObserved, true)
}

// Guards against several jobs of a family with rack anti-affinity on one rack.
func TestSpreadRacks(t *testing.T) {
	sim := newFaultFreeSimulation(4)
	sim.advance(time.Second)
	for i := range 3 {
		sim.submit(spec(fmt.Sprint("s", i), func(s *Spec) { s.Family, s.SpreadRacks = "f", true }))
	}
	sim.advance(time.Second)
	expect(t, "starts", len(sim.starts), 2)
	expect(t, "reason", jobByID(sim, "s2").Reason, ReasonAntiAffinity)
}

// Guards against unbounded growth of pages by finished jobs that are never removed.
func TestFinishedJobsLeaveTheirPage(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.state.cfg.Retention = DefaultRetention
	sim.advance(time.Second)
	sim.submit(spec("a"))
	sim.cancel("a")
	sim.advance(DefaultRetention + time.Second)
	expect(t, "jobs in the page", len(sim.pages[PageOf("a")].Page.Jobs), 0)
	expect(t, "estimated bytes", sim.state.page(PageOf("a")).estimatedBytes, 0)
}
