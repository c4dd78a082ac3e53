package target

import "fmt"

// Headers of the protocol between gateway and target.
const (
	HeaderRequestID      = "Waxwing-Request-Id"
	HeaderAttemptID      = "Waxwing-Attempt-Id"
	HeaderTenant         = "Waxwing-Tenant"
	HeaderRefused        = "Waxwing-Refused"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderWorker         = "Waxwing-Worker" // worker of the responding target
)

// Values of HeaderRefused.
const (
	RefusedFull        = "full"
	RefusedDraining    = "draining"
	RefusedConnections = "connections"
)

// Paths of the administration endpoints. They are served on the administration
// address for all targets and on each target's own address.
const (
	PathStatus     = "/standin/status"     // GET returns []Status
	PathExecutions = "/standin/executions" // GET returns Executions; ?at_least=2 omits smaller counts
	PathControl    = "/standin/control"    // POST takes a ControlRequest
	PathFaults     = "/standin/faults"     // PUT takes a FaultRequest
)

// Faults are the injected faults of a target. Setting them replaces the whole set.
type Faults struct {
	FailFast         bool `json:"fail_fast"` // respond with status 500 immediately
	SlowMS           int  `json:"slow_ms"`   // added to the service time
	TruncateResponse bool `json:"cut_short"` // send the full Content-Length, write half the body and close the connection
	WrongAttemptID   bool `json:"wrong_attempt"`
	NeverRespond     bool `json:"never_answer"` // hold the slot until the client disconnects
}

// FaultRequest sets the faults of one target, or of all if Worker is empty.
type FaultRequest struct {
	Worker string `json:"worker,omitempty"`
	Faults
}

// ControlRequest changes the state of one target; nil fields are ignored.
type ControlRequest struct {
	Worker   string `json:"worker"`
	Draining *bool  `json:"draining,omitempty"`
	Down     *bool  `json:"down,omitempty"`
}

// Status is the state and the counters of a target.
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
	// Aborted counts the requests that were in flight when the target went down.
	Aborted int `json:"cut"`
	Faults
}

// Executions counts the executions of each request ID and idempotency key over
// all targets of the process.
type Executions struct {
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	// Truncated reports that the record was full and new IDs were not counted.
	Truncated bool `json:"truncated,omitempty"`
}

// EchoResponse is the body of an executed request. It echoes the request, so that
// the caller can detect a response to another request.
type EchoResponse struct {
	Worker    string `json:"worker"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	URI       string `json:"uri"`
	Body      []byte `json:"body,omitempty"`
	Padding   string `json:"padding,omitempty"` // length given by ?size=
}

// WorkerID returns the ID of the worker with the given zero-based index: w001 for 0.
func WorkerID(index int) string { return fmt.Sprintf("w%03d", index+1) }
