package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// Timeouts and backoffs of store calls.
const (
	// StoreCallTimeout limits one call. The store normally responds within
	// milliseconds.
	StoreCallTimeout = 2 * time.Second
	resolveBackoff   = 200 * time.Millisecond
	maxResolveWait   = 2 * time.Second
)

// WriteStatus is the final status of a compare-and-swap.
type WriteStatus uint8

// Statuses of a write.
const (
	WriteCommitted   WriteStatus = iota + 1
	WriteConflicted              // the key holds another write; this one may have been applied before it
	WriteNotExecuted             // certainly not executed
	WriteUnknown                 // not applied when the key was last read, but may still arrive
)

// WriteResult reports the result of a write to the control loop. Revision is the
// store revision that the write created. After a conflict, the loop learns the
// current value from the watch or by reading it.
type WriteResult struct {
	Key      string
	WriteID  string
	Status   WriteStatus
	Revision store.Revision
	Err      error
}

// Write performs a compare-and-swap. If the result is unknown, it reads the key
// until the store responds or the context ends. It never repeats the write. I/O
// goroutines call it. The status stays unknown if the key did not hold the write
// when it was read, or could not be read before the context ended: the write may
// still arrive, so the control loop has to read the value again.
func Write(ctx context.Context, s store.Store, put store.Put) WriteResult {
	result := WriteResult{Key: put.Key, WriteID: put.WriteID}
	callContext, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	revision, err := s.CompareAndSwap(callContext, put)
	cancel()
	if errors.Is(err, store.ErrUnknown) {
		revision, err = resolveWrite(ctx, s, put)
	}
	result.Revision, result.Err = revision, err
	switch {
	case err == nil:
		result.Status = WriteCommitted
	case errors.Is(err, store.ErrNotApplied), errors.Is(err, store.ErrUnknown):
		// Must precede the next case: an unresolved result also wraps the error of the
		// last read.
		result.Status = WriteUnknown
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		result.Status = WriteNotExecuted
	default:
		result.Status = WriteConflicted
	}
	return result
}

func resolveWrite(ctx context.Context, s store.Store, put store.Put) (store.Revision, error) {
	wait := resolveBackoff
	for {
		callContext, cancel := context.WithTimeout(ctx, StoreCallTimeout)
		revision, err := store.Resolve(callContext, s, put)
		cancel()
		if !errors.Is(err, store.ErrUnknown) {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(wait):
			wait = min(2*wait, maxResolveWait)
		}
	}
}
