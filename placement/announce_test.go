package placement

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/policy"
)

// announced returns the kinds of change that the world saw for the job, in order.
func (w *world) announced(job string) []NotificationKind {
	var kinds []NotificationKind
	for _, change := range w.changes {
		if change.Job.ID == job {
			kinds = append(kinds, change.Kind)
		}
	}
	return kinds
}

func (w *world) expectAnnounced(t *testing.T, job string, want ...NotificationKind) {
	t.Helper()
	got := w.announced(job)
	if len(got) != len(want) {
		t.Fatalf("changes of %s: %v, want %v", job, got, want)
	}
	for i := range want {
		expect(t, "change of "+job, got[i], want[i])
	}
}

// Guards against jobs that end, become unknown or are parked without a word to
// the operators, and against a second announcement by a new controller.
func TestStateChangesAreAnnouncedOnce(t *testing.T) {
	w := quietWorld(2)
	w.advance(time.Second)
	w.submit(spec("zone", func(s *Spec) { s.AvailabilityZone = "b" }, cores(8)))
	w.advance(time.Second)
	for _, id := range []string{"done", "fails", "cancelled"} {
		w.submit(spec(id, cores(1)))
	}
	w.submit(spec("lost", cores(1)))
	w.advance(time.Second)
	for _, task := range w.tasks {
		switch task.job {
		case "done":
			task.status = TaskDone
		case "fails":
			task.status = TaskFailed
		}
	}
	w.report()
	w.step(CancelRequested{Job: "cancelled"})
	w.advance(5 * time.Second)
	w.setCondition("orders-w0", ConditionLost)
	w.advance(time.Second)
	check := func() {
		t.Helper()
		w.expectAnnounced(t, "done", NotifyFinished)
		w.expectAnnounced(t, "fails", NotifyFailed)
		w.expectAnnounced(t, "cancelled", NotifyFinished)
		w.expectAnnounced(t, "lost", NotifyUnknown)
	}
	check()
	for _, change := range w.changes {
		if change.Job.ID == "lost" {
			expect(t, "worker of the unknown job", change.Job.Worker, "orders-w0")
		}
	}
	w.advance(5 * time.Second)
	w.takeover(0)
	w.advance(time.Second)
	check()
}

// Guards against a pool that shrinks below a job without a parked event.
func TestParkedJobIsAnnounced(t *testing.T) {
	w := quietWorld(2)
	w.advance(time.Second)
	w.setCondition("orders-w1", ConditionDraining)
	w.submit(spec("zone", func(s *Spec) { s.AvailabilityZone = "b" }))
	w.advance(time.Second)
	w.step(FleetChanged{Workers: w.workers[:1], Complete: true})
	w.expectAnnounced(t, "zone", NotifyParked)
	expect(t, "reason", w.changes[len(w.changes)-1].Job.Reason, ReasonNoWorkerInZone)
}

// Guards against preempted work whose owner finds no trace of the reason.
func TestPreemptionIsAnnounced(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	w.submit(spec("filler", long, cores(4)))
	w.submit(spec("filler2", long, cores(4)))
	w.advance(time.Second)
	w.submit(spec("now", urgent, cores(3)))
	w.advance(urgentLimit)
	w.expectAnnounced(t, "filler", NotifyPreempted)
	expect(t, "for", w.changes[0].UrgentID, "now")
	expect(t, "action", w.changes[0].Action, ActionThrottle)
}

// Guards against a worker that fails everything and stays in service because of
// the quarantine cap, without a word to the operators.
func TestCappedQuarantineIsAnnounced(t *testing.T) {
	w := quietWorld(4) // a cap of 0.2 allows no quarantine
	x := w.state.worker("orders-w0")
	for _, id := range []string{"a", "b", "c"} {
		w.state.recordFailure(&Job{Spec: spec(id)}, x, w.now)
	}
	w.step()
	if len(w.changes) != 1 || w.changes[0].Kind != NotifyQuarantineCapped || w.changes[0].Worker != "orders-w0" {
		t.Errorf("announced %+v", w.changes)
	}
}

// Guards against throttles for the power cap that operators do not learn of.
func TestPowerShedIsAnnounced(t *testing.T) {
	w := quietWorld(1, func(d *policy.Document) { d.Site.PowerCapWatts = 1000 })
	w.advance(time.Second)
	w.submit(spec("long", long, idempotent))
	w.reportPower(500)
	w.reportPower(1010)
	var shed []Notification
	for _, change := range w.changes {
		if change.Kind == NotifyPowerShed {
			shed = append(shed, change)
		}
	}
	if len(shed) == 0 || shed[0].Throttled != 1 || shed[0].CapWatts != 1000 {
		t.Errorf("announced %+v", shed)
	}
}
