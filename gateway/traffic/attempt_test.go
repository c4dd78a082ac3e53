package traffic

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// manyRetries removes the retry budget from a test.
func manyRetries(doc *policy.Document) { doc.Defaults.Pool.RetryBudget = 1 }

func idempotent(s *Submission) { s.Idempotent = true }

// Guards against endings that are classified wrongly when no retry is allowed.
func TestEndingsWithoutRetry(t *testing.T) {
	noRetries := func(doc *policy.Document) { doc.Defaults.Pool.RetryBudget = 0 }
	tests := []struct {
		ending AttemptStatus
		kind   outcome.Kind
		reason outcome.Reason
	}{
		{ResponseReceived, outcome.Completed, ""},
		{StreamStarted, outcome.Completed, ""},
		{RefusedFull, outcome.NotRun, outcome.ReasonRefused},
		{RefusedConnections, outcome.NotRun, outcome.ReasonRefused},
		{RefusedDraining, outcome.NotRun, outcome.ReasonRefused},
		{NotSent, outcome.NotRun, outcome.ReasonUnreachable},
		{ConnectionLost, outcome.Unknown, outcome.ReasonConnectionLost},
		{ResponseTruncated, outcome.Unknown, outcome.ReasonCutShort},
		{ResponseMismatch, outcome.Unknown, outcome.ReasonConnectionLost},
	}
	for _, test := range tests {
		for _, change := range []func(*Submission){nil, idempotent} {
			r := newRig(t, 2, noRetries)
			submission := r.submit(change)
			r.end(0, test.ending)
			r.want(submission, test.kind, test.reason)
		}
	}
}

// Guards against a retry at the target that just failed while another is usable,
// and against a refusal of an idempotent request that hides an earlier
// possible execution.
func TestRetryGoesElsewhereAndRemembersPossibleExecution(t *testing.T) {
	for range 20 {
		r := newRig(t, 2, manyRetries)
		submission := r.submit(idempotent)
		r.end(0, ConnectionLost)
		r.advance(time.Second)
		if len(r.sends) != 2 || r.sends[0].Worker == r.sends[1].Worker {
			t.Fatalf("attempts = %+v", r.sends)
		}
		r.end(1, RefusedFull)
		r.want(submission, outcome.Unknown, outcome.ReasonConnectionLost)
	}
}

// Guards against a retry that is given up because its target is the only one.
func TestRetryUsesTheSameTargetWhenItIsTheOnlyOne(t *testing.T) {
	r := newRig(t, 1, manyRetries)
	submission := r.submit(nil)
	r.end(0, NotSent)
	r.advance(time.Second)
	if len(r.sends) != 2 {
		t.Fatalf("%d attempts, want 2", len(r.sends))
	}
	r.end(1, ResponseReceived)
	r.want(submission, outcome.Completed, "")
}

// Guards against an answer that reaches another request, or a request that was
// answered already.
func TestLateAnswerIsDiscarded(t *testing.T) {
	r := newRig(t, 1, nil)
	late := r.submit(func(s *Submission) { s.Timeout = time.Second })
	r.advance(time.Second)
	r.want(late, outcome.Unknown, outcome.ReasonAnswerTimeout)
	if len(r.aborts) != 1 || r.aborts[0] != r.sends[0].Attempt {
		t.Errorf("aborts = %v", r.aborts)
	}
	next := r.submit(nil)
	r.end(0, StreamStarted)
	r.pending(next)
	if r.discarded != 0 {
		t.Error("an answer without a stream needs no discard")
	}
	r.step(&Finished{Attempt: r.sends[0].Attempt, Status: StreamEnded})
	r.end(0, ResponseReceived) // the row is gone
	r.end(1, ResponseReceived)
	if got := string(r.replies[next.RequestID].Response.Body); got != next.RequestID {
		t.Errorf("answer of %s belongs to %s", next.RequestID, got)
	}
	if len(r.notices) != 1 || r.notices[0].Kind != ResponseDiscarded {
		t.Errorf("notices = %v", r.notices)
	}
}

// Guards against targets that are hidden by an unread stream.
func TestUnreadStreamIsDiscarded(t *testing.T) {
	r := newRig(t, 1, nil)
	r.submit(func(s *Submission) { s.Timeout = time.Second })
	r.advance(time.Second)
	stream := nopCloser{}
	r.step(&Finished{Attempt: r.sends[0].Attempt, Status: StreamStarted, Response: &Response{Stream: stream}})
	if r.discarded != 1 {
		t.Errorf("%d streams were discarded, want 1", r.discarded)
	}
}

type nopCloser struct{}

func (nopCloser) Read([]byte) (int, error) { return 0, nil }
func (nopCloser) Close() error             { return nil }

// Guards against work that goes on for a caller that is gone, and against
// cutting off a request that the target may have acted on.
func TestCallerThatGoesAway(t *testing.T) {
	r := newRig(t, 1, func(doc *policy.Document) {
		doc.Defaults.Pool.SlotsPerTarget, doc.Defaults.Pool.RetryBudget = 2, 1
	})
	repeatable, once := r.submit(idempotent), r.submit(nil)
	queued := r.submit(nil)
	r.step(&Abandoned{Submission: queued})
	r.want(queued, outcome.NotRun, outcome.ReasonCancelledByClient)
	r.step(&Abandoned{Submission: repeatable}, &Abandoned{Submission: once})
	r.want(repeatable, outcome.Unknown, outcome.ReasonCallerGone)
	r.want(once, outcome.Unknown, outcome.ReasonCallerGone)
	if len(r.aborts) != 1 || r.aborts[0] != r.sends[0].Attempt {
		t.Errorf("aborts = %v, want only the idempotent request", r.aborts)
	}
	r.end(1, NotSent)
	r.advance(time.Minute)
	if len(r.sends) != 2 {
		t.Error("a request without a caller was retried")
	}
}

// Guards against requests to a target that is leaving, before and after the
// snapshot knows of it.
func TestDrainingTargetGetsNoRequestUntilItIsBack(t *testing.T) {
	r := newRig(t, 2, nil)
	r.submit(nil)
	leaving := r.sends[0].Worker
	r.end(0, RefusedDraining)
	sendsTo := func() int {
		r.sends = nil
		for range 6 {
			r.submit(nil)
		}
		count := 0
		for i, send := range r.sends {
			if send.Worker == leaving {
				count++
			}
			r.end(i, ResponseReceived)
		}
		return count
	}
	if n := sendsTo(); n != 0 {
		t.Errorf("%d requests after the refusal", n)
	}
	r.publish(func(*Snapshot) {}) // still lists it, from before the refusal
	if n := sendsTo(); n != 0 {
		t.Errorf("%d requests after an older view", n)
	}
	r.publish(func(s *Snapshot) {
		for i := range s.Targets {
			s.Targets[i].ServiceEpoch++
		}
	})
	if n := sendsTo(); n == 0 {
		t.Error("no request after the return")
	}
	r.publish(func(s *Snapshot) { s.Targets = s.Targets[:0] })
	if n := r.state.Targets.Rows.Len(); n != 0 {
		t.Errorf("%d rows of removed targets stay behind", n)
	}
}
