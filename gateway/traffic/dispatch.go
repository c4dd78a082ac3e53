package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// longSlotShare bounds the slots that long work may hold. Long requests run
	// for minutes and cannot be preempted, so without a bound they would fill
	// every slot in quiet times and urgent work would not start in time.
	longSlotShare = 0.5
	// parkDelay is the most that a retry waits for a target other than the one
	// that failed, when only that one has room. It does not use the budget.
	parkDelay = 20 * time.Millisecond
)

// dispatchPools hands waiting requests to targets, in the pools in which
// something changed.
func dispatchPools(s *State, tick engine.Tick) {
	if s.queued > 0 && !s.fresh(tick.Now) {
		for id := range s.Pools.All() {
			s.touch(id)
		}
	}
	for s.changed.Len() > 0 {
		s.dispatchPool(tick, s.changed.TakeLast())
	}
}

func (s *State) dispatchPool(tick engine.Tick, poolID table.ID) {
	pool := s.Pools.Get(poolID)
	shares := pool.shares(tick.Now)
	for {
		shares.LongAllowed = pool.longAllowed()
		id, ok := pool.Scheduler.Next(&s.rows, &shares)
		if !ok && !s.fresh(tick.Now) {
			id = pool.Scheduler.Oldest(routing.Long) // held back by its bound
			ok = id != 0
		}
		if !ok {
			return
		}
		request := s.Requests.Get(id)
		if !s.fresh(tick.Now) {
			s.endWithout(tick, id, request, outcome.ReasonIsolated)
			continue
		}
		if !s.stillHome(tick, request) {
			s.endWithout(tick, id, request, outcome.ReasonNoHome)
			continue
		}
		if tick.Now.Add(pool.service[request.Class].Low(tick.Now)).After(request.Deadline) {
			// It would end as unknown after using a slot.
			s.endWithout(tick, id, request, outcome.ReasonDeadline)
			continue
		}
		if !s.dispatch(tick, id, request, pool, &shares) {
			return
		}
	}
}

// unknownCost stands in for the slot time of a class without observations.
const unknownCost = 50 * time.Millisecond

func (p *Pool) shares(now time.Time) routing.Shares {
	shares := routing.Shares{LongFloor: p.Policy.LongFloor}
	for class := range p.service {
		cost := p.service[class].Mean(now)
		if cost <= 0 {
			cost = unknownCost
		}
		shares.Cost[class] = cost.Seconds()
	}
	return shares
}

func (p *Pool) longAllowed() bool {
	bound := max(1, int(longSlotShare*float64(p.Targets.Capacity)))
	return p.running[routing.Long] < bound
}

// dispatch sends the request or sets it aside. It reports false if the pool has
// no target for it now.
func (s *State) dispatch(tick engine.Tick, id table.ID, request *Request, pool *Pool, shares *routing.Shares) bool {
	candidate := routing.ChoiceCriteria{
		Exclude: request.exclude, Idempotent: request.Submission.Idempotent,
		Urgent: request.Class == routing.Urgent, UncreditedAttempts: request.beyond,
	}
	choice := routing.ChooseTarget(&s.Targets, &pool.Targets, s.config.Chooser, candidate, tick.Now)
	if choice.Target != 0 {
		s.send(tick, id, request, pool, choice, shares)
		return true
	}
	if candidate.Exclude == 0 {
		return false
	}
	candidate.Exclude = 0
	if routing.ChooseTarget(&s.Targets, &pool.Targets, s.config.Chooser, candidate, tick.Now).Target == 0 {
		return false
	}
	// Only the target that failed has room. Others of the queue may use it.
	s.dequeue(id, request)
	s.delay(tick, id, request, parkDelay)
	return true
}

func (s *State) send(
	tick engine.Tick, id table.ID, request *Request, pool *Pool, choice routing.Choice, shares *routing.Shares,
) {
	pool.Scheduler.Dispatch(&s.rows, id, shares)
	s.queued--
	target := s.Targets.Rows.Get(choice.Target)
	attempt := s.Attempts.Insert(Attempt{
		Request: id, Pool: request.Pool, Class: request.Class, Choice: choice, Worker: target.Worker, SentAt: tick.Now,
	})
	if request.sends == 0 {
		request.FirstSent = tick.Now
	}
	request.phase, request.attempt, request.worker = running, attempt, target.Worker
	request.sends++
	if choice.Uncredited {
		request.beyond++
	}
	pool.running[request.Class]++
	submission := request.Submission
	s.sends.Add(Send{
		Attempt: attempt, RequestID: submission.RequestID, Worker: target.Worker, Address: target.Address,
		MaxConnections: pool.Targets.Limits.Connections, Tenant: submission.Tenant, Class: submission.Class,
		Key: submission.Key, Message: submission.Message, Remaining: request.Deadline.Sub(tick.Now),
	})
	pool.Targets.StartAttempt(&s.Targets, choice, tick.Now)
}

// delay puts a request aside for a random time up to the bound.
func (s *State) delay(tick engine.Tick, id table.ID, request *Request, bound time.Duration) {
	request.phase = backoff
	s.retries.Put(id, tick.Now.Add(time.Duration(s.Targets.Random.Int64N(int64(bound)))))
}

// retryRequests puts requests whose delay has passed back into their queue.
func retryRequests(s *State, tick engine.Tick) {
	for {
		id, at, ok := s.retries.Min()
		if !ok || at.After(tick.Now) {
			return
		}
		s.retries.Remove(id)
		s.enqueue(tick, id, s.Requests.Get(id), true)
	}
}
