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

// load is what the control loop of one process costs.
type load struct {
	core     float64            // share of a core, in percent, garbage collection included
	ticks    float64            // per second
	heap     float64            // of the state, in MB
	parts    map[string]float64 // share of a core by system and by kind of event, in percent
	sent     float64            // bytes per second of the peer exchange
	received float64
}

// repeats of a replay; the least value counts, because others use the machine.
const repeats = 3

const percent = 100

// replay measures the recorded ticks on new states.
func replay[S, E any](h *host[S, E], from time.Time, build func() *S, program engine.Program[S, E]) load {
	l := load{parts: map[string]float64{}}
	before := heap()
	first := 0
	for first < len(h.trace) && h.trace[first].at.Before(from) {
		first++
	}
	for i := range repeats {
		state := build()
		run(&program, state, h.trace[:first], 0)
		runtime.GC()
		cpu := processorTime()
		run(&program, state, h.trace[first:], first)
		runtime.GC() // the garbage belongs to the ticks
		if core := percent * float64(processorTime()-cpu) / float64(measured); i == 0 || core < l.core {
			l.core = core
		}
		l.heap = float64(heap()-before) / (1 << 20)
		runtime.KeepAlive(state)
	}
	l.ticks = float64(len(h.trace)-first) / measured.Seconds()
	l.sent, l.received = float64(h.traffic.sent)/measured.Seconds(), float64(h.traffic.received)/measured.Seconds()
	state := build()
	run(&program, state, h.trace[:first], 0)
	timed := timedProgram(program, l.parts)
	run(&timed, state, h.trace[first:], first)
	for name := range l.parts {
		l.parts[name] *= percent / float64(measured)
	}
	return l
}

func run[S, E any](program *engine.Program[S, E], state *S, trace []step[E], done int) {
	for i := range trace {
		program.Step(state, engine.Tick{Now: trace[i].at, Seq: uint64(done + i + 1)}, trace[i].events...)
	}
}

// timedProgram adds up the elapsed nanoseconds of each system and kind of event.
func timedProgram[S, E any](program engine.Program[S, E], parts map[string]float64) engine.Program[S, E] {
	timed := program
	timed.Apply = func(s *S, tick engine.Tick, event E) {
		start := time.Now()
		program.Apply(s, tick, event)
		parts["event "+kind(event)] += float64(time.Since(start))
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

// kind names an event; what I/O observed and job events name their content.
func kind(event any) string {
	value := reflect.ValueOf(event)
	if value.Kind() == reflect.Struct && value.NumField() == 1 && value.Field(0).Kind() == reflect.Interface {
		event = value.Field(0).Interface()
	}
	_, name, _ := strings.Cut(fmt.Sprintf("%T", event), ".")
	return name
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime is the time of this process on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // cannot fail with a valid pointer
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func drop[R any](out *table.Outbound[R]) { out.Drain(func(R) {}) }

func dropExchange(s *membership.State) {
	drop(&s.Sends)
	drop(&s.Replies)
	drop(&s.Fetches)
	drop(&s.Changes)
}

func replayGateway(s *site, g *gatewayHost) load {
	program := control.Program(func(st *control.State, _ engine.Tick) {
		st.Outbound.Snapshots.Drain(func(*traffic.Snapshot) {})
		drop(&st.Outbound.Homes)
		st.View.Logs.Drain(func(events.Record) {})
		dropExchange(st.Peers)
	})
	build := func() *control.State { return newGatewayState(g.identity, s.size.identity(0).PeerAddress) }
	return replay(&g.host, s.measuredFrom(), build, program)
}

func replayController(s *site, c *controllerHost) load {
	program := controller.Program(func(st *controller.State, _ engine.Tick) {
		out := &st.Out
		drop(&out.Claims)
		drop(&out.Releases)
		drop(&out.Loads)
		drop(&out.FleetWrites)
		drop(&out.ConfigWrites)
		drop(&out.Calls)
		drop(&out.WorkerPolls)
		drop(&out.TaskLists)
		drop(&out.Responses)
		dropJobs(&st.Jobs.Out)
		st.View.Logs.Drain(func(events.Record) {})
		dropExchange(st.Peers)
	})
	build := func() *controller.State { return newControllerState(c.identity, s.size.identity(0).PeerAddress) }
	return replay(&c.host, s.measuredFrom(), build, program)
}

func dropJobs(out *placement.Outbound) {
	drop(&out.Writes)
	drop(&out.Reads)
	drop(&out.Starts)
	drop(&out.Controls)
	drop(&out.Renewals)
	drop(&out.Replies)
}
