package traffic

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

func keyed(s *Submission) { s.Key = "order-17" }

// Guards against a second execution under one key, during and after the first.
func TestRepeatedKeyGetsTheSameAnswer(t *testing.T) {
	r := newRig(t, 2, nil)
	r.soleHome()
	first, second := r.submit(keyed), r.submit(keyed)
	r.pending(second)
	r.end(0, ResponseReceived)
	third := r.submit(keyed)
	for _, submission := range []*Submission{first, second, third} {
		r.want(submission, outcome.Completed, "")
		if got := string(r.replies[submission.RequestID].Response.Body); got != first.RequestID {
			t.Errorf("%s got the answer of %s", submission.RequestID, got)
		}
	}
	if r.replies[first.RequestID].Replayed || !r.replies[third.RequestID].Replayed || len(r.sends) != 1 {
		t.Errorf("%d sends", len(r.sends))
	}
	r.want(r.submit(func(s *Submission) { keyed(s); s.Tenant = "other" }), outcome.NotRun, outcome.ReasonKeyMismatch)
	r.advance(idempotency.Retention)
	if n := r.state.Records.Len(); n != 0 {
		t.Errorf("%d records after the retention", n)
	}
}

// Guards against a key that runs again after a possible execution, and against
// a key that is blocked although its request was not run.
func TestOutcomeOfAKeyDecidesOnItsReuse(t *testing.T) {
	r := newRig(t, 2, func(doc *policy.Document) { doc.Defaults.Pool.RetryBudget = 0 })
	r.soleHome()
	first, waiter := r.submit(keyed), r.submit(keyed)
	r.end(0, NotSent)
	r.want(first, outcome.NotRun, outcome.ReasonUnreachable)
	r.want(waiter, outcome.NotRun, outcome.ReasonUnreachable)
	again := r.submit(keyed)
	r.end(1, ConnectionLost)
	r.want(again, outcome.Unknown, outcome.ReasonConnectionLost)
	r.want(r.submit(keyed), outcome.Unknown, outcome.ReasonConnectionLost)
	if len(r.sends) != 2 {
		t.Errorf("%d sends, want 2", len(r.sends))
	}
}

// Guards against an outcome that is lost because the first caller went away.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	r := newRig(t, 2, nil)
	r.soleHome()
	first := r.submit(func(s *Submission) { keyed(s); s.Idempotent = true })
	waiter := r.submit(func(s *Submission) { keyed(s); s.Timeout = time.Second })
	r.step(&Abandoned{Submission: first})
	r.want(first, outcome.Unknown, outcome.ReasonCallerGone)
	r.advance(time.Second)
	r.want(waiter, outcome.Unknown, outcome.ReasonAnswerTimeout)
	r.end(0, ResponseReceived)
	r.want(r.submit(keyed), outcome.Completed, "")
	if len(r.sends) != 1 {
		t.Errorf("%d sends, want 1", len(r.sends))
	}
}

// Guards against a home that sends a waiting request after its lease lapsed, and
// against a large answer that cannot be repeated being run again.
func TestKeyIsNotSentAfterTheLease(t *testing.T) {
	r := newRig(t, 1, func(doc *policy.Document) { doc.Defaults.Pool.SlotsPerTarget = 1 })
	r.soleHome()
	large := r.submit(keyed)
	queued := r.submit(func(s *Submission) { s.Key = "order-18" })
	r.publish(func(s *Snapshot) {
		view := *s.Keys
		view.LeaseUntil = r.now
		s.Keys = &view
	})
	r.step(&Finished{Attempt: r.sends[0].Attempt, Status: StreamStarted, Response: &Response{Stream: nopCloser{}}})
	r.step(&Finished{Attempt: r.sends[0].Attempt, Status: StreamEnded})
	r.want(large, outcome.Completed, "")
	r.want(queued, outcome.NotRun, outcome.ReasonNoHome)
	r.soleHome()
	r.want(r.submit(keyed), outcome.Unknown, outcome.ReasonAnswerDropped)
	if len(r.sends) != 1 {
		t.Errorf("%d sends, want 1", len(r.sends))
	}
}
