package traffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

// Guards against requests that are run although this gateway must refuse them.
func TestRequestsAreRefusedAsNotRun(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		change  func(*Snapshot)
		submit  func(*Submission)
		reason  outcome.Reason
	}{
		{"undeclared pool", 1, nil, func(s *Submission) { s.Pool = "none" }, outcome.ReasonUnknownPool},
		{"no target", 0, nil, nil, outcome.ReasonNoTarget},
		{"no usable target", 1, func(s *Snapshot) { s.Targets[0].Usable = false }, nil, outcome.ReasonNoTarget},
		{"stale fleet view", 1, func(s *Snapshot) { s.FreshUntil = s.FreshUntil.Add(-time.Hour) }, nil, outcome.ReasonIsolated},
		{"key without a list of homes", 1, nil, func(s *Submission) { s.Key = "k" }, outcome.ReasonNoHome},
	}
	for _, test := range tests {
		r := newRig(t, test.targets, nil)
		if test.change != nil {
			r.publish(test.change)
		}
		submission := r.submit(test.submit)
		r.want(submission, outcome.NotRun, test.reason)
		if len(r.sends) != 0 {
			t.Errorf("%s: request was sent", test.name)
		}
	}
}

// Guards against waiting requests that are sent after the fleet view has become
// stale, or that are told so only at their deadline.
func TestWaitingRequestsAreRefusedWhenTheViewBecomesStale(t *testing.T) {
	r := newRig(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	r.publish(func(s *Snapshot) { s.FreshUntil = r.now.Add(time.Second) })
	r.submit(nil)
	queued := r.submit(nil)
	long := r.submit(func(s *Submission) { s.Class = routing.Long })
	r.advance(time.Second)
	r.want(queued, outcome.NotRun, outcome.ReasonIsolated)
	r.want(long, outcome.NotRun, outcome.ReasonIsolated)
	r.end(0, ResponseReceived)
	if len(r.sends) != 1 {
		t.Errorf("%d requests were sent with a stale view", len(r.sends)-1)
	}
}

// Guards against a tenant that exceeds its rate or its concurrency, and against
// quota that is not returned.
func TestTenantQuotas(t *testing.T) {
	r := newRig(t, 4, func(doc *policy.Document) {
		doc.Defaults.Tenant.RequestsPerSecond, doc.Defaults.Tenant.Burst, doc.Defaults.Tenant.Concurrency = 2, 4, 3
	})
	for range 3 {
		r.submit(nil)
	}
	r.want(r.submit(nil), outcome.NotRun, outcome.ReasonQuota) // concurrency
	r.end(0, ResponseReceived)
	r.pending(r.submit(nil))
	r.end(1, ResponseReceived)
	r.want(r.submit(nil), outcome.NotRun, outcome.ReasonQuota) // rate
	r.pending(r.submit(func(s *Submission) { s.Tenant = "other" }))
	r.advance(500 * time.Millisecond)
	r.pending(r.submit(nil))
	for i := range r.sends {
		r.end(i, ResponseReceived)
	}
	r.advance(time.Minute)
	if n := r.state.Tenants.Len(); n != 0 {
		t.Errorf("%d rows of idle tenants stay behind", n)
	}
}

// Guards against an urgent queue that keeps requests which will miss their
// deadline and refuses new ones.
func TestFullUrgentQueueDisplacesTheOldest(t *testing.T) {
	r := newRig(t, 1, func(doc *policy.Document) {
		doc.Defaults.Pool.SlotsPerTarget, doc.Defaults.Pool.QueueLimit = 1, 2
	})
	urgent := func(s *Submission) { s.Class = routing.Urgent }
	r.submit(urgent)
	oldest, second, newest := r.submit(urgent), r.submit(urgent), r.submit(urgent)
	r.want(oldest, outcome.NotRun, outcome.ReasonShed)
	r.pending(second)
	r.pending(newest)
	r.submit(nil)
	r.submit(nil)
	r.want(r.submit(nil), outcome.NotRun, outcome.ReasonQueueFull)
}

// Guards against requests that wait in a queue which they cannot leave in time,
// and against an estimate that refuses everything for ever.
func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	r.submit(nil)
	r.now = r.now.Add(time.Second)
	r.end(0, ResponseReceived)
	short := func(s *Submission) { s.Timeout = 500 * time.Millisecond }
	r.want(r.submit(short), outcome.NotRun, outcome.ReasonDeadline)
	for range 3 {
		r.pending(r.submit(nil))
	}
	r.want(r.submit(func(s *Submission) { s.Timeout = 2500 * time.Millisecond }), outcome.NotRun, outcome.ReasonDeadline)
	r.advance(11 * time.Second)
	r.pending(r.submit(short))
}

// Guards against a request that is sent although its deadline passes before the
// fastest answer, which would make its outcome unknown.
func TestRequestIsNotSentTooLate(t *testing.T) {
	r := newRig(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	r.submit(nil)
	r.now = r.now.Add(time.Second)
	r.end(0, ResponseReceived)
	r.submit(nil)
	late := r.submit(func(s *Submission) { s.Timeout = 2500 * time.Millisecond })
	r.now = r.now.Add(2 * time.Second)
	r.end(1, ResponseReceived)
	r.want(late, outcome.NotRun, outcome.ReasonDeadline)
}

// Guards against long work that fills all slots in quiet times, so that urgent
// work cannot start for minutes.
func TestLongWorkLeavesSlotsForOthers(t *testing.T) {
	r := newRig(t, 1, nil)
	for range 20 {
		r.submit(func(s *Submission) { s.Class = routing.Long })
	}
	if n := len(r.sends); n != 4 {
		t.Errorf("%d of 8 slots hold long work", n)
	}
	r.submit(func(s *Submission) { s.Class = routing.Urgent })
	if n := len(r.sends); n != 5 {
		t.Error("urgent request does not start")
	}
}

// Guards against default deadlines that ignore the class.
func TestDefaultDeadlineFollowsTheClass(t *testing.T) {
	r := newRig(t, 1, nil)
	for class, want := range []time.Duration{2200 * time.Millisecond, 10 * time.Second, 600 * time.Second} {
		r.submit(func(s *Submission) { s.Class = routing.Class(class) })
		if got := r.sends[class].Remaining; got != want {
			t.Errorf("%v: deadline in %v, want %v", routing.Class(class), got, want)
		}
	}
}

// Guards against control that learns nothing or is flooded.
func TestDemandAndDrainingAreReported(t *testing.T) {
	r := newRig(t, 2, nil)
	r.advance(time.Second)
	r.reports = nil
	for range 5 {
		r.submit(nil)
	}
	r.advance(time.Second)
	got := fmt.Sprint(r.reports)
	if want := "[{[{orders 1}] []} {[{orders 5}] []}]"; got != want {
		t.Errorf("reports = %s, want %s", got, want)
	}
	r.reports = nil
	r.end(0, RefusedDraining)
	if len(r.reports) != 1 || len(r.reports[0].Draining) != 1 || r.reports[0].Draining[0] != r.sends[0].Worker {
		t.Errorf("reports after a refusal = %+v", r.reports)
	}
}
