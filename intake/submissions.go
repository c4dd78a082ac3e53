package intake

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// unknownWriteTime is how long the job of a write without a result may still appear in
	// the store. The call itself ends after a few seconds.
	unknownWriteTime = 10 * time.Second
	// maxReadWait bounds the wait of a rejection for the next read of the store. A
	// non-owner reads every 250 ms.
	maxReadWait = 400 * time.Millisecond
	// readWaitShare bounds it further, as a share of the job's objective: a rejection that
	// takes a quarter of it is as bad as a late job.
	readWaitShare = 0.2
)

// submission is a job that this process may store: it has accepted requests for it, or has
// sent a write whose result is not known.
type submission struct {
	job          string
	requests     int // held requests that may be written
	writes       int // writes in flight
	unknownUntil time.Time
}

// mayBeStored reports whether a write of this process may store the job, so that no answer
// may call it not accepted.
func (s *State) mayBeStored(now time.Time, job string) bool {
	id, known := s.submissionByJob.Get(job)
	if !known {
		return false
	}
	row := s.submissions.Get(id)
	return row.writes > 0 || now.Before(row.unknownUntil)
}

// submissionOf returns the row of a job, which it inserts if necessary.
func (s *State) submissionOf(job string) *submission {
	id, known := s.submissionByJob.Get(job)
	if !known {
		id = s.submissions.Insert(submission{job: job})
		s.submissionByJob.Put(job, id)
	}
	return s.submissions.Get(id)
}

// receiveSubmission decides on a submission of a job that the mirror does not have. If an
// earlier request for the job may still store it, the submission waits for the same result.
func (s *State) receiveSubmission(tick engine.Tick, r Request) {
	if _, waits := s.submissionByJob.Get(r.Job); waits {
		s.acceptSubmission(tick, s.Requests.Insert(r))
		return
	}
	decision := s.Admission.Decide(tick.Now, r.submission(tick.Now))
	switch {
	case decision.Reason.ConcernsLoad():
		rejection := decision
		r.rejection = &rejection
		s.Requests.Insert(r)
	case decision.Reason != admission.None:
		s.reply(tick, &r, Reply{Outcome: NotAccepted, Reason: decision.Reason, RetryAfter: decision.RetryAfter})
	default:
		r.keepInputs(decision)
		s.acceptSubmission(tick, s.Requests.Insert(r))
	}
}

// keepInputs keeps what the decision on an accepted submission was based on, for the log,
// if the job is expected to be late.
func (r *Request) keepInputs(decision admission.Decision) {
	if decision.Inputs != nil && decision.Inputs.ExpectsLate() {
		r.inputs = decision.Inputs
	}
}

func (r *Request) submission(now time.Time) admission.Submission {
	return admission.Submission{Job: r.Spec, TimeOfDay: r.Spec.AcceptedAt.Add(now.Sub(r.receivedAt))}
}

// acceptSubmission lets a held request be written.
func (s *State) acceptSubmission(tick engine.Tick, id table.ID) {
	r := s.Requests.Get(id)
	r.rejection = nil
	s.submissionOf(r.Job).requests++
	s.Admission.Load.Hold(tick.Now, r.Spec)
}

// rejectSubmissions answers the submissions that are rejected for the load, after a read
// of the store that was sent after they arrived: a caller whose answer was lost, because
// its process has ended, may submit a stored job again, which must not be called not
// accepted. A submission for which there is no such read in time is accepted, as with any
// view that is too old.
func rejectSubmissions(s *State, tick engine.Tick) {
	for id, r := range s.Requests.All() {
		if r.rejection == nil {
			continue
		}
		_, waits := s.submissionByJob.Get(r.Job)
		held := tick.Now.Sub(r.receivedAt)
		switch {
		case waits || held > maxReadWait || held > time.Duration(readWaitShare*float64(r.rejection.Inputs.Objective)):
			s.acceptSubmission(tick, id)
		case !s.Mirror.ReadAt.After(r.receivedAt):
		default:
			decision := s.Admission.Decide(tick.Now, r.submission(tick.Now))
			if decision.Reason == admission.None {
				r.keepInputs(decision)
				s.acceptSubmission(tick, id)
				continue
			}
			s.complete(tick, id, Reply{Outcome: NotAccepted, Reason: decision.Reason, RetryAfter: decision.RetryAfter, Inputs: decision.Inputs})
		}
	}
}

// forgetSubmissions forgets the jobs that no request or write may store any more.
func forgetSubmissions(s *State, tick engine.Tick) {
	for id, row := range s.submissions.All() {
		if row.requests > 0 || row.writes > 0 || tick.Now.Before(row.unknownUntil) && !s.isKnown(row.job) {
			continue
		}
		s.Admission.Load.Release(row.job)
		s.submissionByJob.Delete(row.job)
		s.submissions.Delete(id)
	}
}

// submissionSent and submissionAnswered record a write of a job and its result.
func (s *State) submissionSent(job string) { s.submissionOf(job).writes++ }

func (s *State) submissionAnswered(now time.Time, job string, unknown bool) {
	row := s.submissionOf(job)
	row.writes--
	if unknown {
		row.unknownUntil = now.Add(unknownWriteTime)
	}
}
