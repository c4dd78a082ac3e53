package node

import (
	"context"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

// lateStore retains a write instead of executing it, and reports its result as
// unknown.
type lateStore struct {
	store.Store
	held store.Put
}

func (l *lateStore) CompareAndSwap(_ context.Context, put store.Put) (store.Revision, error) {
	l.held = put
	return 0, store.ErrUnknown
}

// Guards against reporting a write that may still arrive as a conflict, and
// against reporting a certain conflict as unknown.
func TestWriteResolvesUnknownResults(t *testing.T) {
	m := memory.New(memory.Options{})
	t.Cleanup(m.Close)
	ctx := context.Background()
	put := store.Put{Key: "config", Data: []byte("1"), WriteID: "own"}

	late := &lateStore{Store: m}
	if result := Write(ctx, late, put); result.Status != WriteUnknown {
		t.Fatalf("delayed write: status %d, error %v, want unknown", result.Status, result.Err)
	}
	if _, err := m.CompareAndSwap(ctx, late.held); err != nil {
		t.Fatalf("executing the delayed write: %v", err)
	}

	m.SetFaults(memory.Faults{LoseNextAnswers: 1})
	current, _ := m.Get(ctx, "config")
	result := Write(ctx, m, store.Put{Key: "config", WriteID: "second", Revision: current.Revision})
	if result.Status != WriteCommitted || result.Revision == 0 {
		t.Errorf("applied write with a lost response: status %d, error %v, want committed", result.Status, result.Err)
	}
	if result := Write(ctx, late, store.Put{Key: "config", WriteID: "third", Revision: current.Revision}); result.Status != WriteConflicted {
		t.Errorf("write based on an old revision: status %d, error %v, want conflicted", result.Status, result.Err)
	}
	m.SetFaults(memory.Faults{Down: true})
	if result := Write(ctx, m, put); result.Status != WriteNotExecuted {
		t.Errorf("store down: status %d, error %v, want not executed", result.Status, result.Err)
	}
}

// Guards against reporting an unresolved write as not executed when the process
// stops before the store responds.
func TestWriteThatIsNeverResolvedStaysUnknown(t *testing.T) {
	m := memory.New(memory.Options{})
	t.Cleanup(m.Close)
	m.SetFaults(memory.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	result := Write(ctx, &lateStore{Store: m}, store.Put{Key: "config", WriteID: "own"})
	if result.Status != WriteUnknown {
		t.Errorf("status %d, %v, want unknown", result.Status, result.Err)
	}
}
