package controller

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

// updatePlacement passes changes of policy, fleet and power draw to job placement.
func updatePlacement(s *State, tick engine.Tick) {
	if s.View.Policy != nil && s.View.Policy != s.placementPolicy {
		s.placementPolicy = s.View.Policy
		placement.Apply(s.Jobs, tick, placement.PolicyChanged{Policy: s.View.Policy})
	}
	if !s.Active() {
		return
	}
	if s.placementFleetVersion != s.fleetVersion {
		s.placementFleetVersion = s.fleetVersion
		placement.Apply(s.Jobs, tick, s.fleetChange())
		placement.Apply(s.Jobs, tick, placement.InrushChanged{Watts: s.rebootInrush()})
	}
	if s.View.ListedAt.After(s.powerReportedAt) {
		s.powerReportedAt = s.View.ListedAt
		placement.Apply(s.Jobs, tick, s.powerReport())
	}
}

func (s *State) fleetChange() placement.FleetChanged {
	change := placement.FleetChanged{Complete: true, Workers: make([]placement.WorkerInfo, 0, s.Fleet.Workers.Len())}
	for _, row := range s.Fleet.Workers.All() {
		change.Workers = append(change.Workers, placement.WorkerInfo{
			Name: row.ID, Pool: row.Pool, Rack: row.Rack, AvailabilityZone: row.AvailabilityZone,
			Capacity: s.capacity(row.ID), Condition: condition(row),
		})
	}
	return change
}

func (s *State) capacity(worker string) placement.Resources {
	listed := s.View.ListedWorker(worker)
	if listed == nil {
		return placement.Resources{}
	}
	const milliCoresPerCore = 1000
	return placement.Resources{MilliCores: listed.Cores * milliCoresPerCore, MemoryMB: listed.MemoryMB, Accelerators: listed.Accelerators}
}

func condition(row *fleet.WorkerRow) placement.Condition {
	switch {
	case row.Available():
		return placement.ConditionAvailable
	case row.State == fleet.Quarantined:
		return placement.ConditionQuarantined
	case row.State == fleet.Draining || row.State == fleet.Leaving || row.State == fleet.Drained:
		return placement.ConditionDraining
	case row.State == fleet.Failed || row.State == fleet.Rebooting:
		return placement.ConditionLost
	default:
		return placement.ConditionUnavailable
	}
}

func (s *State) rebootInrush() int {
	if s.View.Policy == nil {
		return 0
	}
	rebooting := 0
	for _, row := range s.Fleet.Workers.All() {
		if row.State == fleet.Rebooting {
			rebooting++
		}
	}
	return rebooting * s.View.Policy.Site().RebootInrushWatts
}

func (s *State) powerReport() placement.PowerReported {
	report := placement.PowerReported{ObservedAt: s.View.ListedAt}
	for _, row := range s.View.ListedWorkers.All() {
		report.Workers = append(report.Workers, placement.WorkerPower{Worker: row.ID, Watts: row.PowerWatts})
	}
	return report
}

// listTasks reads the platform's task list every taskListInterval.
func listTasks(s *State, tick engine.Tick) {
	if !s.Active() || s.taskListInFlight || tick.Now.Sub(s.tasksListedAt) < taskListInterval {
		return
	}
	s.taskListInFlight = true
	s.Out.TaskLists.Add(ListTasks{})
}

func (e TasksListed) apply(s *State, tick engine.Tick) {
	s.taskListInFlight = false
	s.tasksListedAt = tick.Now
	if e.Err == nil {
		placement.Apply(s.Jobs, tick, e.Report)
	}
}

// followQuarantines takes workers that job placement quarantines out of service and
// returns those that it releases.
func followQuarantines(s *State, tick engine.Tick) {
	s.Jobs.Out.Quarantines.Drain(func(change placement.QuarantineChange) {
		if s.Fleet == nil {
			return
		}
		var err error
		if change.Quarantined {
			s.View.Log(events.WorkerQuarantined, events.F("worker", change.Worker), events.F("jobs", change.Jobs))
			err = s.Fleet.Quarantine(change.Worker, tick.Now)
		} else {
			s.View.Log(events.WorkerReleased, events.F("worker", change.Worker))
			err = s.Fleet.ReturnWorker(fleet.OperationSpec{OperationID: s.newOperationID(), Worker: change.Worker, Operator: "quarantine"}, tick.Now)
		}
		if err != nil {
			s.View.Log(events.OperationFailed, events.F("worker", change.Worker), events.Err(err))
			return
		}
		s.markFleetChanged()
	})
}

// mayQuarantine reports whether the worker is available and its pool's budget allows
// taking it out of service.
func (s *State) mayQuarantine(worker string) bool {
	if s.Fleet == nil || s.View.Policy == nil {
		return false
	}
	row := s.Fleet.Worker(worker)
	if row == nil || !row.Available() {
		return false
	}
	return budget.Assess(s.Fleet, s.View.Policy, nil).CheckDisruption(row.Pool, row.AvailabilityZone) == ""
}

// earliest returns the earlier of two times; the zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
