package dispatch

import (
	"math"
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/forecast"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// forecastLead is how far ahead the forecast is used: a machine arrives 1.5 s after its
// order, and report and plan take up to 0.25 s.
const forecastLead = 1750 * time.Millisecond

// minEndTrust is the trust from which the end of a turn is used: a turn that goes on must
// not find fewer machines than the present rule orders.
const minEndTrust = 0.7

// recordForecastArrival includes a job in the forecast of the pool. Jobs without an
// estimate, as those that serve users, have no work.
func (p *Pool) recordForecastArrival(now time.Time, work float64) {
	if work > 0 {
		p.forecast.Record(now, work)
	}
}

// updateForecast compares the forecast of the pool with the turns that came.
func (s *State) updateForecast(now time.Time, p *Pool) {
	if !s.Config.Forecast {
		return
	}
	event, counter := events.Event{}, ""
	switch p.forecast.Advance(now) {
	case forecast.Unchanged:
		return
	case forecast.Learnt:
		event, counter = events.ForecastLearnt, "forecasts_learnt"
	case forecast.Confirmed:
		s.count("forecasts_confirmed")
		return
	case forecast.Lost:
		event, counter = events.ForecastLost, "forecasts_lost"
	}
	b := p.forecast.Belief()
	s.count(counter)
	s.log(event, events.F("pool", p.Name), events.F("period_ms", b.Period.Milliseconds()), events.F("turn_ms", b.Length.Milliseconds()),
		events.F("next_in_ms", b.Begin.Sub(now).Milliseconds()), events.F("cores", int(b.Rate)), events.F("trust", b.Trust),
		events.F("owned_ms", now.Sub(p.OwnedSince).Milliseconds()))
}

// expectedMachines returns how many machines the forecast calls for when a machine that
// is ordered now arrives, or 0.
func (s *State) expectedMachines(now time.Time, p *Pool, have []table.ID) int {
	capacity := 0
	for _, id := range have {
		capacity += s.Workers.Get(id).Capacity.MilliCores
	}
	if capacity == 0 {
		return 0
	}
	return p.forecastMachines(now, float64(capacity)/float64(len(have))*usableShare)
}

// forecastMachines is expectedMachines for machines of a capacity in millicores. The
// number is scaled by the trust, which bounds what a wrong forecast costs.
func (p *Pool) forecastMachines(now time.Time, perMachine float64) int {
	rate, trust := p.forecast.Expect(now.Add(forecastLead))
	return int(math.Ceil(min(rate*trust*1000/max(1, perMachine), maxNeed)))
}

// arrivalRateToServe returns the arrival rate, in cores, for which machines are ordered now.
// Those that would arrive after the end of the turn are left out.
func (p *Pool) arrivalRateToServe(now time.Time, busyCores float64) float64 {
	rate := p.expectedArrivalRate(now)
	during, trust := p.forecast.Expect(now)
	after, _ := p.forecast.Expect(now.Add(forecastLead))
	if trust >= minEndTrust && during > 0 && after == 0 {
		return min(rate, busyCores)
	}
	return rate
}
