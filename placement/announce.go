package placement

// NotificationKind is the kind of event that a Notification reports.
type NotificationKind uint8

// Events that are reported to operators.
const (
	NotifyFinished         NotificationKind = iota + 1 // done or cancelled
	NotifyFailed                                       // failed permanently
	NotifyUnknown                                      // a non-idempotent job may have run; it is not started again
	NotifyParked                                       // no worker of the current fleet can run the job
	NotifyPreempted                                    // a task was throttled or checkpointed for an urgent job
	NotifyPowerShed                                    // tasks were throttled or checkpointed to stay below the power cap
	NotifyQuarantineCapped                             // the cap keeps a faulty worker in service
)

// Notification reports a decision about jobs for the event log. A decision whose
// page is not yet committed may be reported again after a takeover.
type Notification struct {
	Kind     NotificationKind
	Job      JobView       // empty for NotifyPowerShed and NotifyQuarantineCapped
	FailedOn []string      // distinct workers on which the job failed
	Action   ControlAction // NotifyPreempted
	UrgentID string        // NotifyPreempted: the job that gets the capacity

	Worker string // NotifyQuarantineCapped

	Throttled, Checkpointed int // NotifyPowerShed: number of tasks
	ExpectedWatts, CapWatts int // NotifyPowerShed: draw after the requested reductions, and the cap
}

// notificationKinds maps the job states whose entry is reported.
var notificationKinds = map[JobState]NotificationKind{
	JobDone: NotifyFinished, JobCancelled: NotifyFinished, JobFailed: NotifyFailed, JobUnknown: NotifyUnknown, JobParked: NotifyParked,
}

// notifyState reports that a job entered its current state. Jobs loaded from a
// page have no former state; the controller that wrote the page reported them.
func (s *State) notifyState(job *Job, former JobState) {
	kind, reported := notificationKinds[job.State]
	if !reported || former == "" || former == job.State {
		return
	}
	s.Out.Notifications.Add(Notification{Kind: kind, Job: s.jobView(job), FailedOn: append([]string(nil), job.FailedOn...)})
}

// notifyPreempted reports a task that was preempted for an urgent job.
func (s *State) notifyPreempted(a *Attempt, urgent *Job) {
	if a.pendingAction == ActionNone {
		return // the call is not allowed now, so no action was requested
	}
	s.Out.Notifications.Add(Notification{Kind: NotifyPreempted, Job: s.jobView(s.jobs.Get(a.Job)), Action: a.pendingAction, UrgentID: urgent.ID})
}

// notifyPowerShed reports the tasks that were throttled or checkpointed since the
// counters had the given values.
func (s *State) notifyPowerShed(throttles, checkpoints uint64) {
	notification := Notification{
		Kind: NotifyPowerShed, ExpectedWatts: s.expectedDraw(), CapWatts: s.powerCap(),
		Throttled:    int(s.Counters.PowerThrottles - throttles),
		Checkpointed: int(s.Counters.PowerCheckpoints - checkpoints),
	}
	if notification.Throttled+notification.Checkpointed > 0 {
		s.Out.Notifications.Add(notification)
	}
}
