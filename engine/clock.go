package engine

import "time"

// SetClock replaces the clock that sets Tick.Now. It must be called before Run.
func (l *Loop[S, E]) SetClock(now func() time.Time) { l.now = now }
