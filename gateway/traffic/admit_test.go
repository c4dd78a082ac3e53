package traffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

// Guards against sending a request that the gateway must refuse.
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
		h := newHarness(t, test.targets, nil)
		if test.change != nil {
			h.publish(test.change)
		}
		submission := h.submit(test.submit)
		h.wantOutcome(submission, outcome.NotRun, test.reason)
		if len(h.sends) != 0 {
			t.Errorf("%s: request was sent", test.name)
		}
	}
}

// Guards against queued requests that are sent after the fleet view has become
// stale, or that are refused only at their deadline.
func TestWaitingRequestsAreRefusedWhenTheViewBecomesStale(t *testing.T) {
	h := newHarness(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	h.publish(func(s *Snapshot) { s.FreshUntil = h.now.Add(time.Second) })
	h.submit(nil)
	queued := h.submit(nil)
	long := h.submit(func(s *Submission) { s.Class = routing.Long })
	h.advance(time.Second)
	h.wantOutcome(queued, outcome.NotRun, outcome.ReasonIsolated)
	h.wantOutcome(long, outcome.NotRun, outcome.ReasonIsolated)
	h.end(0, ResponseReceived)
	if len(h.sends) != 1 {
		t.Errorf("%d requests were sent with a stale view", len(h.sends)-1)
	}
}

// Guards against a tenant that exceeds its rate or its concurrency, and against
// quota that is not released.
func TestTenantQuotas(t *testing.T) {
	h := newHarness(t, 4, func(doc *policy.Document) {
		doc.Defaults.Tenant.RequestsPerSecond, doc.Defaults.Tenant.Burst, doc.Defaults.Tenant.Concurrency = 2, 4, 3
	})
	for range 3 {
		h.submit(nil)
	}
	h.wantOutcome(h.submit(nil), outcome.NotRun, outcome.ReasonQuota) // concurrency
	h.end(0, ResponseReceived)
	h.pending(h.submit(nil))
	h.end(1, ResponseReceived)
	h.wantOutcome(h.submit(nil), outcome.NotRun, outcome.ReasonQuota) // rate
	h.pending(h.submit(func(s *Submission) { s.Tenant = "other" }))
	h.advance(500 * time.Millisecond)
	h.pending(h.submit(nil))
	for i := range h.sends {
		h.end(i, ResponseReceived)
	}
	h.advance(time.Minute)
	if n := h.state.Tenants.Len(); n != 0 {
		t.Errorf("%d rows of idle tenants were not removed", n)
	}
}

// Guards against a full urgent queue that refuses new requests and keeps old ones
// that will miss their deadline.
func TestFullUrgentQueueDisplacesTheOldest(t *testing.T) {
	h := newHarness(t, 1, func(doc *policy.Document) {
		doc.Defaults.Pool.SlotsPerTarget, doc.Defaults.Pool.QueueLimit = 1, 2
	})
	urgent := func(s *Submission) { s.Class = routing.Urgent }
	h.submit(urgent)
	oldest, second, newest := h.submit(urgent), h.submit(urgent), h.submit(urgent)
	h.wantOutcome(oldest, outcome.NotRun, outcome.ReasonShed)
	h.pending(second)
	h.pending(newest)
	h.submit(nil)
	h.submit(nil)
	h.wantOutcome(h.submit(nil), outcome.NotRun, outcome.ReasonQueueFull)
}

// Guards against queueing a request that cannot meet its deadline, and against a
// service time estimate that never recovers and refuses all requests.
func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	h.submit(nil)
	h.now = h.now.Add(time.Second)
	h.end(0, ResponseReceived)
	short := func(s *Submission) { s.Timeout = 500 * time.Millisecond }
	h.wantOutcome(h.submit(short), outcome.NotRun, outcome.ReasonDeadline)
	for range 3 {
		h.pending(h.submit(nil))
	}
	h.wantOutcome(h.submit(func(s *Submission) { s.Timeout = 2500 * time.Millisecond }), outcome.NotRun, outcome.ReasonDeadline)
	h.advance(11 * time.Second)
	h.pending(h.submit(short))
}

// Guards against sending a request whose deadline passes before the fastest
// response, which would make its outcome unknown.
func TestRequestIsNotSentTooLate(t *testing.T) {
	h := newHarness(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	h.submit(nil)
	h.now = h.now.Add(time.Second)
	h.end(0, ResponseReceived)
	h.submit(nil)
	late := h.submit(func(s *Submission) { s.Timeout = 2500 * time.Millisecond })
	h.now = h.now.Add(2 * time.Second)
	h.end(1, ResponseReceived)
	h.wantOutcome(late, outcome.NotRun, outcome.ReasonDeadline)
}

// Guards against long requests that occupy all slots at low load, so that urgent
// requests cannot start for minutes.
func TestLongWorkLeavesSlotsForOthers(t *testing.T) {
	h := newHarness(t, 1, nil)
	for range 20 {
		h.submit(func(s *Submission) { s.Class = routing.Long })
	}
	if n := len(h.sends); n != 4 {
		t.Errorf("%d of 8 slots are occupied by long requests, want 4", n)
	}
	h.submit(func(s *Submission) { s.Class = routing.Urgent })
	if n := len(h.sends); n != 5 {
		t.Error("urgent request was not sent")
	}
}

// Guards against a default timeout that ignores the class.
func TestDefaultDeadlineFollowsTheClass(t *testing.T) {
	h := newHarness(t, 1, nil)
	for class, want := range []time.Duration{2200 * time.Millisecond, 10 * time.Second, 600 * time.Second} {
		h.submit(func(s *Submission) { s.Class = routing.Class(class) })
		if got := h.sends[class].Remaining; got != want {
			t.Errorf("%v: deadline in %v, want %v", routing.Class(class), got, want)
		}
	}
}

// Guards against demand and draining refusals that are not reported to control, and
// against a report for every change of demand.
func TestDemandAndDrainingAreReported(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.advance(time.Second)
	h.reports = nil
	for range 5 {
		h.submit(nil)
	}
	h.advance(time.Second)
	got := fmt.Sprint(h.reports)
	if want := "[{[{orders 1}] []} {[{orders 5}] []}]"; got != want {
		t.Errorf("reports = %s, want %s", got, want)
	}
	h.reports = nil
	h.end(0, RefusedDraining)
	if len(h.reports) != 1 || len(h.reports[0].Draining) != 1 || h.reports[0].Draining[0] != h.sends[0].Worker {
		t.Errorf("reports after a refusal = %+v", h.reports)
	}
}
