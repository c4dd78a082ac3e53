package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// Timing of store calls.
const (
	// StoreCallTimeout bounds one call. The store answers in milliseconds.
	StoreCallTimeout = 2 * time.Second
	resolveBackoff   = 200 * time.Millisecond
	maxResolveWait   = 2 * time.Second
)

// WriteStatus is the result of a compare-and-swap after it was resolved.
type WriteStatus uint8

// The results of a write.
const (
	WriteCommitted   WriteStatus = iota + 1
	WriteConflicted              // another write is in place; the own one may have been in place before it
	WriteNotExecuted             // provably not executed
	WriteUnknown                 // was not in place when it was last read, but may still arrive
)

// WriteResult tells the control loop how a write ended. Revision is the store
// revision of the own write; after a conflict the loop waits for the watch or
// reads the value.
type WriteResult struct {
	Key      string
	WriteID  string
	Status   WriteStatus
	Revision store.Revision
	Err      error
}

// Write performs a compare-and-swap and resolves an unknown result by reading
// until the store answers or the context ends. It is called by an I/O goroutine.
// It never repeats the write. A write that was not in place after its result was
// lost, or that could not be resolved before the context ended, stays unknown:
// it may still arrive, and the loop reads the value again.
func Write(ctx context.Context, s store.Store, put store.Put) WriteResult {
	result := WriteResult{Key: put.Key, WriteID: put.WriteID}
	callContext, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	revision, err := s.CompareAndSwap(callContext, put)
	cancel()
	if errors.Is(err, store.ErrUnknown) {
		revision, err = resolve(ctx, s, put)
	}
	result.Revision, result.Err = revision, err
	switch {
	case err == nil:
		result.Status = WriteCommitted
	case errors.Is(err, store.ErrNotApplied), errors.Is(err, store.ErrUnknown):
		// Tested first: an unresolved result also carries the error of the last read.
		result.Status = WriteUnknown
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		result.Status = WriteNotExecuted
	default:
		result.Status = WriteConflicted
	}
	return result
}

func resolve(ctx context.Context, s store.Store, put store.Put) (store.Revision, error) {
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
