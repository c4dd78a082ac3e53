package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// maxLongSlotShare limits the share of the slots that long requests may occupy.
	// They run for minutes and cannot be preempted, so without a limit they would
	// fill every slot at low load and urgent requests would not start in time.
	maxLongSlotShare = 0.5
	// sameTargetDelay is the maximum time that a retry is delayed when only the
	// target that failed can accept it, so that another target may become
	// available. The delay does not count against the retry budget.
	sameTargetDelay = 20 * time.Millisecond
)

// dispatchPools sends queued requests of the pools that changed to targets.
func dispatchPools(s *State, tick engine.Tick) {
	if s.queued > 0 && !s.fleetViewFresh(tick.Now) {
		for id := range s.Pools.All() {
			s.markDirty(id)
		}
	}
	for s.dirtyPools.Len() > 0 {
		s.dispatchPool(tick, s.dirtyPools.TakeLast())
	}
}

func (s *State) dispatchPool(tick engine.Tick, poolID table.ID) {
	pool := s.Pools.Get(poolID)
	shares := pool.shares(tick.Now)
	for {
		shares.LongAllowed = pool.longAllowed()
		id, ok := pool.Scheduler.Next(&s.schedulerRows, &shares)
		if !ok && !s.fleetViewFresh(tick.Now) {
			id = pool.Scheduler.Oldest(routing.Long) // held back by maxLongSlotShare
			ok = id != 0
		}
		if !ok {
			return
		}
		request := s.Requests.Get(id)
		if !s.fleetViewFresh(tick.Now) {
			s.finishWithoutResponse(tick, id, request, outcome.ReasonIsolated)
			continue
		}
		if !s.isStillHome(tick, request) {
			s.finishWithoutResponse(tick, id, request, outcome.ReasonNoHome)
			continue
		}
		if tick.Now.Add(pool.serviceTimes[request.Class].Low(tick.Now)).After(request.Deadline) {
			// It would occupy a slot and still time out, with an unknown outcome.
			s.finishWithoutResponse(tick, id, request, outcome.ReasonDeadline)
			continue
		}
		if !s.dispatch(tick, id, request, pool, &shares) {
			return
		}
	}
}

// defaultSlotTime is the slot time assumed for a class without observations.
const defaultSlotTime = 50 * time.Millisecond

func (p *Pool) shares(now time.Time) routing.Shares {
	shares := routing.Shares{LongFloor: p.Policy.LongFloor}
	for class := range p.serviceTimes {
		cost := p.serviceTimes[class].Mean(now)
		if cost <= 0 {
			cost = defaultSlotTime
		}
		shares.Cost[class] = cost.Seconds()
	}
	return shares
}

func (p *Pool) longAllowed() bool {
	limit := max(1, int(maxLongSlotShare*float64(p.Targets.Capacity)))
	return p.running[routing.Long] < limit
}

// dispatch sends the request or delays it. It reports false if no target of the
// pool can accept it at present.
func (s *State) dispatch(tick engine.Tick, id table.ID, request *Request, pool *Pool, shares *routing.Shares) bool {
	criteria := routing.ChoiceCriteria{
		Exclude: request.excludedTarget, Idempotent: request.Submission.Idempotent,
		Urgent: request.Class == routing.Urgent, UncreditedAttempts: request.uncreditedAttempts,
	}
	choice := routing.ChooseTarget(&s.Targets, &pool.Targets, s.config.Chooser, criteria, tick.Now)
	if choice.Target != 0 {
		s.send(tick, id, request, pool, choice, shares)
		return true
	}
	if criteria.Exclude == 0 {
		return false
	}
	criteria.Exclude = 0
	if routing.ChooseTarget(&s.Targets, &pool.Targets, s.config.Chooser, criteria, tick.Now).Target == 0 {
		return false
	}
	// Only the target that failed can accept requests. Other queued requests may use it.
	s.dequeue(id, request)
	s.scheduleRetry(tick, id, request, sameTargetDelay)
	return true
}

func (s *State) send(
	tick engine.Tick, id table.ID, request *Request, pool *Pool, choice routing.Choice, shares *routing.Shares,
) {
	pool.Scheduler.Dispatch(&s.schedulerRows, id, shares)
	s.queued--
	target := s.Targets.Rows.Get(choice.Target)
	attempt := s.Attempts.Insert(Attempt{
		Request: id, Pool: request.Pool, Class: request.Class, Choice: choice, Worker: target.Worker, SentAt: tick.Now,
	})
	if request.attempts == 0 {
		request.FirstSent = tick.Now
	}
	request.phase, request.attempt, request.worker = running, attempt, target.Worker
	request.attempts++
	if choice.Uncredited {
		request.uncreditedAttempts++
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

// scheduleRetry delays a request by a random time up to maxDelay.
func (s *State) scheduleRetry(tick engine.Tick, id table.ID, request *Request, maxDelay time.Duration) {
	request.phase = backoff
	s.retryTimes.Put(id, tick.Now.Add(time.Duration(s.Targets.Random.Int64N(int64(maxDelay)))))
}

// retryRequests returns requests whose delay has passed to their queue.
func retryRequests(s *State, tick engine.Tick) {
	for {
		id, at, ok := s.retryTimes.Min()
		if !ok || at.After(tick.Now) {
			return
		}
		s.retryTimes.Remove(id)
		s.enqueue(tick, id, s.Requests.Get(id), true)
	}
}
