package events

import (
	"io"
	"sync/atomic"
)

// asyncLines is how many lines may wait for a slow reader.
const asyncLines = 4096

// AsyncWriter is a writer that never blocks: lines beyond its capacity are dropped
// and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter starts a goroutine that copies lines to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				a.dropped.Add(1) // nobody reads the log; there is no other place to say so
			}
		}
	}()
	return a
}

// Write queues a copy of the line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }
