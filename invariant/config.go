package invariant

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

func (e ConfigStored) apply(s *State, tick engine.Tick) {
	doc := e.Document
	if s.stored != nil && doc.Revision < s.stored.Revision {
		s.report(ConfigReverted{"the store", s.stored.Revision, doc.Revision})
		return
	}
	s.noteConfig(configRow{revision: doc.Revision, writeID: doc.WriteID})
	if s.stored == nil || doc.Revision > s.stored.Revision {
		s.stored = doc
		s.putInForce(doc, tick.Now)
	}
}

func (e ConfigAccepted) apply(s *State, tick engine.Tick) {
	s.noteConfig(configRow{revision: e.Revision, writeID: e.WriteID, acceptedAt: tick.Now})
}

func (s *State) noteConfig(fresh configRow) {
	r := row(&s.configs, &s.configIndex, fresh.revision, fresh)
	if r.writeID == "" {
		r.writeID = fresh.writeID
	}
	if fresh.writeID != "" && r.writeID != fresh.writeID {
		s.report(ConfigRevisionConflict{fresh.revision, r.writeID, fresh.writeID})
	}
	if r.acceptedAt.IsZero() {
		r.acceptedAt = fresh.acceptedAt
	}
}

func (e ConfigReported) apply(s *State, tick engine.Tick) {
	key := [2]string{e.Reporter, e.Process}
	r := row(&s.reports, &s.reportIndex, key, reportRow{reporter: e.Reporter, process: e.Process})
	if e.Revision < r.revision {
		s.report(ConfigReverted{e.Process + " as reported by " + e.Reporter, r.revision, e.Revision})
	}
	r.revision = e.Revision
	if e.Suspected {
		return
	}
	p := row(&s.processes, &s.processIndex, e.Process, processRow{name: e.Process, liveSince: tick.Now})
	if !p.heardAt.IsZero() && tick.Now.Sub(p.heardAt) > reportSilence {
		p.liveSince = tick.Now
	}
	p.heardAt, p.held = tick.Now, max(p.held, e.Revision)
}

// checkInForce reports live processes that lack an accepted configuration for
// longer than InForceBound.
func checkInForce(s *State, tick engine.Tick) {
	var due policy.Revision
	var acceptedAt time.Time
	for _, config := range s.configs.All() {
		late := !config.acceptedAt.IsZero() && tick.Now.Sub(config.acceptedAt) > InForceDeadline
		if late && config.revision > due {
			due, acceptedAt = config.revision, config.acceptedAt
		}
	}
	for _, p := range s.processes.All() {
		live := tick.Now.Sub(p.heardAt) <= reportSilence && tick.Now.Sub(p.liveSince) > InForceDeadline
		if live && p.held < due && p.lateReported < due {
			p.lateReported = due
			s.report(ConfigOverdue{Process: p.name, Accepted: due, Revision: p.held, After: tick.Now.Sub(acceptedAt).String()})
		}
	}
}
