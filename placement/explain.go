package placement

import "time"

// Explanation describes why a job is not running.
type Explanation struct {
	JobView
	Reservation    Resources // resources that a new attempt would reserve
	SizeObserved   bool      // the reservation is based on observations of the family
	Cancelling     bool
	Durable        bool
	Throttled      bool
	FailedOn       []string
	LeaseExpiresAt time.Time // time from which an unreachable attempt can no longer be running
	QuotaUsed      int       // milli-cores reserved by the tenant
	QuotaLimit     int
	HeadroomWatts  int
}

// Explain returns the reason why a job is not running, with the values on which it
// is based.
func (s *State) Explain(jobID string) (Explanation, bool) {
	job, _ := s.job(jobID)
	if job == nil {
		return Explanation{}, false
	}
	e := Explanation{
		JobView: s.jobView(job), Cancelling: job.Cancelling, Durable: s.durable(job), FailedOn: job.FailedOn,
		QuotaUsed: s.tenant(job.Tenant).Reserved.MilliCores, HeadroomWatts: s.HeadroomWatts(),
	}
	if e.State == JobPending && e.Reason == ReasonQueued && !s.placementEnabled {
		e.Reason = ReasonTakeover
	}
	if s.policy != nil {
		e.Reservation, e.SizeObserved = s.reservation(&job.Spec), s.hasObservations(&job.Spec)
		e.QuotaLimit = s.quotaMilliCores(job.Tenant)
	}
	if a := s.attempts.Get(job.attempt); a != nil {
		e.Throttled = a.Throttled
		if a.Status == AttemptLost || a.Status == AttemptUnknown || a.Status == AttemptUncertain {
			e.LeaseExpiresAt = s.leaseExpiry(a)
		}
	}
	return e, true
}
