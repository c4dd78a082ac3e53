package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// admitRequests handles the submissions of this tick. Each one is refused, receives
// the response of an earlier request with its key, or is queued.
func admitRequests(s *State, tick engine.Tick) {
	for _, id := range s.arrived {
		if request := s.Requests.Get(id); request != nil && request.phase == arriving {
			s.admit(tick, id, request)
		}
	}
	s.arrived = s.arrived[:0]
}

func (s *State) admit(tick engine.Tick, id table.ID, request *Request) {
	submission := request.Submission
	if s.snapshot == nil {
		s.refuse(tick, id, outcome.ReasonNotReady)
		return
	}
	poolID, ok := s.poolIndex.Get(submission.Pool)
	if _, declared := s.snapshot.Policy.Pool(submission.Pool); !ok || !declared {
		s.refuse(tick, id, outcome.ReasonUnknownPool)
		return
	}
	pool := s.Pools.Get(poolID)
	request.Pool, request.Class = poolID, submission.Class
	pool.requests++
	s.demandChanged.Add(poolID)
	s.setDeadline(tick, id, request, pool)
	if submission.Key != "" && !s.admitKey(tick, id, request) {
		return
	}
	if reason := s.admitToPool(tick, request, pool); reason != outcome.ReasonNone {
		s.refuse(tick, id, reason)
		return
	}
	if submission.Key != "" && !s.beginRecord(id, request) {
		s.refuse(tick, id, outcome.ReasonKeyRecordsFull)
		return
	}
	pool.retryBudget.AddRequest(pool.Policy.RetryBudget)
	s.enqueue(tick, id, request, false)
}

func (s *State) setDeadline(tick engine.Tick, id table.ID, request *Request, pool *Pool) {
	timeout := request.Submission.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout(&pool.Policy, request.Class)
	}
	request.Deadline = tick.Now.Add(timeout)
	s.deadlines.Put(id, request.Deadline)
}

// DefaultTimeout returns the timeout of requests of a class that specify none.
func DefaultTimeout(pool *policy.Pool, class routing.Class) time.Duration {
	milliseconds := pool.QuickTimeoutMS
	switch class {
	case routing.Urgent:
		milliseconds = pool.UrgentTimeoutMS
	case routing.Long:
		milliseconds = pool.LongTimeoutMS
	case routing.Quick:
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// admitToPool checks that the fleet view is fresh and a target reachable, and
// checks the quota and the deadline. From the quota check on, the request counts
// against the concurrency limit of its tenant, even if it is refused; finish
// releases it.
func (s *State) admitToPool(tick engine.Tick, request *Request, pool *Pool) outcome.Reason {
	if !s.fleetViewFresh(tick.Now) {
		return outcome.ReasonIsolated
	}
	if pool.Targets.Reachable == 0 {
		return outcome.ReasonNoTarget
	}
	limits := s.snapshot.Policy.Tenant(request.Submission.Tenant)
	tenantID := s.tenantRow(request.Pool, request.Submission.Tenant)
	tenant := s.Tenants.Get(tenantID)
	tenant.Weight = limits.Weight
	if tenant.Active == 0 {
		s.idleTenants.Remove(tenantID) // releaseQuota schedules the removal again
	}
	tenant.Active++
	request.Tenant = tenantID
	if tenant.Active > limits.Concurrency || !tenant.Bucket.Take(tick.Now, limits) {
		return outcome.ReasonQuota
	}
	if s.cannotMeetDeadline(tick.Now, request, pool) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonNone
}

func (s *State) tenantRow(poolID table.ID, name string) table.ID {
	key := tenantKey{pool: poolID, name: name}
	if id, ok := s.tenantIndex.Get(key); ok {
		return id
	}
	id := s.Tenants.Insert(routing.Tenant[Request]{Pool: poolID, Name: name})
	s.tenantIndex.Put(key, id)
	return id
}

// cannotMeetDeadline estimates the completion time of a request from the observed
// service times and the requests that are dispatched before it. With an empty queue
// it assumes no wait. It uses a low estimate for the request's own service time, so
// that short requests are not refused because others of their class take longer.
func (s *State) cannotMeetDeadline(now time.Time, request *Request, pool *Pool) bool {
	class := request.Class
	estimate := pool.serviceTimes[class].Low(now)
	if pool.Scheduler.Len() > 0 {
		work := pool.Scheduler.Ahead(&s.schedulerRows, request.Tenant, class) * float64(pool.serviceTimes[class].Mean(now))
		for higher := routing.Urgent; higher < class; higher++ {
			work += float64(pool.Scheduler.Waiting(higher)) * float64(pool.serviceTimes[higher].Mean(now))
		}
		parallel := max(1, pool.Targets.Capacity, pool.Targets.InFlight)
		estimate += time.Duration(work / float64(parallel))
	}
	return now.Add(estimate).After(request.Deadline)
}

// enqueue puts a request into the queue of its pool; again is set for a retry. When
// the queue of its class is full, an urgent request displaces the oldest urgent
// one, which is the least likely to meet its deadline; requests of other classes
// are refused.
func (s *State) enqueue(tick engine.Tick, id table.ID, request *Request, again bool) {
	pool := s.Pools.Get(request.Pool)
	if pool.Scheduler.Waiting(request.Class) >= pool.Policy.QueueLimit {
		oldest := pool.Scheduler.Oldest(request.Class)
		if request.Class != routing.Urgent || oldest == 0 || again {
			s.finishWithoutResponse(tick, id, request, outcome.ReasonQueueFull)
			return
		}
		s.finishWithoutResponse(tick, oldest, s.Requests.Get(oldest), outcome.ReasonShed)
	}
	request.phase = waiting
	s.queued++
	if again {
		pool.Scheduler.PushFront(&s.schedulerRows, id)
	} else {
		pool.Scheduler.Push(&s.schedulerRows, id)
	}
	s.markDirty(request.Pool)
}

// dequeue removes a request from the queue if it is queued.
func (s *State) dequeue(id table.ID, request *Request) {
	if request.phase == waiting {
		s.queued--
		s.Pools.Get(request.Pool).Scheduler.Remove(&s.schedulerRows, id)
	}
}
