package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// maxAsked bounds the workers of one question; the service's answer takes
	// longer with each of them.
	maxAsked = 30
	// askAgain is the pause after an answer that allowed too few workers, or a
	// question that failed.
	askAgain = 500 * time.Millisecond
)

// haveAdvice reports whether some candidate has a ticket for the stage, and
// asks for tickets otherwise.
func (s *State) haveAdvice(tick engine.Tick, stageID table.ID, candidates []candidate) bool {
	stage := s.Stages.Get(stageID)
	usable := 0
	for i := range candidates {
		if stage.ticketFor(candidates[i].w, tick.Now) {
			usable++
		}
	}
	if usable == 0 && !stage.asking && !tick.Now.Before(stage.askedAt.Add(askAgain)) {
		s.ask(tick, stageID, candidates)
	}
	return usable > 0
}

// ask names the candidates that placement would choose first.
func (s *State) ask(tick engine.Tick, stageID table.ID, candidates []candidate) {
	stage := s.Stages.Get(stageID)
	j := s.Jobs.Get(stage.Job)
	step := &j.Spec.Steps[stage.Step]
	likely := make([]*candidate, 0, len(candidates))
	for i := range candidates {
		if step.Reserved().Fits(candidates[i].free) && (step.Label == "" || slices.Contains(candidates[i].w.Labels, step.Label)) {
			likely = append(likely, &candidates[i])
		}
	}
	if len(likely) == 0 {
		return
	}
	slices.SortFunc(likely, func(a, b *candidate) int { return cmp.Compare(b.score(step, &Task{}), a.score(step, &Task{})) })
	likely = likely[:min(len(likely), maxAsked)]
	names := make([]string, len(likely))
	for i, c := range likely {
		names[i] = c.w.ID
	}
	terms := j.Spec.Limits.Advice
	stage.asking, stage.askedAt = true, tick.Now
	name := work.TaskName{Job: j.Spec.ID, Occurrence: stage.Occurrence, Step: stage.Step}
	s.Out.Advice.Add(AdviceRequest{
		Stage: stageID, Name: name.StageName(), Workers: names,
		Expected: terms.Decision + time.Duration(len(names))*terms.PerWorker,
	})
}

// AdviceReceived records the tickets for a stage.
func (s *State) AdviceReceived(tick engine.Tick, question AdviceRequest, tickets map[string]string, validity time.Duration, err error) {
	stage := s.Stages.Get(question.Stage)
	s.log(events.AdviceAnswered, events.F("stage", question.Name), events.F("asked", len(question.Workers)),
		events.F("allowed", len(tickets)), events.Err(err))
	if stage == nil {
		return
	}
	stage.asking = false
	j := s.Jobs.Get(stage.Job)
	if validity <= 0 {
		validity = j.Spec.Limits.Advice.Validity
	}
	if stage.tickets == nil {
		stage.tickets = map[string]ticket{}
	}
	for worker, value := range tickets {
		if id, ok := s.workerByID.Get(worker); ok {
			stage.tickets[worker] = ticket{value: value, born: s.Workers.Get(id).Incarnation, until: tick.Now.Add(validity)}
		}
	}
	if p := s.Pools.Get(j.Pool); p != nil {
		p.place = true
	}
}
