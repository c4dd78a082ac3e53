package traffic

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// finish answers a request and removes its row from all tables. It is the only
// place that answers, apart from detach, so that each submission gets exactly
// one answer.
func (s *State) finish(tick engine.Tick, id table.ID, request *Request, result Result) {
	result.Attempts, result.Worker = request.sends, request.worker
	result.Total = tick.Now.Sub(request.Arrived)
	if request.sends > 0 {
		result.QueueWait = request.FirstSent.Sub(request.Arrived)
	}
	if !request.detached {
		s.replies.Add(Reply{Submission: request.Submission, Result: result})
	} else if result.Response != nil {
		s.discard(result.Response)
	}
	s.dequeue(id, request)
	s.deadlines.Remove(id)
	s.retries.Remove(id)
	if attempt := s.Attempts.Get(request.attempt); attempt != nil {
		attempt.Request = 0
	}
	s.release(tick, request)
	record, phase := request.record, request.phase
	s.Requests.Delete(id)
	if record != 0 {
		s.settleRecord(tick, record, id, phase, result)
	}
}

// release returns what the request holds of its tenant's quota and of the
// demand of its pool.
func (s *State) release(tick engine.Tick, request *Request) {
	if pool := s.Pools.Get(request.Pool); pool != nil {
		pool.requests--
		s.demandChanged.Add(request.Pool)
	}
	tenant := s.Tenants.Get(request.Tenant)
	if tenant == nil {
		return
	}
	tenant.Active--
	if tenant.Active == 0 {
		limits := s.snapshot.Policy.Tenant(tenant.Name)
		s.idle.Put(request.Tenant, tick.Now.Add(tenant.Bucket.TimeUntilFull(limits)))
	}
}

// refuse ends a request that was never handed to a target.
func (s *State) refuse(tick engine.Tick, id table.ID, reason outcome.Reason) {
	s.finish(tick, id, s.Requests.Get(id), Result{Outcome: outcome.NotRunBecause(reason)})
}

// endWithout ends a request without an answer of a target: as unknown if an
// earlier attempt may have executed it, and as not run otherwise.
func (s *State) endWithout(tick engine.Tick, id table.ID, request *Request, reason outcome.Reason) {
	result := outcome.NotRunBecause(reason)
	if request.maybeRun != outcome.ReasonNone {
		result = outcome.UnknownBecause(request.maybeRun)
	}
	s.finish(tick, id, request, Result{Outcome: result})
}

// detach answers the caller of a request that went away, and keeps the request:
// others may wait for the outcome of its key, or its attempt must run on.
func (s *State) detach(tick engine.Tick, request *Request) {
	if request.detached {
		return
	}
	request.detached = true
	s.replies.Add(Reply{Submission: request.Submission, Result: Result{
		Outcome: outcome.UnknownBecause(outcome.ReasonCallerGone), Attempts: request.sends, Total: tick.Now.Sub(request.Arrived),
	}})
}

// discard drops an answer that no caller receives.
func (s *State) discard(answer *Response) {
	if answer != nil && answer.Stream != nil {
		s.discards.Add(answer)
	}
}
