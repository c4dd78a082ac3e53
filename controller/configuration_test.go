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

// newConfiguredHarness returns a harness with a reachable store and configuration
// revision 1 in force.
func newConfiguredHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.confirmStore()
	h.observeConfig(exampleConfig(1, "first"), 10)
	return h
}

// Guards against a new site on which the first configuration cannot be applied.
func TestFirstConfiguration(t *testing.T) {
	h := newHarness(t)
	h.confirmStore()
	h.expect(h.response(h.send("alena", ApplyConfig{Base: 3, Document: exampleConfig(0, "")})), StatusConflict, "no-configuration")
	reply := h.send("alena", ApplyConfig{Base: 0, Document: exampleConfig(0, "")})
	if write := h.writes[0]; write.Revision != 0 || write.Document.Revision != 1 || write.Document.Author != "alena" || write.Document.WriteID == "" {
		t.Fatalf("write %+v, document %+v", write, write.Document)
	}
	h.completeWrite(node.WriteCommitted, 7)
	if response := h.response(reply); response.Status != StatusDone || response.Value != (ConfigAccepted{Revision: 1}) || h.revisionInForce() != 1 {
		t.Errorf("response %+v, in force %d", response, h.revisionInForce())
	}
}

// Guards against an operator who overwrites another operator's change, or whose
// conflict response does not name the change that was applied first.
func TestRacingOperators(t *testing.T) {
	h := newConfiguredHarness(t)
	first := h.send("alena", ApplyConfig{Base: 1, Document: exampleConfig(1, "alena's")})
	second := h.response(h.send("boris", ApplyConfig{Base: 1, Document: exampleConfig(1, "boris's")}))
	h.expect(second, StatusConflict, "config-changing")
	if !strings.Contains(second.Detail, "alena") {
		t.Errorf("detail %q does not name the other operator", second.Detail)
	}
	h.completeWrite(node.WriteCommitted, 11)
	h.expect(h.response(first), StatusDone, "")
	late := h.response(h.send("boris", ApplyConfig{Base: 1, Document: exampleConfig(1, "boris's")}))
	h.expect(late, StatusConflict, "config-changed")
	for _, want := range []string{"revision 2", "alena", "alena's"} {
		if !strings.Contains(late.Detail, want) {
			t.Errorf("detail %q does not name %q", late.Detail, want)
		}
	}
	if len(h.writes) != 1 {
		t.Errorf("%d writes, want 1", len(h.writes))
	}
}

// Guards against a lost write race with another controller that is reported as
// success, or without the author of the change that won.
func TestRaceThroughAnotherController(t *testing.T) {
	h := newConfiguredHarness(t)
	reply := h.send("alena", ApplyConfig{Base: 1, Document: exampleConfig(1, "alena's")})
	other := exampleConfig(2, "boris's")
	other.Author, other.WriteID = "boris", "c2/9"
	h.observeConfig(other, 11)
	h.completeWrite(node.WriteConflicted, 0)
	response := h.response(reply)
	h.expect(response, StatusConflict, "config-changed")
	if !strings.Contains(response.Detail, "boris") || h.revisionInForce() != 2 || h.state.View.Config.Author != "boris" {
		t.Errorf("detail %q, in force %+v", response.Detail, h.state.View.Config)
	}
}

// Guards against a write with unknown result that is reported as refused, although it
// may still take effect, and against one that takes effect late and blocks later
// changes.
func TestUnknownWriteResult(t *testing.T) {
	h := newConfiguredHarness(t)
	reply := h.send("alena", ApplyConfig{Base: 1, Document: exampleConfig(1, "alena's")})
	h.completeWrite(node.WriteUnknown, 0)
	response := h.response(reply)
	h.expect(response, StatusUnknown, "write-unknown")
	if !strings.Contains(response.Detail, "revision 2") || h.revisionInForce() != 1 || !h.logged(events.StoreWriteUnknown) {
		t.Errorf("detail %q, in force %d", response.Detail, h.revisionInForce())
	}
	h.observeConfig(h.writes[0].Document, 11) // the write takes effect after all
	if h.revisionInForce() != 2 {
		t.Fatalf("in force %d, want 2", h.revisionInForce())
	}
	next := h.send("alena", ApplyConfig{Base: 2, Document: exampleConfig(2, "next")})
	if write := h.writes[1]; write.Revision != 11 || write.Document.Revision != 3 {
		t.Errorf("write based on store revision %d gives %d", write.Revision, write.Document.Revision)
	}
	h.completeWrite(node.WriteCommitted, 12)
	h.expect(h.response(next), StatusDone, "")
}

// Guards against a change that takes effect in part while the store is unreachable.
func TestStoreDownAtAcceptance(t *testing.T) {
	h := newConfiguredHarness(t)
	reply := h.send("alena", ApplyConfig{Base: 1, Document: exampleConfig(1, "alena's")})
	h.completeWrite(node.WriteNotExecuted, 0)
	h.expect(h.response(reply), StatusUnavailable, "store-unreachable")
	h.step(maxWatchSilence) // the watch stays silent
	h.expect(h.response(h.send("alena", ApplyConfig{Base: 1, Document: exampleConfig(1, "again")})), StatusUnavailable, "store-unreachable")
	h.confirmStore()
	h.step(0, Observed{node.StoreLost{Err: store.ErrUnavailable}})
	h.expect(h.response(h.send("alena", ApplyConfig{Base: 1, Document: exampleConfig(1, "again")})), StatusUnavailable, "store-unreachable")
	if len(h.writes) != 1 || h.revisionInForce() != 1 {
		t.Errorf("%d writes, in force %d", len(h.writes), h.revisionInForce())
	}
}

// Guards against a change based on a revision that only peers have delivered: the
// store may still hold an older one.
func TestStoreBehindPeers(t *testing.T) {
	h := newConfiguredHarness(t)
	h.observeConfig(exampleConfig(2, "from a peer"), 0)
	h.expect(h.response(h.send("alena", ApplyConfig{Base: 2, Document: exampleConfig(2, "")})), StatusUnavailable, "store-behind")
	h.observeConfig(exampleConfig(2, "from a peer"), 12)
	h.send("alena", ApplyConfig{Base: 2, Document: exampleConfig(2, "")})
	if len(h.writes) != 1 || h.writes[0].Revision != 12 {
		t.Errorf("writes %+v", h.writes)
	}
}

// Guards against an accepted configuration that an older document replaces.
func TestLowerRevisionIsIgnored(t *testing.T) {
	h := newConfiguredHarness(t)
	h.observeConfig(exampleConfig(5, "fifth"), 15)
	h.observeConfig(exampleConfig(4, "late"), 14)
	if h.revisionInForce() != 5 || h.state.View.Policy.Revision() != 5 || h.state.View.ConfigRevision != 15 || !h.logged(events.ConfigOlder) {
		t.Errorf("in force %d, store revision %d", h.revisionInForce(), h.state.View.ConfigRevision)
	}
}

// Guards against an invalid document in the store that comes into force or that
// operators cannot replace.
func TestInvalidDocumentInStore(t *testing.T) {
	h := newConfiguredHarness(t)
	broken := exampleConfig(7, "broken")
	broken.Defaults.Pool.MinServingShare = 2
	h.observeConfig(broken, 17)
	if h.revisionInForce() != 1 || !h.logged(events.ConfigRejected) {
		t.Fatalf("in force %d", h.revisionInForce())
	}
	reply := h.send("alena", ApplyConfig{Base: 1, Document: exampleConfig(1, "repaired")})
	if write := h.writes[0]; write.Revision != 17 || write.Document.Revision != 8 {
		t.Fatalf("write based on store revision %d gives %d, want 17 and 8", write.Revision, write.Document.Revision)
	}
	h.completeWrite(node.WriteCommitted, 18)
	h.expect(h.response(reply), StatusDone, "")
}

// Guards against an exception that still applies after its expiry.
func TestExpiryOfAnExceptionResolvesThePolicy(t *testing.T) {
	h := newHarness(t)
	h.confirmStore()
	document := exampleConfig(1, "sale")
	document.Exceptions = []policy.Exception{{
		Scope: "pool/orders", Field: "queue_limit", Value: 9, Reason: "sale", Expires: h.now.Add(time.Hour),
	}}
	h.observeConfig(document, 10)
	limit := func() int { pool, _ := h.state.View.Policy.Pool("orders"); return pool.QueueLimit }
	h.step(time.Hour - time.Second)
	if limit() != 9 {
		t.Fatalf("limit %d before the expiry", limit())
	}
	h.step(time.Second)
	if limit() != 1000 {
		t.Errorf("limit %d after the expiry, want the default 1000", limit())
	}
}

// Guards against accepting documents with values that are out of range or do not fit
// the live fleet.
func TestInvalidChangesAreRefused(t *testing.T) {
	h := newConfiguredHarness(t)
	h.step(0, fleetSeen("w1", "w2"))
	tooHigh := exampleConfig(1, "")
	tooHigh.Exceptions = []policy.Exception{{Scope: "pool/orders", Field: "min_serving", Value: 3, Reason: "sale"}}
	negative := exampleConfig(1, "")
	negative.Site.CanaryWorkers = -1
	expired := exampleConfig(1, "")
	expired.Exceptions = []policy.Exception{{Scope: "pool/orders", Field: "min_serving", Value: 1, Reason: "sale", Expires: h.now}}
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
			response := h.response(h.send("alena", command))
			h.expect(response, StatusInvalid, "invalid-configuration")
			for _, want := range c.want {
				if !strings.Contains(response.Detail, want) {
					t.Errorf("%T: detail %q does not name %q", command, response.Detail, want)
				}
			}
		}
	}
	if len(h.writes) != 0 || h.revisionInForce() != 1 {
		t.Errorf("%d writes, in force %d", len(h.writes), h.revisionInForce())
	}
}

// Guards against a validation that writes the document and against a rollback that
// lowers the revision.
func TestRollbackRaisesTheRevision(t *testing.T) {
	h := newConfiguredHarness(t)
	changed := exampleConfig(1, "wider")
	changed.Site.CanaryWorkers = 4
	valid := h.response(h.send("", ValidateConfig{Document: changed}))
	if report, ok := valid.Value.(ConfigValid); !ok || len(report.Changes) != 1 || report.Revision != 1 || len(h.writes) != 0 {
		t.Fatalf("validation: %+v, %d writes", valid, len(h.writes))
	}
	h.send("alena", ApplyConfig{Base: 1, Document: changed})
	h.completeWrite(node.WriteCommitted, 11)
	rollback := policy.Rollback(h.state.View.Config, exampleConfig(1, "first"), "alena", h.now)
	reply := h.send("alena", ApplyConfig{Base: 2, Document: rollback})
	h.completeWrite(node.WriteCommitted, 12)
	h.expect(h.response(reply), StatusDone, "")
	if h.revisionInForce() != 3 || h.state.View.Config.Site.CanaryWorkers != 1 || h.writes[1].Base.Revision != 2 {
		t.Errorf("in force %+v", h.state.View.Config)
	}
}
