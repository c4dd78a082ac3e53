// Package intake answers callers: it makes jobs and cancellations durable
// before they are acknowledged, in group commits, and shows the state of jobs.
//
// The package does no I/O: requests and results come in through methods,
// Systems run in each tick, and writes, reads and replies leave as outbound
// rows.
package intake

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Limits of acceptance.
const (
	// maxBatch keeps a write, with two entries a job, within the 32 entries of
	// a store transaction.
	maxBatch = 16
	// maxWritesInFlight lets one slow write not hold up later requests.
	maxWritesInFlight = 4
	// batchEvery gathers requests while a write is in flight; store calls are
	// priced and limited for all machines together.
	batchEvery = 12 * time.Millisecond
	// refuseAfter is how long a request is held while the store refuses
	// writes. Callers that are told early try again at another machine.
	refuseAfter = 250 * time.Millisecond
	// retryWrite is the pause after a write that failed.
	retryWrite = 60 * time.Millisecond
	// answerMargin leaves time for an answer before the caller's time limit.
	answerMargin = 250 * time.Millisecond
	// maxWaiting bounds the requests in memory; beyond it callers are refused
	// at once.
	maxWaiting = 4096
	// RetryAfter is when a refused caller should come back.
	RetryAfter = time.Second
)

// Outcome is the answer to a request.
type Outcome uint8

// The outcomes of a request.
const (
	Accepted      Outcome = iota + 1 // durable
	NotAccepted                      // provably not accepted; it never runs
	Unresolved                       // may have been accepted
	StateReturned                    // State holds the answer
	JobNotFound                      // provably none
	CountReturned                    // Count holds the answer
	NotAvailable                     // can't be answered now
)

// String returns the name used in logs.
func (o Outcome) String() string {
	names := [...]string{"invalid", "accepted", "not-accepted", "unresolved", "shown", "no-such-job", "counted", "not-available"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Verb is what a caller asks for.
type Verb uint8

// The verbs of a request.
const (
	Submit Verb = iota + 1
	Status
	Cancel
	CountPending
)

// String returns the name used in logs.
func (v Verb) String() string {
	return [...]string{"invalid", "submit", "status", "cancel", "pending"}[min(v, CountPending)]
}

// Request is a caller's request.
type Request struct {
	ID       uint64 // for the reply
	Verb     Verb
	Job      string
	Queue    string
	Spec     *work.Job // of a submission
	Manifest int64     // version that routed it
	Deadline time.Time

	arrived   time.Time
	writing   uint64
	maybeDone bool // a write with it got no answer
	notBefore time.Time
}

// Reply answers a request.
type Reply struct {
	Request uint64
	Outcome Outcome
	State   work.JobState
	Count   int
}

// Lookup reads a job from the store.
type Lookup struct {
	Request table.ID
	Job     string
}

// State holds the requests that wait for the store.
type State struct {
	Mirror   *ledger.JobMirror
	Requests table.Table[Request]

	Replies   table.Outbound[Reply]
	Writes    table.Outbound[ledger.Write]
	Lookups   table.Outbound[Lookup]
	Logs      table.Outbound[events.Record]
	NextWrite func() uint64

	writes    map[uint64][]table.ID
	lastWrite time.Time
}

// New returns an empty state.
func New(jobs *ledger.JobMirror, nextWrite func() uint64) *State {
	return &State{Mirror: jobs, NextWrite: nextWrite, writes: map[uint64][]table.ID{}}
}

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "answer what the watch shows", Run: answerSeen},
	{Name: "expire requests", Run: expireRequests},
	{Name: "write requests", Run: writeRequests},
}

// Receive takes a request and answers it at once if it can.
func (s *State) Receive(tick engine.Tick, r Request) {
	r.arrived = tick.Now
	_, job := s.Mirror.Find(r.Job)
	known := job != nil && job.Spec != nil
	switch {
	case r.Verb == CountPending:
		s.reply(tick, &r, Reply{Outcome: CountReturned, Count: s.Mirror.PendingJobs(r.Queue)})
	case r.Verb == Submit && known:
		s.reply(tick, &r, Reply{Outcome: Accepted})
	case r.Verb == Status && known:
		s.reply(tick, &r, Reply{Outcome: StateReturned, State: job.State()})
	case r.Verb == Cancel && known && job.State().Final():
		s.reply(tick, &r, Reply{Outcome: Accepted})
	case s.Requests.Len() >= maxWaiting:
		s.reply(tick, &r, Reply{Outcome: refusal(r.Verb)})
	case r.Verb == Submit, r.Verb == Cancel && known:
		s.Requests.Insert(r)
	default:
		id := s.Requests.Insert(r)
		s.Lookups.Add(Lookup{Request: id, Job: r.Job})
	}
}

func refusal(v Verb) Outcome {
	if v == Submit {
		return NotAccepted
	}
	return NotAvailable
}

func (s *State) reply(tick engine.Tick, r *Request, reply Reply) {
	reply.Request = r.ID
	s.Replies.Add(reply)
	fields := []events.Field{
		events.F("request", r.ID), events.F("verb", r.Verb.String()), events.F("job", r.Job), events.F("queue", r.Queue),
		events.F("outcome", reply.Outcome.String()), events.F("manifest", r.Manifest),
		events.F("store_revision", s.Mirror.Revision), events.F("mirror_age_ms", tick.Now.Sub(s.Mirror.RefreshedAt).Milliseconds()),
		events.F("held_ms", tick.Now.Sub(r.arrived).Milliseconds()),
	}
	if reply.Outcome == StateReturned {
		fields = append(fields, events.F("state", reply.State.String()))
	}
	event := events.RequestAnswered
	if reply.Outcome == NotAccepted || reply.Outcome == NotAvailable || reply.Outcome == Unresolved {
		event = events.RequestNotServed
	}
	s.Logs.Add(events.Record{Event: event, Fields: fields})
}

func (s *State) finish(tick engine.Tick, id table.ID, reply Reply) {
	s.reply(tick, s.Requests.Get(id), reply)
	s.Requests.Delete(id)
}

// answerSeen answers requests whose record the watch shows: their write was
// carried out, though its answer may be lost or late.
func answerSeen(s *State, tick engine.Tick) {
	for id, r := range s.Requests.All() {
		_, job := s.Mirror.Find(r.Job)
		if job == nil || job.Spec == nil {
			continue
		}
		if r.Verb == Submit || (r.Verb == Cancel && job.State().Final()) {
			s.finish(tick, id, Reply{Outcome: Accepted})
		}
	}
}

// expireRequests gives the final answer to requests that can't be served in
// time, and to those that the store refuses.
func expireRequests(s *State, tick engine.Tick) {
	for id, r := range s.Requests.All() {
		late := !tick.Now.Before(r.Deadline.Add(-answerMargin))
		refused := !r.notBefore.IsZero() && !r.maybeDone && r.writing == 0 && tick.Now.Sub(r.arrived) > refuseAfter
		switch {
		case !late && !refused:
		case r.maybeDone || r.writing != 0:
			s.finish(tick, id, Reply{Outcome: Unresolved})
		default:
			s.finish(tick, id, Reply{Outcome: refusal(r.Verb)})
		}
	}
}

// writeRequests commits waiting submissions and cancellations together.
func writeRequests(s *State, tick engine.Tick) {
	if len(s.writes) >= maxWritesInFlight || (len(s.writes) > 0 && tick.Now.Before(s.lastWrite.Add(batchEvery))) {
		return
	}
	write := ledger.Write{ID: s.NextWrite()}
	var rows []table.ID
	batched := map[string]bool{}
	for id, r := range s.Requests.All() {
		if r.writing != 0 || tick.Now.Before(r.notBefore) || (r.Verb == Cancel && !s.knows(r.Job)) || r.Verb == Status {
			continue
		}
		if len(rows) == maxBatch || batched[r.Job] {
			continue
		}
		batched[r.Job] = true
		if r.Verb == Submit {
			key := ledger.Key{Kind: ledger.KindJob, Name: r.Job}
			write.Expect = append(write.Expect, ledger.Condition{Key: key})
			write.Put = append(write.Put, ledger.Put{Key: key, Content: r.Spec})
		} else {
			write.Put = append(write.Put, ledger.Put{Key: ledger.Key{Kind: ledger.KindCancel, Name: r.Job}})
		}
		r.writing = write.ID
		rows = append(rows, id)
	}
	if len(rows) == 0 {
		return
	}
	s.writes[write.ID], s.lastWrite = rows, tick.Now
	s.Writes.Add(write)
}

func (s *State) knows(job string) bool {
	_, row := s.Mirror.Find(job)
	return row != nil && row.Spec != nil
}

// WriteDone records the result of a write and reports whether it was one of
// this package.
func (s *State) WriteDone(tick engine.Tick, result ledger.WriteResult) bool {
	rows, ok := s.writes[result.ID]
	if !ok {
		return false
	}
	delete(s.writes, result.ID)
	exists := map[string]bool{}
	for _, seen := range result.Current {
		s.Mirror.Apply(tick.Now, seen)
		exists[seen.Key.Name] = !seen.Deleted
	}
	if result.Outcome != ledger.Applied && result.Outcome != ledger.Conflict {
		s.Logs.Add(events.Record{Event: events.RequestsNotWritten, Fields: []events.Field{
			events.F("requests", len(rows)), events.F("outcome", result.Outcome.String()), events.Err(result.Err),
		}})
	}
	for _, id := range rows {
		r := s.Requests.Get(id)
		if r == nil {
			s.applyWritten(tick, nil, result)
			continue
		}
		r.writing = 0
		switch {
		case result.Outcome == ledger.Applied:
			s.applyWritten(tick, r, result)
			s.finish(tick, id, Reply{Outcome: Accepted})
		case result.Outcome == ledger.Conflict && r.Verb == Submit && exists[r.Job]:
			s.finish(tick, id, Reply{Outcome: Accepted})
		case result.Outcome == ledger.Conflict:
			// Another request of the batch was accepted before; the rest goes
			// into the next write.
		default:
			r.maybeDone = r.maybeDone || result.Outcome == ledger.Unknown
			r.notBefore = tick.Now.Add(retryWrite)
		}
	}
	return true
}

func (s *State) applyWritten(tick engine.Tick, r *Request, result ledger.WriteResult) {
	if r == nil {
		return // the request expired; the watch shows the record
	}
	seen := ledger.Record{Key: ledger.Key{Kind: ledger.KindCancel, Name: r.Job}, Revision: result.Revision, CreateRevision: result.Revision}
	if r.Verb == Submit {
		seen.Key.Kind, seen.Content = ledger.KindJob, r.Spec
	}
	s.Mirror.Apply(tick.Now, seen)
}

// LookupDone records the answer to a lookup.
func (s *State) LookupDone(tick engine.Tick, lookup Lookup, records []ledger.Record, err error) {
	for _, seen := range records {
		s.Mirror.Apply(tick.Now, seen)
	}
	r := s.Requests.Get(lookup.Request)
	if r == nil {
		return
	}
	_, job := s.Mirror.Find(r.Job)
	switch {
	case err != nil:
		s.finish(tick, lookup.Request, Reply{Outcome: NotAvailable})
	case job == nil || job.Spec == nil:
		s.finish(tick, lookup.Request, Reply{Outcome: JobNotFound})
	case r.Verb == Status:
		s.finish(tick, lookup.Request, Reply{Outcome: StateReturned, State: job.State()})
	case job.State().Final():
		s.finish(tick, lookup.Request, Reply{Outcome: Accepted})
	}
}
