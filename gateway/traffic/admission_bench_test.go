package traffic

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// attemptRecorder is a Performer that keeps only what the benchmark needs.
type attemptRecorder struct{ attempts []table.ID }

func (l *attemptRecorder) Send(send Send)  { l.attempts = append(l.attempts, send.Attempt) }
func (*attemptRecorder) Abort(table.ID)    {}
func (*attemptRecorder) Reply(Reply)       {}
func (*attemptRecorder) Discard(*Response) {}
func (*attemptRecorder) Report(Report)     {}
func (*attemptRecorder) Log(LogEntry)      {}

// BenchmarkAdmissionAndRouting measures one request from its arrival to its result
// in the systems of a shard, with the given number of requests queued.
func BenchmarkAdmissionAndRouting(b *testing.B) {
	for _, queued := range []int{0, 1000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) { benchmarkRequests(b, queued) })
	}
}

func benchmarkRequests(b *testing.B, queued int) {
	doc := policy.Example("orders", "spare")
	doc.Defaults.Tenant = policy.Tenant{RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6, Weight: 1}
	doc.Defaults.Pool.QueueLimit = 2000
	now := time.Now()
	snapshot := &Snapshot{Version: 1, Policy: policy.Resolve(&doc, now), FreshUntil: now.Add(1e6 * time.Hour), LiveGateways: 1}
	for i := range 9 {
		name := fmt.Sprintf("t%d", i)
		snapshot.Targets = append(snapshot.Targets, Target{Worker: name, Pool: "orders", Address: name, Usable: true, ServiceEpoch: 1})
	}
	var source atomic.Pointer[Snapshot]
	source.Store(snapshot)
	performer := &attemptRecorder{}
	state, program := NewState(Config{Source: &source}), Program(performer)
	response := &Response{StatusCode: 200}
	arrive := func(i int) {
		submission := &Submission{
			RequestID: "r", Pool: "orders", Tenant: snapshot.Targets[i%9].Worker, Class: routing.Class(i % 3),
			Timeout: 1e6 * time.Hour, Message: &Message{Method: "POST", Path: "/"},
		}
		program.Step(state, engine.Tick{Now: now}, &Arrived{Submission: submission})
	}
	for i := range queued + 72*min(1, queued) {
		arrive(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		arrive(i)
		attempt := performer.attempts[0]
		performer.attempts = performer.attempts[:copy(performer.attempts, performer.attempts[1:])]
		program.Step(state, engine.Tick{Now: now}, &Finished{Attempt: attempt, Status: ResponseReceived, Response: response})
	}
}
