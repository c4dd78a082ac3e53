// Package store defines the interface to the platform's key-value service. It has
// four kinds of operation: get, compare-and-swap, lease and watch. Subpackages
// implement the interface; no other package depends on the service's protocol.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Store. Implementations wrap them, so callers must use errors.Is.
var (
	// ErrConflict means that the key's revision was not the expected one. Nothing was written.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the store certainly did not execute the call.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the call may or may not have taken effect. The caller
	// must use Resolve to find out, and must never repeat the write.
	ErrUnknown = errors.New("store: result unknown")
	// ErrNotApplied means that the key still has the revision that a write with an
	// unknown result was based on. The write may still arrive.
	ErrNotApplied = errors.New("store: write not in place")
	// ErrLeaseLost means that the lease no longer exists.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrRateLimited means that the local rate limit was exceeded. Nothing was sent.
	ErrRateLimited = errors.New("store: call budget exhausted")
	// ErrTooLarge means that the value exceeds the store's limit. Nothing was written.
	ErrTooLarge = errors.New("store: value too large")
)

// Revision is the store's modification revision of a key. Zero means that the
// key does not exist.
type Revision int64

// LeaseID identifies a lease. Zero means none.
type LeaseID int64

// Value is the value of a key. WriteID identifies the write that produced it, so
// that a writer can determine whether its own write took effect.
type Value struct {
	Key      string
	Data     []byte
	WriteID  string
	Revision Revision
}

// Put describes a compare-and-swap of a single key. Revision is the expected
// current revision; zero creates the key. WriteID must be unique.
type Put struct {
	Key      string
	Data     []byte
	WriteID  string
	Revision Revision
	Lease    LeaseID
}

// Event is a change or a progress notification of a watch. A progress notification
// (Progress is true) guarantees that the watch has delivered every change up to
// the store revision in Value.
type Event struct {
	Value    Value
	Deleted  bool
	Progress bool
}

// Store is the interface to the key-value service. Every call honours the
// context's deadline. Get of a missing key returns a Value with Revision zero and
// no error.
type Store interface {
	Get(ctx context.Context, key string) (Value, error)
	List(ctx context.Context, prefix string) ([]Value, error)
	CompareAndSwap(ctx context.Context, put Put) (Revision, error)
	// Delete removes the key if it has the given revision.
	Delete(ctx context.Context, key string, revision Revision) error
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease returns the remaining time to live, counted from the time before
	// the call was sent.
	RenewLease(ctx context.Context, lease LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch delivers the current values under the prefix, then a progress
	// notification (keys that were not delivered before it do not exist), then
	// every change, until the context ends or the connection is lost. Then it
	// closes the channel, and the caller opens a new watch after a backoff.
	Watch(ctx context.Context, prefix string) (<-chan Event, error)
}

// Resolve determines whether a write with an unknown result took effect. It
// returns the revision if it did, ErrConflict if the key holds another write,
// ErrNotApplied if the key is unchanged, and ErrUnknown if it cannot be read.
//
// After ErrConflict, the write can no longer take effect, but it may have been
// applied before the other one. After ErrNotApplied, it may still arrive. The
// caller must therefore read the key again before it bases a new write on the old
// revision.
func Resolve(ctx context.Context, s Store, put Put) (Revision, error) {
	current, err := s.Get(ctx, put.Key)
	switch {
	case err != nil:
		return 0, errors.Join(ErrUnknown, err)
	case current.WriteID == put.WriteID:
		return current.Revision, nil
	case current.Revision == put.Revision:
		return 0, ErrNotApplied
	default:
		return 0, ErrConflict
	}
}
