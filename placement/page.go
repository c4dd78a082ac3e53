package placement

import (
	"hash/fnv"
	"strings"
	"time"
	"unicode/utf8"
)

// PageCount is the number of pages. It keeps a page of 10,000 jobs far under
// the store's limit of 1 MB per value and bounds the writes per second.
const PageCount = 16 // PageOf takes the top four bits of a hash

// Bounds of a page and of one job in it.
const (
	MaxPageBytes    = 800_000 // estimated; submissions beyond it are refused
	retainPageBytes = 500_000 // beyond it finished jobs leave before their retention ends
	MaxPayloadBytes = 512     // a page holds 625 jobs of this size
	MaxNameBytes    = 128     // of job ID, tenant, pool, family and zone
	jobFixedBytes   = 600     // field names, numbers and times of an encoded job
)

// PageOf returns the page that holds a job.
func PageOf(jobID string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(jobID))
	// The low bits of FNV depend only on the low bits of the characters, which
	// puts IDs with a repeated counter on few pages; the top bits mix them all.
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return int(mixed >> 60)
}

// Page is the durable state of the jobs of one page.
type Page struct {
	Index int
	Epoch uint64 // of the controller that wrote it
	Jobs  []*JobRecord
}

// JobRecord is the durable part of a job. It is immutable: pages share the
// records of jobs that did not change between them.
type JobRecord struct {
	Spec          Spec
	State         JobState
	Reason        Reason
	Detail        string
	SubmittedAt   time.Time
	FinishedAt    time.Time
	Attempts      int
	FailedOn      []string
	Failures      int
	Cancelling    bool
	Resume        bool
	PeakUsage     Resources
	ActualRunTime time.Duration
	Attempt       *AttemptRecord // nil if no attempt can be running
}

// AttemptRecord is the durable part of an attempt. A reader must assume that
// its start was sent, whatever the status.
type AttemptRecord struct {
	Operation string
	Worker    string
	Status    AttemptStatus
	Resume    bool
	Reserved  Resources
	CreatedAt time.Time
	StartedAt time.Time
}

// maxDetailBytes bounds the platform's error text in a page.
const maxDetailBytes = 100

func shortDetail(detail string) string {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return strings.ToValidUTF8(detail, "?")
}

// encodedBytes bounds the encoded length of a string; control characters take
// six bytes in JSON.
func encodedBytes(s string) int {
	n := 0
	for i := range len(s) {
		switch c := s[i]; {
		case c < 0x20 || c == '<' || c == '>' || c == '&' || c == 0x7f || c == 0xe2:
			n += 6
		case c == '"' || c == '\\':
			n += 2
		default:
			n++
		}
	}
	return n
}

func (spec *Spec) encodedBytes() int {
	return jobFixedBytes + 2*encodedBytes(spec.ID) + encodedBytes(spec.Tenant) + encodedBytes(spec.Pool) +
		encodedBytes(spec.Family) + encodedBytes(spec.AvailabilityZone) + encodedBytes(spec.Payload)
}

// wellFormed reports whether the spec is complete and within its bounds.
func (spec *Spec) wellFormed() bool {
	for _, name := range []string{spec.ID, spec.Tenant, spec.Pool} {
		if name == "" {
			return false
		}
	}
	for _, name := range []string{spec.ID, spec.Tenant, spec.Pool, spec.Family, spec.AvailabilityZone} {
		if len(name) > MaxNameBytes || !utf8.ValidString(name) {
			return false
		}
	}
	size := spec.Size
	return spec.Class.Valid() && len(spec.Payload) <= MaxPayloadBytes && utf8.ValidString(spec.Payload) &&
		size.MilliCores > 0 && size.MemoryMB >= 0 && size.Accelerators >= 0 && spec.RunTime >= 0
}
