package placement

// ChangeKind says what happened to jobs.
type ChangeKind uint8

// The kinds of change that operators are told about.
const (
	ChangeFinished         ChangeKind = iota + 1 // done or cancelled
	ChangeFailed                                 // failed for good
	ChangeUnknown                                // may have run, is not started again
	ChangeParked                                 // cannot run in the present fleet
	ChangePreempted                              // throttled or checkpointed for an urgent job
	ChangePowerShed                              // tasks were throttled or checkpointed to hold the power cap
	ChangeQuarantineCapped                       // a worker at fault stays in service
)

// Change announces a decision about jobs. It is an effect for the log: a change
// whose page is not yet committed may be announced again after a takeover.
type Change struct {
	Kind     ChangeKind
	Job      View          // empty for ChangePowerShed and ChangeQuarantineCapped
	FailedOn []string      // different workers on which the job failed
	Action   ControlAction // ChangePreempted
	UrgentID string        // ChangePreempted: the job that gets the room

	Worker string // ChangeQuarantineCapped

	Throttled, Checkpointed int // ChangePowerShed: number of tasks
	ExpectedWatts, CapWatts int // ChangePowerShed: draw with the relief, and the cap
}

// changeKinds lists the states whose entry is announced.
var changeKinds = map[JobState]ChangeKind{
	JobDone: ChangeFinished, JobCancelled: ChangeFinished, JobFailed: ChangeFailed, JobUnknown: ChangeUnknown, JobParked: ChangeParked,
}

// announceState announces that a job entered its present state. Jobs that are
// read from a page have no former state and were announced by the writer.
func (s *State) announceState(job *Job, former JobState) {
	kind, announced := changeKinds[job.State]
	if !announced || former == "" || former == job.State {
		return
	}
	s.Out.Changes.Add(Change{Kind: kind, Job: s.view(job), FailedOn: append([]string(nil), job.FailedOn...)})
}

// announcePreempted announces a task that makes room for an urgent job.
func (s *State) announcePreempted(a *Attempt, urgent *Job) {
	if a.asked == ActionNone {
		return // the call is not allowed now, nothing was asked
	}
	s.Out.Changes.Add(Change{Kind: ChangePreempted, Job: s.view(s.jobs.Get(a.Job)), Action: a.asked, UrgentID: urgent.ID})
}

// announceShed announces the tasks that were slowed down or checkpointed since
// the counters had the given values.
func (s *State) announceShed(throttles, checkpoints uint64) {
	change := Change{
		Kind: ChangePowerShed, ExpectedWatts: s.expectedDraw(), CapWatts: s.powerCap(),
		Throttled:    int(s.Counters.PowerThrottles - throttles),
		Checkpointed: int(s.Counters.PowerCheckpoints - checkpoints),
	}
	if change.Throttled+change.Checkpointed > 0 {
		s.Out.Changes.Add(change)
	}
}
