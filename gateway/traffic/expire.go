package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// A missed deadline counts as a failure of the target only if the attempt ran
// for several usual service times. Otherwise a tenant with tiny timeouts could
// have healthy targets ejected.
const (
	lateFactor = 3
	lateLeast  = time.Second
)

// expireRequests answers the requests whose deadline has passed.
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
		s.endWithout(tick, id, request, outcome.ReasonDeadline)
	case running:
		attempt := s.Attempts.Get(request.attempt)
		attempt.verdict = s.lateVerdict(tick, attempt)
		s.aborts.Add(request.attempt)
		s.finish(tick, id, request, Result{Outcome: outcome.UnknownBecause(outcome.ReasonAnswerTimeout)})
	case repeated:
		s.finish(tick, id, request, Result{Outcome: outcome.UnknownBecause(outcome.ReasonAnswerTimeout)})
	}
}

func (s *State) lateVerdict(tick engine.Tick, attempt *Attempt) routing.AttemptResult {
	usual := s.Pools.Get(attempt.Pool).service[attempt.Class].Mean(tick.Now)
	if ran := tick.Now.Sub(attempt.SentAt); ran >= lateFactor*usual && ran >= lateLeast {
		return routing.AttemptFailed
	}
	return routing.AttemptAbandoned
}

// removeAbandoned ends the requests whose callers went away. An attempt of an
// idempotent request is cut off. Others run until their end or their deadline,
// because the target may have acted on them already. A keyed request stays for
// its key.
func removeAbandoned(s *State, tick engine.Tick) {
	for _, id := range s.abandoned {
		if request := s.Requests.Get(id); request != nil {
			s.abandon(tick, id, request)
		}
	}
	s.abandoned = s.abandoned[:0]
}

func (s *State) abandon(tick engine.Tick, id table.ID, request *Request) {
	gone := outcome.UnknownBecause(outcome.ReasonCallerGone)
	switch {
	case request.phase == repeated:
		s.finish(tick, id, request, Result{Outcome: gone})
	case request.record != 0 && (request.phase == running || s.hasWaiters(request)):
		s.detach(tick, request)
	case request.phase == running && !request.Submission.Idempotent:
		s.detach(tick, request)
	case request.phase == running:
		s.Attempts.Get(request.attempt).verdict = routing.AttemptAbandoned
		s.aborts.Add(request.attempt)
		s.finish(tick, id, request, Result{Outcome: gone})
	default:
		s.endWithout(tick, id, request, outcome.ReasonCancelledByClient)
	}
}

func (s *State) hasWaiters(request *Request) bool {
	return len(s.Records.Get(request.record).Waiters) > 0
}

// forgetIdle removes tenants whose quota has recovered, and records of keys
// whose retention has ended.
func forgetIdle(s *State, tick engine.Tick) {
	s.Records.Expire(tick.Now)
	for {
		id, at, ok := s.idle.Min()
		if !ok || at.After(tick.Now) {
			return
		}
		s.idle.Remove(id)
		tenant := s.Tenants.Get(id)
		s.tenantIndex.Delete(tenantKey{pool: tenant.Pool, name: tenant.Name})
		s.Tenants.Delete(id)
	}
}
