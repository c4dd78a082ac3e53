package traffic

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// rig drives one shard with a fake clock and records its effects.
type rig struct {
	t       *testing.T
	now     time.Time
	source  atomic.Pointer[Snapshot]
	state   *State
	program engine.Program[State, Event]
	count   int

	sends     []Send
	aborts    []table.ID
	replies   map[string]Result
	discarded int
	reports   []Report
	notices   []LogEntry
}

func (r *rig) Send(send Send)       { r.sends = append(r.sends, send) }
func (r *rig) Abort(id table.ID)    { r.aborts = append(r.aborts, id) }
func (r *rig) Discard(*Response)    { r.discarded++ }
func (r *rig) Report(report Report) { r.reports = append(r.reports, report) }
func (r *rig) Log(notice LogEntry)  { r.notices = append(r.notices, notice) }
func (r *rig) Reply(reply Reply) {
	if _, ok := r.replies[reply.Submission.RequestID]; ok {
		r.t.Errorf("%s is answered twice", reply.Submission.RequestID)
	}
	r.replies[reply.Submission.RequestID] = reply.Result
}

// newRig starts a shard with the given number of targets.
func newRig(t *testing.T, targets int, change func(*policy.Document)) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), replies: map[string]Result{}}
	doc := policy.Example("orders", "spare")
	if change != nil {
		change(&doc)
	}
	snapshot := &Snapshot{
		Version: 1, Policy: policy.Resolve(&doc, r.now), FreshUntil: r.now.Add(time.Hour), LiveGateways: 1, AvailabilityZone: "a",
	}
	for i := range targets {
		name := fmt.Sprintf("t%d", i)
		snapshot.Targets = append(snapshot.Targets, Target{
			Worker: name, Pool: "orders", Address: name, AvailabilityZone: "a", Usable: true, ServiceEpoch: 1,
		})
	}
	r.source.Store(snapshot)
	r.state = NewState(Config{Source: &r.source, Seed: 20261204})
	r.program = Program(r)
	r.step(Published{})
	return r
}

func (r *rig) step(events ...Event) {
	r.program.Step(r.state, engine.Tick{Now: r.now}, events...)
}

// publish puts a changed copy of the snapshot in force.
func (r *rig) publish(change func(*Snapshot)) {
	next := *r.source.Load()
	next.Version++
	next.Targets = append([]Target(nil), next.Targets...)
	change(&next)
	r.source.Store(&next)
	r.step(Published{})
}

// submit hands in a request and returns it. change may be nil.
func (r *rig) submit(change func(*Submission)) *Submission {
	r.count++
	submission := &Submission{
		RequestID: fmt.Sprintf("r%d", r.count), Pool: "orders", Tenant: "acme", Class: routing.Quick,
		Message: &Message{Method: "POST", Path: "/"},
	}
	if change != nil {
		change(submission)
	}
	r.step(&Arrived{Submission: submission})
	return submission
}

// advance moves the clock to the moment and runs what is due on the way.
func (r *rig) advance(d time.Duration) {
	end := r.now.Add(d)
	for {
		next := r.program.NextDeadline(r.state)
		if next.IsZero() || next.After(end) {
			break
		}
		if next.After(r.now) {
			r.now = next
		}
		r.step()
	}
	r.now = end
}

// end reports the ending of the i-th send.
func (r *rig) end(i int, ending AttemptStatus) {
	finished := &Finished{Attempt: r.sends[i].Attempt, Status: ending}
	if ending == ResponseReceived || ending == StreamStarted {
		finished.Response = &Response{StatusCode: 200, Body: []byte(r.sends[i].RequestID)}
	}
	r.step(finished)
}

func (r *rig) want(submission *Submission, kind outcome.Kind, reason outcome.Reason) {
	r.t.Helper()
	result, ok := r.replies[submission.RequestID]
	if want := (outcome.Outcome{Kind: kind, Reason: reason}); !ok || result.Outcome != want {
		r.t.Errorf("%s ended as %v %q (answered: %v), want %v %q",
			submission.RequestID, result.Outcome.Kind, result.Outcome.Reason, ok, kind, reason)
	}
}

// pending asserts that the request has no answer yet.
func (r *rig) pending(submission *Submission) {
	r.t.Helper()
	if result, ok := r.replies[submission.RequestID]; ok {
		r.t.Errorf("%s ended as %v, want no answer yet", submission.RequestID, result.Outcome)
	}
}

// soleHome makes the gateway the only home of all keys, since long ago.
func (r *rig) soleHome() {
	tracker := idempotency.NewTracker("gw")
	tracker.Observe(idempotency.InitialHomes(idempotency.Member{Incarnation: "gw", Address: "1"}), r.now)
	view := tracker.View(r.now.Add(time.Hour), nil)
	r.publish(func(s *Snapshot) { s.Keys = view })
}
