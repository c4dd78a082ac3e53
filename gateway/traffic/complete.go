package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// serverError is the least status that counts as a failure of the target.
const serverError = 500

// completeAttempts handles the attempts that ended. An ending whose attempt or
// request is gone is late; its answer is discarded.
func completeAttempts(s *State, tick engine.Tick) {
	for i, finished := range s.finished {
		s.complete(tick, finished)
		s.finished[i] = nil
	}
	s.finished = s.finished[:0]
}

func (s *State) complete(tick engine.Tick, finished *Finished) {
	attempt := s.Attempts.Get(finished.Attempt)
	if attempt == nil {
		s.discard(finished.Response)
		return
	}
	requestID, sentAt, target := attempt.Request, attempt.SentAt, attempt.Choice.Target
	request := s.Requests.Get(requestID)
	if request == nil && !attempt.streaming {
		s.notices.Add(LogEntry{Kind: ResponseDiscarded, Worker: attempt.Worker})
		s.discard(finished.Response)
	}
	attempt.streaming = finished.Status == StreamStarted
	if !attempt.streaming {
		s.endAttempt(tick, finished, attempt)
	}
	if request != nil {
		request.exclude = target
		s.conclude(tick, requestID, request, finished, tick.Now.Sub(sentAt))
	}
}

// endAttempt removes the row of an attempt and tells its target's row about it.
func (s *State) endAttempt(tick engine.Tick, finished *Finished, attempt *Attempt) {
	pool := s.Pools.Get(attempt.Pool)
	pool.running[attempt.Class]--
	verdict := attempt.verdict
	if verdict == 0 {
		verdict = verdictOf(finished)
	}
	if verdict == routing.AttemptRefusedDraining {
		s.draining = append(s.draining, attempt.Worker)
		s.notices.Add(LogEntry{Kind: TargetDraining, Worker: attempt.Worker})
	}
	wasEjected, wasReadmitted := pool.Targets.EndAttempt(&s.Targets, routing.AttemptEnd{
		Result: verdict, Choice: attempt.Choice, ServiceTime: pool.service[attempt.Class].Mean(tick.Now),
	}, tick.Now)
	if wasEjected {
		s.notices.Add(LogEntry{Kind: TargetEjected, Worker: attempt.Worker})
	}
	if wasReadmitted {
		s.notices.Add(LogEntry{Kind: TargetReadmitted, Worker: attempt.Worker})
	}
	targetID := attempt.Choice.Target
	if target := s.Targets.Rows.Get(targetID); target.ListedVersion != s.snapshot.Version && target.InFlight == 0 && !target.Usable {
		s.unlist(targetID, target, tick.Now)
	}
	s.touch(attempt.Pool)
	s.Attempts.Delete(finished.Attempt)
}

func verdictOf(finished *Finished) routing.AttemptResult {
	switch finished.Status {
	case ResponseReceived:
		if finished.Response.StatusCode >= serverError {
			return routing.AttemptFailed
		}
		return routing.AttemptSucceeded
	case StreamStarted, StreamEnded:
		return routing.AttemptSucceeded
	case RefusedFull, RefusedConnections:
		return routing.AttemptRefusedFull
	case RefusedDraining:
		return routing.AttemptRefusedDraining
	case NotSent, ConnectionLost, ResponseTruncated, ResponseMismatch:
		return routing.AttemptFailed
	default:
		return routing.AttemptAbandoned
	}
}

// conclude answers the request of an attempt that ended, or retries it.
func (s *State) conclude(tick engine.Tick, id table.ID, request *Request, finished *Finished, took time.Duration) {
	pool := s.Pools.Get(request.Pool)
	switch finished.Status {
	case ResponseReceived, StreamStarted:
		if finished.Response.StatusCode < serverError {
			pool.service[request.Class].Observe(tick.Now, took)
		}
		s.finish(tick, id, request, Result{Outcome: outcome.Complete(), Response: finished.Response})
		return
	case RefusedFull, RefusedConnections, RefusedDraining:
		request.notRun = outcome.ReasonRefused
	case NotSent:
		request.notRun = outcome.ReasonUnreachable
	case ResponseTruncated:
		request.maybeRun = outcome.ReasonCutShort
	case ConnectionLost, ResponseMismatch, StreamEnded:
		request.maybeRun = outcome.ReasonConnectionLost
	}
	s.retryOrEnd(tick, id, request, pool)
}

// retryOrEnd retries a request that is idempotent or provably was not run, as
// far as the budget and the deadline allow.
func (s *State) retryOrEnd(tick engine.Tick, id table.ID, request *Request, pool *Pool) {
	bound := routing.MaxRetryDelay(request.sends)
	repeatable := request.maybeRun == outcome.ReasonNone || request.Submission.Idempotent
	wanted := !request.detached || request.record != 0
	inTime := tick.Now.Add(bound).Before(request.Deadline)
	if !repeatable || !wanted || !inTime || !pool.retries.Take() {
		s.endWithout(tick, id, request, request.notRun)
		return
	}
	request.attempt = 0
	s.delay(tick, id, request, bound)
}
