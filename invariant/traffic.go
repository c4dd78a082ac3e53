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
	case !r.counted:
		r.received, r.counted = e.Received, true
	case e.Received > r.received && r.suspect == nil:
		r.suspect = &ReceivedWhileLeaving{
			Worker: r.id, State: string(r.state), LeavingFor: tick.Now.Sub(r.leavingSince).String(), Before: r.received, After: e.Received,
		}
		r.suspectAt = tick.Now
		r.received = e.Received
	}
}

// checkLeaving reports requests that no return to service has explained.
func checkLeaving(s *State, tick engine.Tick) {
	for _, r := range s.workers.All() {
		if r.suspect != nil && tick.Now.Sub(r.suspectAt) >= confirmWait {
			s.report(*r.suspect)
			r.suspect = nil
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
		return // the connection broke before the caller learned the ID
	}
	r := row(&s.requests, &s.requestIndex, key, requestRow{Answered: e, keyed: key.keyed, onlyNotRun: true})
	r.onlyNotRun = r.onlyNotRun && e.Outcome.Kind == outcome.NotRun
	r.completed = r.completed || e.Outcome.Kind == outcome.Completed
	r.Outcome = e.Outcome
}

// checkPool compares the pool of the executing worker with that of the request.
// A worker that changed its pool may have executed the request before.
func (s *State) checkPool(e Answered, now time.Time) {
	id, ok := s.workerIndex.Get(e.Worker)
	if !ok || e.Pool == "" {
		return
	}
	r := s.workers.Get(id)
	if r.pool == e.Pool || (r.former == e.Pool && now.Sub(r.poolSince) < LeavingGracePeriod) {
		return
	}
	if s.moving(e.Worker, e.Pool) {
		return
	}
	s.report(WrongPool{e.Request, e.Pool, e.Worker, r.pool})
}

// moving reports whether the worker is on its way to the pool: the answer may
// be seen before the document that ends the move.
func (s *State) moving(worker, pool string) bool {
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
	s.executions = true
}

// checkExecutions compares what callers were told with what targets executed.
func checkExecutions(s *State, _ engine.Tick) {
	if !s.executions {
		return
	}
	s.executions = false
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
