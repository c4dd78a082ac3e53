package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// Lease TTLs by role.
const (
	// ControllerLeaseTTL limits how long the fleet has no active controller after
	// a controller crashes.
	ControllerLeaseTTL = 5 * time.Second
	// GatewayLeaseTTL limits how long the idempotency keys of a crashed gateway
	// have no home.
	GatewayLeaseTTL = 10 * time.Second
)

// Register writes the process's registration and attaches it to the lease. An
// I/O goroutine calls it after each grant, because the store deletes the keys of
// an expired lease.
func Register(ctx context.Context, s store.Store, keys Keys, self Identity, lease store.LeaseID) error {
	data, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := keys.Member(self.Incarnation)
	current, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	result := Write(ctx, s, store.Put{Key: key, Data: data, WriteID: NewWriteID(), Revision: current.Revision, Lease: lease})
	return result.Err
}

// ListMembers reads the registrations periodically and after each signal on
// registered, until the context ends. The read after the process's own
// registration ensures that, of two processes that start at the same time, the
// one that registers last discovers the other.
func ListMembers(ctx context.Context, s store.Store, keys Keys, interval time.Duration, registered <-chan struct{}, post Post) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		requestedAt := time.Now()
		callContext, cancel := context.WithTimeout(ctx, StoreCallTimeout)
		members, err := readMembers(callContext, s, keys)
		cancel()
		if post(ctx, MembersListed{Members: members, RequestedAt: requestedAt, Err: err}) != nil {
			return
		}
		timer.Reset(interval)
		select {
		case <-ctx.Done():
			return
		case <-registered:
		case <-timer.C:
		}
	}
}

func readMembers(ctx context.Context, s store.Store, keys Keys) ([]Identity, error) {
	values, err := s.List(ctx, keys.MembersPrefix())
	if err != nil {
		return nil, err
	}
	members := make([]Identity, 0, len(values))
	for i := range values {
		var member Identity
		if err := json.Unmarshal(values[i].Data, &member); err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return members, nil
}
