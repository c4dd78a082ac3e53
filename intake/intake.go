// Package intake serves the requests of callers: it stores submitted jobs and
// cancellations, in group commits, before it acknowledges them, and reports the
// state of jobs.
//
// The package does no I/O: requests and results come in through methods,
// Systems run in each tick, and writes, reads and replies leave as outbound
// rows.
package intake

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Limits and timing of requests.
const (
	// maxBatch keeps a write, with two entries per job, within the limit of 32
	// entries per store transaction.
	maxBatch = 16
	// maxWritesInFlight is above 1, so that one slow write does not delay later
	// requests.
	maxWritesInFlight = 4
	// batchInterval is the time between writes while one is in flight, in which
	// requests are batched: store calls are charged, and rate-limited for all
	// machines together.
	batchInterval = 12 * time.Millisecond
	// refusalTimeout is how long a request is held while the store refuses
	// writes. A caller that is refused early can retry at another machine.
	refusalTimeout = 250 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 60 * time.Millisecond
	// replyMargin is the time reserved for the reply before the caller's deadline.
	replyMargin = 250 * time.Millisecond
	// maxHeldRequests bounds the requests held in memory; further requests are
	// refused immediately.
	maxHeldRequests = 4096
	// maxCountAge is the age of the mirror from which it answers no counts. A count may
	// be 2 s old and must contain the jobs that were accepted 5 s before.
	maxCountAge = 4 * time.Second
	// DefaultRetryAfter is the delay after which a caller should retry that was
	// refused for another reason than the state of the store.
	DefaultRetryAfter = time.Second
)

// Outcome is the result of a request.
type Outcome uint8

// The outcomes of a request.
const (
	Accepted      Outcome = iota + 1 // durable
	NotAccepted                      // certainly not stored; the job never runs
	Unresolved                       // may have been accepted
	StateReturned                    // Reply.State holds the answer
	JobNotFound                      // certainly not in the store
	CountReturned                    // Reply.Count holds the answer
	NotAvailable                     // cannot be answered now
	OtherTeam                        // the job belongs to another team; nothing was done
)

// String returns the name used in logs.
func (o Outcome) String() string {
	names := [...]string{"invalid", "accepted", "not-accepted", "unresolved", "shown", "no-such-job", "counted", "not-available", "other-team"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Verb is the operation that a caller requests.
type Verb uint8

// The verbs of a request.
const (
	Submit Verb = iota + 1
	Status
	Cancel
	CountPending // of a queue: jobs that have not started
)

// String returns the name used in logs.
func (v Verb) String() string {
	return [...]string{"invalid", "submit", "status", "cancel", "pending"}[min(v, CountPending)]
}

// Request is a caller's request.
type Request struct {
	ID       uint64 // copied to the reply
	Verb     Verb
	Job      string
	Queue    string
	Pool     string    // of the queue
	Team     string    // on whose behalf it is made; empty if the queue needs no key
	Spec     *work.Job // of a Submit
	Manifest int64     // version of the manifest that routed it
	Deadline time.Time

	receivedAt   time.Time
	writeID      uint64    // write in flight that contains the request, or 0
	maybeDurable bool      // a write that contained it has an unknown result
	retryAt      time.Time // zero until a write that contained it has failed
	notStored    bool      // of a Cancel: a lookup has found no job
	// rejection is set on a Submit that is rejected after the next read of the store.
	rejection *admission.Decision
	inputs    *admission.Inputs // of the acceptance of a job that is expected to be late
}

// Reply answers a request.
type Reply struct {
	Request uint64
	Outcome Outcome
	State   work.JobState
	Count   int
	// Reason and RetryAfter are set if the request was refused.
	Reason     admission.Reason
	RetryAfter time.Duration
	// Inputs are set if the submission was rejected for the load, or accepted although the
	// job is expected to be late.
	Inputs *admission.Inputs
}

// Lookup is an outbound read of a job's records, for a request that the mirror
// cannot answer.
type Lookup struct {
	Request table.ID
	Job     string
}

// State holds the requests that wait for a result from the store.
type State struct {
	Mirror   *ledger.JobMirror
	Requests table.Table[Request]

	Replies   table.Outbound[Reply]
	Writes    table.Outbound[ledger.Write]
	Lookups   table.Outbound[Lookup]
	Logs      table.Outbound[events.Record]
	NextWrite func() uint64

	// Admission decides on submissions.
	Admission admission.State

	writes      map[uint64][]written // requests in writes in flight, by write
	lastWriteAt time.Time

	submissions     table.Table[submission]
	submissionByJob table.Index[string]
}

// written is a request in a write. It may have been answered since.
type written struct {
	request table.ID
	job     string // of a Submit
}

// New returns an empty state.
func New(mirror *ledger.JobMirror, nextWrite func() uint64) *State {
	return &State{Mirror: mirror, NextWrite: nextWrite, writes: map[uint64][]written{}, Admission: admission.State{Mirror: mirror}}
}

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "answer from the mirror", Run: answerFromMirror},
	{Name: "reject submissions", Run: rejectSubmissions},
	{Name: "expire requests", Run: expireRequests},
	{Name: "write requests", Run: writeRequests},
	{Name: "forget submissions", Run: forgetSubmissions},
}

// Receive answers a request from the mirror if possible. Otherwise it holds the
// request until the store answers.
func (s *State) Receive(tick engine.Tick, r Request) {
	r.receivedAt = tick.Now
	_, job := s.Mirror.Find(r.Job)
	known := job != nil && job.Spec != nil
	switch {
	case r.Verb == CountPending && tick.Now.Sub(s.Mirror.ReadAt) > maxCountAge:
		s.reply(tick, &r, Reply{Outcome: NotAvailable, Reason: admission.MirrorOld})
	case r.Verb == CountPending:
		s.reply(tick, &r, Reply{Outcome: CountReturned, Count: s.Mirror.PendingJobs(r.Queue)})
	case known && r.isForeign(job.Spec):
		s.reply(tick, &r, Reply{Outcome: OtherTeam})
	case r.Verb == Submit && known:
		s.reply(tick, &r, Reply{Outcome: Accepted})
	case r.Verb == Status && known:
		s.reply(tick, &r, Reply{Outcome: StateReturned, State: job.State()})
	case r.Verb == Cancel && job != nil && job.State().Final():
		s.reply(tick, &r, Reply{Outcome: cancelOutcome(job)})
	case s.Requests.Len() >= maxHeldRequests && r.Verb == Submit && s.mayBeStored(tick.Now, r.Job):
		s.reply(tick, &r, Reply{Outcome: Unresolved})
	case s.Requests.Len() >= maxHeldRequests:
		s.reply(tick, &r, Reply{Outcome: refusalOutcome(r.Verb), Reason: admission.TooManyHeld})
	case r.Verb == Submit:
		s.receiveSubmission(tick, r)
	case r.Verb == Cancel && known:
		s.Requests.Insert(r)
	default:
		id := s.Requests.Insert(r)
		s.Lookups.Add(Lookup{Request: id, Job: r.Job})
	}
}

// isForeign reports whether the request concerns a job of another team. Job IDs are chosen
// by clients, so that two teams may choose the same.
func (r *Request) isForeign(job *work.Job) bool {
	return r.Team != "" && job.Team != "" && r.Team != job.Team
}

// cancelOutcome returns the answer to the cancellation of a job that can't run any more.
func cancelOutcome(job *ledger.Job) Outcome {
	if job.Spec == nil {
		return JobNotFound
	}
	return Accepted
}

func refusalOutcome(v Verb) Outcome {
	if v == Submit {
		return NotAccepted
	}
	return NotAvailable
}

func (s *State) reply(tick engine.Tick, r *Request, reply Reply) {
	reply.Request = r.ID
	refused := reply.Outcome == NotAccepted || reply.Outcome == NotAvailable
	if refused && reply.RetryAfter == 0 {
		reply.RetryAfter = s.Admission.RetryAfter(tick.Now, r.Job)
	}
	s.Replies.Add(reply)
	fields := []events.Field{
		events.F("request", r.ID), events.F("verb", r.Verb.String()), events.F("job", r.Job), events.F("queue", r.Queue),
		events.F("outcome", reply.Outcome.String()), events.F("manifest", r.Manifest),
		events.F("store_revision", s.Mirror.Revision), events.F("mirror_age_ms", tick.Now.Sub(s.Mirror.ReadAt).Milliseconds()),
		events.F("held_ms", tick.Now.Sub(r.receivedAt).Milliseconds()),
	}
	if reply.Outcome == StateReturned {
		fields = append(fields, events.F("state", reply.State.String()))
	}
	event := events.RequestAnswered
	if refused {
		fields = append(fields, events.F("reason", reply.Reason.String()), events.F("retry_after_s", reply.RetryAfter.Seconds()))
	}
	if reply.Inputs != nil {
		fields = append(fields, reply.Inputs.Fields()...)
	}
	if refused || reply.Outcome == Unresolved {
		event = events.RequestNotServed
	}
	s.Logs.Add(events.Record{Event: event, Fields: fields})
}

func (s *State) complete(tick engine.Tick, id table.ID, reply Reply) {
	r := s.Requests.Get(id)
	if reply.Inputs == nil {
		reply.Inputs = r.inputs
	}
	s.reply(tick, r, reply)
	if r.Verb == Submit && r.rejection == nil {
		s.submissionOf(r.Job).requests--
	}
	s.Requests.Delete(id)
}

// answerFromMirror answers requests whose record has arrived through the watch:
// their write was applied, although its result may be lost or late.
func answerFromMirror(s *State, tick engine.Tick) {
	for id, r := range s.Requests.All() {
		_, job := s.Mirror.Find(r.Job)
		switch {
		case job == nil:
		case job.Spec != nil && r.isForeign(job.Spec):
			s.complete(tick, id, Reply{Outcome: OtherTeam})
		case r.Verb == Submit && job.Spec != nil:
			s.complete(tick, id, Reply{Outcome: Accepted})
		case r.Verb == Cancel && job.State().Final():
			s.complete(tick, id, Reply{Outcome: cancelOutcome(job)})
		}
	}
}

// expireRequests gives the final answer to requests that cannot be served before
// their deadline, and to those whose writes the store has refused for too long.
func expireRequests(s *State, tick engine.Tick) {
	silent := s.Admission.Outage(tick.Now) == admission.StoreSilent
	for id, r := range s.Requests.All() {
		late := !tick.Now.Before(r.Deadline.Add(-replyMargin))
		inDoubt := r.maybeDurable || r.writeID != 0 || r.Verb == Submit && s.mayBeStored(tick.Now, r.Job)
		refused := !r.retryAt.IsZero() && !inDoubt && tick.Now.Sub(r.receivedAt) > refusalTimeout
		unsent := silent && r.Verb == Submit && !inDoubt
		switch {
		case !late && !refused && !unsent:
		case inDoubt:
			s.complete(tick, id, Reply{Outcome: Unresolved})
		case unsent:
			s.complete(tick, id, Reply{Outcome: NotAccepted, Reason: admission.StoreSilent})
		case late:
			s.complete(tick, id, Reply{Outcome: refusalOutcome(r.Verb), Reason: admission.DeadlineClose})
		default:
			s.complete(tick, id, Reply{Outcome: refusalOutcome(r.Verb), Reason: admission.StoreRefuses})
		}
	}
}

// writeRequests commits held submissions and cancellations in one write. The cancellation
// of a job that is not stored requires that it still isn't: its submission may be on its
// way, and the job must not run after the cancellation was answered. Any other one names the
// job that it cancels, so that one which is executed late cancels no later job of that ID.
func writeRequests(s *State, tick engine.Tick) {
	if len(s.writes) >= maxWritesInFlight || (len(s.writes) > 0 && tick.Now.Before(s.lastWriteAt.Add(batchInterval))) {
		return
	}
	write := ledger.Write{ID: s.NextWrite()}
	var rows []written
	batched := map[string]bool{}
	for id, r := range s.Requests.All() {
		if r.writeID != 0 || tick.Now.Before(r.retryAt) || (r.Verb == Cancel && !s.isKnown(r.Job) && !r.notStored) || r.Verb == Status || r.rejection != nil {
			continue
		}
		if len(rows) == maxBatch || batched[r.Job] {
			continue
		}
		batched[r.Job] = true
		condition := ledger.Condition{Key: ledger.Key{Kind: ledger.KindJob, Name: r.Job}}
		if _, job := s.Mirror.Find(r.Job); job != nil && job.Spec != nil {
			condition.Revision = job.Revision
		}
		write.Expect = append(write.Expect, condition)
		write.Put = append(write.Put, ledger.Put{Key: r.key(), Content: r.content()})
		r.writeID = write.ID
		row := written{request: id}
		if r.Verb == Submit {
			row.job = r.Job
			s.submissionSent(r.Job)
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return
	}
	s.writes[write.ID], s.lastWriteAt = rows, tick.Now
	s.Admission.WriteSent(tick.Now, write.ID)
	s.Writes.Add(write)
}

// key returns the key of the record that stores a submission or a cancellation.
func (r *Request) key() ledger.Key {
	if r.Verb == Submit {
		return ledger.Key{Kind: ledger.KindJob, Name: r.Job}
	}
	return ledger.Key{Kind: ledger.KindCancel, Name: r.Job}
}

// content returns the content of that record.
func (r *Request) content() any {
	if r.Verb == Submit {
		return r.Spec
	}
	return &work.Cancellation{Pool: r.Pool}
}

func (s *State) isKnown(job string) bool {
	_, row := s.Mirror.Find(job)
	return row != nil && row.Spec != nil
}

// WriteDone records the result of a write and reports whether this package issued
// the write.
func (s *State) WriteDone(tick engine.Tick, result ledger.WriteResult) bool {
	rows, ok := s.writes[result.ID]
	if !ok {
		return false
	}
	delete(s.writes, result.ID)
	s.Admission.WriteAnswered(tick.Now, result.ID, result.Outcome == ledger.Applied || result.Outcome == ledger.Conflict)
	exists := map[string]bool{}
	for _, record := range result.Current {
		s.Mirror.Apply(tick.Now, record)
		exists[record.Key.Name] = !record.Deleted
	}
	if result.Outcome != ledger.Applied && result.Outcome != ledger.Conflict {
		s.Logs.Add(events.Record{Event: events.RequestsNotWritten, Fields: []events.Field{
			events.F("requests", len(rows)), events.F("outcome", result.Outcome.String()), events.Err(result.Err),
		}})
	}
	for _, row := range rows {
		if row.job != "" {
			s.submissionAnswered(tick.Now, row.job, result.Outcome == ledger.Unknown)
		}
		id := row.request
		r := s.Requests.Get(id)
		if r == nil {
			s.applyCommitted(tick, nil, result)
			continue
		}
		r.writeID = 0
		switch {
		case result.Outcome == ledger.Applied:
			s.applyCommitted(tick, r, result)
			outcome := Accepted
			if r.notStored && !s.isKnown(r.Job) {
				outcome = JobNotFound
			}
			s.complete(tick, id, Reply{Outcome: outcome})
		case result.Outcome == ledger.Conflict && r.Verb == Submit && exists[r.Job]:
			outcome := Accepted
			if _, job := s.Mirror.Find(r.Job); job != nil && job.Spec != nil && r.isForeign(job.Spec) {
				outcome = OtherTeam
			}
			s.complete(tick, id, Reply{Outcome: outcome})
		case result.Outcome == ledger.Conflict && r.Verb == Cancel && s.isKnown(r.Job) && !exists[r.Job]:
			r.notStored = true // the job has been removed, as the mirror will show
			r.retryAt = tick.Now.Add(writeRetryDelay)
		case result.Outcome == ledger.Conflict:
			// Another job of the batch exists already; this request goes into the
			// next write.
		default:
			r.maybeDurable = r.maybeDurable || result.Outcome == ledger.Unknown
			r.retryAt = tick.Now.Add(writeRetryDelay)
		}
	}
	return true
}

func (s *State) applyCommitted(tick engine.Tick, r *Request, result ledger.WriteResult) {
	if r == nil {
		return // the request has expired; the watch will deliver the record
	}
	s.Mirror.Apply(tick.Now, ledger.Record{Key: r.key(), Content: r.content(), Revision: result.Revision, CreateRevision: result.Revision})
}

// LookupDone records the result of a lookup.
func (s *State) LookupDone(tick engine.Tick, lookup Lookup, records []ledger.Record, err error) {
	for _, record := range records {
		s.Mirror.Apply(tick.Now, record)
	}
	r := s.Requests.Get(lookup.Request)
	if r == nil {
		return
	}
	_, job := s.Mirror.Find(r.Job)
	switch {
	case err != nil:
		s.complete(tick, lookup.Request, Reply{Outcome: NotAvailable})
	case job == nil || job.Spec == nil:
		if r.Verb == Cancel {
			r.notStored = true // answered once the cancellation is stored
			return
		}
		s.complete(tick, lookup.Request, Reply{Outcome: JobNotFound})
	case r.isForeign(job.Spec):
		s.complete(tick, lookup.Request, Reply{Outcome: OtherTeam})
	case r.Verb == Status:
		s.complete(tick, lookup.Request, Reply{Outcome: StateReturned, State: job.State()})
	case job.State().Final():
		s.complete(tick, lookup.Request, Reply{Outcome: Accepted})
	}
}
