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
	// adviceRetryDelay is the shortest interval between two requests for a
	// stage, after an answer that allowed too few workers or a failed request.
	adviceRetryDelay = 500 * time.Millisecond
)

// hasUsableTicket reports whether a candidate has a valid ticket for the stage,
// and requests tickets if none has.
func (s *State) hasUsableTicket(tick engine.Tick, stageID table.ID, candidates []candidate) bool {
	stage := s.Stages.Get(stageID)
	usable := 0
	for i := range candidates {
		if stage.ticketFor(candidates[i].w, tick.Now) {
			usable++
		}
	}
	if usable == 0 && !stage.advicePending && !tick.Now.Before(stage.adviceRequestedAt.Add(adviceRetryDelay)) {
		s.requestAdvice(tick, stageID, candidates)
	}
	return usable > 0
}

// requestAdvice requests tickets for the candidates that placement would choose
// first.
func (s *State) requestAdvice(tick engine.Tick, stageID table.ID, candidates []candidate) {
	stage := s.Stages.Get(stageID)
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	suitable := make([]*candidate, 0, len(candidates))
	for i := range candidates {
		if step.Reserved().Fits(candidates[i].free) && (step.Label == "" || slices.Contains(candidates[i].w.Labels, step.Label)) {
			suitable = append(suitable, &candidates[i])
		}
	}
	if len(suitable) == 0 {
		return
	}
	slices.SortFunc(suitable, func(a, b *candidate) int {
		return cmp.Compare(b.score(step, &Task{}), a.score(step, &Task{}))
	})
	suitable = suitable[:min(len(suitable), maxAdviceWorkers)]
	names := make([]string, len(suitable))
	for i, c := range suitable {
		names[i] = c.w.ID
	}
	settings := j.Spec.Limits.Advice
	stage.advicePending, stage.adviceRequestedAt = true, tick.Now
	name := s.stageName(stage)
	s.Out.Advice.Add(AdviceRequest{
		Stage: stageID, Name: name.StageName(), Workers: names,
		Expected: settings.Decision + time.Duration(len(names))*settings.PerWorker,
	})
}

// AdviceReceived records the answer to a request for tickets.
func (s *State) AdviceReceived(tick engine.Tick, request AdviceRequest, tickets map[string]string, validity time.Duration, err error) {
	stage := s.Stages.Get(request.Stage)
	s.log(events.AdviceAnswered, events.F("stage", request.Name), events.F("asked", len(request.Workers)),
		events.F("allowed", len(tickets)), events.Err(err))
	if stage == nil {
		return
	}
	stage.advicePending = false
	j := s.Jobs.Get(stage.Job)
	if validity <= 0 {
		validity = j.Spec.Limits.Advice.Validity
	}
	if stage.tickets == nil {
		stage.tickets = map[string]ticket{}
	}
	for worker, value := range tickets {
		if id, ok := s.workerByID.Get(worker); ok {
			stage.tickets[worker] = ticket{value: value, incarnation: s.Workers.Get(id).Incarnation, validUntil: tick.Now.Add(validity)}
		}
	}
	if p := s.Pools.Get(j.Pool); p != nil {
		p.placementNeeded = true
	}
}
