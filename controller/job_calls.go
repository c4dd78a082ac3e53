package controller

import (
	"context"
	"sync"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

// jobReplies matches the replies of job placement with the calls that wait for them.
// Calls run on goroutines of the drpc server.
type jobReplies struct {
	mu        sync.Mutex
	lastToken uint64
	pending   map[uint64]chan placement.Reply
}

func (r *jobReplies) register() (uint64, <-chan placement.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = map[uint64]chan placement.Reply{}
	}
	r.lastToken++
	reply := make(chan placement.Reply, 1)
	r.pending[r.lastToken] = reply
	return r.lastToken, reply
}

// take removes and returns the channel of a token, or returns nil if its call has
// returned.
func (r *jobReplies) take(token uint64) chan<- placement.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.pending[token]
	delete(r.pending, token)
	return reply
}

func (p *performer) deliverReply(answer placement.Reply) {
	if reply := p.replies.take(answer.Token); reply != nil {
		reply <- answer
	}
}

// SubmitJob serves the call of a gateway. It answers after the commit of the job's
// page.
func (c *Controller) SubmitJob(ctx context.Context, job peerapi.JobSubmission) peerapi.JobResponse {
	return c.jobCall(ctx, job.ID, func(token uint64) placement.Event {
		return placement.Submitted{Spec: jobSpec(&job), ReplyToken: token}
	})
}

// CancelJob serves the call of a gateway.
func (c *Controller) CancelJob(ctx context.Context, job peerapi.JobReference) peerapi.JobResponse {
	return c.jobCall(ctx, job.ID, func(token uint64) placement.Event {
		return placement.CancelRequested{Job: job.ID, Tenant: job.Tenant, ReplyToken: token}
	})
}

// GetJob serves the call of a gateway.
func (c *Controller) GetJob(ctx context.Context, job peerapi.JobReference) peerapi.JobResponse {
	answer := peerapi.JobResponse{ID: job.ID}
	response := c.request(ctx, "", getJob(job))
	switch response.Status {
	case StatusDone:
		view := response.Value.(placement.JobView)
		answer = jobAnswer(view, outcome.Complete())
	case StatusNotActive:
		answer.Outcome = outcome.NotRunBecause(outcome.ReasonNoController)
		answer.ActiveController = c.published.Load().leader.PeerAddress
	default:
		answer.Outcome = outcome.NotRunBecause(outcome.Reason(response.Reason))
	}
	return answer
}

// jobCall posts the event and waits for the reply. If the event was posted and no
// reply arrives, the outcome is unknown.
func (c *Controller) jobCall(ctx context.Context, id string, event func(token uint64) placement.Event) peerapi.JobResponse {
	if published := c.published.Load(); !published.active {
		return peerapi.JobResponse{
			ID: id, Outcome: outcome.NotRunBecause(outcome.ReasonNoController), ActiveController: published.leader.PeerAddress,
		}
	}
	token, reply := c.performer.replies.register()
	defer c.performer.replies.take(token)
	if err := c.loop.Post(ctx, JobEvent{event(token)}); err != nil {
		return peerapi.JobResponse{ID: id, Outcome: outcome.NotRunBecause(outcome.ReasonNoController)}
	}
	select {
	case answer := <-reply:
		return c.placementAnswer(id, answer)
	case <-ctx.Done():
		return peerapi.JobResponse{ID: id, Outcome: outcome.UnknownBecause(outcome.ReasonAnswerTimeout)}
	case <-c.stopped:
		return peerapi.JobResponse{ID: id, Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)}
	}
}

func (c *Controller) placementAnswer(id string, answer placement.Reply) peerapi.JobResponse {
	result := jobAnswer(answer.Job, outcome.Outcome{Kind: answer.Outcome, Reason: outcome.Reason(answer.Reason)})
	result.ID = id
	if answer.Reason == placement.ReasonNoController {
		result.ActiveController = c.published.Load().leader.PeerAddress
	}
	return result
}

func jobAnswer(view placement.JobView, result outcome.Outcome) peerapi.JobResponse {
	return peerapi.JobResponse{
		Outcome: result, ID: view.ID, State: string(view.State), Detail: view.Detail, Worker: view.Worker,
		Attempts: uint32(max(0, view.Attempts)),
	}
}

var jobClasses = map[string]placement.Class{
	"urgent": placement.ClassUrgent, "quick": placement.ClassQuick, "long": placement.ClassLong,
}

func jobSpec(job *peerapi.JobSubmission) placement.Spec {
	return placement.Spec{
		ID: job.ID, Tenant: job.Tenant, Pool: job.Pool, Class: jobClasses[job.Class], Family: job.Family,
		Size:    placement.Resources{MilliCores: int(job.MilliCores), MemoryMB: int(job.MemoryMB), Accelerators: int(job.Accelerators)},
		RunTime: job.RunTime, Idempotent: job.Idempotent, Payload: job.Payload, Priority: int(job.Priority),
		AvailabilityZone: job.AvailabilityZone, SpreadRacks: job.SpreadRacks, Checkpointable: job.Checkpointable,
	}
}

// getJobCommand reads a job of a tenant.
type getJobCommand struct{ job peerapi.JobReference }

func getJob(job peerapi.JobReference) Command { return getJobCommand{job} }

func (q getJobCommand) execute(s *State, _ engine.Tick, r *Request) {
	if !s.Active() {
		s.respond(r, s.notActive())
		return
	}
	view, ok := s.Jobs.Get(q.job.ID)
	if !ok || view.Tenant != q.job.Tenant {
		s.respond(r, Response{Status: StatusNotFound, Reason: string(placement.ReasonNotFound)})
		return
	}
	s.respond(r, Response{Status: StatusDone, Value: view})
}

// cancelAsOperator cancels a job of any tenant.
func (c *Controller) cancelAsOperator(ctx context.Context, id string) Response {
	answer := c.CancelJob(ctx, peerapi.JobReference{ID: id})
	switch {
	case answer.Outcome.Kind == outcome.Completed:
		return Response{Status: StatusDone, Value: JobReport{ID: id, State: answer.State, Detail: answer.Detail, Worker: answer.Worker}}
	case answer.Outcome.Kind == outcome.Unknown:
		return Response{Status: StatusUnknown, Reason: string(answer.Outcome.Reason)}
	case answer.Outcome.Reason == outcome.Reason(placement.ReasonNotFound):
		return Response{Status: StatusNotFound, Reason: string(answer.Outcome.Reason), Detail: "no job " + id}
	case answer.Outcome.Reason == outcome.ReasonNoController:
		return Response{
			Status: StatusNotActive, Reason: string(answer.Outcome.Reason), ActiveController: c.published.Load().leader.PublicAddress,
		}
	default:
		return Response{Status: StatusConflict, Reason: string(answer.Outcome.Reason)}
	}
}
