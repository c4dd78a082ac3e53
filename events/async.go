package events

import (
	"io"
	"sync/atomic"
)

// asyncBufferLines is how many lines may wait for a slow reader.
const asyncBufferLines = 4096

// maxBatchBytes bounds the lines that are written together: an owner writes over a
// thousand lines a second at a peak, and each write is a call of the system. A pipe takes
// this much in one piece (PIPE_BUF); readers that take one piece at a time were seen to lose
// the rest of longer writes. A single line may be longer.
const maxBatchBytes = 4096

// AsyncWriter is an io.Writer that never blocks: lines that do not fit into its
// buffer are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer and starts the goroutine that writes its lines
// to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncBufferLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		var batch []byte
		lines := 0
		write := func() {
			if _, err := w.Write(batch); err != nil {
				a.dropped.Add(int64(lines)) // the log itself fails, so the error can only be counted
			}
			batch, lines = batch[:0], 0
		}
		for line := range a.lines {
			for ok := true; ok; line, ok = a.takeWaiting() {
				if lines > 0 && len(batch)+len(line) > maxBatchBytes {
					write()
				}
				batch, lines = append(batch, line...), lines+1
			}
			write()
		}
	}()
	return a
}

// takeWaiting returns a line if one is waiting.
func (a *AsyncWriter) takeWaiting() ([]byte, bool) {
	select {
	case line, ok := <-a.lines:
		return line, ok
	default:
		return nil, false
	}
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

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }
