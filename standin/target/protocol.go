package target

import "fmt"

// Headers of the protocol towards targets.
const (
	HeaderRequestID      = "Waxwing-Request-Id"
	HeaderAttemptID      = "Waxwing-Attempt-Id"
	HeaderTenant         = "Waxwing-Tenant"
	HeaderRefused        = "Waxwing-Refused"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderWorker         = "Waxwing-Worker" // of the target that answered
)

// Values of HeaderRefused.
const (
	RefusedFull        = "full"
	RefusedDraining    = "draining"
	RefusedConnections = "connections"
)

// Paths of the switches and counters. They are served on the administration
// address for all targets and on each target's own address.
const (
	PathStatus     = "/standin/status"     // GET returns []Status
	PathExecutions = "/standin/executions" // GET returns Executions; ?at_least=2 leaves out smaller counts
	PathControl    = "/standin/control"    // POST takes a ControlRequest
	PathFaults     = "/standin/faults"     // PUT takes a FaultRequest
)

// Faults are the switches of a target. Setting them replaces all of them.
type Faults struct {
	FailFast         bool `json:"fail_fast"` // answer 500 at once
	SlowMS           int  `json:"slow_ms"`   // added to the service time
	TruncateResponse bool `json:"cut_short"` // announce the whole answer, write half of it and close
	WrongAttemptID   bool `json:"wrong_attempt"`
	NeverRespond     bool `json:"never_answer"` // keep the slot until the client goes away
}

// FaultRequest sets the faults of one target, or of all if Worker is empty.
type FaultRequest struct {
	Worker string `json:"worker,omitempty"`
	Faults
}

// ControlRequest changes the state of one target; nil fields leave it as it is.
type ControlRequest struct {
	Worker   string `json:"worker"`
	Draining *bool  `json:"draining,omitempty"`
	Down     *bool  `json:"down,omitempty"`
}

// Status is the state of a target.
type Status struct {
	Worker          string `json:"worker"`
	Address         string `json:"address"`
	InFlight        int    `json:"in_flight"`
	HighestInFlight int    `json:"highest_in_flight"`
	Connections     int    `json:"connections"`
	Draining        bool   `json:"draining"`
	Down            bool   `json:"down"`
	Executed        int    `json:"executed"`
	Refused         int    `json:"refused"`
	// Aborted counts the requests that were in flight when the target was stopped.
	Aborted int `json:"cut"`
	Faults
}

// Executions tell how often each request was executed, over all targets of the process.
type Executions struct {
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	// Truncated means that later requests were not recorded any more.
	Truncated bool `json:"truncated,omitempty"`
}

// EchoResponse is the body of an executed request. It repeats the request, so that
// the caller can tell whether it received the answer to its own.
type EchoResponse struct {
	Worker    string `json:"worker"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	URI       string `json:"uri"`
	Body      []byte `json:"body,omitempty"`
	Padding   string `json:"padding,omitempty"` // of the length given by ?size=
}

// WorkerID returns the name of the worker with the given index: w001 for 0.
func WorkerID(index int) string { return fmt.Sprintf("w%03d", index+1) }
