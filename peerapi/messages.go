// Package peerapi converts between the messages of the peer protocol and the
// types that the rest of the system uses. Nothing outside this package and
// exchange sees a protobuf type.
package peerapi

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
)

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// KeyedRequest is a request that a gateway forwards to the home of its
// idempotency key.
type KeyedRequest struct {
	Key        string
	HomesEpoch uint64 // of the sender
	Tenant     string
	Class      string
	Pool       string
	Method     string
	Path       string
	Headers    []Header
	Body       []byte
	Timeout    time.Duration // remaining at the sender
	Idempotent bool
}

// KeyedResponse is the answer of the home.
type KeyedResponse struct {
	Outcome    outcome.Outcome
	Status     int
	Headers    []Header
	Body       []byte
	Replayed   bool   // the answer of an earlier request with the same key
	HomesEpoch uint64 // of the home
}

// JobSubmission describes a job. Repeating it with the same ID is idempotent.
type JobSubmission struct {
	ID               string
	Tenant           string
	Pool             string
	Class            string
	Family           string // jobs of one kind share observed sizes
	MilliCores       uint32
	MemoryMB         uint32
	Accelerators     uint32
	RunTime          time.Duration // declared
	Idempotent       bool
	Payload          string
	Priority         int32
	AvailabilityZone string // constraint; empty means any
	SpreadRacks      bool
	Checkpointable   bool // the task can be stopped and continued later
}

// JobReference names a job of a tenant.
type JobReference struct {
	ID     string
	Tenant string
}

// JobResponse is the answer to a call about a job.
type JobResponse struct {
	Outcome          outcome.Outcome // of the call
	ID               string
	State            string
	Detail           string
	Worker           string
	Attempts         uint32
	ActiveController string // peer address, set if the receiver is not active
}
