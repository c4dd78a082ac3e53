package main

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/gateway/control"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// loopCost is the cost of the control loop of one process.
type loopCost struct {
	corePercent       float64 // of a core, garbage collection included
	ticksPerSecond    float64
	heapMB            float64            // of the state
	partPercent       map[string]float64 // of a core, by system and by kind of event
	sentPerSecond     float64            // bytes of the peer exchange
	receivedPerSecond float64            // bytes of the peer exchange
}

// repeats of a replay. The lowest time counts, because other programs use the machine.
const repeats = 3

const percent = 100

// replay measures the recorded ticks on new states.
func replay[S, E any](h *host[S, E], from time.Time, build func() *S, program engine.Program[S, E]) loopCost {
	l := loopCost{partPercent: map[string]float64{}}
	before := heapBytes()
	first := 0
	for first < len(h.trace) && h.trace[first].at.Before(from) {
		first++
	}
	for i := range repeats {
		state := build()
		replayTicks(&program, state, h.trace[:first], 0)
		runtime.GC()
		cpu := processorTime()
		replayTicks(&program, state, h.trace[first:], first)
		runtime.GC() // count the collection of garbage that the ticks produced
		if core := percent * float64(processorTime()-cpu) / float64(measuredPeriod); i == 0 || core < l.corePercent {
			l.corePercent = core
		}
		l.heapMB = float64(heapBytes()-before) / (1 << 20)
		runtime.KeepAlive(state)
	}
	l.ticksPerSecond = float64(len(h.trace)-first) / measuredPeriod.Seconds()
	l.sentPerSecond, l.receivedPerSecond = float64(h.traffic.sent)/measuredPeriod.Seconds(), float64(h.traffic.received)/measuredPeriod.Seconds()
	state := build()
	replayTicks(&program, state, h.trace[:first], 0)
	timed := timedProgram(program, l.partPercent)
	replayTicks(&timed, state, h.trace[first:], first)
	for name := range l.partPercent {
		l.partPercent[name] *= percent / float64(measuredPeriod)
	}
	return l
}

func replayTicks[S, E any](program *engine.Program[S, E], state *S, trace []step[E], done int) {
	for i := range trace {
		program.Step(state, engine.Tick{Now: trace[i].at, Seq: uint64(done + i + 1)}, trace[i].events...)
	}
}

// timedProgram adds the elapsed nanoseconds of each system and kind of event to parts.
func timedProgram[S, E any](program engine.Program[S, E], parts map[string]float64) engine.Program[S, E] {
	timed := program
	timed.Apply = func(s *S, tick engine.Tick, event E) {
		start := time.Now()
		program.Apply(s, tick, event)
		parts["event "+eventName(event)] += float64(time.Since(start))
	}
	timed.Systems = make([]engine.System[S], len(program.Systems))
	for i, system := range program.Systems {
		timed.Systems[i] = engine.System[S]{Name: system.Name, Run: func(s *S, tick engine.Tick) {
			start := time.Now()
			system.Run(s, tick)
			parts[system.Name] += float64(time.Since(start))
		}}
	}
	return timed
}

// eventName returns the type name of an event. For an event that only wraps another
// one, it is the type name of the wrapped event.
func eventName(event any) string {
	value := reflect.ValueOf(event)
	if value.Kind() == reflect.Struct && value.NumField() == 1 && value.Field(0).Kind() == reflect.Interface {
		event = value.Field(0).Interface()
	}
	_, name, _ := strings.Cut(fmt.Sprintf("%T", event), ".")
	return name
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the processor time that this process used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // cannot fail with a valid pointer
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func discard[R any](out *table.Outbound[R]) { out.Drain(func(R) {}) }

func discardExchange(s *membership.State) {
	discard(&s.Sends)
	discard(&s.Replies)
	discard(&s.Fetches)
	discard(&s.Changes)
}

func replayGateway(s *site, g *gatewayHost) loopCost {
	program := control.Program(func(st *control.State, _ engine.Tick) {
		st.Outbound.Snapshots.Drain(func(*traffic.Snapshot) {})
		discard(&st.Outbound.Homes)
		st.View.Logs.Drain(func(events.Record) {})
		discardExchange(st.Peers)
	})
	build := func() *control.State { return newGatewayState(g.identity, s.size.identity(0).PeerAddress) }
	return replay(&g.host, s.measurementStart(), build, program)
}

func replayController(s *site, c *controllerHost) loopCost {
	program := controller.Program(func(st *controller.State, _ engine.Tick) {
		out := &st.Out
		discard(&out.Claims)
		discard(&out.Releases)
		discard(&out.Loads)
		discard(&out.FleetWrites)
		discard(&out.ConfigWrites)
		discard(&out.Calls)
		discard(&out.WorkerPolls)
		discard(&out.TaskLists)
		discard(&out.Responses)
		discardJobs(&st.Jobs.Out)
		st.View.Logs.Drain(func(events.Record) {})
		discardExchange(st.Peers)
	})
	build := func() *controller.State { return newControllerState(c.identity, s.size.identity(0).PeerAddress) }
	return replay(&c.host, s.measurementStart(), build, program)
}

func discardJobs(out *placement.Outbound) {
	discard(&out.Writes)
	discard(&out.Reads)
	discard(&out.Starts)
	discard(&out.Controls)
	discard(&out.Renewals)
	discard(&out.Replies)
}
