package node

import (
	"context"
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// Intervals of background reads.
const (
	// WorkerListInterval is half of the vouch period, so that one lost answer
	// does not make the view stale.
	WorkerListInterval = 2 * time.Second
	// MemberListInterval bounds how long a new process stays unknown to peers
	// that do not hear of it from others.
	MemberListInterval = 10 * time.Second
	platformTimeout    = 2 * time.Second
	minWatchBackoff    = 100 * time.Millisecond
	maxWatchBackoff    = 2 * time.Second
)

// Post hands an event to the control loop and blocks while its inbox is full.
type Post func(context.Context, Event) error

// WatchShared watches the shared prefix until the context ends and posts every
// value. After a loss it watches again with jittered backoff.
func WatchShared(ctx context.Context, s store.Store, keys Keys, post Post) {
	backoff := &store.Backoff{Base: minWatchBackoff, Max: maxWatchBackoff}
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
			// The key may have been deleted while the watch was lost.
			if !leaderSeen && post(ctx, LeaderSeen{}) != nil {
				return ctx.Err()
			}
		}
		event := watchEvent(keys, change)
		if event == nil {
			continue
		}
		if err := post(ctx, event); err != nil {
			return err
		}
	}
	return store.ErrUnavailable
}

// ListWorkers polls the platform's VM list until the context ends.
func ListWorkers(ctx context.Context, p infra.Platform, interval time.Duration, post Post) {
	for {
		asked := time.Now()
		callContext, cancel := context.WithTimeout(ctx, platformTimeout)
		workers, err := p.ListWorkers(callContext)
		cancel()
		if post(ctx, WorkersListed{Workers: workers, RequestedAt: asked, Err: err}) != nil || store.Sleep(ctx, interval) != nil {
			return
		}
	}
}
