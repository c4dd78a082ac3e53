package node

import (
	"context"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

// Guards against processes that start at the same time and do not discover each
// other, so that changes cannot propagate between them during a store outage. The
// fault was first seen in TestChangeSpreadsWithoutTheStore of package command.
func TestMembersAreListedAfterTheOwnRegistration(t *testing.T) {
	m := memory.New(memory.Options{})
	t.Cleanup(m.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	registered, lists := make(chan struct{}, 1), make(chan MembersListed)
	go ListMembers(ctx, m, NewKeys("dev"), time.Hour, registered, func(ctx context.Context, event Event) error {
		select {
		case lists <- event.(MembersListed):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	if first := <-lists; first.Err != nil || len(first.Members) != 0 {
		t.Fatalf("first list %+v, want no members", first)
	}
	for _, incarnation := range []string{"other", "self"} {
		if err := Register(ctx, m, NewKeys("dev"), Identity{Incarnation: incarnation}, 0); err != nil {
			t.Fatal(err)
		}
	}
	registered <- struct{}{}
	select {
	case second := <-lists:
		if second.Err != nil || len(second.Members) != 2 {
			t.Errorf("second list %+v, want 2 members", second)
		}
	case <-ctx.Done():
		t.Error("members were not listed after the registration")
	}
}
