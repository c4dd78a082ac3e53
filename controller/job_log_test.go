package controller

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

// Guards against a job notification that is logged as no event or a wrong one, or
// without the fields by which operators search.
func TestJobChangesAreLogged(t *testing.T) {
	for _, test := range []struct {
		change placement.Notification
		event  events.Event
		fields map[string]any
	}{
		{
			placement.Notification{Kind: placement.NotifyFinished, Job: placement.JobView{ID: "j", Tenant: "t", State: placement.JobDone}},
			events.JobFinished,
			map[string]any{"job": "j", "tenant": "t", "state": "done"},
		},
		{
			placement.Notification{Kind: placement.NotifyUnknown, Job: placement.JobView{ID: "j", Worker: "w001", Reason: placement.ReasonWorkerLost}},
			events.JobUnknown,
			map[string]any{"worker": "w001", "reason": "worker-lost"},
		},
		{
			placement.Notification{Kind: placement.NotifyParked, Job: placement.JobView{ID: "j", Reason: placement.ReasonNoWorkerInZone}},
			events.JobParked,
			map[string]any{"reason": "no-worker-in-zone"},
		},
		{
			placement.Notification{Kind: placement.NotifyFailed, Job: placement.JobView{ID: "j", Detail: "exit 1"}, FailedOn: []string{"w001", "w002"}},
			events.JobFailed,
			map[string]any{"detail": "exit 1", "failed_on": "w001,w002"},
		},
		{
			placement.Notification{Kind: placement.NotifyPreempted, Job: placement.JobView{ID: "j"}, Action: placement.ActionCheckpoint, UrgentID: "u"},
			events.JobPreempted,
			map[string]any{"action": "checkpoint", "urgent_job": "u"},
		},
		{
			placement.Notification{Kind: placement.NotifyPowerShed, Throttled: 2, CapWatts: 100},
			events.PowerCapThrottling,
			map[string]any{"throttled": 2, "cap_watts": 100},
		},
		{
			placement.Notification{Kind: placement.NotifyQuarantineCapped, Worker: "w003"},
			events.QuarantineCapped,
			map[string]any{"worker": "w003"},
		},
	} {
		h := newHarness(t)
		h.state.Jobs.Out.Notifications.Add(test.change)
		h.step(0)
		fields := map[string]any{}
		for _, record := range h.logs {
			if record.Event == test.event {
				for _, field := range record.Fields {
					fields[field.Key] = field.Value
				}
			}
		}
		for name, want := range test.fields {
			if fields[name] != want {
				t.Errorf("event %d: field %s is %v, want %v", test.event.Number, name, fields[name], want)
			}
		}
	}
}
