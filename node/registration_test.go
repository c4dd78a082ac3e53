package node

import (
	"context"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

// Guards against processes that started at the same time and do not know each
// other, so that no change can spread between them when the store goes down.
// TestChangeSpreadsWithoutTheStore of package command showed it.
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
		t.Fatalf("first list %+v", first)
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
			t.Errorf("second list %+v", second)
		}
	case <-ctx.Done():
		t.Error("no list after the registration")
	}
}
