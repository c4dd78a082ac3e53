package entry

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
)

const (
	// loadReportInterval is the interval between two reports of the process's load.
	loadReportInterval = 5 * time.Second
	// reportedStages is how many stages of a tick, those that took most time, a report
	// names.
	reportedStages = 6
)

// loadReporter reports how much processor time the process and its control loop take,
// and what the loop spends it on. Only the control thread may use it.
type loadReporter struct {
	lastAt      time.Time
	lastCPU     time.Duration
	lastVisited uint64
}

// report logs the load since the last report once loadReportInterval has passed.
func (r *loadReporter) report(p *Process, s *State, tick engine.Tick) {
	if r.lastAt.IsZero() {
		r.lastAt = tick.Now
	}
	elapsed := tick.Now.Sub(r.lastAt)
	if elapsed < loadReportInterval {
		return
	}
	load := p.loop.TakeLoad()
	cpu, visited := processorTime(), s.Dispatch.RowsVisited()
	backlog := s.Dispatch.Backlog(tick.Now)
	p.log.Log(events.LoadReported,
		events.F("period_ms", elapsed.Milliseconds()), events.F("cpu_ms", (cpu-r.lastCPU).Milliseconds()), events.F("millicores", p.settings.Millicores),
		events.F("loop_ms", load.Busy.Milliseconds()), events.F("longest_ms", load.Longest.Milliseconds()), events.F("late_ms", load.MaxLate.Milliseconds()),
		events.F("ticks", load.Ticks), events.F("events", load.Events), events.F("max_events", load.MaxQueued),
		events.F("rows_visited", visited-r.lastVisited), events.F("stages", busiestStages(load.Stages)),
		events.F("pools", strings.Join(s.ownedDuties(), ",")), events.F("jobs", s.Dispatch.Jobs.Len()), events.F("runs", s.Dispatch.Runs.Len()),
		events.F("ready_tasks", backlog.Tasks), events.F("late_tasks", backlog.LateTasks), events.F("oldest_ready_ms", backlog.Oldest.Milliseconds()),
		events.F("mirrored_jobs", s.Mirror.Jobs.Len()))
	p.counters.add("loop_ticks", int64(load.Ticks))
	p.counters.add("loop_events", int64(load.Events))
	p.counters.add("loop_busy_us", load.Busy.Microseconds())
	p.counters.add("loop_rows_visited", int64(visited-r.lastVisited))
	p.timers.record("loop_longest_tick", load.Longest)
	r.lastAt, r.lastCPU, r.lastVisited = tick.Now, cpu, visited
}

// busiestStages formats the stages that took most time, in milliseconds.
func busiestStages(stages []engine.StageLoad) string {
	slices.SortFunc(stages, func(a, b engine.StageLoad) int { return cmp.Compare(b.Time, a.Time) })
	named := make([]string, 0, reportedStages)
	for _, stage := range stages[:min(len(stages), reportedStages)] {
		named = append(named, fmt.Sprintf("%s %d", stage.Name, stage.Time.Milliseconds()))
	}
	return strings.Join(named, ", ")
}

// processorTime returns the processor time that the process has used, or 0 if the
// system does not tell.
func processorTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ownedDuties returns the names of the duties whose owner record names this process.
func (s *State) ownedDuties() []string {
	var owned []string
	for _, d := range s.Ownership.Duties.All() {
		if s.Ownership.IsRecordedOwner(d.Name) {
			owned = append(owned, d.Name)
		}
	}
	return owned
}
