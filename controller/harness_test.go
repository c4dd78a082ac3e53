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

// machine steps the control state of one controller without I/O.
type machine struct {
	t       *testing.T
	now     time.Time
	seq     uint64
	state   *State
	program engine.Program[State, Event]
	writes  []WriteConfig
	logs    []events.Record
}

var epochStart = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

func newMachine(t *testing.T) *machine {
	t.Helper()
	self := node.Identity{Incarnation: "c1", Role: node.RoleController, PeerAddress: "127.0.0.1:1", PublicAddress: "127.0.0.1:2"}
	m := &machine{t: t, now: epochStart, program: engine.Program[State, Event]{
		Apply:   func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems: Systems(),
	}}
	m.program.Flush = func(s *State, _ engine.Tick) {
		s.Out.ConfigWrites.Drain(func(e WriteConfig) { m.writes = append(m.writes, e) })
		s.Out.Responses.Drain(func(e SendResponse) { e.Reply <- e.Response })
		s.View.Logs.Drain(func(record events.Record) { m.logs = append(m.logs, record) })
	}
	m.state = NewState(node.NewView("dev", self), membership.New(membership.Options{Self: self.Member()}))
	return m
}

// step lets time pass and runs one tick.
func (m *machine) step(passed time.Duration, arrived ...Event) {
	m.now = m.now.Add(passed)
	m.seq++
	m.program.Step(m.state, engine.Tick{Now: m.now, Seq: m.seq}, arrived...)
}

// storeAnswers confirms the watch now.
func (m *machine) storeAnswers() { m.step(0, Observed{node.StoreConfirmed{At: m.now}}) }

// sees delivers a document by the watch.
func (m *machine) sees(document *policy.Document, revision store.Revision) {
	m.step(0, Observed{node.ConfigSeen{Document: document, Revision: revision}})
}

// asks posts a command and returns where its answer arrives.
func (m *machine) asks(operator string, command Command) <-chan Response {
	reply := make(chan Response, 1)
	m.step(0, Requested{Request{Operator: operator, Command: command, Reply: reply}})
	return reply
}

// answer returns the response that a tick gave.
func (m *machine) answer(reply <-chan Response) Response {
	m.t.Helper()
	select {
	case response := <-reply:
		return response
	default:
		m.t.Fatal("no answer")
		return Response{}
	}
}

// written ends the last configuration write.
func (m *machine) written(status node.WriteStatus, revision store.Revision) {
	m.t.Helper()
	if len(m.writes) == 0 {
		m.t.Fatal("no write was sent")
	}
	last := m.writes[len(m.writes)-1]
	m.step(0, ConfigWritten{Document: last.Document, Result: node.WriteResult{Status: status, Revision: revision}})
}

func (m *machine) wants(response Response, status Status, reason string) {
	m.t.Helper()
	if response.Status != status || response.Reason != reason {
		m.t.Fatalf("answer %+v, want status %d, reason %q", response, status, reason)
	}
}

func (m *machine) inForce() policy.Revision {
	if m.state.View.Config == nil {
		return 0
	}
	return m.state.View.Config.Revision
}

func (m *machine) logged(event events.Event) bool {
	for _, record := range m.logs {
		if record.Event == event {
			return true
		}
	}
	return false
}

// example is a valid document with the given comment.
func example(revision policy.Revision, comment string) *policy.Document {
	document := policy.Example("orders", "spare")
	document.Revision, document.Comment = revision, comment
	return &document
}

// fleetOf is a fleet document with workers of the pool orders.
func fleetOf(workers ...string) Event {
	document := &fleet.Document{Epoch: 1, Revision: 1}
	for _, id := range workers {
		document.Workers = append(document.Workers, fleet.Worker{ID: id, Pool: "orders", State: fleet.Serving, AvailabilityZone: "az1", Rack: "r1"})
	}
	return Observed{node.FleetSeen{Document: document, Revision: 1}}
}
