package controller

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// pendingConfig is the configuration write in flight. There is at most one.
type pendingConfig struct {
	reply    chan<- Response
	document *policy.Document
}

type (
	// ApplyConfig makes the document the successor of the base revision.
	ApplyConfig struct {
		Base     policy.Revision
		Document *policy.Document
	}
	// ValidateConfig validates a document as ApplyConfig does, without applying it.
	ValidateConfig struct{ Document *policy.Document }
)

// ConfigValid is the value of the response to ValidateConfig.
type ConfigValid struct {
	Revision policy.Revision `json:"revision"` // in force, zero if the site has no configuration
	Changes  []policy.Change `json:"changes"`  // compared with the document in force
}

// ConfigAccepted is the value of the response to ApplyConfig.
type ConfigAccepted struct {
	Revision policy.Revision `json:"revision"`
}

func (c ApplyConfig) execute(s *State, tick engine.Tick, r *Request) {
	if refusal, refused := s.checkConfig(c, tick.Now); refused {
		s.respond(r, refusal)
		return
	}
	base := s.configInForce()
	document := policy.Next(base, c.Document, r.Operator, tick.Now)
	document.Revision = max(document.Revision, s.View.RejectedConfigRevision+1)
	document.WriteID = fmt.Sprintf("%s/%d", s.View.Self.Incarnation, tick.Seq)
	s.configWrite = &pendingConfig{reply: r.Reply, document: document}
	s.Out.ConfigWrites.Add(WriteConfig{Base: base, Document: document, Revision: s.View.ConfigRevision})
}

func (c ValidateConfig) execute(s *State, tick engine.Tick, r *Request) {
	if err := s.validate(c.Document, tick.Now); err != nil {
		s.respond(r, Response{Status: StatusInvalid, Reason: "invalid-configuration", Detail: err.Error()})
		return
	}
	base := s.configInForce()
	changes := policy.Diff(base, c.Document)
	if changes == nil {
		changes = []policy.Change{}
	}
	s.respond(r, Response{Status: StatusDone, Value: ConfigValid{Revision: base.Revision, Changes: changes}})
}

// configInForce returns the configuration in force, or an empty document if the site
// has none.
func (s *State) configInForce() *policy.Document {
	if s.View.Config == nil {
		return &policy.Document{}
	}
	return s.View.Config
}

// validate checks the document by itself and against the live fleet.
func (s *State) validate(document *policy.Document, now time.Time) error {
	if err := policy.Validate(document); err != nil {
		return err
	}
	return policy.ValidateAgainstFleet(document, policy.FleetState{Now: now, PoolSizes: s.poolSizes()})
}

func (s *State) checkConfig(c ApplyConfig, now time.Time) (Response, bool) {
	current := s.View.Config
	switch {
	case !s.storeReachable(now):
		return Response{Status: StatusUnavailable, Reason: "store-unreachable", Detail: "the store is unreachable; nothing was changed"}, true
	case current == nil && c.Base != 0:
		return Response{Status: StatusConflict, Reason: "no-configuration", Detail: "the site has no configuration yet; the base revision must be 0"}, true
	case s.configWrite != nil:
		return Response{
			Status: StatusConflict, Reason: "config-changing",
			Detail: fmt.Sprintf("a change by %q is being written", s.configWrite.document.Author),
		}, true
	case current != nil && c.Base != current.Revision:
		return configConflict(c.Base, current), true
	case current != nil && s.View.ConfigRevision == 0:
		return Response{Status: StatusUnavailable, Reason: "store-behind", Detail: "the store has not shown the configuration in force yet; nothing was changed"}, true
	}
	if err := s.validate(c.Document, now); err != nil {
		return Response{Status: StatusInvalid, Reason: "invalid-configuration", Detail: err.Error()}, true
	}
	return Response{}, false
}

// configConflict is the response to a change whose base is no longer in force. It
// names the change that was applied before.
func configConflict(base policy.Revision, current *policy.Document) Response {
	return Response{
		Status: StatusConflict, Reason: "config-changed",
		Detail: fmt.Sprintf("the change is based on revision %d, but revision %d by %q (%q, %s) is in force",
			base, current.Revision, current.Author, current.Comment, current.AppliedAt.Format(time.RFC3339)),
	}
}

func (s *State) poolSizes() map[string]int {
	sizes := map[string]int{}
	for _, row := range s.tables().Workers.All() {
		sizes[row.Pool]++
	}
	return sizes
}

func (e ConfigWritten) apply(s *State, tick engine.Tick) {
	pending := s.configWrite
	s.configWrite = nil
	if pending == nil {
		return
	}
	response := Response{Status: StatusDone, Value: ConfigAccepted{Revision: e.Document.Revision}}
	switch e.Result.Status {
	case node.WriteCommitted:
		s.View.AdoptConfig(tick, e.Document, e.Result.Revision)
		s.View.Log(events.ConfigApplied, events.F("revision", e.Document.Revision), events.F("author", e.Document.Author))
	case node.WriteNotExecuted:
		response = Response{Status: StatusUnavailable, Reason: "store-unreachable", Detail: "the store did not take the change; nothing was changed"}
	case node.WriteUnknown:
		s.View.Log(events.StoreWriteUnknown, events.F("key", s.View.Keys.Config()), events.F("revision", e.Document.Revision), events.Err(e.Result.Err))
		response = Response{
			Status: StatusUnknown, Reason: "write-unknown",
			Detail: fmt.Sprintf("the change may still come into force as revision %d; read the configuration again before repeating it", e.Document.Revision),
		}
	case node.WriteConflicted:
		response = Response{
			Status: StatusConflict, Reason: "config-changed",
			Detail: "another operator's change came first; read the configuration again to see it",
		}
		if current := s.View.Config; current != nil && current.Revision >= e.Document.Revision && current.WriteID != e.Document.WriteID {
			response = configConflict(e.Document.Revision-1, current)
		}
	}
	s.Out.Responses.Add(SendResponse{Reply: pending.reply, Response: response})
}
