// Package outcome defines what a caller can be told about a request. Outcomes
// are values; they pass between decision systems, peers and front ends without
// being tied to a status code.
package outcome

// Kind says what is known about the execution of a request.
type Kind uint8

// The kinds of outcome.
const (
	// Completed means that a target executed the request and its whole answer is present.
	Completed Kind = iota + 1
	// NotRun means that provably no target executed the request.
	NotRun
	// Unknown means that a target may or may not have executed the request.
	Unknown
)

// String returns the form used in headers, logs and metrics.
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

// Reason says why a request was not run or why its execution is unknown.
type Reason string

// Reasons of NotRun.
const (
	ReasonNone              Reason = ""
	ReasonBadRequest        Reason = "bad-request"         // malformed or missing header, body too large
	ReasonUnknownPool       Reason = "unknown-pool"        // the configuration has no such pool
	ReasonQuota             Reason = "quota"               // the tenant's rate or concurrency quota is used up
	ReasonQueueFull         Reason = "queue-full"          // the pool's queue is at its bound
	ReasonDeadline          Reason = "deadline"            // the deadline passed, or cannot be met, before a target ran the request
	ReasonShed              Reason = "shed"                // displaced by newer or more urgent work under overload
	ReasonNoTarget          Reason = "no-target"           // the pool has no usable target
	ReasonIsolated          Reason = "isolated"            // this entry cannot vouch for any target
	ReasonRefused           Reason = "refused"             // targets refused, and no retry was allowed
	ReasonUnreachable       Reason = "unreachable"         // no connection was made, and no retry was allowed
	ReasonNoHome            Reason = "no-home"             // no gateway can be home of the idempotency key now
	ReasonKeyMismatch       Reason = "key-mismatch"        // the key was used for a different request
	ReasonKeyFuture         Reason = "key-future"          // the key's issue time lies in the future
	ReasonStopping          Reason = "stopping"            // this entry is shutting down
	ReasonNotReady          Reason = "not-ready"           // this entry has no configuration or fleet view yet
	ReasonNoController      Reason = "no-controller"       // no active controller can be reached
	ReasonNotDurable        Reason = "not-durable"         // the store did not take the write
	ReasonKeyRecordsFull    Reason = "key-records-full"    // the home cannot remember another key
	ReasonCancelledByClient Reason = "cancelled-by-client" // the caller went away before the request was sent
)

// Reasons of Unknown.
const (
	ReasonConnectionLost Reason = "connection-lost" // the connection broke after the request was sent
	ReasonCutShort       Reason = "cut-short"       // the target's answer ended early
	ReasonAnswerTimeout  Reason = "answer-timeout"  // no answer before the deadline
	ReasonHomeLost       Reason = "home-lost"       // the gateway that knows the key is gone
	ReasonBeforeTakeover Reason = "before-takeover" // the key may have been used at the previous home
	ReasonHomeNoAnswer   Reason = "home-no-answer"  // the key's home did not answer
	ReasonAnswerDropped  Reason = "answer-dropped"  // the request completed, but its answer is no longer kept
	ReasonKeyExpired     Reason = "key-expired"     // the key is older than the records that its home keeps
	ReasonCallerGone     Reason = "caller-gone"     // the caller went away after the request was sent
)

// Outcome is the result of a request.
type Outcome struct {
	Kind   Kind
	Reason Reason // empty for Completed
}

// Complete returns the outcome of a request with a whole answer.
func Complete() Outcome { return Outcome{Kind: Completed} }

// NotRunBecause returns the outcome of a request that provably was not run.
func NotRunBecause(reason Reason) Outcome { return Outcome{Kind: NotRun, Reason: reason} }

// UnknownBecause returns the outcome of a request that may have been run.
func UnknownBecause(reason Reason) Outcome { return Outcome{Kind: Unknown, Reason: reason} }
