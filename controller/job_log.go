package controller

import (
	"strings"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

var jobEvents = map[placement.NotificationKind]events.Event{
	placement.NotifyFinished: events.JobFinished, placement.NotifyFailed: events.JobFailed,
	placement.NotifyUnknown: events.JobUnknown, placement.NotifyParked: events.JobParked,
	placement.NotifyPreempted: events.JobPreempted, placement.NotifyPowerShed: events.PowerCapThrottling,
	placement.NotifyQuarantineCapped: events.QuarantineCapped,
}

var actionNames = map[placement.ControlAction]string{
	placement.ActionThrottle: "throttle", placement.ActionCheckpoint: "checkpoint",
}

// logJobChanges turns the changes that job placement announces into log events.
func logJobChanges(s *State, _ engine.Tick) {
	s.Jobs.Out.Notifications.Drain(func(change placement.Notification) {
		s.View.Log(jobEvents[change.Kind], jobFields(&change)...)
	})
}

func jobFields(change *placement.Notification) []events.Field {
	switch change.Kind {
	case placement.NotifyQuarantineCapped:
		return []events.Field{events.F("worker", change.Worker)}
	case placement.NotifyPowerShed:
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
