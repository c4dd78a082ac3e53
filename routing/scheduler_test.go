package routing

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/table"
)

type testRequest struct{ Entry }

type testQueue struct {
	requests  table.Table[testRequest]
	tenants   table.Table[Tenant[testRequest]]
	rows      Rows[testRequest]
	scheduler Scheduler[testRequest]
}

func newTestQueue() *testQueue {
	q := &testQueue{}
	q.rows = Rows[testRequest]{Requests: &q.requests, Tenants: &q.tenants, Entry: func(r *testRequest) *Entry { return &r.Entry }}
	return q
}

func (q *testQueue) tenant(weight float64) table.ID {
	return q.tenants.Insert(Tenant[testRequest]{Weight: weight})
}

func (q *testQueue) push(tenant table.ID, class Class, count int) {
	for range count {
		q.scheduler.Push(&q.rows, q.requests.Insert(testRequest{Entry{Tenant: tenant, Class: class}}))
	}
}

// take dispatches count requests and returns how many each tenant and class got.
func (q *testQueue) take(count int, floor, longCost float64) (map[table.ID]int, [ClassCount]int) {
	shares := &Shares{LongFloor: floor, LongAllowed: true, Cost: [ClassCount]float64{1, 1, longCost}}
	byTenant, byClass := map[table.ID]int{}, [ClassCount]int{}
	for range count {
		id, ok := q.scheduler.Next(&q.rows, shares)
		if !ok {
			break
		}
		entry := &q.requests.Get(id).Entry
		byTenant[entry.Tenant]++
		byClass[entry.Class]++
		q.scheduler.Dispatch(&q.rows, id, shares)
		q.requests.Delete(id)
	}
	return byTenant, byClass
}

// Guards against a tenant that gains throughput by queueing more requests, and
// against a tenant that accumulates a claim while it is idle.
func TestTenantsShareByWeight(t *testing.T) {
	q := newTestQueue()
	busy, light, heavy := q.tenant(1), q.tenant(1), q.tenant(2)
	q.push(busy, Quick, 1000)
	q.take(100, 0, 1)
	q.push(light, Quick, 200)
	q.push(heavy, Quick, 200)
	got, _ := q.take(200, 0, 1)
	if got[busy] < 49 || got[busy] > 51 || got[light] < 49 || got[light] > 51 || got[heavy] < 99 || got[heavy] > 101 {
		t.Errorf("dispatches of 200 by weight 1, 1, 2 = %d, %d, %d", got[busy], got[light], got[heavy])
	}
}

// Guards against starvation of long requests, and against long requests that
// exceed their guaranteed share while other classes wait.
func TestClassesArePreferredWithAFloorForLong(t *testing.T) {
	q := newTestQueue()
	tenant := q.tenant(1)
	for class := Urgent; class < ClassCount; class++ {
		q.push(tenant, class, 500)
	}
	_, got := q.take(500, 0.1, 1)
	if got[Quick] != 0 || got[Long] < 49 || got[Long] > 51 {
		t.Errorf("500 dispatches by class = %v", got)
	}
	slow := newTestQueue()
	tenant = slow.tenant(1)
	slow.push(tenant, Urgent, 1000)
	slow.push(tenant, Long, 500)
	_, got = slow.take(910, 0.1, 10) // 900 requests of slot time 1 and 10 of slot time 10
	if got[Long] < 9 || got[Long] > 11 {
		t.Errorf("910 dispatches with slow long requests = %v", got)
	}
	_, got = newTestQueueWith(Long, 10).take(10, 0, 1)
	if got[Long] != 10 {
		t.Errorf("dispatches of only long requests = %v", got)
	}
}

func newTestQueueWith(class Class, count int) *testQueue {
	q := newTestQueue()
	q.push(q.tenant(1), class, count)
	return q
}

// Guards against an estimate that counts the backlog of a busy tenant against a
// tenant with few requests.
func TestAheadFollowsFairQueueing(t *testing.T) {
	q := newTestQueue()
	busy, light := q.tenant(1), q.tenant(1)
	q.push(busy, Quick, 100)
	if got := q.scheduler.Ahead(&q.rows, busy, Quick); got != 100 {
		t.Errorf("ahead of a new request of the busy tenant = %v", got)
	}
	if got := q.scheduler.Ahead(&q.rows, light, Quick); got != 1 {
		t.Errorf("ahead of the light tenant = %v", got)
	}
}

// Guards against a rate above the quota and against a bucket that never refills.
func TestTokenBucketKeepsRateAndBurst(t *testing.T) {
	limits := policy.Tenant{RequestsPerSecond: 10, Burst: 5}
	var bucket TokenBucket
	now := time.Unix(0, 0)
	admitted := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if bucket.Take(now, limits) {
			admitted++
		}
	}
	if admitted < 104 || admitted > 105 {
		t.Errorf("%d requests in 10 s at 10 per second with a burst of 5", admitted)
	}
	if after := bucket.TimeUntilFull(limits); after <= 0 || after > 500*time.Millisecond {
		t.Errorf("full after %v", after)
	}
	if bucket.Take(now.Add(time.Hour), policy.Tenant{Burst: 5}) {
		t.Error("a rate of zero admits a request")
	}
}
