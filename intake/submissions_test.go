package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// newTeamHarness returns a harness in which a team has outstanding work of 20 s at its cap of
// one core, of which 10 s are certain. Its jobs earn something up to a wait of 8 s.
func newTeamHarness() *harness {
	h := newHarness()
	h.s.Mirror.Synced = true
	m := &work.Manifest{Version: 1}
	m.SetTeams([]work.Team{{Name: "t", Weight: 1, Cap: placement.Resources{MilliCores: 1000}}})
	h.s.Admission.Load.Configure(m)
	h.step(0)
	for i := range 20 {
		h.s.Admission.Load.Hold(h.now, teamJob(fmt.Sprintf("held-%d", i)))
	}
	return h
}

func teamJob(id string) *work.Job {
	return &work.Job{
		ID: id, Queue: "q", Pool: "p", Team: "t", Limits: work.Limits{SlowdownFactor: 2, Latency: time.Second}, AcceptedAt: time.Unix(1000, 0),
		Steps: []work.Step{{Count: 1, Size: placement.Resources{MilliCores: 1000}, Estimate: time.Second}},
	}
}

func (h *harness) step(d time.Duration) {
	h.now = h.now.Add(d)
	tick := engine.Tick{Now: h.now}
	for _, system := range admission.Systems {
		system.Run(&h.s.Admission, tick)
	}
	h.tick(0)
}

func (h *harness) submit(id uint64, job string) {
	spec := teamJob(job)
	h.s.Receive(engine.Tick{Now: h.now}, Request{ID: id, Verb: Submit, Job: job, Queue: "q", Pool: "p", Team: "t", Spec: spec, Deadline: h.now.Add(3 * time.Second)})
}

// Guards against a caller whose answer was lost with its process, and who is told by the
// next process that the job which that one has stored was not accepted.
func TestRejectionWaitsForTheNextReadOfTheStore(t *testing.T) {
	h := newTeamHarness()
	h.submit(1, "stored-elsewhere")
	h.submit(2, "new")
	h.step(100 * time.Millisecond)
	if replies := h.replies(); len(replies) != 0 || len(h.writes()) != 0 {
		t.Fatalf("answered %+v before the next read", replies)
	}
	h.s.Mirror.Apply(h.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindJob, Name: "stored-elsewhere"}, Content: teamJob("stored-elsewhere"), Revision: 9, CreateRevision: 9})
	h.s.Mirror.ReadAt = h.now
	h.step(10 * time.Millisecond)
	replies := h.replies()
	if replies[1].Outcome != Accepted {
		t.Errorf("the stored job is answered %+v", replies[1])
	}
	if r := replies[2]; r.Outcome != NotAccepted || r.Reason != admission.TeamAtCap || r.RetryAfter < time.Second || r.RetryAfter > 4*time.Second || r.Inputs == nil {
		t.Errorf("the new job is answered %+v", r)
	}
	if h.s.Requests.Len() != 0 || h.s.submissions.Len() != 0 {
		t.Errorf("%d requests and %d submissions are left", h.s.Requests.Len(), h.s.submissions.Len())
	}
}

// Guards against submissions that are held until their deadline, or turned away on an old
// view, while the process does not read the store.
func TestSubmissionIsAcceptedWithoutANextRead(t *testing.T) {
	h := newTeamHarness()
	h.submit(1, "new")
	h.step(300 * time.Millisecond)
	if len(h.writes()) != 0 {
		t.Fatal("written before the bound")
	}
	h.step(150 * time.Millisecond)
	if writes := h.writes(); len(writes) != 1 || len(writes[0].Put) != 1 {
		t.Errorf("writes are %+v, want one with the job", writes)
	}
}

// Guards against a second try that is told "not accepted" while a write of the first may
// still store the job: with the first in flight, after its answer of 504, and after a write
// without a result.
func TestSecondTryIsNotCalledNotAcceptedWhileTheFirstMayBeStored(t *testing.T) {
	for _, outcome := range []ledger.Outcome{0, ledger.Unknown} {
		h := newTeamHarness()
		h.receive(1, Submit, "j") // without a team
		h.step(time.Millisecond)
		first := h.writes()
		if len(first) != 1 {
			t.Fatalf("writes are %+v", first)
		}
		h.submit(2, "j")
		h.step(time.Millisecond)
		h.s.Mirror.ReadAt = h.now
		h.step(500 * time.Millisecond)
		if r, answered := h.replies()[2]; answered {
			t.Fatalf("the second try is answered %+v while the first is in flight", r)
		}
		for _, w := range h.writes() { // the second try goes on its own, and is refused
			h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: w.ID, Outcome: ledger.Refused})
		}
		if outcome != 0 {
			h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: first[0].ID, Outcome: outcome})
		}
		h.step(2300 * time.Millisecond) // near the deadline
		replies := h.replies()
		if replies[1].Outcome != Unresolved || replies[2].Outcome != Unresolved {
			t.Errorf("outcome %v: the answers are %+v", outcome, replies)
		}
		h.s.Mirror.ReadAt = h.now
		h.submit(3, "j") // the first request has been answered, its write has not
		h.s.Mirror.ReadAt = h.now.Add(time.Millisecond)
		h.step(100 * time.Millisecond)
		if r, answered := h.replies()[3]; answered {
			t.Errorf("outcome %v: the third try is answered %+v", outcome, r)
		}
	}
}

// Guards against rows that stay after the requests of their jobs, so that clients make the
// process grow.
func TestSubmissionsAreForgotten(t *testing.T) {
	h := newTeamHarness()
	h.receive(1, Submit, "a")
	h.step(time.Millisecond)
	write := h.writes()[0]
	h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: write.ID, Outcome: ledger.Unknown})
	h.step(3 * time.Second)
	for range 3 { // further tries of the write
		for _, w := range h.writes() {
			h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: w.ID, Outcome: ledger.Refused})
		}
		h.step(time.Second)
	}
	if h.replies()[1].Outcome != Unresolved || h.s.submissions.Len() != 1 {
		t.Fatalf("%d submissions are kept, want the one in doubt", h.s.submissions.Len())
	}
	h.step(unknownWriteTime)
	if h.s.submissions.Len() != 0 || h.s.submissionByJob.Len() != 0 {
		t.Errorf("%d submissions are kept", h.s.submissions.Len())
	}
}

// Guards against refused or late jobs whose decision an operator can't find by their ID.
func TestDecisionsAreLoggedWithTheirInputs(t *testing.T) {
	for _, cores := range []int{1, 5} { // with five, the job is late, but worth doing
		h := newTeamHarness()
		for _, team := range h.s.Admission.Load.Teams.All() {
			team.Cap = cores * 1000
		}
		h.submit(1, "j")
		h.step(100 * time.Millisecond)
		for _, w := range h.writes() {
			h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: w.ID, Outcome: ledger.Applied, Revision: 9})
		}
		h.s.Mirror.ReadAt = h.now
		h.step(time.Millisecond)
		fields := map[string]any{}
		h.s.Logs.Drain(func(r events.Record) {
			for _, f := range r.Fields {
				fields[f.Key] = f.Value
			}
		})
		want := map[string]any{
			"job": "j", "outcome": "accepted", "team": "t", "weight": 1.0, "team_core_s": 20, "team_wait_ms": int64(4_000), "cap_wait_ms": int64(2_000), "worth_ms": int64(8_000),
			"slots": 0, "capacity_known": false, "view_age_ms": int64(0),
		}
		if cores == 1 {
			want["outcome"], want["reason"], want["view_age_ms"] = "not-accepted", "team-at-cap", int64(1)
			want["team_wait_ms"], want["cap_wait_ms"], want["slots"], want["room_in_ms"] = int64(20_000), int64(10_000), 4, int64(4_000)
		}
		for key, value := range want {
			if fields[key] != value {
				t.Errorf("%d cores: field %s is %v, want %v", cores, key, fields[key], value)
			}
		}
	}
}
