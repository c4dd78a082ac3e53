// Package events defines the numbered log events and the logger that writes them.
// Each number has one fixed meaning; docs/events.md tells operators how to respond
// to it, and a test checks that both list the same events.
package events

import (
	"io"

	"github.com/phuslu/log"
)

// Event is a numbered log event.
type Event struct {
	Number  int
	Level   log.Level
	Message string
}

// Logger writes numbered events. The zero value is not usable; use New or Discard.
type Logger struct {
	logger *log.Logger
}

// New returns a logger that writes JSON lines with the process's name and
// incarnation.
func New(w io.Writer, level log.Level, process, incarnation string) *Logger {
	context := log.NewContext(nil).Str("process", process).Str("incarnation", incarnation).Value()
	return &Logger{logger: &log.Logger{
		Level:      level,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    context,
		Writer:     &log.IOWriter{Writer: w},
	}}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, log.PanicLevel, "", "") }

// Field is a key-value pair of an event.
type Field struct {
	Key   string
	Value any
}

// F returns a Field with the key and value.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Err returns the Field with the key "error".
func Err(err error) Field { return Field{Key: "error", Value: err} }

// Log writes the event as one line. Fields whose value is nil are left out.
func (l *Logger) Log(event Event, fields ...Field) {
	entry := l.logger.WithLevel(event.Level)
	if entry == nil {
		return
	}
	entry.Int("event", event.Number)
	for _, field := range fields {
		if field.Value == nil {
			continue
		}
		if err, ok := field.Value.(error); ok {
			entry.Str(field.Key, err.Error())
			continue
		}
		entry.Any(field.Key, field.Value)
	}
	entry.Msg(event.Message)
}

// Panic logs the violation of an invariant and panics with the event's message,
// which ends the process.
func (l *Logger) Panic(event Event, fields ...Field) {
	l.Log(event, fields...)
	panic(event.Message)
}

// Record is a log record of a system. Systems do no I/O: they add records to an
// outbound table, and the loop writes them after the tick.
type Record struct {
	Event  Event
	Fields []Field
}

// Write logs the record.
func (l *Logger) Write(record Record) { l.Log(record.Event, record.Fields...) }
