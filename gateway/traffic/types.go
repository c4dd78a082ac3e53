// Package traffic holds the tables, systems and events of one traffic shard of
// a gateway. A shard owns the requests of the pools that are hashed to it. The
// package does no I/O: front ends post events, and a Performer carries out the
// effects of each tick.
package traffic

import (
	"io"
	"time"

	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Snapshot is the configuration and fleet state that control publishes to traffic.
// It and everything it refers to is immutable after publication. Control may reuse
// unchanged slices and maps of the previous snapshot; shards skip a Targets slice
// that they already applied.
type Snapshot struct {
	Version uint64 // increases with each publication
	Policy  *policy.Effective
	// FreshUntil is the local monotonic time at which the fleet view becomes stale.
	// From then on, requests are refused as isolated.
	FreshUntil       time.Time
	Targets          []Target
	LiveGateways     int // including this one; at least 1
	AvailabilityZone string
	// Credits holds the slots granted to this gateway, by worker.
	Credits map[string]Credit
	Keys    *idempotency.View // nil refuses all requests with an idempotency key
}

// Target is a worker that serves a pool.
type Target struct {
	Worker           string
	Pool             string
	Address          string // ip:port
	AvailabilityZone string
	Usable           bool // may receive new requests
	// ServiceEpoch increases each time the worker returns to service. A target that
	// refused with "draining" receives no request until its epoch increases.
	ServiceEpoch uint64
}

// Credit is a number of slots granted to this gateway.
type Credit struct {
	Slots int
	Until time.Time // local monotonic time
}

// Headers maps canonical header names to values.
type Headers map[string][]string

// Message is the HTTP request that is sent to the target, without hop-by-hop
// headers and without headers of this system. It is immutable.
type Message struct {
	Method  string
	Path    string // escaped path and query, starting with a slash
	Headers Headers
	Body    []byte
}

// Submission is a request that a front end passes to a shard.
type Submission struct {
	RequestID  string
	Pool       string
	Tenant     string
	Class      routing.Class
	Timeout    time.Duration // zero selects the default of the class
	Idempotent bool          // may be retried after a possible execution
	Key        string        // idempotency key, empty for none
	Message    *Message
	// Reply receives exactly one result. Its capacity must be at least one, so
	// that the shard never blocks on a front end.
	Reply chan<- Result

	row table.ID // set by the shard's loop, read only there
}

// Result is the outcome of a submission.
type Result struct {
	Outcome  outcome.Outcome
	Response *Response // for Completed
	Replayed bool      // Response belongs to an earlier request with the same key
	Attempts int       // attempts that were sent to a target
	Worker   string    // of the last attempt
	// QueueWait is the time before the first attempt, and Total the whole time
	// in the shard. QueueWait is undefined if there was no attempt.
	QueueWait time.Duration
	Total     time.Duration
}

// Response is the HTTP response of a target, without hop-by-hop headers. If the
// body is larger than 1 MB, Stream carries the rest of it, and the receiver of the
// result must close Stream.
type Response struct {
	StatusCode int
	Headers    Headers
	Body       []byte
	Stream     io.ReadCloser
}

// Event is an input of a shard: *Arrived, *Abandoned, *Finished or Published.
type Event interface{ event() }

// Arrived reports a new submission.
type Arrived struct{ Submission *Submission }

// Abandoned reports that the caller of a submission disconnected.
type Abandoned struct{ Submission *Submission }

// Published reports that a new snapshot can be loaded.
type Published struct{}

// Finished reports the end of an attempt. A streamed response is reported twice:
// first with StreamStarted, then with StreamEnded or ResponseTruncated.
type Finished struct {
	Attempt  table.ID
	Status   AttemptStatus
	Response *Response // for ResponseReceived and StreamStarted
}

func (*Arrived) event()   {}
func (*Abandoned) event() {}
func (Published) event()  {}
func (*Finished) event()  {}

// AttemptStatus tells how an attempt ended.
type AttemptStatus uint8

// Values of AttemptStatus.
const (
	ResponseReceived   AttemptStatus = iota + 1 // the complete response was received
	StreamStarted                               // the beginning of a large response was received; the rest is streamed
	StreamEnded                                 // the streamed response was read to its end, or the caller disconnected
	RefusedFull                                 // the target refused: all slots in use
	RefusedConnections                          // the target refused: too many connections
	RefusedDraining                             // the target refused: it is draining
	NotSent                                     // no byte of the request was written
	ConnectionLost                              // the connection failed after a byte was written
	ResponseTruncated                           // the response ended early, or its end cannot be verified
	ResponseMismatch                            // the response belongs to another attempt
)

// Send is the effect of sending an attempt to a target.
type Send struct {
	Attempt   table.ID
	RequestID string
	Worker    string
	Address   string
	// MaxConnections limits the connections of this gateway to the target.
	MaxConnections int
	Tenant         string
	Class          routing.Class
	Key            string
	Message        *Message
	Remaining      time.Duration // until the deadline of the request
}

// Reply is the effect of returning a result to a caller.
type Reply struct {
	Submission *Submission
	Result     Result
}

// Report is sent from a shard to control. Demand lists the pools whose demand
// changed since the last report.
type Report struct {
	Demand   []PoolDemand
	Draining []string // workers that refused with "draining"
}

// PoolDemand is the number of waiting and running requests of a pool.
type PoolDemand struct {
	Pool     string
	Requests int
}

// LogEntryKind is the kind of a LogEntry.
type LogEntryKind uint8

// Values of LogEntryKind.
const (
	TargetEjected LogEntryKind = iota + 1
	TargetReadmitted
	TargetDraining    // the target refused with "draining"
	ResponseDiscarded // the request of the attempt already has a result
)

// LogEntry is the effect of writing to the log.
type LogEntry struct {
	Kind   LogEntryKind
	Worker string
}

// Performer carries out the effects of a tick. Its methods must not block.
type Performer interface {
	Send(Send)
	// Abort cancels the round trip of an attempt. Its end is still reported.
	Abort(attempt table.ID)
	Reply(Reply)
	// Discard closes the stream of a response that has no reader.
	Discard(*Response)
	Report(Report)
	Log(LogEntry)
}
