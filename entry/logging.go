package entry

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
)

const (
	// logWindow and maxLinesPerEvent bound the volume of the log: one kind of
	// event may write so many lines in each window. A pool at its peak starts
	// about 150 runs a second.
	logWindow        = time.Second
	maxLinesPerEvent = 400
)

// logLimiter bounds the lines of each kind of event. It belongs to the control
// thread.
type logLimiter struct {
	log     *events.Logger
	since   time.Time
	lines   map[int]int
	dropped map[int]int
}

func newLogLimiter(log *events.Logger) *logLimiter {
	return &logLimiter{log: log, lines: map[int]int{}, dropped: map[int]int{}}
}

// write logs a record, unless its kind has used up its lines. It reports how
// many were dropped once the window ends.
func (l *logLimiter) write(at time.Time, record events.Record) {
	if at.Sub(l.since) >= logWindow {
		for number, n := range l.dropped {
			l.log.Log(events.LogsDropped, events.F("dropped_event", number), events.F("lines", n))
		}
		l.since = at
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
