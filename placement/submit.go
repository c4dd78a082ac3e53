package placement

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
)

func (e Submitted) apply(s *State, tick engine.Tick) {
	s.Counters.Submissions++
	if !s.Active() || s.policy == nil {
		s.refuse(e, ReasonNoController)
		return
	}
	if !e.Spec.wellFormed() {
		s.refuse(e, ReasonBadRequest)
		return
	}
	if job, _ := s.job(e.Spec.ID); job != nil {
		s.repeatSubmission(e, job, tick)
		return
	}
	if reason := s.refusalReason(&e.Spec); reason != ReasonNone {
		s.refuse(e, reason)
		return
	}
	s.accept(e, tick)
}

func (s *State) refuse(e Submitted, reason Reason) {
	s.Counters.Refusals++
	view := JobView{ID: e.Spec.ID, Tenant: e.Spec.Tenant, Reason: reason}
	s.Out.Replies.Add(Reply{Token: e.ReplyToken, Outcome: outcome.NotRun, Reason: reason, Job: view})
}

// repeatSubmission gives a repeated submission the same reply as the first one.
func (s *State) repeatSubmission(e Submitted, job *Job, tick engine.Tick) {
	switch {
	case job.Spec != e.Spec:
		s.refuse(e, ReasonJobMismatch)
	case s.durable(job):
		s.Out.Replies.Add(Reply{Token: e.ReplyToken, Outcome: outcome.Completed, Job: s.jobView(job)})
	default:
		_, row := s.job(job.ID)
		s.replyAfterCommit(job.pageIndex, replyAction{token: e.ReplyToken, jobID: job.ID, jobRow: row}, tick.Now)
	}
}

// durable reports whether a committed page contains the job.
func (s *State) durable(job *Job) bool {
	return job.submissionSequence <= s.page(job.pageIndex).committedSequence
}

func (s *State) accept(e Submitted, tick engine.Tick) {
	job, id := s.insertJob(Job{Spec: e.Spec, SubmittedAt: tick.Now})
	s.setState(id, job, JobPending, ReasonQueued)
	job.submissionSequence = s.page(job.pageIndex).sequence
	s.replyAfterCommit(job.pageIndex, replyAction{token: e.ReplyToken, jobID: job.ID, jobRow: id}, tick.Now)
}

// refusalReason returns the reason to refuse a new job, or ReasonNone.
func (s *State) refusalReason(spec *Spec) Reason {
	if s.page(PageOf(spec.ID)).estimatedBytes+spec.encodedBytes() > MaxPageBytes {
		return ReasonPageFull
	}
	if s.tenant(spec.Tenant).Waiting >= s.policy.Tenant(spec.Tenant).JobsPending {
		return ReasonQuota
	}
	return s.infeasibleReason(spec)
}

// infeasibleReason returns the reason why no worker of the pool could run the job even
// if it were idle, or ReasonNone. Before the fleet is loaded, only the policy is checked.
func (s *State) infeasibleReason(spec *Spec) Reason {
	if _, ok := s.policy.Pool(spec.Pool); !ok {
		return ReasonUnknownPool
	}
	if !s.fleetLoaded {
		return ReasonNone
	}
	if s.reservation(spec).MilliCores > s.quotaMilliCores(spec.Tenant) {
		return ReasonQuotaTooSmall
	}
	return s.noFitReason(spec, s.expectedSize(spec))
}

func (s *State) quotaMilliCores(tenant string) int {
	return s.policy.Tenant(tenant).JobCores * milliCoresPerCore
}

const milliCoresPerCore = 1000

// noFitReason returns the reason why no worker of the pool fits, or ReasonNone. It is
// the last of these checks that any worker reached: workers, availability zone,
// accelerators, size.
func (s *State) noFitReason(spec *Spec, size Resources) Reason {
	reason := ReasonNoWorkers
	for _, id := range s.workersByPool.Get(spec.Pool) {
		w := s.workers.Get(id)
		usable := s.usableCapacity(w)
		switch {
		case spec.AvailabilityZone != "" && w.AvailabilityZone != spec.AvailabilityZone:
			if reason == ReasonNoWorkers {
				reason = ReasonNoWorkerInZone
			}
		case size.Accelerators > usable.Accelerators:
			if reason != ReasonTooLarge {
				reason = ReasonNoAccelerator
			}
		case !size.Fits(usable):
			reason = ReasonTooLarge
		default:
			return ReasonNone
		}
	}
	return reason
}

// replyDurable replies to a request whose change is committed.
func (s *State) replyDurable(action replyAction) {
	reply := Reply{Token: action.token, Outcome: outcome.Completed, Job: JobView{ID: action.jobID}}
	if job := s.jobs.Get(action.jobRow); job != nil {
		reply.Job = s.jobView(job)
	}
	s.Out.Replies.Add(reply)
}

// replyNotDurable replies to a request whose change is not known to be durable. A
// submission is reported as not run only if no write that is or may become the stored
// value contains it. The job is then deleted.
func (s *State) replyNotDurable(page *pageRow, action replyAction) {
	job := s.jobs.Get(action.jobRow)
	reply := Reply{Token: action.token, Outcome: outcome.Unknown, Reason: ReasonNotDurable, Job: JobView{ID: action.jobID}}
	switch {
	case job == nil && action.cancel:
		reply.Outcome, reply.Reason = outcome.NotRun, ReasonNotFound
	case job == nil: // deleted by an earlier reply; a later submission may have reused the ID
		if _, ok := s.jobByID.Get(action.jobID); !ok {
			reply.Outcome = outcome.NotRun
		}
	case action.cancel:
		reply.Job = s.jobView(job)
	case s.durable(job):
		reply.Outcome, reply.Reason, reply.Job = outcome.Completed, ReasonNone, s.jobView(job)
	case !page.mayBeStored(job.submissionSequence):
		s.deleteJob(action.jobRow)
		reply.Outcome = outcome.NotRun
	}
	if reply.Outcome == outcome.NotRun {
		s.Counters.NotDurable++
	}
	s.Out.Replies.Add(reply)
}
