package controller

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
)

// askWorkers asks the platform directly about each worker with an operation.
func askWorkers(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for _, operation := range s.Fleet.Operations.All() {
		row := s.Fleet.Workers.Get(operation.Worker)
		o := s.observationOf(row.ID)
		if !o.asking && !o.callInFlight && s.questionDue(o, tick.Now) {
			s.ask(o)
		}
	}
}

// questionDue reports whether the worker should be asked now: after the pause,
// or earlier when the list shows that something happened.
func (s *State) questionDue(o *observation, now time.Time) bool {
	return !now.Before(o.askAt) || (!now.Before(o.askSoonest) && s.listedCondition(o.worker) != o.askedIn)
}

func (s *State) listedCondition(worker string) listedCondition {
	listed := s.View.ListedWorker(worker)
	if listed == nil {
		return listedCondition{}
	}
	return listedCondition{listed.Status, listed.BootID, listed.Requests, listed.Tasks, listed.Operation}
}

// questionInterval is the pause between two questions about one worker.
func (s *State) questionInterval() time.Duration {
	return max(observeInterval, time.Duration(s.Fleet.Operations.Len())*time.Second/questionsPerSecond)
}

func (s *State) ask(o *observation) {
	o.asking, o.askedIn = true, s.listedCondition(o.worker)
	s.Out.WorkerPolls.Add(PollWorker{Worker: o.worker})
}

func (e WorkerAnswered) apply(s *State, tick engine.Tick) {
	if s.Fleet == nil {
		return
	}
	o := s.observationOf(e.Worker)
	o.asking = false
	o.askAt, o.askSoonest = tick.Now.Add(s.questionInterval()), tick.Now.Add(observeInterval)
	if e.Err != nil || e.Observation == nil {
		return
	}
	row := s.Fleet.Worker(e.Worker)
	if row != nil && row.OperationID == 0 {
		if change, ok := s.Fleet.ApplyObservation(e.Observation, tick.Now); ok {
			s.noteChange(change)
		}
		s.dropObservation(e.Worker)
		return
	}
	o.answer = e.Observation
}

// advanceOperations takes the next step of each operation. A step that changes
// the document is followed by others only after it is durable.
func advanceOperations(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for _, operation := range s.Fleet.Operations.All() {
		s.advance(s.Fleet.Workers.Get(operation.Worker), operation, tick)
	}
}

func (s *State) advance(row *fleet.WorkerRow, operation *fleet.OperationRow, tick engine.Tick) {
	o := s.observationOf(row.ID)
	if o.callInFlight {
		return
	}
	if o.rejectedIn != row.State {
		o.rejected = ""
	}
	snapshot := s.Fleet.Snapshot(row, tick.Now)
	snapshot.Observed = o.answer
	snapshot.GatewaysAcknowledged = s.View.MembersKnown() && s.Peers.Acknowledged(operation.StartRevision, tick.Now)
	snapshot.DisruptionAllowed = s.disruptionAllowed(tick.Now)
	snapshot.CallAllowed = s.callAllowed(tick.Now)
	snapshot.CallOutcomeUnknown = tick.Now.Before(o.unsettled) || tick.Now.Before(s.Leadership.quietUntil)
	snapshot.Rejected = o.rejected
	snapshot.UnacknowledgedGatewayMaySend = s.laggardsMaySend(o, operation, tick)
	step := fleet.NextStep(&snapshot)
	s.takeStep(row.ID, o, step, operation.Operation, tick)
}

func (s *State) takeStep(worker string, o *observation, step fleet.Step, operation fleet.Operation, tick engine.Tick) {
	switch step.Kind {
	case fleet.StepWait:
		o.reason = step.Reason
		s.reportSlowDrain(worker, o, tick)
		return
	case fleet.StepCall:
		o.callInFlight, o.callKind, o.answer = true, step.Call.Kind, nil
		s.Out.Calls.Add(CallPlatform{Call: step.Call})
		return
	}
	if err := s.Fleet.ApplyStep(worker, step, tick.Now); err != nil {
		s.View.Log(events.OperationFailed, events.F("worker", worker), events.Err(err))
		return
	}
	s.changed()
	fields := []events.Field{
		events.F("worker", worker), events.F("operation", operation.ID), events.F("kind", operation.Kind),
		events.F("state", step.State), events.F("reason", step.Reason),
	}
	switch step.Kind {
	case fleet.StepFinish:
		s.View.Log(events.OperationFinished, fields...)
		s.dropObservation(worker)
	case fleet.StepFail:
		s.View.Log(events.OperationFailed, fields...)
		s.dropObservation(worker)
	default:
		s.View.Log(events.OperationAdvanced, fields...)
		o.reported = false
	}
}

// laggardsMaySend reports whether a gateway that never reported the start
// revision may still send to the worker because the platform's list keeps its
// view fresh. The list shows the drain after at most its lag and a poll.
func (s *State) laggardsMaySend(o *observation, operation *fleet.OperationRow, tick engine.Tick) bool {
	if o.answer == nil || o.answer.Status != fleet.StatusDraining {
		return false
	}
	if o.drainSeen.IsZero() {
		o.drainSeen = tick.Now
	}
	return tick.Now.Sub(o.drainSeen) < laggardWait && !s.Peers.ReportedByAll(operation.StartRevision)
}

// reportSlowDrain logs a drain that takes longer than the policy expects. There
// is no deadline after which requests are cut off.
func (s *State) reportSlowDrain(worker string, o *observation, tick engine.Tick) {
	row := s.Fleet.Worker(worker)
	if o.reported || row.State != fleet.Draining || s.View.Policy == nil {
		return
	}
	pool, ok := s.View.Policy.Pool(row.Pool)
	if !ok || tick.Now.Sub(row.Since) < time.Duration(pool.DrainWarningSeconds)*time.Second {
		return
	}
	o.reported = true
	s.View.Log(events.DrainSlow, events.F("worker", worker), events.F("reason", o.reason))
}

func (e PlatformCalled) apply(s *State, tick engine.Tick) {
	if s.Fleet == nil {
		return
	}
	row := s.Fleet.Worker(e.Call.Worker)
	if row == nil {
		return
	}
	o := s.observationOf(e.Call.Worker)
	o.callInFlight, o.answer, o.askAt = false, nil, tick.Now
	switch {
	case e.Rejected:
		o.rejected, o.rejectedIn = e.Call.Kind, row.State
		s.View.Log(events.OperationFailed, events.F("worker", e.Call.Worker), events.F("call", e.Call.Kind), events.Err(e.Err))
	case e.Err != nil:
		o.unsettled = tick.Now.Add(callSettle)
	}
}

// observationFrom converts a row of the platform.
func observationFrom(worker *infra.Worker) fleet.Observation {
	return fleet.Observation{
		Worker: worker.ID, Address: worker.Address, AvailabilityZone: worker.AvailabilityZone, Rack: worker.Rack,
		Pool: worker.Pool, Status: fleet.Status(worker.Status), BootID: worker.BootID, Requests: worker.Requests,
		Tasks: worker.Tasks, LastOperationID: worker.Operation,
	}
}
