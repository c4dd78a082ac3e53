package entry

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
)

const (
	// maxLinesPerEvent is the number of lines that one kind of event may write
	// per logWindow. It bounds the log volume: a pool at its peak starts about
	// 150 runs per second.
	logWindow        = time.Second
	maxLinesPerEvent = 400
)

// logLimiter limits the log lines per kind of event. Only the control thread may
// use it.
type logLimiter struct {
	log         *events.Logger
	windowStart time.Time
	lines       map[int]int
	dropped     map[int]int
}

func newLogLimiter(log *events.Logger) *logLimiter {
	return &logLimiter{log: log, lines: map[int]int{}, dropped: map[int]int{}}
}

// write logs a record unless its kind has reached the limit of the current
// window. The first record after a window logs how many lines were dropped in it.
func (l *logLimiter) write(at time.Time, record events.Record) {
	if at.Sub(l.windowStart) >= logWindow {
		for number, n := range l.dropped {
			l.log.Log(events.LogsDropped, events.F("dropped_event", number), events.F("lines", n))
		}
		l.windowStart = at
		clear(l.lines)
		clear(l.dropped)
	}
	l.lines[record.Event.Number]++
	if l.lines[record.Event.Number] > maxLinesPerEvent {
		l.dropped[record.Event.Number]++
		return
	}
	l.log.Write(record)
}
