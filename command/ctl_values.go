package command

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/policy"
)

// workerID is the ID of a worker. The platform defines its format.
type workerID string

// UnmarshalText rejects an empty ID.
func (w *workerID) UnmarshalText(text []byte) error {
	*w = workerID(text)
	if strings.TrimSpace(string(text)) == "" {
		return errors.New("an empty text is not the name of a worker")
	}
	return nil
}

// jobID is the ID of a job.
type jobID string

// UnmarshalText rejects an empty ID.
func (j *jobID) UnmarshalText(text []byte) error {
	*j = jobID(text)
	if strings.TrimSpace(string(text)) == "" {
		return errors.New("an empty text is not the ID of a job")
	}
	return nil
}

const maxReasonBytes = 500

// reasonText is the reason that an operator gives for a change.
type reasonText string

// UnmarshalText rejects an empty reason and one longer than maxReasonBytes.
func (r *reasonText) UnmarshalText(text []byte) error {
	*r = reasonText(text)
	if strings.TrimSpace(string(text)) == "" || len(text) > maxReasonBytes {
		return errors.Newf("%q is not a reason of 1 to %d bytes", text, maxReasonBytes)
	}
	return nil
}

// revisionNumber is a revision of the configuration.
type revisionNumber policy.Revision

const revisionBits = 63

// UnmarshalText parses a whole number of at most revisionBits.
func (r *revisionNumber) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 10, revisionBits)
	if err != nil {
		return errors.Newf("%q is not a revision, a whole number from 0 to %d", text, uint64(1)<<revisionBits-1)
	}
	*r = revisionNumber(value)
	return nil
}

// Accepted range of a waitTimeout.
const (
	minWaitTimeout = time.Second
	maxWaitTimeout = time.Hour
)

// waitTimeout is the timeout of a wait until a change is in force.
type waitTimeout time.Duration

// UnmarshalText parses a duration and checks its range.
func (t *waitTimeout) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < minWaitTimeout || value > maxWaitTimeout {
		return errors.Newf("%q is not a duration from %v to %v", text, minWaitTimeout, maxWaitTimeout)
	}
	*t = waitTimeout(value)
	return nil
}
