package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// admitRequests decides on each submission of this tick: it is refused, takes
// the answer of an earlier request with its key, or enters the queue.
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
	pool.retries.AddRequest(pool.Policy.RetryBudget)
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

// DefaultTimeout returns the deadline of a class for callers that set none.
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

// admitToPool checks vouching, targets, quotas and the deadline. A request that
// passes counts against the concurrency of its tenant.
func (s *State) admitToPool(tick engine.Tick, request *Request, pool *Pool) outcome.Reason {
	if !s.fresh(tick.Now) {
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
		s.idle.Remove(tenantID) // finish schedules the removal again
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

// cannotMeetDeadline judges by the observed service times and by the work that
// is served before the request. A pool with a free slot and an empty queue has
// no wait. The low estimate of the own service time keeps short requests from
// being refused because others of their class take longer.
func (s *State) cannotMeetDeadline(now time.Time, request *Request, pool *Pool) bool {
	class := request.Class
	estimate := pool.service[class].Low(now)
	if pool.Scheduler.Len() > 0 {
		work := pool.Scheduler.Ahead(&s.rows, request.Tenant, class) * float64(pool.service[class].Mean(now))
		for higher := routing.Urgent; higher < class; higher++ {
			work += float64(pool.Scheduler.Waiting(higher)) * float64(pool.service[higher].Mean(now))
		}
		parallel := max(1, pool.Targets.Capacity, pool.Targets.InFlight)
		estimate += time.Duration(work / float64(parallel))
	}
	return now.Add(estimate).After(request.Deadline)
}

// enqueue puts a request into the queue of its pool, again if it was sent in
// vain. When the queue of its class is full, urgent work displaces the oldest
// urgent request, which is the least likely to meet its deadline; other work is
// refused.
func (s *State) enqueue(tick engine.Tick, id table.ID, request *Request, again bool) {
	pool := s.Pools.Get(request.Pool)
	if pool.Scheduler.Waiting(request.Class) >= pool.Policy.QueueLimit {
		oldest := pool.Scheduler.Oldest(request.Class)
		if request.Class != routing.Urgent || oldest == 0 || again {
			s.endWithout(tick, id, request, outcome.ReasonQueueFull)
			return
		}
		s.endWithout(tick, oldest, s.Requests.Get(oldest), outcome.ReasonShed)
	}
	request.phase = waiting
	s.queued++
	if again {
		pool.Scheduler.PushFront(&s.rows, id)
	} else {
		pool.Scheduler.Push(&s.rows, id)
	}
	s.touch(request.Pool)
}

// dequeue takes a request out of the queue if it waits there.
func (s *State) dequeue(id table.ID, request *Request) {
	if request.phase == waiting {
		s.queued--
		s.Pools.Get(request.Pool).Scheduler.Remove(&s.rows, id)
	}
}
