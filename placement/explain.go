package placement

import "time"

// Explanation says why a job is not running.
type Explanation struct {
	JobView
	Reservation    Resources // what the job would reserve
	SizeObserved   bool      // the size is the observed quantile of its family
	Cancelling     bool
	Durable        bool
	Throttled      bool
	FailedOn       []string
	LeaseExpiresAt time.Time // when an unreachable attempt can no longer run
	QuotaUsed      int       // milli cores that the tenant holds
	QuotaLimit     int
	HeadroomWatts  int
}

// Explain returns the typed reason why a job is not running, with the values
// behind it.
func (s *State) Explain(jobID string) (Explanation, bool) {
	job, _ := s.job(jobID)
	if job == nil {
		return Explanation{}, false
	}
	e := Explanation{
		JobView: s.view(job), Cancelling: job.Cancelling, Durable: s.durable(job), FailedOn: job.FailedOn,
		QuotaUsed: s.tenant(job.Tenant).Reserved.MilliCores, HeadroomWatts: s.HeadroomWatts(),
	}
	if e.State == JobPending && e.Reason == ReasonQueued && !s.placing {
		e.Reason = ReasonTakeover
	}
	if s.policy != nil {
		e.Reservation, e.SizeObserved = s.reservation(&job.Spec), s.observed(&job.Spec)
		e.QuotaLimit = s.quotaMilliCores(job.Tenant)
	}
	if a := s.attempts.Get(job.attempt); a != nil {
		e.Throttled = a.Throttled
		if a.Status == AttemptLost || a.Status == AttemptUnknown || a.Status == AttemptUncertain {
			e.LeaseExpiresAt = s.lapsed(a)
		}
	}
	return e, true
}
