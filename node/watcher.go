package node

import (
	"context"
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// Intervals of background reads.
const (
	// WorkerListInterval is half of membership.FleetViewTTL, so that one lost
	// response does not make the fleet view stale.
	WorkerListInterval = 2 * time.Second
	// MemberListInterval limits how long a new process stays unknown to peers that
	// do not learn of it from other peers.
	MemberListInterval = 10 * time.Second
	platformTimeout    = 2 * time.Second
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = 2 * time.Second
)

// Post passes an event to the control loop and blocks while its inbox is full.
type Post func(context.Context, Event) error

// WatchShared watches the shared prefix until the context ends and posts every
// change. When the watch is lost, it opens a new one after a jittered backoff.
func WatchShared(ctx context.Context, s store.Store, keys Keys, post Post) {
	backoff := &store.Backoff{Base: minBackoff, Max: maxBackoff}
	for ctx.Err() == nil {
		err := watchOnce(ctx, s, keys, post, backoff.Reset)
		if ctx.Err() != nil || post(ctx, StoreLost{Err: err}) != nil {
			return
		}
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

func watchOnce(ctx context.Context, s store.Store, keys Keys, post Post, connected func()) error {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, err := s.Watch(watchContext, keys.SharedPrefix())
	if err != nil {
		return err
	}
	leaderSeen, listed := false, false
	for change := range changes {
		connected()
		leaderSeen = leaderSeen || change.Value.Key == keys.Leader()
		if change.Progress && !listed {
			listed = true
			// The leader key may have been deleted while no watch was open.
			if !leaderSeen && post(ctx, LeaderSeen{}) != nil {
				return ctx.Err()
			}
		}
		event := decodeChange(keys, change)
		if event == nil {
			continue
		}
		if err := post(ctx, event); err != nil {
			return err
		}
	}
	return store.ErrUnavailable
}

// ListWorkers polls the platform's worker list until the context ends.
func ListWorkers(ctx context.Context, p infra.Platform, interval time.Duration, post Post) {
	for {
		requestedAt := time.Now()
		callContext, cancel := context.WithTimeout(ctx, platformTimeout)
		workers, err := p.ListWorkers(callContext)
		cancel()
		if post(ctx, WorkersListed{Workers: workers, RequestedAt: requestedAt, Err: err}) != nil || store.Sleep(ctx, interval) != nil {
			return
		}
	}
}
