package exchange

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

// Errors of the Exchange call. The peer sends its state again one second later.
var (
	errNoSender   = errors.New("exchange: message without sender")
	errOverloaded = errors.New("exchange: control loop is overloaded")
)

// server implements the Peer service.
type server struct {
	exchange *Exchange
}

// Exchange posts the peer's state to the control loop and waits for the loop's
// reply.
func (s *server) Exchange(ctx context.Context, in *peerpb.State) (*peerpb.State, error) {
	received := &membership.Received{Message: peerapi.MessageFromProto(in), Token: s.exchange.lastToken.Add(1)}
	if received.Message.Sender.Incarnation == "" {
		return nil, errNoSender
	}
	answer := make(chan membership.Message, 1)
	s.exchange.pendingReplies.Store(received.Token, answer)
	defer s.exchange.pendingReplies.Delete(received.Token)
	if !s.exchange.options.Post(Event{Received: received}) {
		return nil, errOverloaded
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	select {
	case message := <-answer:
		return peerapi.MessageToProto(&message), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// FetchDocument returns a published document, or an empty response if there is none.
func (s *server) FetchDocument(_ context.Context, in *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentResponse, error) {
	kind, ok := peerapi.DocumentKindFromProto(in.GetKind())
	if !ok {
		return &peerpb.FetchDocumentResponse{}, nil
	}
	held := s.exchange.documents[kind].Load()
	if held == nil {
		return &peerpb.FetchDocumentResponse{}, nil
	}
	data, err := held.encode()
	if err != nil {
		return nil, err
	}
	return &peerpb.FetchDocumentResponse{Revision: held.revision, Document: data}, nil
}

// ExecuteKeyed passes the request to the owner's handler.
func (s *server) ExecuteKeyed(ctx context.Context, in *peerpb.KeyedRequest) (*peerpb.KeyedResponse, error) {
	request := peerapi.KeyedRequestFromProto(in)
	response := peerapi.KeyedResponse{}
	switch handler := s.exchange.options.Keyed; {
	case handler == nil:
		response.Outcome = outcome.NotRunBecause(outcome.ReasonNoHome)
	case s.exchange.activeCalls.draining():
		response.Outcome = outcome.NotRunBecause(outcome.ReasonStopping)
	case request.Timeout <= 0:
		response.Outcome = outcome.NotRunBecause(outcome.ReasonDeadline)
	default:
		ctx, cancel := context.WithTimeout(ctx, request.Timeout)
		defer cancel()
		response = handler.ExecuteKeyed(ctx, request)
	}
	out := peerapi.KeyedResponseToProto(&response)
	if proto.Size(out) > MaxMessageBytes {
		dropped := peerapi.KeyedResponse{Outcome: outcome.UnknownBecause(outcome.ReasonResponseDropped), HomesEpoch: response.HomesEpoch}
		return peerapi.KeyedResponseToProto(&dropped), nil
	}
	return out, nil
}

// SubmitJob passes the job to the owner's handler.
func (s *server) SubmitJob(ctx context.Context, in *peerpb.SubmitJobRequest) (*peerpb.JobResponse, error) {
	return s.job(in.GetId(), func(handler JobHandler) peerapi.JobResponse {
		return handler.SubmitJob(ctx, peerapi.JobSubmissionFromProto(in))
	})
}

// CancelJob passes the call to the owner's handler.
func (s *server) CancelJob(ctx context.Context, in *peerpb.JobRequest) (*peerpb.JobResponse, error) {
	return s.job(in.GetId(), func(handler JobHandler) peerapi.JobResponse {
		return handler.CancelJob(ctx, peerapi.JobReferenceFromProto(in))
	})
}

// GetJob passes the call to the owner's handler.
func (s *server) GetJob(ctx context.Context, in *peerpb.JobRequest) (*peerpb.JobResponse, error) {
	return s.job(in.GetId(), func(handler JobHandler) peerapi.JobResponse {
		return handler.GetJob(ctx, peerapi.JobReferenceFromProto(in))
	})
}

func (s *server) job(id string, call func(JobHandler) peerapi.JobResponse) (*peerpb.JobResponse, error) {
	answer := peerapi.JobResponse{ID: id}
	switch handler := s.exchange.options.Jobs; {
	case handler == nil:
		answer.Outcome = outcome.NotRunBecause(outcome.ReasonNoController)
	case s.exchange.activeCalls.draining():
		answer.Outcome = outcome.NotRunBecause(outcome.ReasonStopping)
	default:
		answer = call(handler)
	}
	return peerapi.JobResponseToProto(&answer), nil
}

// exchangeMethod is not counted as a call in flight, because peers repeat it every
// second and shutdown need not wait for it.
const exchangeMethod = "/waxwing.peer.v1.Peer/Exchange"

// countingHandler counts calls until their response has been written.
type countingHandler struct {
	next  drpc.Handler
	calls *callTracker
}

// HandleRPC implements drpc.Handler.
func (h *countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != exchangeMethod {
		h.calls.begin()
		defer h.calls.end()
	}
	return h.next.HandleRPC(stream, rpc)
}

// callTracker counts calls in flight and waits until all have finished.
type callTracker struct {
	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // not nil while draining; closed when no call is in flight
	closed   bool
}

func (d *callTracker) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

func (d *callTracker) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.closeIfIdle()
}

func (d *callTracker) closeIfIdle() {
	if d.idle != nil && d.inFlight == 0 && !d.closed {
		d.closed = true
		close(d.idle)
	}
}

func (d *callTracker) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.idle != nil
}

// drain waits until no call is in flight or the context ends.
func (d *callTracker) drain(ctx context.Context) error {
	d.mu.Lock()
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	d.closeIfIdle()
	d.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
