package placement

// Counters are cumulative since process start. They feed the metrics.
type Counters struct {
	Submissions, Refusals, NotDurable, Cancellations  uint64
	Placements, Starts, StartsRefused, StartsRepeated uint64
	Done, Failed, Cancelled, JobsUnknown              uint64
	Parked, Retired, TaskFailures, Checkpoints        uint64
	Preemptions, PowerThrottles, PowerCheckpoints     uint64
	Unthrottles, Controls                             uint64
	Quarantines, QuarantinesCapped                    uint64
	PageWrites, PageCommits, PageRetries              uint64
	StaleReports, Takeovers, Fenced                   uint64
}

func (c *Counters) countFinished(state JobState) {
	switch state {
	case JobDone:
		c.Done++
	case JobFailed:
		c.Failed++
	case JobCancelled:
		c.Cancelled++
	}
}

// Gauges are current values for metrics.
type Gauges struct {
	Jobs, Attempts, Workers, Tenants, Families int
	DrawWatts                                  int
	QuarantinedWorkers                         int
	JobsByState                                map[JobState]int
}

// Gauges counts rows. It iterates over every job and worker, so call it once per
// metrics interval and not on each tick.
func (s *State) Gauges() Gauges {
	g := Gauges{
		Jobs: s.jobs.Len(), Attempts: s.attempts.Len(), Workers: s.workers.Len(), Tenants: s.tenants.Len(),
		Families: s.families.Len(), DrawWatts: s.conservativeDraw(), JobsByState: map[JobState]int{},
	}
	for _, job := range s.jobs.All() {
		g.JobsByState[job.State]++
	}
	for _, w := range s.workers.All() {
		if w.Quarantine.Active {
			g.QuarantinedWorkers++
		}
	}
	return g
}
