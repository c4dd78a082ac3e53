package invariant

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
)

func (e TargetCounted) apply(s *State, tick engine.Tick) {
	id, ok := s.workerIndex.Get(e.Worker)
	if !ok {
		return
	}
	r := s.workers.Get(id)
	if e.Cut > r.cut {
		s.report(RequestsInterrupted{e.Worker, e.Cut - r.cut})
		r.cut = e.Cut
	}
	switch {
	case r.available || tick.Now.Sub(r.leavingSince) < LeavingGracePeriod:
	case !r.hasBaseline:
		r.received, r.hasBaseline = e.Received, true
	case e.Received > r.received && r.unconfirmed == nil:
		r.unconfirmed = &ReceivedWhileLeaving{
			Worker: r.id, State: string(r.state), LeavingFor: tick.Now.Sub(r.leavingSince).String(), Before: r.received, After: e.Received,
		}
		r.unconfirmedSince = tick.Now
		r.received = e.Received
	}
}

// checkLeaving reports requests to leaving targets that were not explained by a
// return to service within confirmDelay.
func checkLeaving(s *State, tick engine.Tick) {
	for _, r := range s.workers.All() {
		if r.unconfirmed != nil && tick.Now.Sub(r.unconfirmedSince) >= confirmDelay {
			s.report(*r.unconfirmed)
			r.unconfirmed = nil
		}
	}
}

func (e Answered) apply(s *State, tick engine.Tick) {
	if e.Problem != "" {
		s.report(IncorrectResponse{e.Request, e.Key, e.Problem})
	}
	s.checkPool(e, tick.Now)
	key := requestKey{keyed: e.Key != "", id: e.Request}
	if key.keyed {
		key.id = e.Key
	}
	if key.id == "" {
		return // the connection was lost before the caller received the ID
	}
	r := getOrInsert(&s.requests, &s.requestIndex, key, requestRow{Answered: e, keyed: key.keyed, onlyNotRun: true})
	r.onlyNotRun = r.onlyNotRun && e.Outcome.Kind == outcome.NotRun
	r.completed = r.completed || e.Outcome.Kind == outcome.Completed
	r.Outcome = e.Outcome
}

// checkPool compares the pool of the executing worker with that of the request. A
// worker that has changed its pool may have executed the request before the change.
func (s *State) checkPool(e Answered, now time.Time) {
	id, ok := s.workerIndex.Get(e.Worker)
	if !ok || e.Pool == "" {
		return
	}
	r := s.workers.Get(id)
	if r.pool == e.Pool || (r.previousPool == e.Pool && now.Sub(r.poolSince) < LeavingGracePeriod) {
		return
	}
	if s.movingTo(e.Worker, e.Pool) {
		return
	}
	s.report(WrongPool{e.Request, e.Pool, e.Worker, r.pool})
}

// movingTo reports whether an operation is moving the worker to the pool. The
// response may be observed before the document that ends the move.
func (s *State) movingTo(worker, pool string) bool {
	r := s.tables.Worker(worker)
	if r == nil {
		return false
	}
	operation := s.tables.Operation(r)
	return operation != nil && operation.ToPool == pool
}

func (e ExecutionsCounted) apply(s *State, _ engine.Tick) {
	for _, r := range s.requests.All() {
		if r.keyed {
			r.executions = e.Keys[r.Key]
		} else {
			r.executions = e.Requests[r.Request]
		}
	}
	s.executionsCounted = true
}

// checkExecutions compares the outcomes that callers received with the executions
// that targets counted.
func checkExecutions(s *State, _ engine.Tick) {
	if !s.executionsCounted {
		return
	}
	s.executionsCounted = false
	for _, r := range s.requests.All() {
		if r.reported {
			continue
		}
		r.reported = true
		switch {
		case r.onlyNotRun && r.executions > 0:
			s.report(ExecutedDespiteNotRun{r.Request, r.Key, r.Outcome.Reason, r.executions})
		case !r.Idempotent && r.executions > 1:
			s.report(DuplicateExecution{r.Request, r.Key, r.executions})
		case r.keyed && r.completed && r.executions == 0:
			s.report(IncorrectResponse{r.Request, r.Key, "no target executed the request"})
		default:
			r.reported = false
		}
	}
	s.checkOperations()
}
