package routing

import (
	"cmp"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Tag is a virtual time of weighted fair queueing.
type Tag float64

// Compare orders tags.
func (t Tag) Compare(other Tag) int { return cmp.Compare(t, other) }

// Entry is the part of a request row that the scheduler uses.
type Entry struct {
	Tenant table.ID
	Class  Class

	queue table.Link // among the waiting requests of its tenant and class
	age   table.Link // among all waiting requests of its class
}

// Waiting reports whether the request is in the scheduler.
func (e *Entry) Waiting() bool { return e.age.Linked() }

// Tenant is a row for one tenant in one pool. R is the row type of requests.
type Tenant[R any] struct {
	Pool   table.ID
	Name   string
	Weight float64
	Active int // requests without an answer
	Bucket TokenBucket

	queues  [ClassCount]table.LinkedList[R]
	finish  [ClassCount]Tag     // end of the tenant's last dispatch
	counted [ClassCount]float64 // weight in the sum of the class while requests wait
}

// Rows gives the scheduler access to the tables that its owner keeps.
type Rows[R any] struct {
	Requests *table.Table[R]
	Tenants  *table.Table[Tenant[R]]
	Entry    func(*R) *Entry
}

func (r *Rows[R]) queueLink(row *R) *table.Link { return &r.Entry(row).queue }
func (r *Rows[R]) ageLink(row *R) *table.Link   { return &r.Entry(row).age }

// Scheduler orders the waiting requests of one pool: classes with strict
// preference and a floor for long, and start-time fair queueing between the
// tenants of a class. Every operation takes logarithmic time in the number of
// tenants that wait. The zero value is empty.
type Scheduler[R any] struct {
	classes [ClassCount]classQueue[R]
	// longClaim is the slot time that long work is owed, in seconds.
	longClaim float64
}

// Shares says how long work competes with other classes.
type Shares struct {
	LongFloor   float64             // share of the slot time that long work gets while it waits
	LongAllowed bool                // long work may take another slot
	Cost        [ClassCount]float64 // expected slot time of a request, in seconds
}

type classQueue[R any] struct {
	tenants table.Heap[Tag] // tenants with waiting requests, by start tag
	age     table.LinkedList[R]
	virtual Tag
	weight  float64 // sum over the tenants that wait
}

// Len returns the number of waiting requests.
func (s *Scheduler[R]) Len() int {
	sum := 0
	for i := range s.classes {
		sum += s.classes[i].age.Len()
	}
	return sum
}

// Waiting returns the number of waiting requests of a class.
func (s *Scheduler[R]) Waiting(class Class) int { return s.classes[class].age.Len() }

// Oldest returns the request of the class that came first, or the zero ID.
func (s *Scheduler[R]) Oldest(class Class) table.ID { return s.classes[class].age.Front() }

// Push adds a request behind the others of its tenant and class.
func (s *Scheduler[R]) Push(rows *Rows[R], id table.ID) {
	entry := rows.Entry(rows.Requests.Get(id))
	class, tenant := &s.classes[entry.Class], rows.Tenants.Get(entry.Tenant)
	queue := &tenant.queues[entry.Class]
	class.age.PushBack(rows.Requests, rows.ageLink, id)
	queue.PushBack(rows.Requests, rows.queueLink, id)
	s.activate(class, tenant, entry, queue.Len())
}

// PushFront puts a request that was sent in vain back before the others of its
// tenant and class.
func (s *Scheduler[R]) PushFront(rows *Rows[R], id table.ID) {
	entry := rows.Entry(rows.Requests.Get(id))
	class, tenant := &s.classes[entry.Class], rows.Tenants.Get(entry.Tenant)
	queue := &tenant.queues[entry.Class]
	class.age.PushFront(rows.Requests, rows.ageLink, id)
	queue.PushFront(rows.Requests, rows.queueLink, id)
	s.activate(class, tenant, entry, queue.Len())
}

func (s *Scheduler[R]) activate(class *classQueue[R], tenant *Tenant[R], entry *Entry, length int) {
	if length > 1 {
		return
	}
	class.tenants.Put(entry.Tenant, max(class.virtual, tenant.finish[entry.Class]))
	tenant.counted[entry.Class] = tenant.Weight
	class.weight += tenant.Weight
}

// Remove takes a request out without charging its tenant. It reports false if
// the request does not wait.
func (s *Scheduler[R]) Remove(rows *Rows[R], id table.ID) bool {
	entry := rows.Entry(rows.Requests.Get(id))
	if !entry.Waiting() {
		return false
	}
	class, tenant := &s.classes[entry.Class], rows.Tenants.Get(entry.Tenant)
	class.age.Remove(rows.Requests, rows.ageLink, id)
	tenant.queues[entry.Class].Remove(rows.Requests, rows.queueLink, id)
	if tenant.queues[entry.Class].Len() == 0 {
		class.tenants.Remove(entry.Tenant)
		class.weight -= tenant.counted[entry.Class]
		if class.tenants.Len() == 0 {
			class.weight = 0 // drops rounding errors
		}
	}
	return true
}

// Next returns the request that is dispatched next.
func (s *Scheduler[R]) Next(rows *Rows[R], shares *Shares) (table.ID, bool) {
	long := shares.LongAllowed && s.classes[Long].age.Len() > 0
	if long && s.longClaim >= (1-shares.LongFloor)*shares.Cost[Long] {
		return s.head(rows, Long), true
	}
	for class := Urgent; class < Long; class++ {
		if s.classes[class].age.Len() > 0 {
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
	s.claim(entry.Class, shares)
	_, class.virtual, _ = class.tenants.Min()
	tenant.finish[entry.Class] = class.virtual + Tag(1/tenant.Weight)
	s.Remove(rows, id)
	if tenant.queues[entry.Class].Len() > 0 {
		class.tenants.Put(entry.Tenant, tenant.finish[entry.Class])
	}
}

// claim settles the floor in slot time. Counted in dispatches, long requests
// that take a hundred times longer would get nearly all slots.
func (s *Scheduler[R]) claim(class Class, shares *Shares) {
	if s.classes[Long].age.Len() == 0 {
		s.longClaim = 0
		return
	}
	s.longClaim += shares.LongFloor * shares.Cost[class]
	if class == Long {
		s.longClaim = max(0, s.longClaim-shares.Cost[Long])
	}
}

// Ahead returns the number of waiting requests of the class that will be
// dispatched before a new one of the tenant: as many as fair queueing lets pass.
func (s *Scheduler[R]) Ahead(rows *Rows[R], tenantID table.ID, class Class) float64 {
	tenant := rows.Tenants.Get(tenantID)
	own := float64(tenant.queues[class].Len())
	weight := s.classes[class].weight
	if own == 0 {
		weight += tenant.Weight
	}
	return min(float64(s.Waiting(class)), (own+1)*weight/tenant.Weight-1)
}
