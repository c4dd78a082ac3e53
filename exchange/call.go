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

// errTooManyCalls means that nothing was sent because of maxCallsPerPeer.
var errTooManyCalls = errors.New("exchange: too many calls in flight to the peer")

// caller runs keyed requests, job calls and fetches. A drpc connection carries
// one call at a time, so each call takes a connection of its own from the pool.
type caller struct {
	pool     *drpcpool.Pool[string, *callConn]
	mu       sync.Mutex
	inFlight map[string]int // by address
}

// callConn knows whether anything was written since the call began.
type callConn struct {
	*drpcconn.Conn
	transport *watchedConn
}

type watchedConn struct {
	net.Conn
	written atomic.Bool
}

// Write notes the attempt before it is made: a failed write may still have
// delivered bytes.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(p)
}

// do runs a call and reports whether any part of it may have reached the peer.
// A kept connection that turns out to be closed before anything was written is
// replaced by a new one.
func (c *caller) do(ctx context.Context, address string, call func(peerpb.DRPCPeerClient) error) (sent bool, err error) {
	if !c.begin(address) {
		return false, errTooManyCalls
	}
	defer c.end(address)
	for ctx.Err() == nil {
		conn, kept := c.pool.Take(address)
		if !kept {
			if conn, err = c.dial(ctx, address); err != nil {
				return false, err
			}
		}
		conn.transport.written.Store(false)
		if err = call(peerpb.NewDRPCPeerClient(conn)); err == nil {
			c.pool.Put(address, conn)
			return true, nil
		}
		_ = conn.Close() // a failed call leaves the connection in an unknown state
		if !kept || conn.transport.written.Load() {
			return conn.transport.written.Load(), err
		}
	}
	return false, ctx.Err()
}

func (c *caller) dial(ctx context.Context, address string) (*callConn, error) {
	transport, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{Conn: transport}
	return &callConn{drpcconn.NewWithOptions(watched, drpcconn.Options{Manager: managerOptions(0)}), watched}, nil
}

func (c *caller) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[address] >= maxCallsPerPeer {
		return false
	}
	c.inFlight[address]++
	return true
}

func (c *caller) end(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[address]--; c.inFlight[address] == 0 {
		delete(c.inFlight, address)
	}
}

// failure is the outcome of a call without an answer. It is NotRun only if
// provably nothing was sent.
func failure(sent bool, err error) outcome.Outcome {
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

// ExecuteKeyed runs a request at the home of its key. The outcome is always
// set: NotRun only if nothing was sent or the home says so, and Unknown if the
// answer is lost.
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
		return peerapi.KeyedResponse{Outcome: failure(sent, err)}
	}
	return peerapi.KeyedResponseFromProto(out)
}

// SubmitJob submits a job to a controller. Unknown means that the job may have
// been accepted; repeating the call with the same ID finds out.
func (e *Exchange) SubmitJob(ctx context.Context, address string, job peerapi.JobSubmission) peerapi.JobResponse {
	in := peerapi.JobSubmissionToProto(&job)
	if proto.Size(in) > MaxMessageBytes {
		return peerapi.JobResponse{ID: job.ID, Outcome: outcome.NotRunBecause(outcome.ReasonBadRequest)}
	}
	return e.callJob(ctx, address, job.ID, func(client peerpb.DRPCPeerClient) (*peerpb.JobResponse, error) {
		return client.SubmitJob(ctx, in)
	})
}

// CancelJob cancels a job at a controller.
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
		return peerapi.JobResponse{ID: id, Outcome: failure(sent, err)}
	}
	return peerapi.JobResponseFromProto(out)
}
