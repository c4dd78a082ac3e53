package controller

import (
	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// sampleDemand records the demand of the pools, from which the shared spare buffer
// is sized.
func sampleDemand(s *State, tick engine.Tick) {
	if !s.Active() || tick.Now.Sub(s.demandSampledAt) < demandSampleInterval {
		return
	}
	sample := s.totalDemand()
	if sample == nil {
		return
	}
	s.demandSampledAt = tick.Now
	if len(s.demandSamples) == maxDemandSamples {
		copy(s.demandSamples, s.demandSamples[1:])
		s.demandSamples = s.demandSamples[:maxDemandSamples-1]
	}
	s.demandSamples = append(s.demandSamples, sample)
}

// planWave starts the operations of the wave that budgets, demand and failure domains
// allow now.
func planWave(s *State, tick engine.Tick) {
	if !s.Active() || s.View.Policy == nil || s.Fleet.Wave == nil || tick.Now.Before(s.nextPlanAt) {
		return
	}
	s.nextPlanAt = tick.Now.Add(planInterval)
	clear(s.waitReasons)
	for _, decision := range wave.Plan(s.waveInput(tick)) {
		s.applyDecision(decision, tick)
	}
}

func (s *State) waveInput(tick engine.Tick) *wave.Input {
	return &wave.Input{
		Now: tick.Now, Tables: s.tables(), Effective: s.View.Policy, Demand: s.totalDemand(),
		SpareReserve:      budget.JointBuffer(s.tables(), s.View.Policy, s.demandSamples).Required,
		DisruptionAllowed: s.disruptionAllowed(tick.Now) && s.rebootFitsPowerCap(),
	}
}

// rebootFitsPowerCap reports whether the site's power cap leaves room for the inrush
// of one more reboot.
func (s *State) rebootFitsPowerCap() bool {
	site := s.View.Policy.Site()
	return site.PowerCapWatts == 0 || s.Jobs.HeadroomWatts() >= site.RebootInrushWatts
}

func (s *State) applyDecision(decision wave.Decision, tick engine.Tick) {
	if decision.Kind == wave.DecisionWait {
		s.waitReasons[decision.Pool] = decision.Reason
		return
	}
	operation := s.newOperationID()
	if err := wave.Apply(s.Fleet, decision, operation, tick.Now); err != nil {
		s.View.Log(events.OperationFailed, events.F("worker", decision.Worker), events.F("kind", decision.Kind), events.Err(err))
		return
	}
	s.markFleetChanged()
	switch decision.Kind {
	case wave.DecisionHalt:
		s.View.Log(events.WaveHalted, events.F("wave", s.Fleet.Wave.ID), events.F("reason", decision.Reason))
	case wave.DecisionDone:
		s.View.Log(events.WaveDone, events.F("wave", s.Fleet.Wave.ID), events.F("moves", s.Fleet.Wave.Moves))
	default:
		s.View.Log(events.OperationStarted, events.F("worker", decision.Worker), events.F("operation", operation),
			events.F("kind", decision.Kind), events.F("pool", decision.Pool), events.F("wave", s.Fleet.Wave.ID))
	}
}
