package target

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// maxExecutions bounds the memory of the execution counters.
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
	idempotency bool // an idempotency key, otherwise a request ID
	id          string
}

type executionRow struct {
	key   executionKey
	count int
}

type verdictRow struct {
	answer chan verdict
	verdict
}

type state struct {
	service    ServiceTime
	random     *rand.Rand
	targets    table.Table[targetRow]
	arrivals   []*arrival // in the order of their events
	requests   table.Table[requestRow]
	executions table.Table[executionRow]
	counted    table.Index[executionKey]
	truncated  bool

	verdicts table.Outbound[verdictRow]
	signals  table.Outbound[chan struct{}]
}

// event is a change that an HTTP handler or a switch reports.
type event interface {
	apply(*state)
}

// arrival is a request that asks for a slot.
type arrival struct {
	target         table.ID
	requestID      string
	idempotencyKey string
	answer         chan verdict // holds one verdict, so the loop never waits for the handler
}

// verdict is what a handler does with its request.
type verdict struct {
	request table.ID // holds the slot; zero if refused
	refused string
	down    bool
	faults  Faults
	service time.Duration
}

func (a *arrival) apply(s *state) { s.arrivals = append(s.arrivals, a) }

// finished reports that the answer of a request has been written.
type finished struct{ request table.ID }

func (f finished) apply(s *state) {
	row := s.requests.Get(f.request)
	if row == nil {
		return // the target was stopped meanwhile
	}
	s.targets.Get(row.target).InFlight--
	s.requests.Delete(f.request)
}

// controlEvent comes from a switch. done is closed after the systems of its tick.
type controlEvent struct {
	change func(*state)
	done   chan struct{}
}

func (e controlEvent) apply(s *state) {
	e.change(s)
	s.signals.Add(e.done)
}

// systems lists the systems of the targets in the order in which they run.
func systems() []engine.System[state] {
	return []engine.System[state]{{Name: "admit", Run: admit}}
}

func admit(s *state, _ engine.Tick) {
	for _, a := range s.arrivals {
		s.verdicts.Add(verdictRow{answer: a.answer, verdict: s.judge(a)})
	}
	clear(s.arrivals)
	s.arrivals = s.arrivals[:0]
}

func (s *state) judge(a *arrival) verdict {
	row := s.targets.Get(a.target)
	switch {
	case row.Down:
		return verdict{down: true}
	case row.Draining:
		row.Refused++
		return verdict{refused: RefusedDraining}
	case row.InFlight >= row.slots:
		row.Refused++
		return verdict{refused: RefusedFull}
	}
	row.InFlight++
	row.HighestInFlight = max(row.HighestInFlight, row.InFlight)
	row.Executed++
	s.count(executionKey{id: a.requestID})
	s.count(executionKey{idempotency: true, id: a.idempotencyKey})
	return verdict{
		request: s.requests.Insert(requestRow{target: a.target}),
		faults:  row.Faults,
		service: s.service.draw(s.random) + time.Duration(row.SlowMS)*time.Millisecond,
	}
}

func (s *state) count(key executionKey) {
	if key.id == "" {
		return
	}
	if id, ok := s.counted.Get(key); ok {
		s.executions.Get(id).count++
		return
	}
	if s.executions.Len() >= maxExecutions {
		s.truncated = true
		return
	}
	s.counted.Put(key, s.executions.Insert(executionRow{key: key, count: 1}))
}

// stop releases the slots of a target and counts the requests that it cuts off.
func (s *state) stop(id table.ID) {
	row := s.targets.Get(id)
	for request, held := range s.requests.All() {
		if held.target == id {
			row.Aborted++
			s.requests.Delete(request)
		}
	}
	row.InFlight, row.Down = 0, true
}

func (s *state) countsAtLeast(least int) Executions {
	result := Executions{Requests: map[string]int{}, Keys: map[string]int{}, Truncated: s.truncated}
	for _, row := range s.executions.All() {
		switch {
		case row.count < least:
		case row.key.idempotency:
			result.Keys[row.key.id] = row.count
		default:
			result.Requests[row.key.id] = row.count
		}
	}
	return result
}
