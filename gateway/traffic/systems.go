package traffic

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Systems lists the systems of a shard in the order in which they run.
func Systems() []engine.System[State] {
	return []engine.System[State]{
		{Name: "adopt snapshot", Run: adoptSnapshot},
		{Name: "complete", Run: complete},
		{Name: "dispatch", Run: dispatch},
	}
}

func adoptSnapshot(s *State, _ engine.Tick) { s.snapshot = s.source.Load() }

func complete(s *State, tick engine.Tick) {
	for _, finished := range s.finished {
		attempt := s.Attempts.Get(finished.Attempt)
		if attempt == nil || finished.Ending == StreamEnded {
			s.Attempts.Delete(finished.Attempt)
			continue
		}
		switch finished.Ending {
		case Answered, StreamStarted:
			s.answer(tick, attempt.Request, Result{Outcome: outcome.Complete(), Answer: finished.Answer, Worker: attempt.Worker})
		case RefusedFull, RefusedConnections, RefusedDraining:
			s.answer(tick, attempt.Request, Result{Outcome: outcome.NotRunBecause(outcome.ReasonRefused)})
		case NotSent:
			s.answer(tick, attempt.Request, Result{Outcome: outcome.NotRunBecause(outcome.ReasonUnreachable)})
		case ConnectionLost, CutShort, ForeignAnswer, StreamEnded:
			s.answer(tick, attempt.Request, Result{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)})
		}
		if finished.Ending != StreamStarted {
			s.Attempts.Delete(finished.Attempt)
		}
	}
	s.finished = s.finished[:0]
}

func (s *State) answer(tick engine.Tick, id table.ID, result Result) {
	request := s.Requests.Get(id)
	if request == nil {
		return
	}
	result.Total = tick.Now.Sub(request.Arrived)
	s.replies.Add(Reply{Submission: request.Submission, Result: result})
	s.Requests.Delete(id)
}

func dispatch(s *State, tick engine.Tick) {
	for _, id := range s.waiting {
		request := s.Requests.Get(id)
		target := s.choose(request.Submission.Pool)
		if s.snapshot == nil || target == nil {
			s.answer(tick, id, Result{Outcome: outcome.NotRunBecause(outcome.ReasonNoTarget)})
			continue
		}
		attempt := s.Attempts.Insert(Attempt{Request: id, Worker: target.Worker})
		submission := request.Submission
		s.sends.Add(Send{
			Attempt: attempt, RequestID: submission.RequestID, Worker: target.Worker, Address: target.Address,
			Connections: 8, Tenant: submission.Tenant, Class: submission.Class, Key: submission.Key,
			Message: submission.Message, Remaining: submission.Timeout,
		})
	}
	s.waiting = s.waiting[:0]
}

func (s *State) choose(pool string) *Target {
	if s.snapshot == nil {
		return nil
	}
	var usable []*Target
	for i := range s.snapshot.Targets {
		if target := &s.snapshot.Targets[i]; target.Pool == pool && target.Usable {
			usable = append(usable, target)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[s.random.IntN(len(usable))]
}
