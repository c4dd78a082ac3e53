package routing

import (
	"cmp"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Tag is a point in the virtual time of weighted fair queueing.
type Tag float64

// Compare orders tags.
func (t Tag) Compare(other Tag) int { return cmp.Compare(t, other) }

// Entry is the part of a request row that the scheduler uses.
type Entry struct {
	Tenant table.ID
	Class  Class

	queue   table.Link // in the queue of its tenant and class
	arrival table.Link // in the arrival order of its class
}

// Waiting reports whether the request is in the scheduler.
func (e *Entry) Waiting() bool { return e.arrival.Linked() }

// Tenant is a row for one tenant in one pool. R is the row type of requests.
type Tenant[R any] struct {
	Pool   table.ID
	Name   string
	Weight float64
	Active int // admitted requests that have no answer yet
	Bucket TokenBucket

	queues        [ClassCount]table.LinkedList[R]
	finish        [ClassCount]Tag     // finish tag of the tenant's last dispatch
	countedWeight [ClassCount]float64 // weight included in the class's totalWeight while requests wait
}

// Rows gives the scheduler access to the tables of its owner.
type Rows[R any] struct {
	Requests *table.Table[R]
	Tenants  *table.Table[Tenant[R]]
	Entry    func(*R) *Entry
}

func (r *Rows[R]) queueLink(row *R) *table.Link   { return &r.Entry(row).queue }
func (r *Rows[R]) arrivalLink(row *R) *table.Link { return &r.Entry(row).arrival }

// Scheduler orders the waiting requests of one pool: strict priority between
// classes with a guaranteed share for long requests, and start-time fair queueing
// between the tenants of a class. Every operation takes logarithmic time in the
// number of tenants with waiting requests. The zero value is empty.
type Scheduler[R any] struct {
	classes [ClassCount]classQueue[R]
	// longDeficit is the slot time owed to long requests, in seconds.
	longDeficit float64
}

// Shares sets how long requests compete with the other classes.
type Shares struct {
	LongFloor   float64             // share of the slot time guaranteed to long requests while any wait
	LongAllowed bool                // another long request may be dispatched
	Cost        [ClassCount]float64 // expected slot time of a request, in seconds
}

type classQueue[R any] struct {
	tenants     table.Heap[Tag] // tenants with waiting requests, by start tag
	arrivals    table.LinkedList[R]
	virtualTime Tag
	totalWeight float64 // sum over the tenants with waiting requests
}

// Len returns the number of waiting requests.
func (s *Scheduler[R]) Len() int {
	sum := 0
	for i := range s.classes {
		sum += s.classes[i].arrivals.Len()
	}
	return sum
}

// Waiting returns the number of waiting requests of a class.
func (s *Scheduler[R]) Waiting(class Class) int { return s.classes[class].arrivals.Len() }

// Oldest returns the first request in the arrival order of the class, or the
// zero ID.
func (s *Scheduler[R]) Oldest(class Class) table.ID { return s.classes[class].arrivals.Front() }

// Push appends a request to the queue of its tenant and class.
func (s *Scheduler[R]) Push(rows *Rows[R], id table.ID) {
	entry := rows.Entry(rows.Requests.Get(id))
	class, tenant := &s.classes[entry.Class], rows.Tenants.Get(entry.Tenant)
	queue := &tenant.queues[entry.Class]
	class.arrivals.PushBack(rows.Requests, rows.arrivalLink, id)
	queue.PushBack(rows.Requests, rows.queueLink, id)
	s.activate(class, tenant, entry, queue.Len())
}

// PushFront returns a request whose attempt failed to the front of the queue of
// its tenant and class.
func (s *Scheduler[R]) PushFront(rows *Rows[R], id table.ID) {
	entry := rows.Entry(rows.Requests.Get(id))
	class, tenant := &s.classes[entry.Class], rows.Tenants.Get(entry.Tenant)
	queue := &tenant.queues[entry.Class]
	class.arrivals.PushFront(rows.Requests, rows.arrivalLink, id)
	queue.PushFront(rows.Requests, rows.queueLink, id)
	s.activate(class, tenant, entry, queue.Len())
}

func (s *Scheduler[R]) activate(class *classQueue[R], tenant *Tenant[R], entry *Entry, length int) {
	if length > 1 {
		return
	}
	class.tenants.Put(entry.Tenant, max(class.virtualTime, tenant.finish[entry.Class]))
	tenant.countedWeight[entry.Class] = tenant.Weight
	class.totalWeight += tenant.Weight
}

// Remove takes a request out of its queues without charging its tenant. It
// reports false if the request is not waiting.
func (s *Scheduler[R]) Remove(rows *Rows[R], id table.ID) bool {
	entry := rows.Entry(rows.Requests.Get(id))
	if !entry.Waiting() {
		return false
	}
	class, tenant := &s.classes[entry.Class], rows.Tenants.Get(entry.Tenant)
	class.arrivals.Remove(rows.Requests, rows.arrivalLink, id)
	tenant.queues[entry.Class].Remove(rows.Requests, rows.queueLink, id)
	if tenant.queues[entry.Class].Len() == 0 {
		class.tenants.Remove(entry.Tenant)
		class.totalWeight -= tenant.countedWeight[entry.Class]
		if class.tenants.Len() == 0 {
			class.totalWeight = 0 // discards accumulated rounding errors
		}
	}
	return true
}

// Next returns the request to dispatch next.
func (s *Scheduler[R]) Next(rows *Rows[R], shares *Shares) (table.ID, bool) {
	long := shares.LongAllowed && s.classes[Long].arrivals.Len() > 0
	if long && s.longDeficit >= (1-shares.LongFloor)*shares.Cost[Long] {
		return s.head(rows, Long), true
	}
	for class := Urgent; class < Long; class++ {
		if s.classes[class].arrivals.Len() > 0 {
			return s.head(rows, class), true
		}
	}
	if long {
		return s.head(rows, Long), true
	}
	return 0, false
}

func (s *Scheduler[R]) head(rows *Rows[R], class Class) table.ID {
	tenant, _, _ := s.classes[class].tenants.Min()
	return rows.Tenants.Get(tenant).queues[class].Front()
}

// Dispatch removes the request that Next returned and charges its tenant for one
// dispatch.
func (s *Scheduler[R]) Dispatch(rows *Rows[R], id table.ID, shares *Shares) {
	entry := rows.Entry(rows.Requests.Get(id))
	class, tenant := &s.classes[entry.Class], rows.Tenants.Get(entry.Tenant)
	s.updateLongDeficit(entry.Class, shares)
	_, class.virtualTime, _ = class.tenants.Min()
	tenant.finish[entry.Class] = class.virtualTime + Tag(1/tenant.Weight)
	s.Remove(rows, id)
	if tenant.queues[entry.Class].Len() > 0 {
		class.tenants.Put(entry.Tenant, tenant.finish[entry.Class])
	}
}

// updateLongDeficit accounts for a dispatch in slot time. If dispatches were
// counted instead, long requests that take a hundred times longer would get
// nearly all slots.
func (s *Scheduler[R]) updateLongDeficit(class Class, shares *Shares) {
	if s.classes[Long].arrivals.Len() == 0 {
		s.longDeficit = 0
		return
	}
	s.longDeficit += shares.LongFloor * shares.Cost[class]
	if class == Long {
		s.longDeficit = max(0, s.longDeficit-shares.Cost[Long])
	}
}

// Ahead estimates the number of waiting requests of the class that fair queueing
// dispatches before a new one of the tenant.
func (s *Scheduler[R]) Ahead(rows *Rows[R], tenantID table.ID, class Class) float64 {
	tenant := rows.Tenants.Get(tenantID)
	own := float64(tenant.queues[class].Len())
	weight := s.classes[class].totalWeight
	if own == 0 {
		weight += tenant.Weight
	}
	return min(float64(s.Waiting(class)), (own+1)*weight/tenant.Weight-1)
}
