package intake

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against a team that reads, cancels or is told to own the job of another team,
// which it can name since job IDs are chosen by clients.
func TestJobsOfOtherTeamsAreNotServed(t *testing.T) {
	h := newHarness()
	h.s.Mirror.Apply(h.now, ledger.Record{
		Key:     ledger.Key{Kind: ledger.KindJob, Name: "j"},
		Content: &work.Job{ID: "j", Team: "a", Steps: []work.Step{{Count: 1}}}, Revision: 5, CreateRevision: 5,
	})
	cases := []struct {
		verb Verb
		team string
		want Outcome
	}{
		{Submit, "a", Accepted},
		{Submit, "b", OtherTeam},
		{Status, "a", StateReturned},
		{Status, "b", OtherTeam},
		{Cancel, "b", OtherTeam},
		{Status, "", StateReturned}, // the queue has become public
	}
	for _, c := range cases {
		h.s.Receive(engine.Tick{Now: h.now}, Request{ID: 1, Verb: c.verb, Job: "j", Team: c.team, Spec: &work.Job{ID: "j", Team: c.team}})
		var got Outcome
		h.s.Replies.Drain(func(r Reply) { got = r.Outcome })
		if got != c.want {
			t.Errorf("%v by team %q gets %v, want %v", c.verb, c.team, got, c.want)
		}
	}
}
