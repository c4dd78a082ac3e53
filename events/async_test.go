package events

import (
	"testing"
	"time"
)

// stalled is a reader that never reads.
type stalled struct{ release chan struct{} }

func (s stalled) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// Guards against a process that stands still because nobody reads its log, and
// against lines that are lost without a count.
func TestAsyncNeverBlocks(t *testing.T) {
	reader := stalled{make(chan struct{})}
	defer close(reader.release)
	a := NewAsyncWriter(reader)
	done := make(chan struct{})
	go func() {
		for range 3 * asyncLines {
			_, _ = a.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("writing to a log that nobody reads blocks")
	}
	if dropped := a.Dropped(); dropped < asyncLines {
		t.Errorf("%d lines count as dropped, want %d or more", dropped, asyncLines)
	}
}
