package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// BenchmarkBusySecond measures one simulated second of decisions for a pool at
// peak load: workers with 32 cores, and jobs that fill them with tasks of 640 ms
// on 3 cores.
func BenchmarkBusySecond(b *testing.B) { benchmarkBusySecond(b, 0) }

// BenchmarkBusySecondWithTeams is BenchmarkBusySecond with 40 teams.
func BenchmarkBusySecondWithTeams(b *testing.B) { benchmarkBusySecond(b, 40) }

func benchmarkBusySecond(b *testing.B, teams int) {
	for _, workers := range []int{25, 80, 160} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			w := &simulation{}
			w.init(nil)
			w.s.Team = func(name string) *work.Team { return &work.Team{Name: name, Weight: 1} }
			for i := range workers {
				f := w.addWorker(fmt.Sprintf("w%d", i))
				f.Capacity = placement.Resources{MilliCores: 32000, MemoryMB: 64000}
				entry := f.Worker
				w.ledger.Revision++
				w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
			}
			w.runTime = 640 * time.Millisecond
			w.run(time.Second)
			jobs := 0
			second := func() {
				for range 20 {
					for range max(1, workers*15/13/20) {
						jobs++
						team := ""
						if teams > 0 {
							team = fmt.Sprintf("t%d", jobs%teams)
						}
						w.accept(&work.Job{
							ID: fmt.Sprintf("j%d", jobs), Team: team, Payload: "p", Limits: work.Limits{MaxFailures: 2, SlowdownFactor: 1.6, Latency: time.Second},
							Steps: []work.Step{{Count: 13, Size: placement.Resources{MilliCores: 3000, MemoryMB: 2000}, Estimate: 640 * time.Millisecond}},
						})
					}
					w.run(50 * time.Millisecond)
				}
			}
			second()
			b.ResetTimer()
			for b.Loop() {
				second()
			}
		})
	}
}
