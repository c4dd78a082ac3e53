// Package pagecodec encodes job pages as JSON, the form in which they are kept
// in the store.
package pagecodec

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// maxBytes is the store's limit of a value.
const maxBytes = 1 << 20

type page struct {
	Index int    `json:"index"`
	Epoch uint64 `json:"epoch"`
	Jobs  []job  `json:"jobs"`
}

// Encoder encodes pages and keeps the encoded form of each job, because a write
// changes few of the jobs of its page. Records are immutable, so their address
// identifies their content. The zero value is ready; one goroutine may use it.
type Encoder struct {
	jobs [placement.PageCount]map[*placement.JobRecord][]byte
}

type job struct {
	ID             string             `json:"id"`
	Tenant         string             `json:"tenant"`
	Pool           string             `json:"pool"`
	Class          placement.Class    `json:"class"`
	Family         string             `json:"family,omitempty"`
	Size           [3]int             `json:"size"` // milli cores, memory in MB, accelerators
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
	SubmittedAt    int64              `json:"submitted_at"` // times in nanoseconds since 1970, zero if unset
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

// Encode returns the JSON form of a page.
func (e *Encoder) Encode(p placement.Page) ([]byte, error) {
	kept := make(map[*placement.JobRecord][]byte, len(p.Jobs))
	out := fmt.Appendf(nil, `{"index":%d,"epoch":%d,"jobs":[`, p.Index, p.Epoch)
	for i, record := range p.Jobs {
		data, ok := e.jobs[p.Index][record]
		if !ok {
			var err error
			if data, err = json.Marshal(fromRecord(record)); err != nil {
				return nil, errors.Newf("encode job page %d: %w", p.Index, err)
			}
		}
		kept[record] = data
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, data...)
	}
	e.jobs[p.Index] = kept
	if out = append(out, "]}"...); len(out) > maxBytes {
		return nil, errors.Newf("encode job page %d: %d bytes, at most %d are accepted", p.Index, len(out), maxBytes)
	}
	return out, nil
}

// Decode parses a page. Index is the one of the key; a page that names another
// one, or holds a job of another page, is an error. No data is an empty page.
func Decode(index int, data []byte) (placement.Page, error) {
	if len(data) == 0 {
		return placement.Page{Index: index}, nil
	}
	var in page
	if err := json.Unmarshal(data, &in); err != nil {
		return placement.Page{}, errors.Newf("decode job page %d: %w", index, err)
	}
	if in.Index != index {
		return placement.Page{}, errors.Newf("decode job page %d: value names page %d", index, in.Index)
	}
	out := placement.Page{Index: index, Epoch: in.Epoch, Jobs: make([]*placement.JobRecord, len(in.Jobs))}
	for i := range in.Jobs {
		if placement.PageOf(in.Jobs[i].ID) != index {
			return placement.Page{}, errors.Newf("decode job page %d: job %q belongs to another page", index, in.Jobs[i].ID)
		}
		out.Jobs[i] = in.Jobs[i].record()
	}
	return out, nil
}

func fromRecord(r *placement.JobRecord) job {
	s := &r.Spec
	out := job{
		ID: s.ID, Tenant: s.Tenant, Pool: s.Pool, Class: s.Class, Family: s.Family, Size: triple(s.Size),
		RunTime: s.RunTime, Idempotent: s.Idempotent, Checkpointable: s.Checkpointable, Payload: s.Payload,
		Priority: s.Priority, Zone: s.AvailabilityZone, SpreadRacks: s.SpreadRacks,
		State: r.State, Reason: r.Reason, Detail: r.Detail, SubmittedAt: nanoseconds(r.SubmittedAt), FinishedAt: nanoseconds(r.FinishedAt),
		Attempts: r.Attempts, FailedOn: r.FailedOn, Failures: r.Failures, Cancelling: r.Cancelling, Resume: r.Resume,
		Peak: triple(r.PeakUsage), Ran: r.ActualRunTime,
	}
	if a := r.Attempt; a != nil {
		out.Attempt = &attempt{
			Operation: a.Operation, Worker: a.Worker, Status: a.Status, Resume: a.Resume, Reserved: triple(a.Reserved),
			CreatedAt: nanoseconds(a.CreatedAt), StartedAt: nanoseconds(a.StartedAt),
		}
	}
	return out
}

func (j *job) record() *placement.JobRecord {
	out := &placement.JobRecord{
		Spec: placement.Spec{
			ID: j.ID, Tenant: j.Tenant, Pool: j.Pool, Class: j.Class, Family: j.Family, Size: resources(j.Size),
			RunTime: j.RunTime, Idempotent: j.Idempotent, Checkpointable: j.Checkpointable, Payload: j.Payload,
			Priority: j.Priority, AvailabilityZone: j.Zone, SpreadRacks: j.SpreadRacks,
		},
		State: j.State, Reason: j.Reason, Detail: j.Detail, SubmittedAt: moment(j.SubmittedAt), FinishedAt: moment(j.FinishedAt),
		Attempts: j.Attempts, FailedOn: j.FailedOn, Failures: j.Failures, Cancelling: j.Cancelling, Resume: j.Resume,
		PeakUsage: resources(j.Peak), ActualRunTime: j.Ran,
	}
	if a := j.Attempt; a != nil {
		out.Attempt = &placement.AttemptRecord{
			Operation: a.Operation, Worker: a.Worker, Status: a.Status, Resume: a.Resume,
			Reserved: resources(a.Reserved), CreatedAt: moment(a.CreatedAt), StartedAt: moment(a.StartedAt),
		}
	}
	return out
}

func triple(r placement.Resources) [3]int { return [3]int{r.MilliCores, r.MemoryMB, r.Accelerators} }

func resources(t [3]int) placement.Resources {
	return placement.Resources{MilliCores: t[0], MemoryMB: t[1], Accelerators: t[2]}
}

func nanoseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func moment(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
