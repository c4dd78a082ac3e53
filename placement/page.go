package placement

import (
	"hash/fnv"
	"strings"
	"time"
	"unicode/utf8"
)

// PageCount is the number of pages. With 10,000 jobs it keeps every page far below
// the store's limit of 1 MB per value, and it bounds the writes per second.
const PageCount = 16 // PageOf uses the top four bits of a hash

// Size limits of pages and of the jobs in them.
const (
	MaxPageBytes    = 800_000 // estimated; submissions that would exceed it are refused
	retainPageBytes = 500_000 // above it, finished jobs are removed before their retention ends
	MaxPayloadBytes = 512     // a page can hold 625 jobs with payloads of this size
	MaxNameBytes    = 128     // of job ID, tenant, pool, family and availability zone
	jobFixedBytes   = 600     // upper bound for field names, numbers and times of an encoded job
)

// PageOf returns the index of the page that holds a job.
func PageOf(jobID string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(jobID))
	// The low bits of FNV depend only on the low bits of the characters, which maps
	// IDs that repeat a counter to few pages. The top bits of the mixed hash depend
	// on all bits.
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

// JobRecord is the durable part of a job. It is immutable: successive snapshots of
// a page share the records of unchanged jobs.
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

// AttemptRecord is the durable part of an attempt. A reader must assume that its
// start was sent, regardless of the status.
type AttemptRecord struct {
	Operation string
	Worker    string
	Status    AttemptStatus
	Resume    bool
	Reserved  Resources
	CreatedAt time.Time
	StartedAt time.Time
}

// maxDetailBytes limits the platform's error text in a page.
const maxDetailBytes = 100

func truncateDetail(detail string) string {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return strings.ToValidUTF8(detail, "?")
}

// encodedBytes returns an upper bound of the JSON length of a string. Escaped
// control characters take six bytes.
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

// wellFormed reports whether the specification is complete and within the limits.
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
