package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// The design size.
const (
	benchWorkers = 520
	benchPools   = 114
	benchTenants = 140
	benchJobs    = 10_000
)

// bench is a state at design size whose store and platform respond immediately.
type bench struct {
	state      *State
	program    engine.Program[State, Event]
	now        time.Time
	tickNumber uint64
	revisions  [PageCount]int64
	events     []Event
	running    []string
}

func newBench() *bench {
	names := make([]string, benchPools)
	for i := range names {
		names[i] = fmt.Sprintf("pool-%d", i)
	}
	doc := policy.Example(names...)
	doc.Defaults.Tenant.JobsPending = benchJobs
	var fleet []WorkerInfo
	for i := range benchWorkers {
		fleet = append(fleet, WorkerInfo{
			Name: fmt.Sprintf("w%d", i), Pool: names[i%benchPools], Rack: fmt.Sprintf("r%d", i/4),
			AvailabilityZone: fmt.Sprintf("z%d", i%11), Capacity: Resources{32_000, 64_000, 0}, Condition: ConditionAvailable,
		})
	}
	s := &bench{state: New(Config{Retention: time.Second}), program: Program(nil), now: clockStart}
	s.events = []Event{PolicyChanged{policy.Resolve(&doc, clockStart)}, Takeover{Epoch: 1}, FleetChanged{Workers: fleet, Complete: true}}
	s.tick()
	s.tick()
	for i := range benchJobs {
		s.events = append(s.events, Submitted{Spec: Spec{
			ID: fmt.Sprintf("job-%d", i), Tenant: fmt.Sprintf("tenant-%d", i%benchTenants), Pool: names[i%benchPools],
			Class: ClassQuick, Family: "f", Size: Resources{1000, 500, 0}, Idempotent: true,
		}})
	}
	for range 10 {
		s.tick()
	}
	return s
}

// tick runs the systems and turns their effects into the events of the next tick.
func (b *bench) tick() {
	b.tickNumber++
	b.now = b.now.Add(100 * time.Millisecond)
	events := b.events
	b.events = nil
	b.program.Step(b.state, engine.Tick{Now: b.now, Seq: b.tickNumber}, events...)
	out := &b.state.Out
	out.Writes.Drain(func(w WritePage) {
		b.revisions[w.Page.Index]++
		b.events = append(b.events, PageResult{w.Page.Index, w.WriteID, WriteCommitted, b.revisions[w.Page.Index]})
	})
	out.Starts.Drain(func(s StartTask) {
		b.running = append(b.running, s.Operation)
		b.events = append(b.events, StartResult{Operation: s.Operation, Result: CallDone})
	})
	out.Controls.Drain(func(c ControlTask) {
		b.events = append(b.events, ControlResult{c.Operation, c.Action, CallDone})
	})
	out.Replies.Drain(func(Reply) {})
	out.Renewals.Drain(func(RenewTasks) {})
}

// BenchmarkIdleTick measures a tick without changes.
func BenchmarkIdleTick(b *testing.B) {
	s := newBench()
	s.now = s.now.Add(time.Second)
	for b.Loop() {
		s.tickNumber++
		s.program.Step(s.state, engine.Tick{Now: s.now, Seq: s.tickNumber})
	}
	b.ReportMetric(float64(s.state.Counters.Starts), "running-jobs")
}

// BenchmarkSteadyTick measures a tick in which ten jobs complete and ten are submitted.
func BenchmarkSteadyTick(b *testing.B) {
	s := newBench()
	next := benchJobs
	for b.Loop() {
		report := TasksReported{ObservedAt: s.now.Add(-time.Hour)} // old: final statuses apply regardless of the age of the list
		if len(s.running) < 10 {
			b.Fatalf("%d jobs are running, want at least 10; counters %+v", len(s.running), s.state.Counters)
		}
		for _, operation := range s.running[:10] {
			report.Tasks = append(report.Tasks, TaskObservation{Operation: operation, Status: TaskDone, Used: Resources{500, 200, 0}})
		}
		s.running = s.running[10:]
		s.events = append(s.events, report)
		for range 10 {
			next++
			s.events = append(s.events, Submitted{Spec: Spec{
				ID: fmt.Sprintf("job-%d", next), Tenant: fmt.Sprintf("tenant-%d", next%benchTenants),
				Pool: fmt.Sprintf("pool-%d", next%benchPools), Class: ClassQuick, Family: "f", Size: Resources{1000, 500, 0}, Idempotent: true,
			}})
		}
		s.tick()
	}
}

// BenchmarkTaskReport measures the application of a list of all running tasks.
func BenchmarkTaskReport(b *testing.B) {
	s := newBench()
	for b.Loop() {
		report := TasksReported{ObservedAt: s.now}
		for _, operation := range s.running {
			report.Tasks = append(report.Tasks, TaskObservation{Operation: operation, Status: TaskRunning, Used: Resources{500, 200, 0}})
		}
		s.events = append(s.events, report)
		s.tick()
	}
	b.ReportMetric(float64(len(s.running)), "tasks")
}

// BenchmarkCancelWave measures the cancellation of all 10,000 jobs in one tick.
func BenchmarkCancelWave(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s := newBench()
		for i := range benchJobs {
			s.events = append(s.events, CancelRequested{Job: fmt.Sprintf("job-%d", i)})
		}
		b.StartTimer()
		s.tick()
	}
}
