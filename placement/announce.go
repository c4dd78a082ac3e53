package placement

// NotificationKind says what happened to jobs.
type NotificationKind uint8

// The kinds of change that operators are told about.
const (
	NotifyFinished         NotificationKind = iota + 1 // done or cancelled
	NotifyFailed                                       // failed for good
	NotifyUnknown                                      // may have run, is not started again
	NotifyParked                                       // cannot run in the present fleet
	NotifyPreempted                                    // throttled or checkpointed for an urgent job
	NotifyPowerShed                                    // tasks were throttled or checkpointed to hold the power cap
	NotifyQuarantineCapped                             // a worker at fault stays in service
)

// Notification announces a decision about jobs. It is an effect for the log: a change
// whose page is not yet committed may be announced again after a takeover.
type Notification struct {
	Kind     NotificationKind
	Job      JobView       // empty for NotifyPowerShed and NotifyQuarantineCapped
	FailedOn []string      // different workers on which the job failed
	Action   ControlAction // NotifyPreempted
	UrgentID string        // NotifyPreempted: the job that gets the room

	Worker string // NotifyQuarantineCapped

	Throttled, Checkpointed int // NotifyPowerShed: number of tasks
	ExpectedWatts, CapWatts int // NotifyPowerShed: draw with the relief, and the cap
}

// changeKinds lists the states whose entry is announced.
var changeKinds = map[JobState]NotificationKind{
	JobDone: NotifyFinished, JobCancelled: NotifyFinished, JobFailed: NotifyFailed, JobUnknown: NotifyUnknown, JobParked: NotifyParked,
}

// announceState announces that a job entered its present state. Jobs that are
// read from a page have no former state and were announced by the writer.
func (s *State) announceState(job *Job, former JobState) {
	kind, announced := changeKinds[job.State]
	if !announced || former == "" || former == job.State {
		return
	}
	s.Out.Notifications.Add(Notification{Kind: kind, Job: s.view(job), FailedOn: append([]string(nil), job.FailedOn...)})
}

// announcePreempted announces a task that makes room for an urgent job.
func (s *State) announcePreempted(a *Attempt, urgent *Job) {
	if a.asked == ActionNone {
		return // the call is not allowed now, nothing was asked
	}
	s.Out.Notifications.Add(Notification{Kind: NotifyPreempted, Job: s.view(s.jobs.Get(a.Job)), Action: a.asked, UrgentID: urgent.ID})
}

// announceShed announces the tasks that were slowed down or checkpointed since
// the counters had the given values.
func (s *State) announceShed(throttles, checkpoints uint64) {
	change := Notification{
		Kind: NotifyPowerShed, ExpectedWatts: s.expectedDraw(), CapWatts: s.powerCap(),
		Throttled:    int(s.Counters.PowerThrottles - throttles),
		Checkpointed: int(s.Counters.PowerCheckpoints - checkpoints),
	}
	if change.Throttled+change.Checkpointed > 0 {
		s.Out.Notifications.Add(change)
	}
}
