// Package traffic holds the tables, systems and events of one traffic shard of
// a gateway. A shard owns the requests of the pools that are hashed to it. The
// package does no I/O: front ends post events, and the effects that a tick
// decides on are handed to a Performer.
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

// Snapshot is what control publishes to traffic. It and everything it refers to
// is immutable after publication. Control may reuse unchanged slices and maps
// of the previous snapshot; shards skip a Targets slice that they already hold.
type Snapshot struct {
	Version uint64 // increases with each publication
	Policy  *policy.Effective
	// FreshUntil is the local monotonic time until which the fleet view may be
	// used. Later requests are refused as isolated.
	FreshUntil       time.Time
	Targets          []Target
	LiveGateways     int // including this one; at least 1
	AvailabilityZone string
	// Credits holds the slots granted to this gateway, by worker.
	Credits map[string]Credit
	Keys    *idempotency.View // nil means that no key can be served
}

// Target is a worker that serves a pool.
type Target struct {
	Worker           string
	Pool             string
	Address          string // ip:port
	AvailabilityZone string
	Usable           bool // may receive new requests
	// ServiceEpoch increases each time the worker comes back into service. A
	// target that refused with "draining" gets no request until it increases.
	ServiceEpoch uint64
}

// Credit is a number of slots granted to this gateway.
type Credit struct {
	Slots int
	Until time.Time // local monotonic time
}

// Headers maps canonical header names to values.
type Headers map[string][]string

// Message is the request as it goes to the target, without hop-by-hop headers
// and without headers of this system. It is immutable.
type Message struct {
	Method  string
	Path    string // escaped path and query, starting with a slash
	Headers Headers
	Body    []byte
}

// Submission is a request that a front end hands to a shard.
type Submission struct {
	RequestID  string
	Pool       string
	Tenant     string
	Class      routing.Class
	Timeout    time.Duration // zero selects the default of the class
	Idempotent bool          // may be repeated after a possible execution
	Key        string        // idempotency key, empty for none
	Message    *Message
	// Reply receives exactly one result. Its capacity must be at least one, so
	// that the shard never waits for a front end.
	Reply chan<- Result

	row table.ID // set by the shard's loop, read only there
}

// Result is the answer to a submission.
type Result struct {
	Outcome  outcome.Outcome
	Response *Response // for Completed
	Replayed bool      // the answer of an earlier request with the same key
	Attempts int       // attempts that were handed to a target
	Worker   string    // of the last attempt
	// QueueWait is the time before the first attempt, and Total the whole time
	// in the shard. Without an attempt, QueueWait is not meaningful.
	QueueWait time.Duration
	Total     time.Duration
}

// Response is the answer of a target, without hop-by-hop headers. An answer of
// more than 1 MB carries its rest in Stream; whoever receives the result must
// close it.
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

// Abandoned reports that the caller of a submission went away.
type Abandoned struct{ Submission *Submission }

// Published reports that a new snapshot can be loaded.
type Published struct{}

// Finished reports the end of an attempt. A streamed answer is reported twice:
// first with StreamStarted, then with StreamEnded or CutShort.
type Finished struct {
	Attempt  table.ID
	Status   AttemptStatus
	Response *Response // for Answered and StreamStarted
}

func (*Arrived) event()   {}
func (*Abandoned) event() {}
func (Published) event()  {}
func (*Finished) event()  {}

// AttemptStatus says how an attempt ended.
type AttemptStatus uint8

// The endings of an attempt.
const (
	ResponseReceived   AttemptStatus = iota + 1 // whole answer
	StreamStarted                               // a large answer has begun and continues
	StreamEnded                                 // the large answer was read to its end, or the caller went away
	RefusedFull                                 // the target refused: all slots in use
	RefusedConnections                          // the target refused: too many connections
	RefusedDraining                             // the target refused: it takes no new work
	NotSent                                     // no byte of the request was written
	ConnectionLost                              // the connection broke after a byte was written
	ResponseTruncated                           // the answer ended early, or its end cannot be verified
	ResponseMismatch                            // the answer belongs to another attempt
)

// Send is the effect of handing a request to a target.
type Send struct {
	Attempt   table.ID
	RequestID string
	Worker    string
	Address   string
	// MaxConnections is the largest number of connections to this target.
	MaxConnections int
	Tenant         string
	Class          routing.Class
	Key            string
	Message        *Message
	Remaining      time.Duration // until the deadline of the request
}

// Reply is the effect of answering a caller.
type Reply struct {
	Submission *Submission
	Result     Result
}

// Report is what a shard tells control. Demand lists pools whose demand changed
// since the last report.
type Report struct {
	Demand   []PoolDemand
	Draining []string // workers that refused with "draining"
}

// PoolDemand is the number of waiting and running requests of a pool.
type PoolDemand struct {
	Pool     string
	Requests int
}

// LogEntryKind names something that operators want to see in the log.
type LogEntryKind uint8

// The kinds of notice.
const (
	TargetEjected LogEntryKind = iota + 1
	TargetReadmitted
	TargetDraining    // it refused with "draining"
	ResponseDiscarded // it belongs to no request that still waits
)

// LogEntry is an effect for the log.
type LogEntry struct {
	Kind   LogEntryKind
	Worker string
}

// Performer carries out the effects of a tick. Its methods must not block.
type Performer interface {
	Send(Send)
	// Abort ends the round trip of an attempt. Its end is still reported.
	Abort(attempt table.ID)
	Reply(Reply)
	// Discard closes the stream of an answer that nobody reads.
	Discard(*Response)
	Report(Report)
	Log(LogEntry)
}
