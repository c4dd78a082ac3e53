// Package engine runs systems over tables: it applies the events of a bounded
// inbox, runs the systems in their listed order, hands the outbound effects to
// I/O and sleeps until the next event or deadline.
//
// One goroutine executes a Loop and owns its state; no other goroutine may access
// the tables. Systems are deterministic and read the time only from their Tick.
package engine

import (
	"context"
	"time"
)

// Tick is one pass over all systems. Now is read once per tick, so that all
// systems see the same time.
type Tick struct {
	Now time.Time
	Seq uint64
}

// System is one named step of a tick.
type System[S any] struct {
	Name string
	Run  func(*S, Tick)
}

// Program defines how a Loop processes events of type E on a state of type S.
type Program[S, E any] struct {
	// Apply records one event in the tables.
	Apply func(*S, Tick, E)
	// Systems run in this order in each tick.
	Systems []System[S]
	// Flush hands outbound effects to I/O goroutines and publishes snapshots.
	// It must not block.
	Flush func(*S, Tick)
	// NextDeadline returns the time of the next tick that is due even without an
	// event. The zero time means that there is none.
	NextDeadline func(*S) time.Time
}

// Step runs one tick with the given events. Tests call it with a fake time.
func (p *Program[S, E]) Step(state *S, tick Tick, events ...E) {
	for _, event := range events {
		p.Apply(state, tick, event)
	}
	p.RunSystems(state, tick)
}

// RunSystems runs the systems and Flush without applying events.
func (p *Program[S, E]) RunSystems(state *S, tick Tick) {
	p.runSystems(state, tick, func(int) {})
}

// runSystems calls ended with the position of each stage that has ended. Stage 0 is
// the application of events.
func (p *Program[S, E]) runSystems(state *S, tick Tick, ended func(stage int)) {
	for i := range p.Systems {
		p.Systems[i].Run(state, tick)
		ended(1 + i)
	}
	if p.Flush != nil {
		p.Flush(state, tick)
	}
	ended(1 + len(p.Systems))
}

// stages returns the names of the stages of a tick.
func (p *Program[S, E]) stages() []string {
	names := []string{"apply events"}
	for i := range p.Systems {
		names = append(names, p.Systems[i].Name)
	}
	return append(names, "perform effects")
}

// maxEventsPerTick bounds the number of events applied between two runs of the
// systems, so that a full inbox does not delay deadlines.
const maxEventsPerTick = 1024

// Loop executes a Program on one goroutine.
type Loop[S, E any] struct {
	program Program[S, E]
	state   *S
	inbox   chan E
	now     func() time.Time
	seq     uint64
	meter   loadMeter
	due     time.Time // deadline for which the timer is set, or zero
}

// NewLoop returns a loop whose inbox holds at most inboxSize events.
func NewLoop[S, E any](program Program[S, E], state *S, inboxSize int) *Loop[S, E] {
	return &Loop[S, E]{
		program: program, state: state, inbox: make(chan E, inboxSize), now: time.Now, meter: newLoadMeter(program.stages()),
	}
}

// Post adds an event to the inbox and blocks while the inbox is full. It returns
// the context's error if the context ends first; the event is then dropped.
func (l *Loop[S, E]) Post(ctx context.Context, event E) error {
	select {
	case l.inbox <- event:
		return nil
	default:
	}
	select {
	case l.inbox <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPost adds an event to the inbox, or returns false if the inbox is full.
func (l *Loop[S, E]) TryPost(event E) bool {
	select {
	case l.inbox <- event:
		return true
	default:
		return false
	}
}

// Run executes ticks until the context ends. The first tick runs immediately, so
// that systems can start periodic work.
func (l *Loop[S, E]) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.inbox:
			l.tick(event, true)
		case <-timer.C:
			var none E
			l.tick(none, false)
		}
		l.resetTimer(timer)
	}
}

func (l *Loop[S, E]) tick(first E, hasEvent bool) {
	l.seq++
	tick := Tick{Now: l.now(), Seq: l.seq}
	var late time.Duration
	if !l.due.IsZero() {
		late = max(0, tick.Now.Sub(l.due))
	}
	l.meter.tickBegins(l.seq, late)
	applied := 0
	if hasEvent {
		l.program.Apply(l.state, tick, first)
		applied = 1 + l.applyQueued(tick)
	}
	l.meter.eventsApplied(applied)
	l.program.runSystems(l.state, tick, l.meter.stageEnds)
	l.meter.tickEnds()
}

// applyQueued applies the waiting events and returns their number.
func (l *Loop[S, E]) applyQueued(tick Tick) int {
	for applied := range maxEventsPerTick - 1 {
		select {
		case event := <-l.inbox:
			l.program.Apply(l.state, tick, event)
		default:
			return applied
		}
	}
	return maxEventsPerTick - 1
}

// TakeLoad returns the work since the last call. Only code that the loop calls may use
// it.
func (l *Loop[S, E]) TakeLoad() Load { return l.meter.take() }

func (l *Loop[S, E]) resetTimer(timer *time.Timer) {
	deadline := l.program.NextDeadline(l.state)
	l.due = deadline
	if deadline.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, deadline.Sub(l.now())))
}
