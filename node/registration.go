package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// Lease times to live.
const (
	// ControllerLeaseTTL bounds how long a controller that vanished keeps the
	// fleet without control.
	ControllerLeaseTTL = 5 * time.Second
	// GatewayLeaseTTL bounds how long keys of a gateway that vanished have no home.
	GatewayLeaseTTL = 10 * time.Second
)

// Register writes the process's registration under its lease. It is called by
// an I/O goroutine after each grant, because the keys of an earlier lease vanish
// with it.
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

// ListMembers reads the registrations at an interval and after each signal of
// registered until the context ends. The read after the own registration makes
// sure that of two processes that start at the same time one learns of the
// other: whichever registers last.
func ListMembers(ctx context.Context, s store.Store, keys Keys, interval time.Duration, registered <-chan struct{}, post Post) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		callContext, cancel := context.WithTimeout(ctx, StoreCallTimeout)
		members, err := readMembers(callContext, s, keys)
		cancel()
		if post(ctx, MembersListed{Members: members, Err: err}) != nil {
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
