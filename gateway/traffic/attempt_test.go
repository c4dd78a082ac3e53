package traffic

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// manyRetries sets a retry budget that a test cannot exhaust.
func manyRetries(doc *policy.Document) { doc.Defaults.Pool.RetryBudget = 1 }

func idempotent(s *Submission) { s.Idempotent = true }

// Guards against an attempt status that is mapped to the wrong outcome when no
// retry is allowed.
func TestEndingsWithoutRetry(t *testing.T) {
	noRetries := func(doc *policy.Document) { doc.Defaults.Pool.RetryBudget = 0 }
	tests := []struct {
		status AttemptStatus
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
			h := newHarness(t, 2, noRetries)
			submission := h.submit(change)
			h.end(0, test.status)
			h.wantOutcome(submission, test.kind, test.reason)
		}
	}
}

// Guards against a retry at the target that just failed while another is usable,
// and against a refusal that hides an earlier possible execution of an idempotent
// request.
func TestRetryGoesElsewhereAndRemembersPossibleExecution(t *testing.T) {
	for range 20 {
		h := newHarness(t, 2, manyRetries)
		submission := h.submit(idempotent)
		h.end(0, ConnectionLost)
		h.advance(time.Second)
		if len(h.sends) != 2 || h.sends[0].Worker == h.sends[1].Worker {
			t.Fatalf("attempts = %+v", h.sends)
		}
		h.end(1, RefusedFull)
		h.wantOutcome(submission, outcome.Unknown, outcome.ReasonConnectionLost)
	}
}

// Guards against a request that is not retried because the target that failed is
// the only one.
func TestRetryUsesTheSameTargetWhenItIsTheOnlyOne(t *testing.T) {
	h := newHarness(t, 1, manyRetries)
	submission := h.submit(nil)
	h.end(0, NotSent)
	h.advance(time.Second)
	if len(h.sends) != 2 {
		t.Fatalf("%d attempts, want 2", len(h.sends))
	}
	h.end(1, ResponseReceived)
	h.wantOutcome(submission, outcome.Completed, "")
}

// Guards against a response that is delivered to another request, or to a request
// that already has a result.
func TestLateAnswerIsDiscarded(t *testing.T) {
	h := newHarness(t, 1, nil)
	late := h.submit(func(s *Submission) { s.Timeout = time.Second })
	h.advance(time.Second)
	h.wantOutcome(late, outcome.Unknown, outcome.ReasonAnswerTimeout)
	if len(h.aborts) != 1 || h.aborts[0] != h.sends[0].Attempt {
		t.Errorf("aborts = %v", h.aborts)
	}
	next := h.submit(nil)
	h.end(0, StreamStarted)
	h.pending(next)
	if h.discarded != 0 {
		t.Error("a response without a stream was discarded")
	}
	h.step(&Finished{Attempt: h.sends[0].Attempt, Status: StreamEnded})
	h.end(0, ResponseReceived) // the row no longer exists
	h.end(1, ResponseReceived)
	if got := string(h.replies[next.RequestID].Response.Body); got != next.RequestID {
		t.Errorf("%s received the response of %s", next.RequestID, got)
	}
	if len(h.notices) != 1 || h.notices[0].Kind != ResponseDiscarded {
		t.Errorf("notices = %v", h.notices)
	}
}

// Guards against the stream of a late response that is never closed, which would
// keep its attempt in flight at the target.
func TestUnreadStreamIsDiscarded(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.submit(func(s *Submission) { s.Timeout = time.Second })
	h.advance(time.Second)
	stream := nopCloser{}
	h.step(&Finished{Attempt: h.sends[0].Attempt, Status: StreamStarted, Response: &Response{Stream: stream}})
	if h.discarded != 1 {
		t.Errorf("%d streams were discarded, want 1", h.discarded)
	}
}

type nopCloser struct{}

func (nopCloser) Read([]byte) (int, error) { return 0, nil }
func (nopCloser) Close() error             { return nil }

// Guards against work that continues after its caller disconnected, and against
// aborting a request that the target may have acted on.
func TestCallerThatGoesAway(t *testing.T) {
	h := newHarness(t, 1, func(doc *policy.Document) {
		doc.Defaults.Pool.SlotsPerTarget, doc.Defaults.Pool.RetryBudget = 2, 1
	})
	repeatable, nonIdempotent := h.submit(idempotent), h.submit(nil)
	queued := h.submit(nil)
	h.step(&Abandoned{Submission: queued})
	h.wantOutcome(queued, outcome.NotRun, outcome.ReasonCancelledByClient)
	h.step(&Abandoned{Submission: repeatable}, &Abandoned{Submission: nonIdempotent})
	h.wantOutcome(repeatable, outcome.Unknown, outcome.ReasonCallerGone)
	h.wantOutcome(nonIdempotent, outcome.Unknown, outcome.ReasonCallerGone)
	if len(h.aborts) != 1 || h.aborts[0] != h.sends[0].Attempt {
		t.Errorf("aborts = %v, want only the idempotent request", h.aborts)
	}
	h.end(1, NotSent)
	h.advance(time.Minute)
	if len(h.sends) != 2 {
		t.Error("a request whose caller disconnected was retried")
	}
}

// Guards against requests to a draining target, both before and after the snapshot
// reports that it is draining.
func TestDrainingTargetGetsNoRequestUntilItIsBack(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.submit(nil)
	draining := h.sends[0].Worker
	h.end(0, RefusedDraining)
	sendsTo := func() int {
		h.sends = nil
		for range 6 {
			h.submit(nil)
		}
		count := 0
		for i, send := range h.sends {
			if send.Worker == draining {
				count++
			}
			h.end(i, ResponseReceived)
		}
		return count
	}
	if n := sendsTo(); n != 0 {
		t.Errorf("%d requests after the refusal", n)
	}
	h.publish(func(*Snapshot) {}) // was created before the refusal and still lists the target
	if n := sendsTo(); n != 0 {
		t.Errorf("%d requests after a snapshot older than the refusal", n)
	}
	h.publish(func(s *Snapshot) {
		for i := range s.Targets {
			s.Targets[i].ServiceEpoch++
		}
	})
	if n := sendsTo(); n == 0 {
		t.Error("no request after the target returned to service")
	}
	h.publish(func(s *Snapshot) { s.Targets = s.Targets[:0] })
	if n := h.state.Targets.Rows.Len(); n != 0 {
		t.Errorf("%d rows of removed targets were not deleted", n)
	}
}
