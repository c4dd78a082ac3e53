package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// A timeout counts as a failure of the target only if the attempt ran for at least
// timeoutFailureFactor times the mean service time and for minTimeoutFailure.
// Otherwise a tenant with very short timeouts could cause healthy targets to be
// ejected.
const (
	timeoutFailureFactor = 3
	minTimeoutFailure    = time.Second
)

// expireRequests finishes the requests whose deadline has passed.
func expireRequests(s *State, tick engine.Tick) {
	for {
		id, at, ok := s.deadlines.Min()
		if !ok || at.After(tick.Now) {
			return
		}
		s.expire(tick, id, s.Requests.Get(id))
	}
}

func (s *State) expire(tick engine.Tick, id table.ID, request *Request) {
	switch request.phase {
	case arriving, waiting, backoff:
		s.finishWithoutResponse(tick, id, request, outcome.ReasonDeadline)
	case running:
		attempt := s.Attempts.Get(request.attempt)
		attempt.result = s.timeoutResult(tick, attempt)
		s.aborts.Add(request.attempt)
		s.finish(tick, id, request, Result{Outcome: outcome.UnknownBecause(outcome.ReasonAnswerTimeout)})
	case duplicate:
		s.finish(tick, id, request, Result{Outcome: outcome.UnknownBecause(outcome.ReasonAnswerTimeout)})
	}
}

func (s *State) timeoutResult(tick engine.Tick, attempt *Attempt) routing.AttemptResult {
	mean := s.Pools.Get(attempt.Pool).serviceTimes[attempt.Class].Mean(tick.Now)
	if elapsed := tick.Now.Sub(attempt.SentAt); elapsed >= timeoutFailureFactor*mean && elapsed >= minTimeoutFailure {
		return routing.AttemptFailed
	}
	return routing.AttemptAbandoned
}

// removeAbandoned finishes the requests whose callers disconnected. The attempt of
// an idempotent request is aborted. Other attempts run until they end or their
// deadline passes, because the target may have acted on them already. A request
// with an idempotency key is kept while its attempt runs or duplicates wait for it.
func removeAbandoned(s *State, tick engine.Tick) {
	for _, id := range s.abandoned {
		if request := s.Requests.Get(id); request != nil {
			s.abandon(tick, id, request)
		}
	}
	s.abandoned = s.abandoned[:0]
}

func (s *State) abandon(tick engine.Tick, id table.ID, request *Request) {
	callerGone := outcome.UnknownBecause(outcome.ReasonCallerGone)
	switch {
	case request.phase == duplicate:
		s.finish(tick, id, request, Result{Outcome: callerGone})
	case request.record != 0 && (request.phase == running || s.hasWaiters(request)):
		s.detach(tick, request)
	case request.phase == running && !request.Submission.Idempotent:
		s.detach(tick, request)
	case request.phase == running:
		s.Attempts.Get(request.attempt).result = routing.AttemptAbandoned
		s.aborts.Add(request.attempt)
		s.finish(tick, id, request, Result{Outcome: callerGone})
	default:
		s.finishWithoutResponse(tick, id, request, outcome.ReasonCancelledByClient)
	}
}

func (s *State) hasWaiters(request *Request) bool {
	return len(s.Records.Get(request.record).Waiters) > 0
}

// removeIdleRows removes the tenants without requests whose token bucket is full
// again, and the records of keys whose retention has ended.
func removeIdleRows(s *State, tick engine.Tick) {
	s.Records.Expire(tick.Now)
	for {
		id, at, ok := s.idleTenants.Min()
		if !ok || at.After(tick.Now) {
			return
		}
		s.idleTenants.Remove(id)
		tenant := s.Tenants.Get(id)
		s.tenantIndex.Delete(tenantKey{pool: tenant.Pool, name: tenant.Name})
		s.Tenants.Delete(id)
	}
}
