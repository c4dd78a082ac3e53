package controller

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
)

// pollWorkers polls each worker with an operation for which a poll is due.
func pollWorkers(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for _, operation := range s.Fleet.Operations.All() {
		row := s.Fleet.Workers.Get(operation.Worker)
		tracked := s.trackWorker(row.ID)
		if !tracked.polling && !tracked.callInFlight && s.pollDue(tracked, tick.Now) {
			s.poll(tracked)
		}
	}
}

// pollDue reports whether the worker should be polled now: after the poll interval,
// or after minPollInterval if the VM list shows a change.
func (s *State) pollDue(tracked *trackedWorker, now time.Time) bool {
	return !now.Before(tracked.nextPollAt) || (!now.Before(tracked.earliestPollAt) && s.listedProgress(tracked.worker) != tracked.polledProgress)
}

func (s *State) listedProgress(worker string) listedProgress {
	listed := s.View.ListedWorker(worker)
	if listed == nil {
		return listedProgress{}
	}
	return listedProgress{listed.Status, listed.BootID, listed.Requests, listed.Tasks, listed.Operation}
}

// pollInterval is the time between two polls of a worker.
func (s *State) pollInterval() time.Duration {
	return max(minPollInterval, time.Duration(s.Fleet.Operations.Len())*time.Second/maxPollsPerSecond)
}

func (s *State) poll(tracked *trackedWorker) {
	tracked.polling, tracked.polledProgress = true, s.listedProgress(tracked.worker)
	s.Out.WorkerPolls.Add(PollWorker{Worker: tracked.worker})
}

func (e WorkerAnswered) apply(s *State, tick engine.Tick) {
	if s.Fleet == nil {
		return
	}
	id, known := s.trackedWorkerIndex.Get(e.Worker)
	if !known {
		return // the worker was removed while the poll was in flight
	}
	tracked := s.trackedWorkers.Get(id)
	tracked.polling = false
	tracked.nextPollAt, tracked.earliestPollAt = tick.Now.Add(s.pollInterval()), tick.Now.Add(minPollInterval)
	if e.Err != nil || e.Observation == nil {
		return
	}
	row := s.Fleet.Worker(e.Worker)
	if row != nil && row.OperationID == 0 {
		if change, ok := s.Fleet.ApplyObservation(e.Observation, tick.Now); ok {
			s.recordWorkerChange(change)
		}
		s.untrackWorker(e.Worker)
		return
	}
	tracked.observed = e.Observation
}

// advanceOperations executes the next step of each operation. After a step that
// changes the fleet document, the operation continues only once the change is durable.
func advanceOperations(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for _, operation := range s.Fleet.Operations.All() {
		s.advanceOperation(s.Fleet.Workers.Get(operation.Worker), operation, tick)
	}
}

func (s *State) advanceOperation(row *fleet.WorkerRow, operation *fleet.OperationRow, tick engine.Tick) {
	tracked := s.trackWorker(row.ID)
	if tracked.callInFlight {
		return
	}
	if tracked.rejectedState != row.State {
		tracked.rejectedCall = ""
	}
	snapshot := s.Fleet.Snapshot(row, tick.Now)
	snapshot.Observed = tracked.observed
	snapshot.GatewaysAcknowledged = s.View.MembersKnown() && s.Peers.Acknowledged(operation.StartRevision, tick.Now)
	snapshot.DisruptionAllowed = s.disruptionAllowed(tick.Now)
	snapshot.CallAllowed = s.callAllowed(tick.Now)
	snapshot.CallOutcomeUnknown = tick.Now.Before(tracked.outcomeUnknownUntil) || tick.Now.Before(s.Leadership.callsAllowedFrom)
	snapshot.Rejected = tracked.rejectedCall
	snapshot.UnacknowledgedGatewayMaySend = s.unacknowledgedGatewayMaySend(tracked, operation, tick)
	step := fleet.NextStep(&snapshot)
	s.executeStep(row.ID, tracked, step, operation.Operation, tick)
}

func (s *State) executeStep(worker string, tracked *trackedWorker, step fleet.Step, operation fleet.Operation, tick engine.Tick) {
	switch step.Kind {
	case fleet.StepWait:
		tracked.waitReason = step.Reason
		s.logSlowDrain(worker, tracked, tick)
		return
	case fleet.StepCall:
		tracked.callInFlight, tracked.callKind, tracked.observed = true, step.Call.Kind, nil
		s.Out.Calls.Add(CallPlatform{Call: step.Call})
		return
	}
	if err := s.Fleet.ApplyStep(worker, step, tick.Now); err != nil {
		s.View.Log(events.OperationFailed, events.F("worker", worker), events.Err(err))
		return
	}
	s.markFleetChanged()
	fields := []events.Field{
		events.F("worker", worker), events.F("operation", operation.ID), events.F("kind", operation.Kind),
		events.F("state", step.State), events.F("reason", step.Reason),
	}
	switch step.Kind {
	case fleet.StepFinish:
		s.View.Log(events.OperationFinished, fields...)
		s.untrackWorker(worker)
	case fleet.StepFail:
		s.View.Log(events.OperationFailed, fields...)
		s.untrackWorker(worker)
	default:
		s.View.Log(events.OperationAdvanced, fields...)
		tracked.slowDrainReported = false
	}
}

// unacknowledgedGatewayMaySend reports whether a gateway that has not reported the
// start revision may still send to the worker, because the VM list keeps the
// gateway's view fresh. The list shows the drain after at most its lag and one poll
// by the gateway.
func (s *State) unacknowledgedGatewayMaySend(tracked *trackedWorker, operation *fleet.OperationRow, tick engine.Tick) bool {
	if tracked.observed == nil || tracked.observed.Status != fleet.StatusDraining {
		return false
	}
	if tracked.drainObservedAt.IsZero() {
		tracked.drainObservedAt = tick.Now
	}
	return tick.Now.Sub(tracked.drainObservedAt) < unacknowledgedGatewayWait && !s.Peers.ReportedByAll(operation.StartRevision)
}

// logSlowDrain logs a drain that exceeds the pool's drain_warning_s. There is no
// deadline after which requests are cut off.
func (s *State) logSlowDrain(worker string, tracked *trackedWorker, tick engine.Tick) {
	row := s.Fleet.Worker(worker)
	if tracked.slowDrainReported || row.State != fleet.Draining || s.View.Policy == nil {
		return
	}
	pool, ok := s.View.Policy.Pool(row.Pool)
	if !ok || tick.Now.Sub(row.Since) < time.Duration(pool.DrainWarningSeconds)*time.Second {
		return
	}
	tracked.slowDrainReported = true
	s.View.Log(events.DrainSlow, events.F("worker", worker), events.F("reason", tracked.waitReason))
}

func (e PlatformCalled) apply(s *State, tick engine.Tick) {
	if s.Fleet == nil {
		return
	}
	row := s.Fleet.Worker(e.Call.Worker)
	if row == nil {
		return
	}
	tracked := s.trackWorker(e.Call.Worker)
	tracked.callInFlight, tracked.observed, tracked.nextPollAt = false, nil, tick.Now
	switch {
	case e.Rejected:
		tracked.rejectedCall, tracked.rejectedState = e.Call.Kind, row.State
		s.View.Log(events.OperationFailed, events.F("worker", e.Call.Worker), events.F("call", e.Call.Kind), events.Err(e.Err))
	case e.Err != nil:
		tracked.outcomeUnknownUntil = tick.Now.Add(callOutcomeTimeout)
	}
}

// observationFrom converts a worker that the platform reports.
func observationFrom(worker *infra.Worker) fleet.Observation {
	return fleet.Observation{
		Worker: worker.ID, Address: worker.Address, AvailabilityZone: worker.AvailabilityZone, Rack: worker.Rack,
		Pool: worker.Pool, Status: fleet.Status(worker.Status), BootID: worker.BootID, Requests: worker.Requests,
		Tasks: worker.Tasks, LastOperationID: worker.Operation,
	}
}
