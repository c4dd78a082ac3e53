// Package peerapi converts between the protobuf messages of the peer protocol and
// the types that the rest of the system uses. Only this package and exchange depend
// on protobuf types.
package peerapi

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// KeyedRequest is a request that a gateway forwards to the home of its
// idempotency key.
type KeyedRequest struct {
	Key        string
	HomesEpoch uint64 // epoch of the sender's list of homes
	Tenant     string
	Class      string
	Pool       string
	Method     string
	Path       string
	Headers    []Header
	Body       []byte
	Timeout    time.Duration // time that remained at the sender
	Idempotent bool
}

// KeyedResponse is the response of the home to a KeyedRequest.
type KeyedResponse struct {
	Outcome    outcome.Outcome
	Status     int
	Headers    []Header
	Body       []byte
	Replayed   bool   // repeats the response to an earlier request with the same key
	HomesEpoch uint64 // epoch of the home's list of homes
}

// JobSubmission describes a job. Repeating it with the same ID is idempotent.
type JobSubmission struct {
	ID               string
	Tenant           string
	Pool             string
	Class            string
	Family           string // jobs of one family share observed resource usage
	MilliCores       uint32
	MemoryMB         uint32
	Accelerators     uint32
	RunTime          time.Duration // declared by the submitter
	Idempotent       bool
	Payload          string
	Priority         int32
	AvailabilityZone string // required zone; empty means any
	SpreadRacks      bool
	Checkpointable   bool // the task can be stopped and resumed later
}

// JobReference identifies a job of a tenant.
type JobReference struct {
	ID     string
	Tenant string
}

// JobResponse is the response to a job call.
type JobResponse struct {
	Outcome          outcome.Outcome // of the call
	ID               string
	State            string
	Detail           string
	Worker           string
	Attempts         uint32
	ActiveController string // peer address of the active controller; set if the called one is not active
}
