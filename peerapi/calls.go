package peerapi

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

// fromOutcome and toOutcome use the text forms. An outcome that is missing or
// not known to this version is Unknown, the only safe reading.
func fromOutcome(o outcome.Outcome) (kind, reason string) { return o.Kind.String(), string(o.Reason) }

func toOutcome(kind, reason string) outcome.Outcome {
	for _, known := range []outcome.Kind{outcome.Completed, outcome.NotRun} {
		if known.String() == kind {
			return outcome.Outcome{Kind: known, Reason: outcome.Reason(reason)}
		}
	}
	if reason == "" {
		return outcome.UnknownBecause(outcome.ReasonHomeNoAnswer)
	}
	return outcome.UnknownBecause(outcome.Reason(reason))
}

func fromHeaders(headers []Header) []*peerpb.Header {
	encoded := make([]*peerpb.Header, len(headers))
	for i, header := range headers {
		encoded[i] = &peerpb.Header{Name: header.Name, Value: header.Value}
	}
	return encoded
}

func toHeaders(headers []*peerpb.Header) []Header {
	decoded := make([]Header, len(headers))
	for i, header := range headers {
		decoded[i] = Header{Name: header.GetName(), Value: header.GetValue()}
	}
	return decoded
}

// KeyedRequestToProto encodes a keyed request. The timeout is rounded down, so that
// the home does not work past the caller's deadline.
func KeyedRequestToProto(request *KeyedRequest) *peerpb.KeyedRequest {
	return &peerpb.KeyedRequest{
		Key: request.Key, HomesEpoch: request.HomesEpoch, Tenant: request.Tenant, Class: request.Class, Pool: request.Pool,
		Method: request.Method, Path: request.Path, Headers: fromHeaders(request.Headers), Body: request.Body,
		TimeoutMs: milliseconds(request.Timeout.Truncate(time.Millisecond)), Idempotent: request.Idempotent,
	}
}

// KeyedRequestFromProto decodes a keyed request.
func KeyedRequestFromProto(request *peerpb.KeyedRequest) KeyedRequest {
	return KeyedRequest{
		Key: request.GetKey(), HomesEpoch: request.GetHomesEpoch(), Tenant: request.GetTenant(), Class: request.GetClass(),
		Pool: request.GetPool(), Method: request.GetMethod(), Path: request.GetPath(), Headers: toHeaders(request.GetHeaders()),
		Body: request.GetBody(), Timeout: time.Duration(request.GetTimeoutMs()) * time.Millisecond, Idempotent: request.GetIdempotent(),
	}
}

// KeyedResponseToProto encodes the answer of a home.
func KeyedResponseToProto(response *KeyedResponse) *peerpb.KeyedResponse {
	kind, reason := fromOutcome(response.Outcome)
	return &peerpb.KeyedResponse{
		Outcome: kind, Reason: reason, Status: int32(response.Status), Headers: fromHeaders(response.Headers),
		Body: response.Body, Replayed: response.Replayed, HomesEpoch: response.HomesEpoch,
	}
}

// KeyedResponseFromProto decodes the answer of a home.
func KeyedResponseFromProto(response *peerpb.KeyedResponse) KeyedResponse {
	return KeyedResponse{
		Outcome: toOutcome(response.GetOutcome(), response.GetReason()), Status: int(response.GetStatus()),
		Headers: toHeaders(response.GetHeaders()), Body: response.GetBody(),
		Replayed: response.GetReplayed(), HomesEpoch: response.GetHomesEpoch(),
	}
}

// JobSubmissionToProto encodes a job.
func JobSubmissionToProto(job *JobSubmission) *peerpb.SubmitJobRequest {
	return &peerpb.SubmitJobRequest{
		Id: job.ID, Tenant: job.Tenant, Pool: job.Pool, Class: job.Class, Family: job.Family,
		MilliCores: job.MilliCores, MemoryMb: job.MemoryMB, Accelerators: job.Accelerators,
		RunTimeMs: uint64(max(0, job.RunTime.Milliseconds())), Idempotent: job.Idempotent, Payload: job.Payload,
		Priority: job.Priority, AvailabilityZone: job.AvailabilityZone, SpreadRacks: job.SpreadRacks, Checkpointable: job.Checkpointable,
	}
}

// maxRunTimeMS keeps a declared run time within time.Duration.
const maxRunTimeMS = uint64(365 * 24 * time.Hour / time.Millisecond)

// JobSubmissionFromProto decodes a job. A declared run time over a year counts as a year.
func JobSubmissionFromProto(job *peerpb.SubmitJobRequest) JobSubmission {
	return JobSubmission{
		ID: job.GetId(), Tenant: job.GetTenant(), Pool: job.GetPool(), Class: job.GetClass(), Family: job.GetFamily(),
		MilliCores: job.GetMilliCores(), MemoryMB: job.GetMemoryMb(), Accelerators: job.GetAccelerators(),
		RunTime:    time.Duration(min(job.GetRunTimeMs(), maxRunTimeMS)) * time.Millisecond,
		Idempotent: job.GetIdempotent(), Payload: job.GetPayload(), Priority: job.GetPriority(),
		AvailabilityZone: job.GetAvailabilityZone(), SpreadRacks: job.GetSpreadRacks(), Checkpointable: job.GetCheckpointable(),
	}
}

// JobReferenceToProto encodes a reference to a job.
func JobReferenceToProto(reference JobReference) *peerpb.JobRequest {
	return &peerpb.JobRequest{Id: reference.ID, Tenant: reference.Tenant}
}

// JobReferenceFromProto decodes a reference to a job.
func JobReferenceFromProto(reference *peerpb.JobRequest) JobReference {
	return JobReference{ID: reference.GetId(), Tenant: reference.GetTenant()}
}

// JobResponseToProto encodes the answer to a call about a job.
func JobResponseToProto(answer *JobResponse) *peerpb.JobResponse {
	kind, reason := fromOutcome(answer.Outcome)
	return &peerpb.JobResponse{
		Outcome: kind, Reason: reason, Id: answer.ID, State: answer.State, Detail: answer.Detail,
		Worker: answer.Worker, Attempts: answer.Attempts, ActiveController: answer.ActiveController,
	}
}

// JobResponseFromProto decodes the answer to a call about a job.
func JobResponseFromProto(answer *peerpb.JobResponse) JobResponse {
	return JobResponse{
		Outcome: toOutcome(answer.GetOutcome(), answer.GetReason()), ID: answer.GetId(), State: answer.GetState(),
		Detail: answer.GetDetail(), Worker: answer.GetWorker(), Attempts: answer.GetAttempts(),
		ActiveController: answer.GetActiveController(),
	}
}
