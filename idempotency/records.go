package idempotency

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Bounds of the records of one shard.
const (
	// MaxRecords bounds the records. At about 300 bytes each they take 75 MB.
	MaxRecords = 250_000
	// MaxResponseBytes bounds the stored responses. Beyond it, the oldest ones
	// are evicted; their records are kept.
	MaxResponseBytes = 64 << 20
	// MaxWaiters bounds the repeated requests that wait for one key.
	MaxWaiters = 64
)

// Fingerprint identifies the request that a key is bound to.
type Fingerprint struct {
	sum    uint64
	length int
}

// FingerprintOf returns the fingerprint of a request. Each part is preceded by
// its length, so that different requests never hash the same bytes.
func FingerprintOf(tenant, method, path string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	length := len(body)
	for _, part := range []string{tenant, method, path} {
		writeLength(&digest, len(part))
		_, _ = digest.WriteString(part)
		length += len(part)
	}
	writeLength(&digest, len(body))
	_, _ = digest.Write(body)
	return Fingerprint{sum: digest.Sum64(), length: length}
}

func writeLength(digest *xxhash.Digest, length int) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(length))
	_, _ = digest.Write(buffer[:])
}

// ScopedKey identifies a record. Keys are recorded per pool, because one shard
// handles all requests of a pool.
type ScopedKey struct{ Pool, Key string }

// Record is a row for a key that was used. A is the type of responses.
type Record[A any] struct {
	Key         ScopedKey
	Fingerprint Fingerprint
	Request     table.ID   // request that runs under the key; zero once it has an outcome
	Waiters     []table.ID // repeated requests that wait for the outcome
	Outcome     outcome.Outcome
	Response    A

	size     int // bytes of the response, zero if none is stored
	expires  time.Time
	finished table.Link
	stored   table.Link
}

// Records is the table of keys of one shard. The zero value is empty.
type Records[A any] struct {
	rows          table.Table[Record[A]]
	byKey         table.Index[ScopedKey]
	finished      table.LinkedList[Record[A]] // by expiry
	stored        table.LinkedList[Record[A]] // with a response, by time of completion
	responseBytes int
}

func finishedLink[A any](r *Record[A]) *table.Link { return &r.finished }
func storedLink[A any](r *Record[A]) *table.Link   { return &r.stored }

// Len returns the number of records.
func (r *Records[A]) Len() int { return r.rows.Len() }

// ResponseBytes returns the size of all stored responses.
func (r *Records[A]) ResponseBytes() int { return r.responseBytes }

// Get returns the record, or nil. The pointer is valid until the next Begin.
func (r *Records[A]) Get(id table.ID) *Record[A] { return r.rows.Get(id) }

// Find returns the record of a key, if there is one.
func (r *Records[A]) Find(key ScopedKey) (table.ID, bool) { return r.byKey.Get(key) }

// Begin records a key before its request is sent to a target. It reports
// false if the table is full.
func (r *Records[A]) Begin(key ScopedKey, fingerprint Fingerprint, request table.ID) (table.ID, bool) {
	if r.rows.Len() >= MaxRecords {
		return 0, false
	}
	id := r.rows.Insert(Record[A]{Key: key, Fingerprint: fingerprint, Request: request})
	r.byKey.Put(key, id)
	return id, true
}

// AddWaiter adds a repeated request. It reports false if MaxWaiters already wait.
func (r *Records[A]) AddWaiter(id, request table.ID) bool {
	record := r.rows.Get(id)
	if len(record.Waiters) >= MaxWaiters {
		return false
	}
	record.Waiters = append(record.Waiters, request)
	return true
}

// RemoveWaiter removes a repeated request.
func (r *Records[A]) RemoveWaiter(id, request table.ID) {
	record := r.rows.Get(id)
	if i := slices.Index(record.Waiters, request); i >= 0 {
		record.Waiters = slices.Delete(record.Waiters, i, i+1)
	}
}

// Discard removes the record of a request that no target executed, so that the key
// can be used again. It returns the repeated requests that waited.
func (r *Records[A]) Discard(id table.ID) []table.ID {
	record := r.rows.Get(id)
	waiters := record.Waiters
	r.byKey.Delete(record.Key)
	r.rows.Delete(id)
	return waiters
}

// Finish stores the outcome and, if size is not zero, the response. It returns
// the repeated requests that waited.
func (r *Records[A]) Finish(id table.ID, result outcome.Outcome, response A, size int, now time.Time) []table.ID {
	record := r.rows.Get(id)
	waiters := record.Waiters
	record.Waiters, record.Request = nil, 0
	record.Outcome, record.expires = result, now.Add(Retention)
	r.finished.PushBack(&r.rows, finishedLink, id)
	if size > 0 {
		record.Response, record.size = response, size
		r.responseBytes += size
		r.stored.PushBack(&r.rows, storedLink, id)
		r.evictResponses()
	}
	return waiters
}

// evictResponses evicts the oldest responses beyond MaxResponseBytes. The outcome of
// their keys becomes unknown: the request was executed, but its response can no
// longer be returned.
func (r *Records[A]) evictResponses() {
	for r.responseBytes > MaxResponseBytes {
		id := r.stored.Front()
		r.dropResponse(id)
		r.rows.Get(id).Outcome = outcome.UnknownBecause(outcome.ReasonResponseDropped)
	}
}

func (r *Records[A]) dropResponse(id table.ID) {
	record := r.rows.Get(id)
	if !r.stored.Remove(&r.rows, storedLink, id) {
		return
	}
	var zero A
	r.responseBytes -= record.size
	record.Response, record.size = zero, 0
}

// Expire removes the finished records whose retention has ended.
func (r *Records[A]) Expire(now time.Time) {
	for {
		id := r.finished.Front()
		if id == 0 || now.Before(r.rows.Get(id).expires) {
			return
		}
		r.dropResponse(id)
		r.finished.Remove(&r.rows, finishedLink, id)
		r.Discard(id)
	}
}

// NextExpiry returns the time at which Expire has to be called next, or zero.
func (r *Records[A]) NextExpiry() time.Time {
	if id := r.finished.Front(); id != 0 {
		return r.rows.Get(id).expires
	}
	return time.Time{}
}
