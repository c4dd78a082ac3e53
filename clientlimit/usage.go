package clientlimit

import "sync/atomic"

// Usage is what one connection holds and has done. Its goroutine writes it, and the
// goroutine that chooses what is closed reads it.
type Usage struct {
	Class Class
	// Close closes the connection. Its goroutine then gives back what it holds.
	Close func()

	Held     atomic.Int64 // bytes taken from the budget
	Received atomic.Int64 // bytes read from the connection
	Sent     atomic.Int64 // bytes written to the connection
	Served   atomic.Int64 // requests answered
	busy     atomic.Bool
}

// SetBusy marks that the process, not the client, is what the connection waits for.
func (u *Usage) SetBusy(busy bool) {
	u.busy.Store(busy)
}

// Reason tells why a connection was closed or a request refused.
type Reason uint8

// The reasons, in the order of the counters.
const (
	TooManyConns  Reason = iota + 1 // the listener has its largest number of connections
	OutOfMemory                     // the budget is full
	HeadTooLarge                    // the head exceeds MaxHeaderBytes
	HeadTooSlow                     // the head took longer than HeaderTimeoutMs
	Silent                          // no request came on a new connection
	BodyTooLarge                    // the body exceeds MaxBodyBytes
	BodyTooSlow                     // the body stayed below the least rate
	AnswerTooSlow                   // the client read its answer below the least rate
	JobTooLarge                     // the job's decoded form exceeds what a job may have
	NoRoom                          // a request found no room in the budget in time
	reasons
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	names := [reasons]string{
		"none", "too_many_connections", "out_of_memory", "head_too_large", "head_too_slow", "silent", "body_too_large",
		"body_too_slow", "answer_too_slow", "job_too_large", "no_room",
	}
	if r >= reasons {
		return "invalid"
	}
	return names[r]
}

// Counts holds the number of closed connections and refused requests by reason. It may
// be used by any goroutine.
type Counts [reasons]atomic.Int64

// Add counts one case of a reason.
func (c *Counts) Add(r Reason) { c[r].Add(1) }
