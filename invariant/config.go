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
	s.recordConfig(configRow{revision: doc.Revision, writeID: doc.WriteID})
	if s.stored == nil || doc.Revision > s.stored.Revision {
		s.stored = doc
		s.setInForce(doc, tick.Now)
	}
}

func (e ConfigAccepted) apply(s *State, tick engine.Tick) {
	s.recordConfig(configRow{revision: e.Revision, writeID: e.WriteID, acceptedAt: tick.Now})
}

func (s *State) recordConfig(initial configRow) {
	r := getOrInsert(&s.configs, &s.configIndex, initial.revision, initial)
	if r.writeID == "" {
		r.writeID = initial.writeID
	}
	if initial.writeID != "" && r.writeID != initial.writeID {
		s.report(ConfigRevisionConflict{initial.revision, r.writeID, initial.writeID})
	}
	if r.acceptedAt.IsZero() {
		r.acceptedAt = initial.acceptedAt
	}
}

func (e ConfigReported) apply(s *State, tick engine.Tick) {
	key := [2]string{e.Reporter, e.Process}
	r := getOrInsert(&s.reports, &s.reportIndex, key, reportRow{reporter: e.Reporter, process: e.Process})
	if e.Revision < r.revision {
		s.report(ConfigReverted{e.Process + " as reported by " + e.Reporter, r.revision, e.Revision})
	}
	r.revision = e.Revision
	if e.Suspected {
		return
	}
	p := getOrInsert(&s.processes, &s.processIndex, e.Process, processRow{name: e.Process, liveSince: tick.Now})
	if !p.reportedAt.IsZero() && tick.Now.Sub(p.reportedAt) > reportTimeout {
		p.liveSince = tick.Now
	}
	p.reportedAt, p.revision = tick.Now, max(p.revision, e.Revision)
}

// checkInForce reports live processes in which an accepted configuration is still
// not in force after InForceTimeout.
func checkInForce(s *State, tick engine.Tick) {
	var due policy.Revision
	var acceptedAt time.Time
	for _, config := range s.configs.All() {
		overdue := !config.acceptedAt.IsZero() && tick.Now.Sub(config.acceptedAt) > InForceTimeout
		if overdue && config.revision > due {
			due, acceptedAt = config.revision, config.acceptedAt
		}
	}
	for _, p := range s.processes.All() {
		live := tick.Now.Sub(p.reportedAt) <= reportTimeout && tick.Now.Sub(p.liveSince) > InForceTimeout
		if live && p.revision < due && p.overdueReported < due {
			p.overdueReported = due
			s.report(ConfigOverdue{Process: p.name, Accepted: due, Revision: p.revision, After: tick.Now.Sub(acceptedAt).String()})
		}
	}
}
