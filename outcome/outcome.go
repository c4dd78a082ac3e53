// Package outcome defines the results that a request can have for its caller.
// Outcomes are plain values that are passed between decision systems, peers and
// front ends; they do not depend on the status codes of a protocol.
package outcome

// Kind says what is known about the execution of a request.
type Kind uint8

// The kinds of outcome.
const (
	// Completed means that a target executed the request and its answer was received completely.
	Completed Kind = iota + 1
	// NotRun means that no target can have executed the request.
	NotRun
	// Unknown means that a target may or may not have executed the request.
	Unknown
)

// String returns the name used in headers, logs and metrics.
func (k Kind) String() string {
	switch k {
	case Completed:
		return "completed"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason tells why a request was not run or why it is unknown whether it was.
type Reason string

// Reasons of NotRun.
const (
	ReasonNone              Reason = ""
	ReasonBadRequest        Reason = "bad-request"         // malformed or missing header, body too large
	ReasonUnknownPool       Reason = "unknown-pool"        // the configuration has no such pool
	ReasonQuota             Reason = "quota"               // the tenant's rate or concurrency quota is used up
	ReasonQueueFull         Reason = "queue-full"          // the pool's queue is at its bound
	ReasonDeadline          Reason = "deadline"            // the deadline passed, or cannot be met, before a target ran the request
	ReasonShed              Reason = "shed"                // dropped under overload in favour of newer or more urgent requests
	ReasonNoTarget          Reason = "no-target"           // the pool has no usable target
	ReasonIsolated          Reason = "isolated"            // the fleet view of this gateway has expired, so it may not send to any target
	ReasonRefused           Reason = "refused"             // targets refused the request, and no further attempt was allowed
	ReasonUnreachable       Reason = "unreachable"         // no target could be connected to, and no further attempt was allowed
	ReasonNoHome            Reason = "no-home"             // no gateway can act as home of the idempotency key at present
	ReasonKeyMismatch       Reason = "key-mismatch"        // the key was used for a different request
	ReasonKeyFuture         Reason = "key-future"          // the key's issue time lies in the future
	ReasonStopping          Reason = "stopping"            // this process is shutting down
	ReasonNotReady          Reason = "not-ready"           // this gateway has no configuration or fleet view yet
	ReasonNoController      Reason = "no-controller"       // no active controller can be reached
	ReasonNotDurable        Reason = "not-durable"         // the store did not commit the write
	ReasonKeyRecordsFull    Reason = "key-records-full"    // the key table of the home is full
	ReasonCancelledByClient Reason = "cancelled-by-client" // the caller disconnected before the request was sent
)

// Reasons of Unknown.
const (
	ReasonConnectionLost  Reason = "connection-lost" // the connection broke after the request was sent
	ReasonCutShort        Reason = "cut-short"       // the target's answer was truncated
	ReasonAnswerTimeout   Reason = "answer-timeout"  // no answer before the deadline
	ReasonHomeLost        Reason = "home-lost"       // the gateway that holds the key's record is no longer running
	ReasonBeforeTakeover  Reason = "before-takeover" // the key may have been used at the previous home
	ReasonHomeNoAnswer    Reason = "home-no-answer"  // the key's home did not answer
	ReasonResponseDropped Reason = "answer-dropped"  // the request completed, but its response has been evicted
	ReasonKeyExpired      Reason = "key-expired"     // the key is older than the retention of records at its home
	ReasonCallerGone      Reason = "caller-gone"     // the caller disconnected after the request was sent
)

// Outcome is the result of a request.
type Outcome struct {
	Kind   Kind
	Reason Reason // empty for Completed
}

// Complete returns the outcome of a request with a complete answer.
func Complete() Outcome { return Outcome{Kind: Completed} }

// NotRunBecause returns the outcome of a request that no target executed.
func NotRunBecause(reason Reason) Outcome { return Outcome{Kind: NotRun, Reason: reason} }

// UnknownBecause returns the outcome of a request that a target may have executed.
func UnknownBecause(reason Reason) Outcome { return Outcome{Kind: Unknown, Reason: reason} }
