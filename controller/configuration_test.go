package controller

import (
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// configured returns a machine with a reachable store and revision 1 in force.
func configured(t *testing.T) *machine {
	t.Helper()
	m := newMachine(t)
	m.storeAnswers()
	m.sees(example(1, "first"), 10)
	return m
}

// Guards against a site on which nobody can apply the first configuration.
func TestFirstConfiguration(t *testing.T) {
	m := newMachine(t)
	m.storeAnswers()
	m.wants(m.answer(m.asks("alena", ApplyConfig{Base: 3, Document: example(0, "")})), StatusConflict, "no-configuration")
	reply := m.asks("alena", ApplyConfig{Base: 0, Document: example(0, "")})
	if write := m.writes[0]; write.Revision != 0 || write.Document.Revision != 1 || write.Document.Author != "alena" || write.Document.WriteID == "" {
		t.Fatalf("write %+v, document %+v", write, write.Document)
	}
	m.written(node.WriteCommitted, 7)
	if response := m.answer(reply); response.Status != StatusDone || response.Value != (ConfigAccepted{Revision: 1}) || m.inForce() != 1 {
		t.Errorf("answer %+v, in force %d", response, m.inForce())
	}
}

// Guards against an operator who overwrites another one's change or who is not
// told whose change came first.
func TestRacingOperators(t *testing.T) {
	m := configured(t)
	first := m.asks("alena", ApplyConfig{Base: 1, Document: example(1, "alena's")})
	second := m.answer(m.asks("boris", ApplyConfig{Base: 1, Document: example(1, "boris's")}))
	m.wants(second, StatusConflict, "config-changing")
	if !strings.Contains(second.Detail, "alena") {
		t.Errorf("detail %q does not name the other operator", second.Detail)
	}
	m.written(node.WriteCommitted, 11)
	m.wants(m.answer(first), StatusDone, "")
	late := m.answer(m.asks("boris", ApplyConfig{Base: 1, Document: example(1, "boris's")}))
	m.wants(late, StatusConflict, "config-changed")
	for _, want := range []string{"revision 2", "alena", "alena's"} {
		if !strings.Contains(late.Detail, want) {
			t.Errorf("detail %q does not name %q", late.Detail, want)
		}
	}
	if len(m.writes) != 1 {
		t.Errorf("%d writes, want 1", len(m.writes))
	}
}

// Guards against a race through two controllers in which the loser is told that
// its change is in force, or not told who won.
func TestRaceThroughAnotherController(t *testing.T) {
	m := configured(t)
	reply := m.asks("alena", ApplyConfig{Base: 1, Document: example(1, "alena's")})
	other := example(2, "boris's")
	other.Author, other.WriteID = "boris", "c2/9"
	m.sees(other, 11)
	m.written(node.WriteConflicted, 0)
	response := m.answer(reply)
	m.wants(response, StatusConflict, "config-changed")
	if !strings.Contains(response.Detail, "boris") || m.inForce() != 2 || m.state.View.Config.Author != "boris" {
		t.Errorf("detail %q, in force %+v", response.Detail, m.state.View.Config)
	}
}

// Guards against a change that may still arrive and is reported as refused, and
// against one that arrives late and blocks its successors.
func TestUnknownWriteResult(t *testing.T) {
	m := configured(t)
	reply := m.asks("alena", ApplyConfig{Base: 1, Document: example(1, "alena's")})
	m.written(node.WriteUnknown, 0)
	response := m.answer(reply)
	m.wants(response, StatusUnknown, "write-unknown")
	if !strings.Contains(response.Detail, "revision 2") || m.inForce() != 1 || !m.logged(events.StoreWriteUnknown) {
		t.Errorf("detail %q, in force %d", response.Detail, m.inForce())
	}
	m.sees(m.writes[0].Document, 11) // arrives after all
	if m.inForce() != 2 {
		t.Fatalf("in force %d, want 2", m.inForce())
	}
	next := m.asks("alena", ApplyConfig{Base: 2, Document: example(2, "next")})
	if write := m.writes[1]; write.Revision != 11 || write.Document.Revision != 3 {
		t.Errorf("write based on store revision %d gives %d", write.Revision, write.Document.Revision)
	}
	m.written(node.WriteCommitted, 12)
	m.wants(m.answer(next), StatusDone, "")
}

// Guards against a change that is half accepted while the store is down.
func TestStoreDownAtAcceptance(t *testing.T) {
	m := configured(t)
	reply := m.asks("alena", ApplyConfig{Base: 1, Document: example(1, "alena's")})
	m.written(node.WriteNotSent, 0)
	m.wants(m.answer(reply), StatusUnavailable, "store-unreachable")
	m.step(maxWatchSilence) // the watch stays silent
	m.wants(m.answer(m.asks("alena", ApplyConfig{Base: 1, Document: example(1, "again")})), StatusUnavailable, "store-unreachable")
	m.storeAnswers()
	m.step(0, Observed{node.StoreLost{Err: store.ErrUnavailable}})
	m.wants(m.answer(m.asks("alena", ApplyConfig{Base: 1, Document: example(1, "again")})), StatusUnavailable, "store-unreachable")
	if len(m.writes) != 1 || m.inForce() != 1 {
		t.Errorf("%d writes, in force %d", len(m.writes), m.inForce())
	}
}

// Guards against a base that only peers have shown: the store's own value may be older.
func TestStoreBehindPeers(t *testing.T) {
	m := configured(t)
	m.sees(example(2, "from a peer"), 0)
	m.wants(m.answer(m.asks("alena", ApplyConfig{Base: 2, Document: example(2, "")})), StatusUnavailable, "store-behind")
	m.sees(example(2, "from a peer"), 12)
	m.asks("alena", ApplyConfig{Base: 2, Document: example(2, "")})
	if len(m.writes) != 1 || m.writes[0].Revision != 12 {
		t.Errorf("writes %+v", m.writes)
	}
}

// Guards against an accepted configuration that reverts.
func TestLowerRevisionIsIgnored(t *testing.T) {
	m := configured(t)
	m.sees(example(5, "fifth"), 15)
	m.sees(example(4, "late"), 14)
	if m.inForce() != 5 || m.state.View.Policy.Revision() != 5 || m.state.View.ConfigRevision != 15 || !m.logged(events.ConfigOlder) {
		t.Errorf("in force %d, store revision %d", m.inForce(), m.state.View.ConfigRevision)
	}
}

// Guards against an invalid document in the store that comes into force or that
// no operator can replace.
func TestInvalidDocumentInStore(t *testing.T) {
	m := configured(t)
	broken := example(7, "broken")
	broken.Defaults.Pool.MinServingShare = 2
	m.sees(broken, 17)
	if m.inForce() != 1 || !m.logged(events.ConfigRejected) {
		t.Fatalf("in force %d", m.inForce())
	}
	reply := m.asks("alena", ApplyConfig{Base: 1, Document: example(1, "repaired")})
	if write := m.writes[0]; write.Revision != 17 || write.Document.Revision != 8 {
		t.Fatalf("write based on store revision %d gives %d, want 17 and 8", write.Revision, write.Document.Revision)
	}
	m.written(node.WriteCommitted, 18)
	m.wants(m.answer(reply), StatusDone, "")
}

// Guards against an exception that outlives its expiry.
func TestExpiryOfAnExceptionResolvesThePolicy(t *testing.T) {
	m := newMachine(t)
	m.storeAnswers()
	document := example(1, "sale")
	document.Exceptions = []policy.Exception{{
		Scope: "pool/orders", Field: "queue_limit", Value: 9, Reason: "sale", Expires: m.now.Add(time.Hour),
	}}
	m.sees(document, 10)
	limit := func() int { pool, _ := m.state.View.Policy.Pool("orders"); return pool.QueueLimit }
	m.step(time.Hour - time.Second)
	if limit() != 9 {
		t.Fatalf("limit %d before the expiry", limit())
	}
	m.step(time.Second)
	if limit() != 1000 {
		t.Errorf("limit %d after the expiry, want the default 1000", limit())
	}
}

// Guards against documents that are out of range or do not fit the live fleet.
func TestInvalidChangesAreRefused(t *testing.T) {
	m := configured(t)
	m.step(0, fleetOf("w1", "w2"))
	tooHigh := example(1, "")
	tooHigh.Exceptions = []policy.Exception{{Scope: "pool/orders", Field: "min_serving", Value: 3, Reason: "sale"}}
	negative := example(1, "")
	negative.Site.CanaryWorkers = -1
	expired := example(1, "")
	expired.Exceptions = []policy.Exception{{Scope: "pool/orders", Field: "min_serving", Value: 1, Reason: "sale", Expires: m.now}}
	undeclared := policy.Example("ledger", "spare")
	for _, c := range []struct {
		document *policy.Document
		want     []string
	}{
		{tooHigh, []string{"exceptions[0].value", "3", "0 to 2"}},
		{negative, []string{"site.canary_workers", "-1", "from 1 to 10000"}},
		{expired, []string{"exceptions[0].expires"}},
		{&undeclared, []string{`"orders"`}},
	} {
		for _, command := range []Command{ApplyConfig{Base: 1, Document: c.document}, ValidateConfig{Document: c.document}} {
			response := m.answer(m.asks("alena", command))
			m.wants(response, StatusInvalid, "invalid-configuration")
			for _, want := range c.want {
				if !strings.Contains(response.Detail, want) {
					t.Errorf("%T: detail %q does not name %q", command, response.Detail, want)
				}
			}
		}
	}
	if len(m.writes) != 0 || m.inForce() != 1 {
		t.Errorf("%d writes, in force %d", len(m.writes), m.inForce())
	}
}

// Guards against a dry run that changes something and against a rollback that
// lowers the revision.
func TestRollbackRaisesTheRevision(t *testing.T) {
	m := configured(t)
	changed := example(1, "wider")
	changed.Site.CanaryWorkers = 4
	valid := m.answer(m.asks("", ValidateConfig{Document: changed}))
	if report, ok := valid.Value.(ConfigValid); !ok || len(report.Changes) != 1 || report.Revision != 1 || len(m.writes) != 0 {
		t.Fatalf("dry run: %+v, %d writes", valid, len(m.writes))
	}
	m.asks("alena", ApplyConfig{Base: 1, Document: changed})
	m.written(node.WriteCommitted, 11)
	back := policy.Rollback(m.state.View.Config, example(1, "first"), "alena", m.now)
	reply := m.asks("alena", ApplyConfig{Base: 2, Document: back})
	m.written(node.WriteCommitted, 12)
	m.wants(m.answer(reply), StatusDone, "")
	if m.inForce() != 3 || m.state.View.Config.Site.CanaryWorkers != 1 || m.writes[1].Base.Revision != 2 {
		t.Errorf("in force %+v", m.state.View.Config)
	}
}
