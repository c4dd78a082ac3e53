package peerapi

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

// outcomeToText and outcomeFromText use the text form of the outcome. An outcome
// that is missing or not known to this version is decoded as Unknown, which is the
// only safe interpretation.
func outcomeToText(o outcome.Outcome) (kind, reason string) { return o.Kind.String(), string(o.Reason) }

func outcomeFromText(kind, reason string) outcome.Outcome {
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

func headersToProto(headers []Header) []*peerpb.Header {
	encoded := make([]*peerpb.Header, len(headers))
	for i, header := range headers {
		encoded[i] = &peerpb.Header{Name: header.Name, Value: header.Value}
	}
	return encoded
}

func headersFromProto(headers []*peerpb.Header) []Header {
	decoded := make([]Header, len(headers))
	for i, header := range headers {
		decoded[i] = Header{Name: header.GetName(), Value: header.GetValue()}
	}
	return decoded
}

// KeyedRequestToProto converts a keyed request to its message. The timeout is rounded
// down, so that the home does not execute past the caller's deadline.
func KeyedRequestToProto(request *KeyedRequest) *peerpb.KeyedRequest {
	return &peerpb.KeyedRequest{
		Key: request.Key, HomesEpoch: request.HomesEpoch, Tenant: request.Tenant, Class: request.Class, Pool: request.Pool,
		Method: request.Method, Path: request.Path, Headers: headersToProto(request.Headers), Body: request.Body,
		TimeoutMs: ceilMilliseconds(request.Timeout.Truncate(time.Millisecond)), Idempotent: request.Idempotent,
	}
}

// KeyedRequestFromProto converts a message to a keyed request.
func KeyedRequestFromProto(request *peerpb.KeyedRequest) KeyedRequest {
	return KeyedRequest{
		Key: request.GetKey(), HomesEpoch: request.GetHomesEpoch(), Tenant: request.GetTenant(), Class: request.GetClass(),
		Pool: request.GetPool(), Method: request.GetMethod(), Path: request.GetPath(), Headers: headersFromProto(request.GetHeaders()),
		Body: request.GetBody(), Timeout: time.Duration(request.GetTimeoutMs()) * time.Millisecond, Idempotent: request.GetIdempotent(),
	}
}

// KeyedResponseToProto converts the response of a home to its message.
func KeyedResponseToProto(response *KeyedResponse) *peerpb.KeyedResponse {
	kind, reason := outcomeToText(response.Outcome)
	return &peerpb.KeyedResponse{
		Outcome: kind, Reason: reason, Status: int32(response.Status), Headers: headersToProto(response.Headers),
		Body: response.Body, Replayed: response.Replayed, HomesEpoch: response.HomesEpoch,
	}
}

// KeyedResponseFromProto converts a message to the response of a home.
func KeyedResponseFromProto(response *peerpb.KeyedResponse) KeyedResponse {
	return KeyedResponse{
		Outcome: outcomeFromText(response.GetOutcome(), response.GetReason()), Status: int(response.GetStatus()),
		Headers: headersFromProto(response.GetHeaders()), Body: response.GetBody(),
		Replayed: response.GetReplayed(), HomesEpoch: response.GetHomesEpoch(),
	}
}

// JobSubmissionToProto converts a job submission to its message.
func JobSubmissionToProto(job *JobSubmission) *peerpb.SubmitJobRequest {
	return &peerpb.SubmitJobRequest{
		Id: job.ID, Tenant: job.Tenant, Pool: job.Pool, Class: job.Class, Family: job.Family,
		MilliCores: job.MilliCores, MemoryMb: job.MemoryMB, Accelerators: job.Accelerators,
		RunTimeMs: uint64(max(0, job.RunTime.Milliseconds())), Idempotent: job.Idempotent, Payload: job.Payload,
		Priority: job.Priority, AvailabilityZone: job.AvailabilityZone, SpreadRacks: job.SpreadRacks, Checkpointable: job.Checkpointable,
	}
}

// maxRunTimeMS is the upper limit of a declared run time, one year, so that its
// conversion to time.Duration cannot overflow.
const maxRunTimeMS = uint64(365 * 24 * time.Hour / time.Millisecond)

// JobSubmissionFromProto converts a message to a job submission. A declared run
// time above one year is reduced to one year.
func JobSubmissionFromProto(job *peerpb.SubmitJobRequest) JobSubmission {
	return JobSubmission{
		ID: job.GetId(), Tenant: job.GetTenant(), Pool: job.GetPool(), Class: job.GetClass(), Family: job.GetFamily(),
		MilliCores: job.GetMilliCores(), MemoryMB: job.GetMemoryMb(), Accelerators: job.GetAccelerators(),
		RunTime:    time.Duration(min(job.GetRunTimeMs(), maxRunTimeMS)) * time.Millisecond,
		Idempotent: job.GetIdempotent(), Payload: job.GetPayload(), Priority: job.GetPriority(),
		AvailabilityZone: job.GetAvailabilityZone(), SpreadRacks: job.GetSpreadRacks(), Checkpointable: job.GetCheckpointable(),
	}
}

// JobReferenceToProto converts a job reference to its message.
func JobReferenceToProto(reference JobReference) *peerpb.JobRequest {
	return &peerpb.JobRequest{Id: reference.ID, Tenant: reference.Tenant}
}

// JobReferenceFromProto converts a message to a job reference.
func JobReferenceFromProto(reference *peerpb.JobRequest) JobReference {
	return JobReference{ID: reference.GetId(), Tenant: reference.GetTenant()}
}

// JobResponseToProto converts the response to a job call to its message.
func JobResponseToProto(answer *JobResponse) *peerpb.JobResponse {
	kind, reason := outcomeToText(answer.Outcome)
	return &peerpb.JobResponse{
		Outcome: kind, Reason: reason, Id: answer.ID, State: answer.State, Detail: answer.Detail,
		Worker: answer.Worker, Attempts: answer.Attempts, ActiveController: answer.ActiveController,
	}
}

// JobResponseFromProto converts a message to the response to a job call.
func JobResponseFromProto(answer *peerpb.JobResponse) JobResponse {
	return JobResponse{
		Outcome: outcomeFromText(answer.GetOutcome(), answer.GetReason()), ID: answer.GetId(), State: answer.GetState(),
		Detail: answer.GetDetail(), Worker: answer.GetWorker(), Attempts: answer.GetAttempts(),
		ActiveController: answer.GetActiveController(),
	}
}
