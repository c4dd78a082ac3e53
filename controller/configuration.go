package controller

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// pendingConfig is the one configuration write under way.
type pendingConfig struct {
	reply    chan<- Response
	document *policy.Document
}

// ConfigAccepted is the value of the answer to ApplyConfig.
type ConfigAccepted struct {
	Revision policy.Revision `json:"revision"`
}

func (c ApplyConfig) execute(s *State, tick engine.Tick, r *Request) {
	if refusal, refused := s.checkConfig(c, tick.Now); refused {
		s.answer(r, refusal)
		return
	}
	base := s.View.Config
	if base == nil {
		base = &policy.Document{}
	}
	document := policy.Next(base, c.Document, r.Operator, tick.Now)
	document.WriteID = fmt.Sprintf("%s/%d", s.View.Self.Incarnation, tick.Seq)
	s.configWrite = &pendingConfig{reply: r.Reply, document: document}
	s.Out.Configs.Add(WriteConfig{Base: base, Document: document, Revision: s.View.ConfigRevision})
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
	live := policy.Live{Now: now, PoolSizes: s.poolSizes()}
	if err := policy.ValidateAgainst(c.Document, live); err != nil {
		return Response{Status: StatusInvalid, Reason: "invalid-configuration", Detail: err.Error()}, true
	}
	return Response{}, false
}

// configConflict names the change that came first.
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
	case node.WriteNotSent:
		response = Response{Status: StatusUnavailable, Reason: "store-unreachable", Detail: "the store did not take the change; nothing was changed"}
	case node.WriteConflicted:
		response = Response{
			Status: StatusConflict, Reason: "config-changed",
			Detail: "another operator's change came first; read the configuration again to see it",
		}
		if current := s.View.Config; current != nil && current.Revision >= e.Document.Revision && current.WriteID != e.Document.WriteID {
			response = configConflict(e.Document.Revision-1, current)
		}
	}
	s.Out.Answers.Add(Answer{Reply: pending.reply, Result: response})
}
