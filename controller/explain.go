package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// Explain asks why a worker is not being maintained or a job is not running.
type Explain struct{ Kind, Name string }

// Explanation is the response to Explain: the typed reason of the last decision and
// the values that it is based on.
type Explanation struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}

func (q Explain) execute(s *State, tick engine.Tick, r *Request) {
	switch q.Kind {
	case "worker":
		s.explainWorker(q, tick, r)
	case "job":
		s.explainJob(q, r)
	default:
		s.respond(r, Response{Status: StatusInvalid, Reason: "unknown-kind", Detail: fmt.Sprintf("kind %q; accepted: worker, job", q.Kind)})
	}
}

func (s *State) explainWorker(q Explain, tick engine.Tick, r *Request) {
	row := s.tables().Worker(q.Name)
	if row == nil {
		s.respond(r, unknownWorker(q.Name))
		return
	}
	explanation := Explanation{
		Kind: q.Kind, Name: q.Name, State: string(row.State), Reason: string(row.StateReason),
		Detail: "in this state since " + row.Since.UTC().Format(time.RFC3339),
	}
	switch {
	case row.OperationID != 0:
		explanation.Reason = s.waitReasonOf(row.ID)
		explanation.Detail += s.describeOperation(row, tick)
	case row.Available() && s.View.Policy != nil:
		explanation.Reason = string(wave.Explain(s.waveInput(tick), row.ID))
		if explanation.Reason == string(wave.ReasonDisruptionNotAllowed) {
			explanation.Detail += "; " + s.disruptionBlocker(tick)
		}
	}
	s.respond(r, Response{Status: StatusDone, Value: explanation})
}

func unknownWorker(name string) Response {
	return Response{Status: StatusNotFound, Reason: string(fleet.ReasonUnknownWorker), Detail: fmt.Sprintf("no worker %q", name)}
}

// describeOperation returns the operation of the worker, the last poll result and
// the gateways that have not acknowledged the operation.
func (s *State) describeOperation(row *fleet.WorkerRow, tick engine.Tick) string {
	operation := s.tables().Operation(row)
	if operation == nil {
		return ""
	}
	text := fmt.Sprintf("; operation %s (%s) by %q", operation.ID, operation.Kind, initiator(&operation.Operation))
	if operation.Reason != "" {
		text += fmt.Sprintf(", reason %q", operation.Reason)
	}
	if id, ok := s.trackedWorkerIndex.Get(row.ID); ok {
		if answer := s.trackedWorkers.Get(id).observed; answer != nil {
			text += fmt.Sprintf("; the platform reports %s, %d requests and %d tasks", answer.Status, answer.Requests, answer.Tasks)
		}
	}
	var waiting []string
	for _, gateway := range s.Peers.Unacknowledged(operation.StartRevision, tick.Now) {
		waiting = append(waiting, gateway.Address)
	}
	if len(waiting) > 0 {
		text += "; not acknowledged by gateways " + strings.Join(waiting, ", ")
	}
	return text
}

func (s *State) explainJob(q Explain, r *Request) {
	if !s.Active() {
		s.respond(r, s.notActive())
		return
	}
	job, ok := s.Jobs.Explain(q.Name)
	if !ok {
		s.respond(r, Response{Status: StatusNotFound, Reason: string(placement.ReasonNotFound), Detail: fmt.Sprintf("no job %q", q.Name)})
		return
	}
	s.respond(r, Response{Status: StatusDone, Value: Explanation{
		Kind: q.Kind, Name: q.Name, State: string(job.State), Reason: string(job.Reason), Detail: describeJob(&job),
	}})
}

func describeJob(job *placement.Explanation) string {
	var parts []string
	add := func(format string, values ...any) { parts = append(parts, fmt.Sprintf(format, values...)) }
	if job.Detail != "" {
		add("%s", job.Detail)
	}
	size := "declared"
	if job.SizeObserved {
		size = "observed"
	}
	add("needs %d millicores and %d MB (%s)", job.Reservation.MilliCores, job.Reservation.MemoryMB, size)
	add("tenant %s holds %d of %d millicores", job.Tenant, job.QuotaUsed, job.QuotaLimit)
	if job.Worker != "" {
		add("worker %s", job.Worker)
	}
	if len(job.FailedOn) > 0 {
		add("failed on %s", strings.Join(job.FailedOn, ", "))
	}
	if job.Cancelling {
		add("being cancelled")
	}
	if job.Throttled {
		add("throttled")
	}
	if !job.LeaseExpiresAt.IsZero() {
		add("its lease on the lost worker ends at %s", job.LeaseExpiresAt.UTC().Format(time.RFC3339))
	}
	return strings.Join(parts, "; ")
}
