package placement

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// powerState holds sums over workers and adjustments, in watts.
type powerState struct {
	reportReceived     bool // a power report arrived since the takeover
	reported           int  // lags behind
	unreportedStarts   int  // estimates of started tasks that reports do not include yet
	reduction          int  // throttles and checkpoints that reports do not include yet; negative
	confirmedReduction int  // the part of reduction that the platform has executed
	inrush             int
	urgentDemand       int // of urgent jobs that the power cap blocks
}

// powerAdjustment corrects a worker's lagging power report by one task.
type powerAdjustment struct {
	operation   string
	worker      string
	watts       int       // negative for a reduction
	effectiveAt time.Time // later reports include it; zero until the start is sent
	confirmed   bool
}

// conservativeDraw returns an upper estimate of the power draw: reductions count
// only once the platform has executed them.
func (s *State) conservativeDraw() int {
	return s.power.reported + s.power.unreportedStarts + s.power.confirmedReduction + s.power.inrush
}

// expectedDraw returns the power draw including reductions that were only requested.
func (s *State) expectedDraw() int {
	return s.power.reported + s.power.unreportedStarts + s.power.reduction + s.power.inrush
}

// DrawWatts returns a conservative estimate of the site's power draw.
func (s *State) DrawWatts() int { return s.conservativeDraw() }

// HeadroomWatts returns the power that may be added below the cap of the site. The
// owner checks it before it starts a reboot. It is math.MaxInt without a cap, and zero
// with a cap but no power report.
func (s *State) HeadroomWatts() int {
	switch limit := s.powerCap(); {
	case limit == 0:
		return math.MaxInt
	case !s.power.reportReceived:
		return 0
	default:
		return limit - s.conservativeDraw()
	}
}

func (s *State) powerCap() int {
	if s.policy == nil {
		return 0
	}
	return s.policy.Site().PowerCapWatts
}

func (e InrushChanged) apply(s *State, _ engine.Tick) {
	s.power.inrush = e.Watts
	s.retryPowerBlocked()
}

func (e PowerReported) apply(s *State, _ engine.Tick) {
	if !s.active {
		return
	}
	s.power.reportReceived = true
	for _, p := range e.Workers {
		w := s.worker(p.Worker)
		if w == nil || !e.ObservedAt.After(w.ReportedAt) {
			continue
		}
		s.power.reported += p.Watts - w.PowerWatts
		w.PowerWatts, w.ReportedAt = p.Watts, e.ObservedAt
		s.expireAdjustments(w.Name, e.ObservedAt.Add(-s.cfg.MaxReportLag))
	}
	s.retryPowerBlocked()
}

// retryPowerBlocked schedules retries of placements and of throttle ends that the cap
// blocked.
func (s *State) retryPowerBlocked() {
	s.lastShedAt = time.Time{}
	for _, pool := range s.poolsBlockedByPower.take() {
		s.poolsToPlace.add(pool)
	}
	for _, name := range s.workersBlockedByPower.take() {
		s.workersToUnthrottle.add(name)
	}
}

func (s *State) adjustPower(operation, worker string, watts int, effectiveAt time.Time) {
	id := s.powerAdjustments.Insert(powerAdjustment{operation: operation, worker: worker, watts: watts, effectiveAt: effectiveAt})
	s.adjustmentsByOperation.Add(operation, id)
	s.adjustmentsByWorker.Add(worker, id)
	if watts < 0 {
		s.power.reduction += watts
	} else {
		s.power.unreportedStarts += watts
	}
}

func (s *State) dropAdjustment(id table.ID) {
	adj := s.powerAdjustments.Get(id)
	switch {
	case adj.watts >= 0:
		s.power.unreportedStarts -= adj.watts
	case adj.confirmed:
		s.power.confirmedReduction -= adj.watts
		fallthrough
	default:
		s.power.reduction -= adj.watts
	}
	s.adjustmentsByOperation.Remove(adj.operation, id)
	s.adjustmentsByWorker.Remove(adj.worker, id)
	s.powerAdjustments.Delete(id)
}

// setPowerEffectiveAt sets the time from which power reports include the task.
func (s *State) setPowerEffectiveAt(a *Attempt, now time.Time) {
	for _, id := range s.adjustmentsByOperation.Get(a.Operation) {
		s.powerAdjustments.Get(id).effectiveAt = now.Add(s.cfg.CallTimeout)
	}
}

// expireAdjustments drops the adjustments that are included in a report of the
// worker's draw at the given time.
func (s *State) expireAdjustments(worker string, observedAt time.Time) {
	for _, id := range slices.Clone(s.adjustmentsByWorker.Get(worker)) {
		if adj := s.powerAdjustments.Get(id); !adj.effectiveAt.IsZero() && adj.effectiveAt.Before(observedAt) {
			s.dropAdjustment(id)
		}
	}
}

// dropAdjustments drops the adjustments of a task that ended. If the last report
// includes the task, its reductions stay until the next report.
func (s *State) dropAdjustments(operation string) {
	ids := slices.Clone(s.adjustmentsByOperation.Get(operation))
	unreported := slices.ContainsFunc(ids, func(id table.ID) bool { return s.powerAdjustments.Get(id).watts >= 0 })
	for _, id := range ids {
		if unreported {
			s.dropAdjustment(id)
		}
	}
}

func (s *State) dropPowerReduction(operation string) {
	for _, id := range slices.Clone(s.adjustmentsByOperation.Get(operation)) {
		if s.powerAdjustments.Get(id).watts < 0 {
			s.dropAdjustment(id)
		}
	}
}

// confirmPowerReduction makes a reduction available to new starts once the platform
// has executed it.
func (s *State) confirmPowerReduction(operation string, now time.Time) {
	for _, id := range s.adjustmentsByOperation.Get(operation) {
		if adj := s.powerAdjustments.Get(id); adj.watts < 0 && !adj.confirmed {
			adj.confirmed, adj.effectiveAt = true, now
			s.power.confirmedReduction += adj.watts
		}
	}
	s.retryPowerBlocked()
}

// addPowerReduction records that an action lowers the power draw of a task.
func (s *State) addPowerReduction(a *Attempt, watts int, now time.Time, confirmed bool) {
	s.dropPowerReduction(a.Operation)
	s.adjustPower(a.Operation, a.Worker, -watts, now)
	if confirmed {
		s.confirmPowerReduction(a.Operation, now)
	}
}

// clearWorkerPower removes a worker's power draw from the sums.
func (s *State) clearWorkerPower(w *Worker) {
	s.power.reported -= w.PowerWatts
	w.PowerWatts = 0
	for _, id := range slices.Clone(s.adjustmentsByWorker.Get(w.Name)) {
		s.dropAdjustment(id)
	}
}
