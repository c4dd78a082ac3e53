// Package quota lends parts of the teams' caps to partitions, so that the owners of the
// partitions, which are different processes, keep the caps together. The owner of the fleet
// decides on the reports of the partitions and writes one record, the allotment. An amount
// counts against the cap until a report shows that its partition obeys a lower one.
//
// The package does no I/O: records and results come in through methods, Systems run in
// each tick, and writes leave as outbound rows.
package quota

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// recordName is the name of the only record of kind KindAllotment.
const recordName = "teams"

// Report is what the owner of a partition last reported of the teams.
type Report struct {
	Partition  string
	Teams      map[string]work.TeamDemand
	Obeyed     int64
	Incomplete bool
	ReceivedAt time.Time
	revision   int64
}

// Ownership tells whether, and until when, this process owns the fleet.
type Ownership struct {
	Owned      bool
	Token      int64
	Since      time.Time
	ValidUntil time.Time
}

// State holds the reports of the partitions and the allotment.
type State struct {
	Ownership Ownership
	Duty      string // name of the duty that owns the fleet
	// Manifest is the manifest in force, or nil.
	Manifest *work.Manifest
	// Partitions are those whose owners start tasks, in ascending order; nil until known.
	Partitions []string

	Reports table.Table[Report]

	Writes    table.Outbound[ledger.Write]
	Logs      table.Outbound[events.Record]
	Counters  table.Outbound[CounterIncrement]
	NextWrite func() uint64

	reportByPartition table.Index[string]
	allotment         *work.Allotment
	revision          int64 // store revision of the allotment
	writeID           uint64
	written           *work.Allotment // content of the write in flight
	nextWrite         time.Time
	nextCheck         time.Time
	nextRestore       time.Time
	changed           bool // a decision may differ from the last one
}

// CounterIncrement adds Delta to a metrics counter.
type CounterIncrement struct {
	Name  string
	Delta int64
}

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "lend caps to partitions", Run: lendCaps},
}

func (s *State) log(event events.Event, fields ...events.Field) {
	s.Logs.Add(events.Record{Event: event, Fields: fields})
}

// SetManifest puts a manifest in force.
func (s *State) SetManifest(m *work.Manifest) { s.Manifest, s.changed = m, true }

// SetPartitions records the partitions whose owners start tasks.
func (s *State) SetPartitions(partitions []string) { s.Partitions, s.changed = partitions, true }

// ApplyAllotment records the stored allotment. Revisions that are not newer are ignored.
func (s *State) ApplyAllotment(record ledger.Record) {
	if a, ok := record.Content.(*work.Allotment); ok && record.Revision > s.revision {
		s.allotment, s.revision, s.changed = a, record.Revision, true
	}
}

// ApplyReport records the report of a partition's owner.
func (s *State) ApplyReport(now time.Time, record ledger.Record) {
	demand, ok := record.Content.(*work.Demand)
	if !ok {
		return
	}
	id, known := s.reportByPartition.Get(record.Key.Name)
	if !known {
		id = s.Reports.Insert(Report{Partition: record.Key.Name})
		s.reportByPartition.Put(record.Key.Name, id)
	}
	r := s.Reports.Get(id)
	if record.Revision <= r.revision {
		return
	}
	s.changed = s.changed || len(demand.Teams)+len(r.Teams) > 0 || r.Obeyed != demand.Obeyed
	*r = Report{Partition: r.Partition, Obeyed: demand.Obeyed, Incomplete: demand.Incomplete, ReceivedAt: now, revision: record.Revision}
	if len(demand.Teams) > 0 {
		r.Teams = make(map[string]work.TeamDemand, len(demand.Teams))
		for _, t := range demand.Teams {
			r.Teams[t.Team] = t
		}
	}
}

// WriteDone records the result of a write. It returns false for a write of another package.
func (s *State) WriteDone(now time.Time, result ledger.WriteResult) bool {
	if s.writeID == 0 || result.ID != s.writeID {
		return false
	}
	written := s.written
	s.writeID, s.written, s.changed = 0, nil, true
	if result.Outcome == ledger.Applied {
		s.ApplyAllotment(ledger.Record{Content: written, Revision: result.Revision})
		s.Counters.Add(CounterIncrement{Name: "allotments_written", Delta: 1})
		return true
	}
	s.nextWrite = now.Add(writeRetryDelay)
	for _, record := range result.Current {
		if record.Key.Kind == ledger.KindAllotment && !record.Deleted {
			s.ApplyAllotment(record)
		}
	}
	s.Counters.Add(CounterIncrement{Name: "allotments_not_written", Delta: 1})
	s.log(events.AllotmentNotSaved, events.F("outcome", result.Outcome.String()), events.Err(result.Err))
	return true
}
