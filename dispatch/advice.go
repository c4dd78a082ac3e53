package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// maxAdviceWorkers bounds the workers named in one request, because the
	// service takes longer to answer with each worker.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the shortest interval between two requests for a stage, unless
	// the second one names workers that have not been asked for.
	adviceRetryDelay = 500 * time.Millisecond
	// adviceRefusalTTL is how long a worker that the service did not allow is left out of
	// requests. What the service allows does not change, but its answers may miss a worker
	// that it does not know yet.
	adviceRefusalTTL = 5 * time.Second
)

// ticket is the advice service's permission to start tasks of a stage on one
// incarnation of a worker.
type ticket struct {
	value       string
	incarnation int64
	validUntil  time.Time
}

// adviceRefusal records that the service did not allow one incarnation of a worker.
type adviceRefusal struct {
	incarnation int64
	until       time.Time
}

// advice is what a stage knows of the answers of the advice service, by worker ID.
type advice struct {
	tickets     map[string]ticket
	refusals    map[string]adviceRefusal
	requestedAt time.Time
	pending     bool
	failed      bool // the last request had no usable answer
}

// ticketFor reports whether the stage has a valid ticket for a worker.
func (a *advice) ticketFor(w *Worker, now time.Time) bool {
	return a.allows(w) && now.Before(a.tickets[w.ID].validUntil)
}

// allows reports whether the service has allowed a worker, even if the ticket has expired.
func (a *advice) allows(w *Worker) bool {
	t, ok := a.tickets[w.ID]
	return ok && t.incarnation == w.Incarnation
}

// refuses reports whether the service has not allowed a worker when it was asked lately.
func (a *advice) refuses(w *Worker, now time.Time) bool {
	r, ok := a.refusals[w.ID]
	return ok && r.incarnation == w.Incarnation && now.Before(r.until)
}

// expireTicket ends the validity of a ticket that the worker has rejected.
func (a *advice) expireTicket(w *Worker) {
	t := a.tickets[w.ID]
	t.validUntil = time.Time{}
	a.tickets[w.ID] = t
}

// mayStartOn reports whether the advice that a stage has allows a start on the worker now.
func (s *State) mayStartOn(now time.Time, j *Job, stage *Stage, w *Worker) bool {
	return !j.Spec.Limits.Advice.Needed() || stage.advice.ticketFor(w, now)
}

// hasUsableTicket reports whether a candidate with room for a task of the stage has a valid
// ticket, and requests tickets if none has.
func (s *State) hasUsableTicket(tick engine.Tick, stageID table.ID, candidates []candidate) bool {
	stage := s.Stages.Get(stageID)
	size := s.stepOfStage(stage).Reserved()
	if slices.ContainsFunc(candidates, func(c candidate) bool { return size.Fits(c.free) && stage.advice.ticketFor(c.w, tick.Now) }) {
		return true
	}
	s.requestAdvice(tick, stageID, candidates)
	return false
}

// requestAdvice requests tickets for those candidates with room for a task of the stage for
// which it has neither a ticket nor a refusal: first for those that were allowed before,
// then for those that placement would choose first. It reports whether an answer is pending
// or still to be requested for some of them.
func (s *State) requestAdvice(tick engine.Tick, stageID table.ID, candidates []candidate) bool {
	stage := s.Stages.Get(stageID)
	a := &stage.advice
	if a.pending {
		return true
	}
	step := s.stepOfStage(stage)
	suitable := make([]*candidate, 0, len(candidates))
	unasked := false
	for i := range candidates {
		c := &candidates[i]
		if !step.Reserved().Fits(c.free) || step.Label != "" && !slices.Contains(c.w.Labels, step.Label) ||
			a.ticketFor(c.w, tick.Now) || a.refuses(c.w, tick.Now) {
			continue
		}
		suitable = append(suitable, c)
		_, refused := a.refusals[c.w.ID]
		unasked = unasked || !refused && !a.allows(c.w)
	}
	if len(suitable) == 0 {
		return false
	}
	if (!unasked || a.failed) && tick.Now.Before(a.requestedAt.Add(adviceRetryDelay)) {
		return true
	}
	slices.SortFunc(suitable, func(x, y *candidate) int {
		return cmp.Or(compareTrueFirst(a.allows(x.w), a.allows(y.w)), cmp.Compare(y.score(step, &Task{}), x.score(step, &Task{})))
	})
	suitable = suitable[:min(len(suitable), maxAdviceWorkers)]
	names := make([]string, len(suitable))
	for i, c := range suitable {
		names[i] = c.w.ID
	}
	settings := s.Jobs.Get(stage.Job).Spec.Limits.Advice
	a.pending, a.requestedAt = true, tick.Now
	name := s.stageName(stage)
	s.Out.Advice.Add(AdviceRequest{
		Stage: stageID, Name: name.StageName(), Workers: names,
		Expected: settings.Decision + time.Duration(len(names))*settings.PerWorker,
	})
	return true
}

// missingAdvisedWorker returns the best of the surplus workers that fit a stage and that the
// advice service allows, or asks the service for them once all others have been asked for.
func (s *State) missingAdvisedWorker(tick engine.Tick, stageID table.ID, kept, fitting []candidate) (best candidate, ok bool) {
	stage := s.Stages.Get(stageID)
	allowed := slices.DeleteFunc(slices.Clone(fitting), func(c candidate) bool { return !stage.advice.ticketFor(c.w, tick.Now) })
	if len(allowed) > 0 {
		return slices.MaxFunc(allowed, s.compareCandidatesForRelease), true
	}
	if !s.requestAdvice(tick, stageID, kept) {
		s.requestAdvice(tick, stageID, fitting)
	}
	return candidate{}, false
}

// AdviceReceived records the answer to a request for tickets.
func (s *State) AdviceReceived(tick engine.Tick, request AdviceRequest, tickets map[string]string, validity time.Duration, err error) {
	stage := s.Stages.Get(request.Stage)
	surplus := 0
	for _, name := range request.Workers {
		if id, ok := s.workerByID.Get(name); ok && s.Workers.Get(id).surplus {
			surplus++
		}
	}
	s.log(events.AdviceAnswered, events.F("stage", request.Name), events.F("asked", len(request.Workers)), events.F("surplus", surplus),
		events.F("allowed", len(tickets)), events.Err(err))
	if stage == nil {
		return
	}
	a := &stage.advice
	a.pending, a.failed = false, err != nil
	j := s.Jobs.Get(stage.Job)
	if validity <= 0 {
		validity = j.Spec.Limits.Advice.Validity
	}
	if a.tickets == nil {
		a.tickets, a.refusals = map[string]ticket{}, map[string]adviceRefusal{}
	}
	for _, name := range request.Workers {
		id, ok := s.workerByID.Get(name)
		if !ok || err != nil {
			continue
		}
		incarnation := s.Workers.Get(id).Incarnation
		if value, allowed := tickets[name]; allowed {
			a.tickets[name] = ticket{value: value, incarnation: incarnation, validUntil: tick.Now.Add(validity)}
		} else {
			a.refusals[name] = adviceRefusal{incarnation: incarnation, until: tick.Now.Add(adviceRefusalTTL)}
		}
	}
	if p := s.Pools.Get(j.Pool); p != nil {
		p.placementNeeded = true
	}
}

// mayMoveTo reports whether a task of the stage could start on the worker as far as the
// answers of the advice service are known.
func (j *Job) mayMoveTo(stage *Stage, w *Worker) bool {
	return !j.Spec.Limits.Advice.Needed() || stage.advice.allows(w)
}
