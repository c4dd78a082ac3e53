package events

import (
	"testing"
	"time"
)

// stalledWriter blocks each Write until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// Guards against a process that blocks because the reader of its log has stalled,
// and against dropped lines that are not counted.
func TestAsyncNeverBlocks(t *testing.T) {
	writer := stalledWriter{make(chan struct{})}
	defer close(writer.release)
	a := NewAsyncWriter(writer)
	done := make(chan struct{})
	go func() {
		for range 3 * asyncBufferLines {
			_, _ = a.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocked on a stalled writer")
	}
	if dropped := a.Dropped(); dropped < asyncBufferLines {
		t.Errorf("Dropped() = %d, want at least %d", dropped, asyncBufferLines)
	}
}
