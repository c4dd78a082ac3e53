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

// logJobChanges logs the notifications of job placement.
func logJobChanges(s *State, _ engine.Tick) {
	s.Jobs.Out.Notifications.Drain(func(notification placement.Notification) {
		s.View.Log(jobEvents[notification.Kind], jobFields(&notification)...)
	})
}

func jobFields(notification *placement.Notification) []events.Field {
	switch notification.Kind {
	case placement.NotifyQuarantineCapped:
		return []events.Field{events.F("worker", notification.Worker)}
	case placement.NotifyPowerShed:
		return []events.Field{
			events.F("throttled", notification.Throttled), events.F("checkpointed", notification.Checkpointed),
			events.F("expected_watts", notification.ExpectedWatts), events.F("cap_watts", notification.CapWatts),
		}
	}
	job := &notification.Job
	fields := []events.Field{events.F("job", job.ID), events.F("tenant", job.Tenant), events.F("state", string(job.State))}
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, events.F(name, value))
		}
	}
	add("reason", string(job.Reason))
	add("detail", job.Detail)
	add("worker", job.Worker)
	add("failed_on", strings.Join(notification.FailedOn, ","))
	add("action", actionNames[notification.Action])
	add("urgent_job", notification.UrgentID)
	return fields
}
