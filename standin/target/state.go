package target

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// maxExecutions limits the number of execution counters, and so their memory.
const maxExecutions = 1 << 20

type targetRow struct {
	Status
	slots int
}

// requestRow is a request that holds a slot.
type requestRow struct {
	target table.ID
}

type executionKey struct {
	idempotency bool // id is an idempotency key; otherwise it is a request ID
	id          string
}

type executionRow struct {
	key   executionKey
	count int
}

type admissionRow struct {
	reply chan admission
	admission
}

type state struct {
	service      ServiceTime
	random       *rand.Rand
	targets      table.Table[targetRow]
	arrivals     []*arrival // in event order
	requests     table.Table[requestRow]
	executions   table.Table[executionRow]
	executionIDs table.Index[executionKey]
	truncated    bool

	admissions  table.Outbound[admissionRow]
	completions table.Outbound[chan struct{}]
}

// event is a state change posted by an HTTP handler or a control method.
type event interface {
	apply(*state)
}

// arrival is a request that waits for admission.
type arrival struct {
	target         table.ID
	requestID      string
	idempotencyKey string
	reply          chan admission // buffered for one admission, so the loop never blocks on the handler
}

// admission is the decision on a request: executed, refused, or aborted because
// the target is down.
type admission struct {
	request table.ID // row that holds the slot; zero if not admitted
	refused string
	down    bool
	faults  Faults
	service time.Duration
}

func (a *arrival) apply(s *state) { s.arrivals = append(s.arrivals, a) }

// finished reports that the response to a request has been written.
type finished struct{ request table.ID }

func (f finished) apply(s *state) {
	row := s.requests.Get(f.request)
	if row == nil {
		return // the target was stopped in the meantime
	}
	s.targets.Get(row.target).InFlight--
	s.requests.Delete(f.request)
}

// controlEvent runs a control method's change in the loop. done is closed after
// the systems of its tick have run.
type controlEvent struct {
	change func(*state)
	done   chan struct{}
}

func (e controlEvent) apply(s *state) {
	e.change(s)
	s.completions.Add(e.done)
}

// systems lists the systems of the targets in the order in which they run.
func systems() []engine.System[state] {
	return []engine.System[state]{{Name: "admit", Run: admit}}
}

func admit(s *state, _ engine.Tick) {
	for _, a := range s.arrivals {
		s.admissions.Add(admissionRow{reply: a.reply, admission: s.decide(a)})
	}
	clear(s.arrivals)
	s.arrivals = s.arrivals[:0]
}

func (s *state) decide(a *arrival) admission {
	row := s.targets.Get(a.target)
	switch {
	case row.Down:
		return admission{down: true}
	case row.Draining:
		row.Refused++
		return admission{refused: RefusedDraining}
	case row.InFlight >= row.slots:
		row.Refused++
		return admission{refused: RefusedFull}
	}
	row.InFlight++
	row.HighestInFlight = max(row.HighestInFlight, row.InFlight)
	row.Executed++
	s.countExecution(executionKey{id: a.requestID})
	s.countExecution(executionKey{idempotency: true, id: a.idempotencyKey})
	return admission{
		request: s.requests.Insert(requestRow{target: a.target}),
		faults:  row.Faults,
		service: s.service.sample(s.random) + time.Duration(row.SlowMS)*time.Millisecond,
	}
}

func (s *state) countExecution(key executionKey) {
	if key.id == "" {
		return
	}
	if id, ok := s.executionIDs.Get(key); ok {
		s.executions.Get(id).count++
		return
	}
	if s.executions.Len() >= maxExecutions {
		s.truncated = true
		return
	}
	s.executionIDs.Put(key, s.executions.Insert(executionRow{key: key, count: 1}))
}

// stopTarget marks a target as down, releases its slots and counts the requests
// in flight as aborted.
func (s *state) stopTarget(id table.ID) {
	row := s.targets.Get(id)
	for request, held := range s.requests.All() {
		if held.target == id {
			row.Aborted++
			s.requests.Delete(request)
		}
	}
	row.InFlight, row.Down = 0, true
}

func (s *state) countsAtLeast(minimum int) Executions {
	result := Executions{Requests: map[string]int{}, Keys: map[string]int{}, Truncated: s.truncated}
	for _, row := range s.executions.All() {
		switch {
		case row.count < minimum:
		case row.key.idempotency:
			result.Keys[row.key.id] = row.count
		default:
			result.Requests[row.key.id] = row.count
		}
	}
	return result
}
