// Package admission decides whether a submission is accepted for a write to the store
// or rejected at once, and when a rejected caller should return.
//
// A decision depends only on what this process has seen: results of its calls to the
// store, how long its writes in flight have waited, and, where the manifest has teams, the
// mirrored job records, the reports of the pools' owners and the registry of workers. The
// package does no I/O.
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// refusalTimeout is how long all calls must have failed before submissions are
	// rejected at once. Until then a repetition may succeed.
	refusalTimeout = 250 * time.Millisecond
	// silenceTimeout is the age of an unanswered write from which the store counts as
	// silent. An answer of a store that is 62 times slower than usual takes 250 ms.
	silenceTimeout = 600 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time after which a rejected caller
	// should return. Callers give up after a few tries, so that they must wait longer
	// the longer an outage lasts, and their tries reach other processes, which the
	// store may serve.
	minRetryDelay = time.Second
	maxRetryDelay = 4 * time.Second
	// retryGrowth is the share of the age of an outage that is added to the delay.
	retryGrowth = 0.5
)

// Reason tells why a submission was rejected.
type Reason uint8

// The reasons of a rejection.
const (
	None           Reason = iota // accepted
	StoreRefuses                 // the store has refused or failed the last calls
	StoreSilent                  // the store does not answer the writes in flight
	TooManyHeld                  // the process holds the largest number of requests
	DeadlineClose                // the caller's deadline leaves no time for a write
	MirrorOld                    // the process has not read the store's changes for too long
	TeamAtCap                    // the team's work surely fills its cap until the job is worth nothing
	TeamOverShare                // the pool is full, and the team's work surely fills its share until then
	PoolOverloaded               // the pool can't serve the job before it is worth nothing
)

// ConcernsTeam reports whether the reason is the team's own use. Another process would decide
// alike.
func (r Reason) ConcernsTeam() bool { return r == TeamAtCap || r == TeamOverShare }

// ConcernsLoad reports whether the submission was rejected for the load, not for the state of
// the store.
func (r Reason) ConcernsLoad() bool { return r >= TeamAtCap }

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	names := [...]string{"none", "store-refuses", "store-silent", "too-many-held", "deadline", "mirror-old", "team-at-cap", "team-over-share", "pool-overloaded"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Decision is the answer for one submission.
type Decision struct {
	Reason Reason // None if the submission is accepted
	// RetryAfter is when a rejected caller should return.
	RetryAfter time.Duration
	// Inputs are what the rules for the load were applied to; nil if they were not.
	Inputs *Inputs
}

// Submission is a job that asks for admission.
type Submission struct {
	Job *work.Job
	// TimeOfDay is the present wall-clock time. Return slots follow it, so that they are
	// the same at all processes.
	TimeOfDay time.Time
}

// State is what the process has seen of the store, and of the load.
type State struct {
	Mirror *ledger.JobMirror // followed by Systems; may be nil if Load is not used
	Load   Load

	failingSince time.Time            // first failed call since the last success; zero if none failed
	inFlight     map[uint64]time.Time // writes without a result, by ID
}

// WriteSent records a write.
func (s *State) WriteSent(now time.Time, id uint64) {
	if s.inFlight == nil {
		s.inFlight = map[uint64]time.Time{}
	}
	s.inFlight[id] = now
}

// WriteAnswered records the result of a write. ok is false if the store did not
// execute it, or if its result is unknown.
func (s *State) WriteAnswered(now time.Time, id uint64, ok bool) {
	delete(s.inFlight, id)
	s.CallAnswered(now, ok)
}

// CallAnswered records the result of any call to the store. Lease renewals and watch
// calls go on during an outage, so that its end is noticed without a submission.
func (s *State) CallAnswered(now time.Time, ok bool) {
	switch {
	case ok:
		s.failingSince = time.Time{}
	case s.failingSince.IsZero():
		s.failingSince = now
	}
}

// outageSince returns the start of the present outage and its reason, or None.
func (s *State) outageSince(now time.Time) (time.Time, Reason) {
	if !s.failingSince.IsZero() && now.Sub(s.failingSince) >= refusalTimeout {
		return s.failingSince, StoreRefuses
	}
	if len(s.inFlight) == 0 {
		return time.Time{}, None
	}
	oldest := now
	for _, at := range s.inFlight {
		if at.Before(oldest) {
			oldest = at
		}
	}
	if now.Sub(oldest) >= silenceTimeout {
		return oldest, StoreSilent
	}
	return time.Time{}, None
}

// Outage returns why submissions are rejected at present, or None.
func (s *State) Outage(now time.Time) Reason {
	_, reason := s.outageSince(now)
	return reason
}

// Decide decides on a submission: by the state of the store, and where the manifest has
// teams, by the load.
func (s *State) Decide(now time.Time, submission Submission) Decision {
	if _, reason := s.outageSince(now); reason != None {
		return Decision{Reason: reason, RetryAfter: s.RetryAfter(now, submission.Job.ID)}
	}
	if !s.Load.active || s.Mirror == nil {
		return Decision{}
	}
	inputs := s.Load.inputs(now, s.Mirror.ReadAt, submission)
	reason := inputs.decide(submission)
	decision := Decision{Reason: reason, Inputs: &inputs}
	if reason != None {
		decision.RetryAfter = returnDelay(submission, inputs.Slots)
	}
	return decision
}

// RetryAfter returns when a caller that is rejected now should return, in whole
// seconds. Callers are spread over the delay by their job, so that those who were
// rejected together do not return together.
func (s *State) RetryAfter(now time.Time, job string) time.Duration {
	since, reason := s.outageSince(now)
	if reason == None {
		return minRetryDelay
	}
	delay := min(maxRetryDelay, minRetryDelay+time.Duration(retryGrowth*float64(now.Sub(since))))
	spread := float64(xxhash.Sum64String(job)%1024) / 1024
	seconds := time.Duration(delay.Seconds() + spread)
	return max(minRetryDelay, seconds*time.Second)
}
