package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// minServerErrorStatus is the lowest HTTP status that counts as a failure of the target.
const minServerErrorStatus = 500

// completeAttempts handles the attempts that ended. The response is discarded if
// the row of the attempt or of its request no longer exists.
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
		s.discardResponse(finished.Response)
		return
	}
	requestID, sentAt, target := attempt.Request, attempt.SentAt, attempt.Choice.Target
	request := s.Requests.Get(requestID)
	if request == nil && !attempt.streaming {
		s.logEntries.Add(LogEntry{Kind: ResponseDiscarded, Worker: attempt.Worker})
		s.discardResponse(finished.Response)
	}
	attempt.streaming = finished.Status == StreamStarted
	if !attempt.streaming {
		s.endAttempt(tick, finished, attempt)
	}
	if request != nil {
		request.excludedTarget = target
		s.resolveRequest(tick, requestID, request, finished, tick.Now.Sub(sentAt))
	}
}

// endAttempt removes the row of an attempt and records its result for the target.
func (s *State) endAttempt(tick engine.Tick, finished *Finished, attempt *Attempt) {
	pool := s.Pools.Get(attempt.Pool)
	pool.running[attempt.Class]--
	result := attempt.result
	if result == 0 {
		result = attemptResult(finished)
	}
	if result == routing.AttemptRefusedDraining {
		s.drainingWorkers = append(s.drainingWorkers, attempt.Worker)
		s.logEntries.Add(LogEntry{Kind: TargetDraining, Worker: attempt.Worker})
	}
	wasEjected, wasReadmitted := pool.Targets.EndAttempt(&s.Targets, routing.AttemptEnd{
		Result: result, Choice: attempt.Choice, ServiceTime: pool.serviceTimes[attempt.Class].Mean(tick.Now),
	}, tick.Now)
	if wasEjected {
		s.logEntries.Add(LogEntry{Kind: TargetEjected, Worker: attempt.Worker})
	}
	if wasReadmitted {
		s.logEntries.Add(LogEntry{Kind: TargetReadmitted, Worker: attempt.Worker})
	}
	targetID := attempt.Choice.Target
	if target := s.Targets.Rows.Get(targetID); target.ListedVersion != s.snapshot.Version && target.InFlight == 0 && !target.Usable {
		s.removeUnlisted(targetID, target, tick.Now)
	}
	s.markDirty(attempt.Pool)
	s.Attempts.Delete(finished.Attempt)
}

func attemptResult(finished *Finished) routing.AttemptResult {
	switch finished.Status {
	case ResponseReceived:
		if finished.Response.StatusCode >= minServerErrorStatus {
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

// resolveRequest finishes or retries the request of an attempt that ended.
func (s *State) resolveRequest(tick engine.Tick, id table.ID, request *Request, finished *Finished, elapsed time.Duration) {
	pool := s.Pools.Get(request.Pool)
	switch finished.Status {
	case ResponseReceived, StreamStarted:
		if finished.Response.StatusCode < minServerErrorStatus {
			pool.serviceTimes[request.Class].Observe(tick.Now, elapsed)
		}
		s.finish(tick, id, request, Result{Outcome: outcome.Complete(), Response: finished.Response})
		return
	case RefusedFull, RefusedConnections, RefusedDraining:
		request.notRunReason = outcome.ReasonRefused
	case NotSent:
		request.notRunReason = outcome.ReasonUnreachable
	case ResponseTruncated:
		request.unknownReason = outcome.ReasonCutShort
	case ConnectionLost, ResponseMismatch, StreamEnded:
		request.unknownReason = outcome.ReasonConnectionLost
	}
	s.retryOrEnd(tick, id, request, pool)
}

// retryOrEnd retries a request that is idempotent or was provably not executed, if
// the retry budget and the deadline allow it.
func (s *State) retryOrEnd(tick engine.Tick, id table.ID, request *Request, pool *Pool) {
	maxDelay := routing.MaxRetryDelay(request.attempts)
	retryable := request.unknownReason == outcome.ReasonNone || request.Submission.Idempotent
	wanted := !request.detached || request.record != 0
	inTime := tick.Now.Add(maxDelay).Before(request.Deadline)
	if !retryable || !wanted || !inTime || !pool.retryBudget.Take() {
		s.finishWithoutResponse(tick, id, request, request.notRunReason)
		return
	}
	request.attempt = 0
	s.scheduleRetry(tick, id, request, maxDelay)
}
