package placement

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/policy"
)

// notificationKinds returns the kinds of the notifications about the job, in order.
func (sim *simulation) notificationKinds(job string) []NotificationKind {
	var kinds []NotificationKind
	for _, notification := range sim.notifications {
		if notification.Job.ID == job {
			kinds = append(kinds, notification.Kind)
		}
	}
	return kinds
}

func (sim *simulation) expectNotifications(t *testing.T, job string, want ...NotificationKind) {
	t.Helper()
	got := sim.notificationKinds(job)
	if len(got) != len(want) {
		t.Fatalf("notifications of %s = %v, want %v", job, got, want)
	}
	for i := range want {
		expect(t, "notification of "+job, got[i], want[i])
	}
}

// Guards against finished and unknown jobs that are not reported to operators, and
// against a second report of them by a new controller after a takeover.
func TestStateChangesAreAnnouncedOnce(t *testing.T) {
	sim := newFaultFreeSimulation(2)
	sim.advance(time.Second)
	sim.submit(spec("zone", func(s *Spec) { s.AvailabilityZone = "b" }, cores(8)))
	sim.advance(time.Second)
	for _, id := range []string{"done", "fails", "cancelled"} {
		sim.submit(spec(id, cores(1)))
	}
	sim.submit(spec("lost", cores(1)))
	sim.advance(time.Second)
	for _, task := range sim.tasks {
		switch task.job {
		case "done":
			task.status = TaskDone
		case "fails":
			task.status = TaskFailed
		}
	}
	sim.report()
	sim.step(CancelRequested{Job: "cancelled"})
	sim.advance(5 * time.Second)
	sim.setCondition("orders-w0", ConditionLost)
	sim.advance(time.Second)
	check := func() {
		t.Helper()
		sim.expectNotifications(t, "done", NotifyFinished)
		sim.expectNotifications(t, "fails", NotifyFailed)
		sim.expectNotifications(t, "cancelled", NotifyFinished)
		sim.expectNotifications(t, "lost", NotifyUnknown)
	}
	check()
	for _, notification := range sim.notifications {
		if notification.Job.ID == "lost" {
			expect(t, "worker of the unknown job", notification.Job.Worker, "orders-w0")
		}
	}
	sim.advance(5 * time.Second)
	sim.takeover(0)
	sim.advance(time.Second)
	check()
}

// Guards against a job that is parked without a notification, because the last worker
// that could run it left the fleet.
func TestParkedJobIsAnnounced(t *testing.T) {
	sim := newFaultFreeSimulation(2)
	sim.advance(time.Second)
	sim.setCondition("orders-w1", ConditionDraining)
	sim.submit(spec("zone", func(s *Spec) { s.AvailabilityZone = "b" }))
	sim.advance(time.Second)
	sim.step(FleetChanged{Workers: sim.workers[:1], Complete: true})
	sim.expectNotifications(t, "zone", NotifyParked)
	expect(t, "reason", sim.notifications[len(sim.notifications)-1].Job.Reason, ReasonNoWorkerInZone)
}

// Guards against a preemption that is not reported together with its reason.
func TestPreemptionIsAnnounced(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	sim.submit(spec("filler", long, cores(4)))
	sim.submit(spec("filler2", long, cores(4)))
	sim.advance(time.Second)
	sim.submit(spec("now", urgent, cores(3)))
	sim.advance(urgentLimit)
	sim.expectNotifications(t, "filler", NotifyPreempted)
	expect(t, "for", sim.notifications[0].UrgentID, "now")
	expect(t, "action", sim.notifications[0].Action, ActionThrottle)
}

// Guards against an unreported quarantine decision: a faulty worker stays in service
// because of the quarantine cap.
func TestCappedQuarantineIsAnnounced(t *testing.T) {
	sim := newFaultFreeSimulation(4) // a cap of 0.2 allows no quarantine
	worker := sim.state.worker("orders-w0")
	for _, id := range []string{"a", "b", "c"} {
		sim.state.recordFailure(&Job{Spec: spec(id)}, worker, sim.now)
	}
	sim.step()
	if len(sim.notifications) != 1 || sim.notifications[0].Kind != NotifyQuarantineCapped || sim.notifications[0].Worker != "orders-w0" {
		t.Errorf("notifications = %+v", sim.notifications)
	}
}

// Guards against throttles for the power cap that are not reported.
func TestPowerShedIsAnnounced(t *testing.T) {
	sim := newFaultFreeSimulation(1, func(d *policy.Document) { d.Site.PowerCapWatts = 1000 })
	sim.advance(time.Second)
	sim.submit(spec("long", long, idempotent))
	sim.reportPower(500)
	sim.reportPower(1010)
	var shed []Notification
	for _, notification := range sim.notifications {
		if notification.Kind == NotifyPowerShed {
			shed = append(shed, notification)
		}
	}
	if len(shed) == 0 || shed[0].Throttled != 1 || shed[0].CapWatts != 1000 {
		t.Errorf("notifications = %+v", shed)
	}
}
