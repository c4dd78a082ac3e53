// Package pagecodec encodes and decodes job pages as JSON, the format in which
// they are stored.
package pagecodec

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// maxValueBytes is the store's size limit of a value.
const maxValueBytes = 1 << 20

type page struct {
	Index int    `json:"index"`
	Epoch uint64 `json:"epoch"`
	Jobs  []job  `json:"jobs"`
}

// Encoder encodes pages. It caches the encoded form of each job, because a write
// changes few of the jobs of its page. Records are immutable, so their address
// identifies their content. The zero value is ready to use. An Encoder is not safe
// for concurrent use.
type Encoder struct {
	encodedJobs [placement.PageCount]map[*placement.JobRecord][]byte
}

type job struct {
	ID             string             `json:"id"`
	Tenant         string             `json:"tenant"`
	Pool           string             `json:"pool"`
	Class          placement.Class    `json:"class"`
	Family         string             `json:"family,omitempty"`
	Size           [3]int             `json:"size"` // milli-cores, memory in MB, accelerators
	RunTime        time.Duration      `json:"run_time_ns,omitempty"`
	Idempotent     bool               `json:"idempotent,omitempty"`
	Checkpointable bool               `json:"checkpointable,omitempty"`
	Payload        string             `json:"payload,omitempty"`
	Priority       int                `json:"priority,omitempty"`
	Zone           string             `json:"az,omitempty"`
	SpreadRacks    bool               `json:"spread_racks,omitempty"`
	State          placement.JobState `json:"state"`
	Reason         placement.Reason   `json:"reason,omitempty"`
	Detail         string             `json:"detail,omitempty"`
	SubmittedAt    int64              `json:"submitted_at"` // all times in Unix nanoseconds; zero if unset
	FinishedAt     int64              `json:"finished_at,omitempty"`
	Attempts       int                `json:"attempts,omitempty"`
	FailedOn       []string           `json:"failed_on,omitempty"`
	Failures       int                `json:"failures,omitempty"`
	Cancelling     bool               `json:"cancelling,omitempty"`
	Resume         bool               `json:"resume,omitempty"`
	Peak           [3]int             `json:"peak,omitzero"`
	Ran            time.Duration      `json:"ran_ns,omitempty"`
	Attempt        *attempt           `json:"attempt,omitempty"`
}

type attempt struct {
	Operation string                  `json:"op"`
	Worker    string                  `json:"worker"`
	Status    placement.AttemptStatus `json:"status"`
	Resume    bool                    `json:"resume,omitempty"`
	Reserved  [3]int                  `json:"reserved"`
	CreatedAt int64                   `json:"created_at"`
	StartedAt int64                   `json:"started_at,omitempty"`
}

// Encode returns the JSON encoding of a page.
func (e *Encoder) Encode(p placement.Page) ([]byte, error) {
	encoded := make(map[*placement.JobRecord][]byte, len(p.Jobs))
	out := fmt.Appendf(nil, `{"index":%d,"epoch":%d,"jobs":[`, p.Index, p.Epoch)
	for i, record := range p.Jobs {
		data, ok := e.encodedJobs[p.Index][record]
		if !ok {
			var err error
			if data, err = json.Marshal(fromRecord(record)); err != nil {
				return nil, errors.Newf("encode job page %d: %w", p.Index, err)
			}
		}
		encoded[record] = data
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, data...)
	}
	e.encodedJobs[p.Index] = encoded
	if out = append(out, "]}"...); len(out) > maxValueBytes {
		return nil, errors.Newf("encode job page %d: %d bytes exceed the limit of %d", p.Index, len(out), maxValueBytes)
	}
	return out, nil
}

// Decode decodes the page that is stored under the key with the given index. A page
// with a different index, or with a job that belongs to another page, is an error.
// Empty data decodes to an empty page.
func Decode(index int, data []byte) (placement.Page, error) {
	if len(data) == 0 {
		return placement.Page{Index: index}, nil
	}
	var in page
	if err := json.Unmarshal(data, &in); err != nil {
		return placement.Page{}, errors.Newf("decode job page %d: %w", index, err)
	}
	if in.Index != index {
		return placement.Page{}, errors.Newf("decode job page %d: value has page index %d", index, in.Index)
	}
	out := placement.Page{Index: index, Epoch: in.Epoch, Jobs: make([]*placement.JobRecord, len(in.Jobs))}
	for i := range in.Jobs {
		if placement.PageOf(in.Jobs[i].ID) != index {
			return placement.Page{}, errors.Newf("decode job page %d: job %q belongs to another page", index, in.Jobs[i].ID)
		}
		out.Jobs[i] = in.Jobs[i].toRecord()
	}
	return out, nil
}

func fromRecord(r *placement.JobRecord) job {
	s := &r.Spec
	out := job{
		ID: s.ID, Tenant: s.Tenant, Pool: s.Pool, Class: s.Class, Family: s.Family, Size: resourceArray(s.Size),
		RunTime: s.RunTime, Idempotent: s.Idempotent, Checkpointable: s.Checkpointable, Payload: s.Payload,
		Priority: s.Priority, Zone: s.AvailabilityZone, SpreadRacks: s.SpreadRacks,
		State: r.State, Reason: r.Reason, Detail: r.Detail, SubmittedAt: unixNano(r.SubmittedAt), FinishedAt: unixNano(r.FinishedAt),
		Attempts: r.Attempts, FailedOn: r.FailedOn, Failures: r.Failures, Cancelling: r.Cancelling, Resume: r.Resume,
		Peak: resourceArray(r.PeakUsage), Ran: r.ActualRunTime,
	}
	if a := r.Attempt; a != nil {
		out.Attempt = &attempt{
			Operation: a.Operation, Worker: a.Worker, Status: a.Status, Resume: a.Resume, Reserved: resourceArray(a.Reserved),
			CreatedAt: unixNano(a.CreatedAt), StartedAt: unixNano(a.StartedAt),
		}
	}
	return out
}

func (j *job) toRecord() *placement.JobRecord {
	out := &placement.JobRecord{
		Spec: placement.Spec{
			ID: j.ID, Tenant: j.Tenant, Pool: j.Pool, Class: j.Class, Family: j.Family, Size: fromResourceArray(j.Size),
			RunTime: j.RunTime, Idempotent: j.Idempotent, Checkpointable: j.Checkpointable, Payload: j.Payload,
			Priority: j.Priority, AvailabilityZone: j.Zone, SpreadRacks: j.SpreadRacks,
		},
		State: j.State, Reason: j.Reason, Detail: j.Detail, SubmittedAt: timeFromUnixNano(j.SubmittedAt), FinishedAt: timeFromUnixNano(j.FinishedAt),
		Attempts: j.Attempts, FailedOn: j.FailedOn, Failures: j.Failures, Cancelling: j.Cancelling, Resume: j.Resume,
		PeakUsage: fromResourceArray(j.Peak), ActualRunTime: j.Ran,
	}
	if a := j.Attempt; a != nil {
		out.Attempt = &placement.AttemptRecord{
			Operation: a.Operation, Worker: a.Worker, Status: a.Status, Resume: a.Resume,
			Reserved: fromResourceArray(a.Reserved), CreatedAt: timeFromUnixNano(a.CreatedAt), StartedAt: timeFromUnixNano(a.StartedAt),
		}
	}
	return out
}

func resourceArray(r placement.Resources) [3]int {
	return [3]int{r.MilliCores, r.MemoryMB, r.Accelerators}
}

func fromResourceArray(t [3]int) placement.Resources {
	return placement.Resources{MilliCores: t[0], MemoryMB: t[1], Accelerators: t[2]}
}

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromUnixNano(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
