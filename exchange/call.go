package exchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

// errTooManyCalls means that maxCallsPerPeer was reached and nothing was sent.
var errTooManyCalls = errors.New("exchange: too many calls in flight to the peer")

// callClient executes keyed requests, job calls and fetches. A drpc connection
// carries one call at a time, so each call uses its own connection from the pool.
type callClient struct {
	pool     *drpcpool.Pool[string, *callConn]
	mu       sync.Mutex
	inFlight map[string]int // by address
}

// callConn is a pooled connection that records whether the current call has
// written anything.
type callConn struct {
	*drpcconn.Conn
	transport *writeTrackingConn
}

type writeTrackingConn struct {
	net.Conn
	written atomic.Bool
}

// Write records the attempt before writing, because a failed write may still have
// sent bytes.
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(p)
}

// do executes a call and reports whether any part of it may have reached the peer.
// If a pooled connection turns out to be closed before anything was written, the
// call is repeated on another one.
func (c *callClient) do(ctx context.Context, address string, call func(peerpb.DRPCPeerClient) error) (sent bool, err error) {
	if !c.begin(address) {
		return false, errTooManyCalls
	}
	defer c.end(address)
	for ctx.Err() == nil {
		conn, pooled := c.pool.Take(address)
		if !pooled {
			if conn, err = c.dial(ctx, address); err != nil {
				return false, err
			}
		}
		conn.transport.written.Store(false)
		if err = call(peerpb.NewDRPCPeerClient(conn)); err == nil {
			c.pool.Put(address, conn)
			return true, nil
		}
		_ = conn.Close() // a failed call leaves the connection in an undefined state
		if !pooled || conn.transport.written.Load() {
			return conn.transport.written.Load(), err
		}
	}
	return false, ctx.Err()
}

func (c *callClient) dial(ctx context.Context, address string) (*callConn, error) {
	transport, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	watched := &writeTrackingConn{Conn: transport}
	return &callConn{drpcconn.NewWithOptions(watched, drpcconn.Options{Manager: managerOptions(0)}), watched}, nil
}

func (c *callClient) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[address] >= maxCallsPerPeer {
		return false
	}
	c.inFlight[address]++
	return true
}

func (c *callClient) end(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[address]--; c.inFlight[address] == 0 {
		delete(c.inFlight, address)
	}
}

// unansweredOutcome returns the outcome of a call without a response. It is NotRun
// only if nothing was sent.
func unansweredOutcome(sent bool, err error) outcome.Outcome {
	switch {
	case sent:
		return outcome.UnknownBecause(outcome.ReasonHomeNoAnswer)
	case errors.Is(err, errTooManyCalls):
		return outcome.NotRunBecause(outcome.ReasonQueueFull)
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.NotRunBecause(outcome.ReasonDeadline)
	default:
		return outcome.NotRunBecause(outcome.ReasonUnreachable)
	}
}

// ExecuteKeyed executes a request at the home of its key. The outcome is always
// set. It is NotRun only if nothing was sent or the home reports so, and Unknown
// if the response was lost.
func (e *Exchange) ExecuteKeyed(ctx context.Context, address string, request peerapi.KeyedRequest) peerapi.KeyedResponse {
	in := peerapi.KeyedRequestToProto(&request)
	if proto.Size(in) > MaxMessageBytes {
		return peerapi.KeyedResponse{Outcome: outcome.NotRunBecause(outcome.ReasonBadRequest)}
	}
	if in.GetTimeoutMs() == 0 {
		return peerapi.KeyedResponse{Outcome: outcome.NotRunBecause(outcome.ReasonDeadline)}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	var out *peerpb.KeyedResponse
	sent, err := e.calls.do(ctx, address, func(client peerpb.DRPCPeerClient) (err error) {
		out, err = client.ExecuteKeyed(ctx, in)
		return err
	})
	if err != nil {
		return peerapi.KeyedResponse{Outcome: unansweredOutcome(sent, err)}
	}
	return peerapi.KeyedResponseFromProto(out)
}

// SubmitJob submits a job to a controller. Outcome Unknown means that the job may
// have been accepted; repeating the call with the same ID shows whether it was.
func (e *Exchange) SubmitJob(ctx context.Context, address string, job peerapi.JobSubmission) peerapi.JobResponse {
	in := peerapi.JobSubmissionToProto(&job)
	if proto.Size(in) > MaxMessageBytes {
		return peerapi.JobResponse{ID: job.ID, Outcome: outcome.NotRunBecause(outcome.ReasonBadRequest)}
	}
	return e.callJob(ctx, address, job.ID, func(client peerpb.DRPCPeerClient) (*peerpb.JobResponse, error) {
		return client.SubmitJob(ctx, in)
	})
}

// CancelJob asks a controller to cancel a job.
func (e *Exchange) CancelJob(ctx context.Context, address string, job peerapi.JobReference) peerapi.JobResponse {
	return e.callJob(ctx, address, job.ID, func(client peerpb.DRPCPeerClient) (*peerpb.JobResponse, error) {
		return client.CancelJob(ctx, peerapi.JobReferenceToProto(job))
	})
}

// GetJob asks a controller for the state of a job.
func (e *Exchange) GetJob(ctx context.Context, address string, job peerapi.JobReference) peerapi.JobResponse {
	return e.callJob(ctx, address, job.ID, func(client peerpb.DRPCPeerClient) (*peerpb.JobResponse, error) {
		return client.GetJob(ctx, peerapi.JobReferenceToProto(job))
	})
}

func (e *Exchange) callJob(ctx context.Context, address, id string, call func(peerpb.DRPCPeerClient) (*peerpb.JobResponse, error)) peerapi.JobResponse {
	var out *peerpb.JobResponse
	sent, err := e.calls.do(ctx, address, func(client peerpb.DRPCPeerClient) (err error) {
		out, err = call(client)
		return err
	})
	if err != nil {
		return peerapi.JobResponse{ID: id, Outcome: unansweredOutcome(sent, err)}
	}
	return peerapi.JobResponseFromProto(out)
}
