package controller

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// harness runs the control state of one controller without I/O, one tick at a time.
type harness struct {
	t       *testing.T
	now     time.Time
	seq     uint64
	state   *State
	program engine.Program[State, Event]
	writes  []WriteConfig
	logs    []events.Record
}

var harnessStart = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

func newHarness(t *testing.T) *harness {
	t.Helper()
	self := node.Identity{Incarnation: "c1", Role: node.RoleController, PeerAddress: "127.0.0.1:1", PublicAddress: "127.0.0.1:2"}
	h := &harness{t: t, now: harnessStart, program: engine.Program[State, Event]{
		Apply:   func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems: Systems(),
	}}
	h.program.Flush = func(s *State, _ engine.Tick) {
		s.Out.ConfigWrites.Drain(func(e WriteConfig) { h.writes = append(h.writes, e) })
		s.Out.Responses.Drain(func(e SendResponse) { e.Reply <- e.Response })
		s.View.Logs.Drain(func(record events.Record) { h.logs = append(h.logs, record) })
	}
	h.state = NewState(node.NewView("dev", self), membership.New(membership.Options{Self: self.Member()}))
	return h
}

// step advances the clock and runs one tick.
func (h *harness) step(elapsed time.Duration, events ...Event) {
	h.now = h.now.Add(elapsed)
	h.seq++
	h.program.Step(h.state, engine.Tick{Now: h.now, Seq: h.seq}, events...)
}

// confirmStore confirms the store watch at the current time.
func (h *harness) confirmStore() { h.step(0, Observed{node.StoreConfirmed{At: h.now}}) }

// observeConfig delivers a configuration document as the store watch does.
func (h *harness) observeConfig(document *policy.Document, revision store.Revision) {
	h.step(0, Observed{node.ConfigSeen{Document: document, Revision: revision}})
}

// send posts a command and returns the channel of its response.
func (h *harness) send(operator string, command Command) <-chan Response {
	reply := make(chan Response, 1)
	h.step(0, Requested{Request{Operator: operator, Command: command, Reply: reply}})
	return reply
}

// response returns the response that was delivered.
func (h *harness) response(reply <-chan Response) Response {
	h.t.Helper()
	select {
	case response := <-reply:
		return response
	default:
		h.t.Fatal("no response was delivered")
		return Response{}
	}
}

// completeWrite reports the result of the last configuration write.
func (h *harness) completeWrite(status node.WriteStatus, revision store.Revision) {
	h.t.Helper()
	if len(h.writes) == 0 {
		h.t.Fatal("no configuration write was sent")
	}
	last := h.writes[len(h.writes)-1]
	h.step(0, ConfigWritten{Document: last.Document, Result: node.WriteResult{Status: status, Revision: revision}})
}

func (h *harness) expect(response Response, status Status, reason string) {
	h.t.Helper()
	if response.Status != status || response.Reason != reason {
		h.t.Fatalf("response %+v, want status %d, reason %q", response, status, reason)
	}
}

func (h *harness) revisionInForce() policy.Revision {
	if h.state.View.Config == nil {
		return 0
	}
	return h.state.View.Config.Revision
}

func (h *harness) logged(event events.Event) bool {
	for _, record := range h.logs {
		if record.Event == event {
			return true
		}
	}
	return false
}

// exampleConfig returns a valid document with the given comment.
func exampleConfig(revision policy.Revision, comment string) *policy.Document {
	document := policy.Example("orders", "spare")
	document.Revision, document.Comment = revision, comment
	return &document
}

// fleetSeen returns the event of a fleet document with serving workers of the pool
// orders.
func fleetSeen(workers ...string) Event {
	document := &fleet.Document{Epoch: 1, Revision: 1}
	for _, id := range workers {
		document.Workers = append(document.Workers, fleet.Worker{ID: id, Pool: "orders", State: fleet.Serving, AvailabilityZone: "az1", Rack: "r1"})
	}
	return Observed{node.FleetSeen{Document: document, Revision: 1}}
}
