package controller

import (
	"strings"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

var jobEvents = map[placement.ChangeKind]events.Event{
	placement.ChangeFinished: events.JobFinished, placement.ChangeFailed: events.JobFailed,
	placement.ChangeUnknown: events.JobUnknown, placement.ChangeParked: events.JobParked,
	placement.ChangePreempted: events.JobPreempted, placement.ChangePowerShed: events.PowerCapThrottling,
	placement.ChangeQuarantineCapped: events.QuarantineCapped,
}

var actionNames = map[placement.ControlAction]string{
	placement.ActionThrottle: "throttle", placement.ActionCheckpoint: "checkpoint",
}

// logJobChanges turns the changes that job placement announces into log events.
func logJobChanges(s *State, _ engine.Tick) {
	s.Jobs.Out.Changes.Drain(func(change placement.Change) {
		s.View.Log(jobEvents[change.Kind], jobFields(&change)...)
	})
}

func jobFields(change *placement.Change) []events.Field {
	switch change.Kind {
	case placement.ChangeQuarantineCapped:
		return []events.Field{events.F("worker", change.Worker)}
	case placement.ChangePowerShed:
		return []events.Field{
			events.F("throttled", change.Throttled), events.F("checkpointed", change.Checkpointed),
			events.F("expected_watts", change.ExpectedWatts), events.F("cap_watts", change.CapWatts),
		}
	}
	job := &change.Job
	fields := []events.Field{events.F("job", job.ID), events.F("tenant", job.Tenant), events.F("state", string(job.State))}
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, events.F(name, value))
		}
	}
	add("reason", string(job.Reason))
	add("detail", job.Detail)
	add("worker", job.Worker)
	add("failed_on", strings.Join(change.FailedOn, ","))
	add("action", actionNames[change.Action])
	add("urgent_job", change.UrgentID)
	return fields
}
