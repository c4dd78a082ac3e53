package placement

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// powerState holds the sums over workers and adjustments, in watts.
type powerState struct {
	known     bool // a report arrived since the takeover
	reported  int  // lagging
	started   int  // estimates that are not in reports yet
	relief    int  // throttles and checkpoints that are not in reports yet
	confirmed int  // part of relief that the platform has executed
	inrush    int
	wanted    int // for urgent jobs that wait for power
}

// powerAdjustment corrects a worker's lagging report for one task.
type powerAdjustment struct {
	operation string
	worker    string
	watts     int       // negative for relief
	at        time.Time // zero until the start is sent
	confirmed bool
}

// draw returns the conservative estimate: relief counts only once the platform
// has executed it.
func (s *State) draw() int {
	return s.power.reported + s.power.started + s.power.confirmed + s.power.inrush
}

// expectedDraw includes relief that was asked for.
func (s *State) expectedDraw() int {
	return s.power.reported + s.power.started + s.power.relief + s.power.inrush
}

// DrawWatts returns the conservative estimate of the site's draw.
func (s *State) DrawWatts() int { return s.draw() }

// HeadroomWatts returns what may be added under the power cap of the site: the
// owner asks before it starts a reboot. Without a cap it is the largest int;
// with a cap and no power report it is zero.
func (s *State) HeadroomWatts() int {
	switch limit := s.powerCap(); {
	case limit == 0:
		return math.MaxInt
	case !s.power.known:
		return 0
	default:
		return limit - s.draw()
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
	s.powerChanged()
}

func (e PowerReported) apply(s *State, _ engine.Tick) {
	if !s.active {
		return
	}
	s.power.known = true
	for _, p := range e.Workers {
		w := s.worker(p.Worker)
		if w == nil || !e.ObservedAt.After(w.ReportedAt) {
			continue
		}
		s.power.reported += p.Watts - w.PowerWatts
		w.PowerWatts, w.ReportedAt = p.Watts, e.ObservedAt
		s.expireAdjustments(w.Name, e.ObservedAt.Add(-s.cfg.MaxReportLag))
	}
	s.powerChanged()
}

// powerChanged lets work that the cap blocked be tried again.
func (s *State) powerChanged() {
	s.shedAt = time.Time{}
	for _, pool := range s.powerPools.take() {
		s.changedPools.add(pool)
	}
	for _, name := range s.powerRestores.take() {
		s.restoreCheck.add(name)
	}
}

func (s *State) adjustPower(operation, worker string, watts int, at time.Time) {
	id := s.adjustments.Insert(powerAdjustment{operation: operation, worker: worker, watts: watts, at: at})
	s.adjustByOp.Add(operation, id)
	s.adjustByWorker.Add(worker, id)
	if watts < 0 {
		s.power.relief += watts
	} else {
		s.power.started += watts
	}
}

func (s *State) dropAdjustment(id table.ID) {
	adj := s.adjustments.Get(id)
	switch {
	case adj.watts >= 0:
		s.power.started -= adj.watts
	case adj.confirmed:
		s.power.confirmed -= adj.watts
		fallthrough
	default:
		s.power.relief -= adj.watts
	}
	s.adjustByOp.Remove(adj.operation, id)
	s.adjustByWorker.Remove(adj.worker, id)
	s.adjustments.Delete(id)
}

// startPower sets the moment from which reports include the task.
func (s *State) startPower(a *Attempt, now time.Time) {
	for _, id := range s.adjustByOp.Get(a.Operation) {
		s.adjustments.Get(id).at = now.Add(s.cfg.CallTimeout)
	}
}

// expireAdjustments drops what a report that shows the worker at the given
// moment already includes.
func (s *State) expireAdjustments(worker string, shows time.Time) {
	for _, id := range slices.Clone(s.adjustByWorker.Get(worker)) {
		if adj := s.adjustments.Get(id); !adj.at.IsZero() && adj.at.Before(shows) {
			s.dropAdjustment(id)
		}
	}
}

// dropAdjustments ends the corrections of a task that ended. Relief of a task
// that is part of the last report stays until the next report.
func (s *State) dropAdjustments(operation string) {
	ids := slices.Clone(s.adjustByOp.Get(operation))
	unreported := slices.ContainsFunc(ids, func(id table.ID) bool { return s.adjustments.Get(id).watts >= 0 })
	for _, id := range ids {
		if unreported {
			s.dropAdjustment(id)
		}
	}
}

func (s *State) dropRelief(operation string) {
	for _, id := range slices.Clone(s.adjustByOp.Get(operation)) {
		if s.adjustments.Get(id).watts < 0 {
			s.dropAdjustment(id)
		}
	}
}

// confirmRelief counts relief towards new starts once the platform executed it.
func (s *State) confirmRelief(operation string, now time.Time) {
	for _, id := range s.adjustByOp.Get(operation) {
		if adj := s.adjustments.Get(id); adj.watts < 0 && !adj.confirmed {
			adj.confirmed, adj.at = true, now
			s.power.confirmed += adj.watts
		}
	}
	s.powerChanged()
}

// relieve records that an action lowers the draw of a task.
func (s *State) relieve(a *Attempt, watts int, now time.Time, confirmed bool) {
	s.dropRelief(a.Operation)
	s.adjustPower(a.Operation, a.Worker, -watts, now)
	if confirmed {
		s.confirmRelief(a.Operation, now)
	}
}

// forgetPower removes a worker's draw.
func (s *State) forgetPower(w *Worker) {
	s.power.reported -= w.PowerWatts
	w.PowerWatts = 0
	for _, id := range slices.Clone(s.adjustByWorker.Get(w.Name)) {
		s.dropAdjustment(id)
	}
}
