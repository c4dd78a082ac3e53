package traffic

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

func keyed(s *Submission) { s.Key = "order-17" }

// Guards against a second execution with the same key, during and after the first.
func TestRepeatedKeyGetsTheSameAnswer(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.becomeOnlyHome()
	first, second := h.submit(keyed), h.submit(keyed)
	h.pending(second)
	h.end(0, ResponseReceived)
	third := h.submit(keyed)
	for _, submission := range []*Submission{first, second, third} {
		h.wantOutcome(submission, outcome.Completed, "")
		if got := string(h.replies[submission.RequestID].Response.Body); got != first.RequestID {
			t.Errorf("%s received the response of %s", submission.RequestID, got)
		}
	}
	if h.replies[first.RequestID].Replayed || !h.replies[third.RequestID].Replayed || len(h.sends) != 1 {
		t.Errorf("%d attempts were sent, want 1, or the wrong result is marked as replayed", len(h.sends))
	}
	h.wantOutcome(h.submit(func(s *Submission) { keyed(s); s.Tenant = "other" }), outcome.NotRun, outcome.ReasonKeyMismatch)
	h.advance(idempotency.Retention)
	if n := h.state.Records.Len(); n != 0 {
		t.Errorf("%d records were kept beyond the retention", n)
	}
}

// Guards against a key whose request is executed again after a possible execution,
// and against a key that cannot be reused although its request was not executed.
func TestOutcomeOfAKeyDecidesOnItsReuse(t *testing.T) {
	h := newHarness(t, 2, func(doc *policy.Document) { doc.Defaults.Pool.RetryBudget = 0 })
	h.becomeOnlyHome()
	first, waiter := h.submit(keyed), h.submit(keyed)
	h.end(0, NotSent)
	h.wantOutcome(first, outcome.NotRun, outcome.ReasonUnreachable)
	h.wantOutcome(waiter, outcome.NotRun, outcome.ReasonUnreachable)
	again := h.submit(keyed)
	h.end(1, ConnectionLost)
	h.wantOutcome(again, outcome.Unknown, outcome.ReasonConnectionLost)
	h.wantOutcome(h.submit(keyed), outcome.Unknown, outcome.ReasonConnectionLost)
	if len(h.sends) != 2 {
		t.Errorf("%d attempts were sent, want 2", len(h.sends))
	}
}

// Guards against an outcome that is lost because the first caller disconnected.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.becomeOnlyHome()
	first := h.submit(func(s *Submission) { keyed(s); s.Idempotent = true })
	waiter := h.submit(func(s *Submission) { keyed(s); s.Timeout = time.Second })
	h.step(&Abandoned{Submission: first})
	h.wantOutcome(first, outcome.Unknown, outcome.ReasonCallerGone)
	h.advance(time.Second)
	h.wantOutcome(waiter, outcome.Unknown, outcome.ReasonAnswerTimeout)
	h.end(0, ResponseReceived)
	h.wantOutcome(h.submit(keyed), outcome.Completed, "")
	if len(h.sends) != 1 {
		t.Errorf("%d attempts were sent, want 1", len(h.sends))
	}
}

// Guards against a home that sends a queued request after its lease expired, and
// against executing a request again because its response was too large to store.
func TestKeyIsNotSentAfterTheLease(t *testing.T) {
	h := newHarness(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	h.becomeOnlyHome()
	large := h.submit(keyed)
	queued := h.submit(func(s *Submission) { s.Key = "order-18" })
	h.publish(func(s *Snapshot) {
		view := *s.Keys
		view.LeaseUntil = h.now
		s.Keys = &view
	})
	h.step(&Finished{Attempt: h.sends[0].Attempt, Status: StreamStarted, Response: &Response{Stream: nopCloser{}}})
	h.step(&Finished{Attempt: h.sends[0].Attempt, Status: StreamEnded})
	h.wantOutcome(large, outcome.Completed, "")
	h.wantOutcome(queued, outcome.NotRun, outcome.ReasonNoHome)
	h.becomeOnlyHome()
	h.wantOutcome(h.submit(keyed), outcome.Unknown, outcome.ReasonResponseDropped)
	if len(h.sends) != 1 {
		t.Errorf("%d attempts were sent, want 1", len(h.sends))
	}
}
