package placement

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
)

func (e SubmitRequested) apply(s *State, tick engine.Tick) {
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
	if reason := s.refusal(&e.Spec); reason != ReasonNone {
		s.refuse(e, reason)
		return
	}
	s.accept(e, tick)
}

func (s *State) refuse(e SubmitRequested, reason Reason) {
	s.Counters.Refusals++
	view := JobView{ID: e.Spec.ID, Tenant: e.Spec.Tenant, Reason: reason}
	s.Out.Replies.Add(Reply{Token: e.ReplyToken, Outcome: outcome.NotRun, Reason: reason, Job: view})
}

// repeatSubmission gives a repeated submission the answer of the first one.
func (s *State) repeatSubmission(e SubmitRequested, job *Job, tick engine.Tick) {
	switch {
	case job.Spec != e.Spec:
		s.refuse(e, ReasonJobMismatch)
	case s.durable(job):
		s.Out.Replies.Add(Reply{Token: e.ReplyToken, Outcome: outcome.Completed, Job: s.view(job)})
	default:
		_, row := s.job(job.ID)
		s.replyAfterCommit(job.page, replyAction{reply: e.ReplyToken, jobID: job.ID, row: row}, tick.Now)
	}
}

// durable reports whether a committed page holds the job.
func (s *State) durable(job *Job) bool { return job.submitted <= s.page(job.page).committed }

func (s *State) accept(e SubmitRequested, tick engine.Tick) {
	job, id := s.insertJob(Job{Spec: e.Spec, SubmittedAt: tick.Now})
	s.setState(id, job, JobPending, ReasonQueued)
	job.submitted = s.page(job.page).sequence
	s.replyAfterCommit(job.page, replyAction{reply: e.ReplyToken, jobID: job.ID, row: id}, tick.Now)
}

// refusal returns why a new job is not accepted.
func (s *State) refusal(spec *Spec) Reason {
	if s.page(PageOf(spec.ID)).bytes+spec.encodedBytes() > MaxPageBytes {
		return ReasonPageFull
	}
	if s.tenant(spec.Tenant).Waiting >= s.policy.Tenant(spec.Tenant).JobsPending {
		return ReasonQuota
	}
	return s.cannotRun(spec)
}

// cannotRun returns why no worker of the pool could run the job even if it were
// empty, or ReasonNone. Before the fleet is known only the policy is checked.
func (s *State) cannotRun(spec *Spec) Reason {
	if _, ok := s.policy.Pool(spec.Pool); !ok {
		return ReasonUnknownPool
	}
	if !s.fleetKnown {
		return ReasonNone
	}
	if s.reservation(spec).MilliCores > s.quotaMilliCores(spec.Tenant) {
		return ReasonQuotaTooSmall
	}
	return s.misfit(spec, s.expectedSize(spec))
}

func (s *State) quotaMilliCores(tenant string) int {
	return s.policy.Tenant(tenant).JobCores * milliCores
}

const milliCores = 1000 // per core

// misfit returns the most advanced reason for which all workers of the pool are
// unsuitable: no workers, zone, accelerators, size.
func (s *State) misfit(spec *Spec, size Resources) Reason {
	reason := ReasonNoWorkers
	for _, id := range s.workersByPool.Get(spec.Pool) {
		w := s.workers.Get(id)
		usable := s.usable(w)
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

// answerDurable completes a request whose change is committed.
func (s *State) answerDurable(action replyAction) {
	answer := Reply{Token: action.reply, Outcome: outcome.Completed, Job: JobView{ID: action.jobID}}
	if job := s.jobs.Get(action.row); job != nil {
		answer.Job = s.view(job)
	}
	s.Out.Replies.Add(answer)
}

// answerNotDurable ends a request whose change is not known to be durable. A
// submission is refused as not run only when no write that could still be, or
// become, the stored value contains it; the job is then removed.
func (s *State) answerNotDurable(page *pageRow, action replyAction) {
	job := s.jobs.Get(action.row)
	answer := Reply{Token: action.reply, Outcome: outcome.Unknown, Reason: ReasonNotDurable, Job: JobView{ID: action.jobID}}
	switch {
	case job == nil && action.cancel:
		answer.Outcome, answer.Reason = outcome.NotRun, ReasonNotFound
	case job == nil: // refused with an earlier reply; a later submission may have brought the ID back
		if _, ok := s.jobByID.Get(action.jobID); !ok {
			answer.Outcome = outcome.NotRun
		}
	case action.cancel:
		answer.Job = s.view(job)
	case s.durable(job):
		answer.Outcome, answer.Reason, answer.Job = outcome.Completed, ReasonNone, s.view(job)
	case !page.maybeWritten(job.submitted):
		s.dropJob(action.row)
		answer.Outcome = outcome.NotRun
	}
	if answer.Outcome == outcome.NotRun {
		s.Counters.NotDurable++
	}
	s.Out.Replies.Add(answer)
}
