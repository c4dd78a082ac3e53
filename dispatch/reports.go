package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Reports of a pool's demand to the owner of the fleet. A report without an answer may be
// stored seconds later, so each one names the revision of the report that it replaces: once
// any report is stored, those that were sent before can't be any more. See
// docs/design/late-writes.md.
const (
	// urgentReportInterval is the shortest interval between two reports while
	// the pool lacks machines. It is short because a machine takes 1.5 s to
	// arrive, while a phase of the load lasts only about 8 s.
	urgentReportInterval = 80 * time.Millisecond
	// reportInterval is the shortest interval otherwise; each report has a cost.
	reportInterval = 400 * time.Millisecond
	// demandCheckInterval is the shortest interval between two computations of the
	// demand, which visit all workers of the pool: events come far more often at a
	// peak, and the computed demand hardly changes with one of them.
	demandCheckInterval = 20 * time.Millisecond
	// maxReportInterval is the longest interval between two reports, so that the
	// owner of the fleet can tell an unchanged demand from a lost pool owner.
	maxReportInterval = 4 * time.Second
	// releaseReportInterval is the shortest interval between two reports that
	// release more machines. It is short because another pool may lack them.
	releaseReportInterval = 160 * time.Millisecond
	// maxReclaimed bounds the conditions of a report, so that it stays within
	// the 32 entries of a store transaction.
	maxReclaimed = 24
	// maxReportsInFlight bounds the reports of a pool without an answer. Further ones are
	// sent meanwhile only if they are urgent.
	maxReportsInFlight = 4
	// maxReportsInDoubt bounds those whose call has ended without an answer and that may still
	// be stored. One that is forgotten is not recognized if it is.
	maxReportsInDoubt = 16
)

// sentReport is a report that may be stored.
type sentReport struct {
	write    uint64
	replaces int64 // revision of the report that it replaces; 0 for none
	demand   work.Demand
	// reclaimed are the workers that it takes back. No move was planned for their machines
	// when it is stored.
	reclaimed []table.ID
	inFlight  bool // its call has not ended
}

// storedReport is the stored report of a pool, as far as this process knows.
type storedReport struct {
	revision int64 // 0 without a report
	// seen is the highest revision at which the record was seen to have changed.
	seen int64
}

// releasesVoided reports whether the workers that an earlier owner released may
// be used again. This owner's first report voids those releases, and the local
// copy of the store must have reached it to contain every move that was planned
// before.
func (s *State) releasesVoided(p *Pool) bool {
	return p.firstReportRevision != 0 && s.Mirror.Revision >= p.firstReportRevision
}

// reportDemand reports to the owner of the fleet how many machines each pool
// needs and which workers it releases.
func reportDemand(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.mayOrder(p, tick.Now) || tick.Now.Before(p.demandRetryAt) || tick.Now.Before(p.demandAt.Add(urgentReportInterval)) ||
			tick.Now.Before(p.demandCheckedAt.Add(demandCheckInterval)) || p.reportsInFlight() >= maxReportsInFlight {
			continue
		}
		p.demandCheckedAt = tick.Now
		if p.firstReportRevision == 0 {
			if p.reportsInFlight() == 0 {
				first := work.Demand{Need: minMachines, Have: minMachines}
				s.reportTeams(id, &first)
				s.writeDemand(tick.Now, id, first, nil)
			}
			continue
		}
		have := s.availableWorkers(tick.Now, id)
		s.updateForecast(tick.Now, p)
		demand := work.Demand{Need: s.machineNeed(tick.Now, p, have), Have: len(have), Expected: s.expectedMachines(tick.Now, p, have)}
		reclaim := s.adjustSurplus(tick.Now, p, have, max(demand.Need+spareMachines, demand.Expected))
		reclaim = s.keepForWaitingStages(tick, p, have, reclaim)
		for _, workerID := range have {
			if w := s.Workers.Get(workerID); w.surplus && w.holdsNothing() && w.Machine != "" && !slices.Contains(reclaim, workerID) {
				demand.Released = append(demand.Released, w.ID)
			}
		}
		s.reportTeams(id, &demand)
		if s.shouldReport(tick.Now, p, &demand, reclaim) {
			s.writeDemand(tick.Now, id, demand, reclaim)
		}
	}
}

// reportsInFlight returns how many reports of the pool have no answer and are not known to be
// void.
func (p *Pool) reportsInFlight() int {
	n := 0
	for i := range p.reports {
		if p.reports[i].inFlight {
			n++
		}
	}
	return n
}

// latestReport returns the last report in flight or, without one, the stored one.
func (p *Pool) latestReport() *sentReport {
	for i := len(p.reports) - 1; i >= 0; i-- {
		if p.reports[i].inFlight {
			return &p.reports[i]
		}
	}
	return &sentReport{demand: p.lastDemand}
}

func (s *State) shouldReport(now time.Time, p *Pool, demand *work.Demand, reclaim []table.ID) bool {
	latest := p.latestReport()
	old := &latest.demand
	reclaimsMore := slices.ContainsFunc(reclaim, func(id table.ID) bool { return !slices.Contains(latest.reclaimed, id) })
	if reclaimsMore || s.teamsUrgent(p, old, demand) || (demand.Need > demand.Have && demand.Need-demand.Have > old.Need-old.Have) ||
		(demand.Expected > demand.Have && demand.Expected-demand.Have > old.Expected-old.Have) {
		return true
	}
	if latest.inFlight {
		return false
	}
	if len(demand.Released) > len(old.Released) && !now.Before(p.demandAt.Add(releaseReportInterval)) {
		return true
	}
	if now.Before(p.demandAt.Add(reportInterval)) {
		return false
	}
	same := old.Have == demand.Have && (old.Need == demand.Need || max(old.Need, demand.Need) <= demand.Have) &&
		(old.Expected == demand.Expected || max(old.Expected, demand.Expected) <= demand.Have) &&
		slices.Equal(old.Released, demand.Released) && s.sameTeams(old, demand)
	return !same || !now.Before(p.demandAt.Add(maxReportInterval))
}

// writeDemand stores a report, on the condition that it replaces the stored one that this
// process knows of and that no move is planned for the machine of a reclaimed worker.
func (s *State) writeDemand(now time.Time, id table.ID, demand work.Demand, reclaim []table.ID) {
	p := s.Pools.Get(id)
	demand.Write = s.NextWrite()
	report := sentReport{write: demand.Write, replaces: s.storedReports[p.Name].revision, demand: demand, reclaimed: slices.Clone(reclaim), inFlight: true}
	p.demandAt, p.reports = now, append(p.reports, report)
	s.pendingWrites[demand.Write] = pendingWrite{pool: id, isReport: true}
	key := ledger.Key{Kind: ledger.KindDemand, Name: p.Name}
	write := ledger.Write{
		ID: demand.Write, NotAfter: p.OwnedUntil,
		Expect: []ledger.Condition{
			{Key: ledger.Key{Kind: ledger.KindOwner, Name: p.Name}, Revision: p.Token},
			{Key: key, Revision: report.replaces},
		},
		Put: []ledger.Put{{Key: key, Content: &demand}},
	}
	for _, workerID := range reclaim {
		write.Expect = append(write.Expect, ledger.Condition{
			Key: ledger.Key{Kind: ledger.KindMachineMove, Name: s.Workers.Get(workerID).Machine},
		})
	}
	for _, name := range demand.Released { // the write may be applied even if its answer is lost
		if workerID, ok := s.workerByID.Get(name); ok {
			s.Workers.Get(workerID).released = true
		}
	}
	s.Out.Writes.Add(write)
	s.log(events.DemandReported, events.F("pool", p.Name), events.F("write", demand.Write), events.F("replaces", report.replaces),
		events.F("need", demand.Need), events.F("expected", demand.Expected), events.F("have", demand.Have),
		events.F("released", len(demand.Released)), events.F("reclaimed", len(reclaim)), events.F("unanswered", len(p.reports)-1),
		events.F("waiting_stages", p.ready.Len()), events.F("inflow_cores", int(p.workArrivalRate(now))))
}

// reportAnswered records the result of writing a report.
func (s *State) reportAnswered(now time.Time, id table.ID, result ledger.WriteResult) {
	p := s.Pools.Get(id)
	key := ledger.Key{Kind: ledger.KindDemand, Name: p.Name}
	at := slices.IndexFunc(p.reports, func(r sentReport) bool { return r.write == result.ID })
	if result.Outcome == ledger.Applied {
		if at >= 0 { // otherwise the local copy of the store has shown it, or a later one
			s.ApplyDemand(now, ledger.Record{Key: key, Revision: result.Revision, Content: &p.reports[at].demand})
		}
		return
	}
	if at >= 0 {
		p.demandRetryAt = now.Add(writeRetryDelay)
	}
	s.log(events.DemandNotSaved, events.F("pool", p.Name), events.F("write", result.ID), events.F("outcome", result.Outcome.String()), events.Err(result.Err))
	switch {
	case at < 0:
	case result.Outcome == ledger.Unknown:
		p.reports[at].inFlight = false
	default:
		p.reports = slices.Delete(p.reports, at, at+1)
	}
	if doubtful := len(p.reports) - p.reportsInFlight(); doubtful > maxReportsInDoubt {
		oldest := slices.IndexFunc(p.reports, func(r sentReport) bool { return !r.inFlight })
		p.reports = slices.Delete(p.reports, oldest, oldest+1)
	}
	for _, record := range result.Current {
		if before := s.storedReports[p.Name]; record.Key == key {
			s.ApplyDemand(now, record)
			if s.storedReports[p.Name] != before {
				p.demandRetryAt = now // only the revision was out of date
			}
		}
	}
}

// ApplyDemand records the stored report of a pool. Changes that are not newer are ignored.
func (s *State) ApplyDemand(now time.Time, record ledger.Record) {
	known := s.storedReports[record.Key.Name]
	switch {
	case record.Deleted && record.Revision == 0: // a conflict doesn't tell when it was deleted
		known.revision = 0
	case record.Revision <= known.seen:
		return
	case record.Deleted:
		known = storedReport{seen: record.Revision}
	default:
		known = storedReport{revision: record.Revision, seen: record.Revision}
	}
	s.storedReports[record.Key.Name] = known
	id, owned := s.poolByName.Get(record.Key.Name)
	if !owned {
		return
	}
	p := s.Pools.Get(id)
	if demand, ok := record.Content.(*work.Demand); ok && !record.Deleted && record.Revision > p.Token { // it is of this owner
		s.reportStored(now, p, demand, record.Revision)
	}
	p.reports = slices.DeleteFunc(p.reports, func(r sentReport) bool { return r.replaces != known.revision }) // they can't be stored any more
}

// reportStored records that a report of this owner is stored. The workers that it reclaims may
// be used again: no move of their machines was planned before, and none can be by an earlier
// report.
func (s *State) reportStored(now time.Time, p *Pool, demand *work.Demand, revision int64) {
	p.lastDemand = *demand
	at := slices.IndexFunc(p.reports, func(r sentReport) bool { return r.write == demand.Write })
	s.log(events.DemandStored, events.F("pool", p.Name), events.F("write", demand.Write), events.F("revision", revision),
		events.F("released", len(demand.Released)), events.F("recognized", at >= 0), events.F("after_ms", now.Sub(p.demandAt).Milliseconds()))
	if at < 0 {
		return
	}
	if p.firstReportRevision == 0 {
		p.firstReportRevision = revision
	}
	for _, id := range p.reports[at].reclaimed {
		if w := s.Workers.Get(id); w != nil && w.released && !slices.Contains(demand.Released, w.ID) {
			w.released, w.surplus, p.placementNeeded, p.contactsChanged = false, false, true, true
		}
	}
}
