package traffic

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// finish replies to the caller of a request and removes the request from all
// tables. Only finish and detach reply, so that each submission receives exactly
// one result.
func (s *State) finish(tick engine.Tick, id table.ID, request *Request, result Result) {
	result.Attempts, result.Worker = request.attempts, request.worker
	result.Total = tick.Now.Sub(request.Arrived)
	if request.attempts > 0 {
		result.QueueWait = request.FirstSent.Sub(request.Arrived)
	}
	if !request.detached {
		s.replies.Add(Reply{Submission: request.Submission, Result: result})
	} else if result.Response != nil {
		s.discardResponse(result.Response)
	}
	s.dequeue(id, request)
	s.deadlines.Remove(id)
	s.retryTimes.Remove(id)
	if attempt := s.Attempts.Get(request.attempt); attempt != nil {
		attempt.Request = 0
	}
	s.releaseQuota(tick, request)
	record, phase := request.record, request.phase
	s.Requests.Delete(id)
	if record != 0 {
		s.finishRecord(tick, record, id, phase, result)
	}
}

// releaseQuota removes the request from the concurrency of its tenant and from the
// demand of its pool.
func (s *State) releaseQuota(tick engine.Tick, request *Request) {
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
		s.idleTenants.Put(request.Tenant, tick.Now.Add(tenant.Bucket.TimeUntilFull(limits)))
	}
}

// refuse finishes a request that was never sent to a target.
func (s *State) refuse(tick engine.Tick, id table.ID, reason outcome.Reason) {
	s.finish(tick, id, s.Requests.Get(id), Result{Outcome: outcome.NotRunBecause(reason)})
}

// finishWithoutResponse finishes a request that has no response from a target. The
// outcome is unknown if an earlier attempt may have executed the request, and not
// run otherwise.
func (s *State) finishWithoutResponse(tick engine.Tick, id table.ID, request *Request, reason outcome.Reason) {
	final := outcome.NotRunBecause(reason)
	if request.unknownReason != outcome.ReasonNone {
		final = outcome.UnknownBecause(request.unknownReason)
	}
	s.finish(tick, id, request, Result{Outcome: final})
}

// detach replies to a caller that disconnected and keeps the request, because other
// requests may wait for the outcome of its key, or its attempt must not be aborted.
func (s *State) detach(tick engine.Tick, request *Request) {
	if request.detached {
		return
	}
	request.detached = true
	s.replies.Add(Reply{Submission: request.Submission, Result: Result{
		Outcome: outcome.UnknownBecause(outcome.ReasonCallerGone), Attempts: request.attempts, Total: tick.Now.Sub(request.Arrived),
	}})
}

// discardResponse closes the stream of a response that no caller receives.
func (s *State) discardResponse(response *Response) {
	if response != nil && response.Stream != nil {
		s.discards.Add(response)
	}
}
