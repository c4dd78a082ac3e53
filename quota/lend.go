package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// writeInterval is the shortest interval between two versions of the allotment for each
	// begun bytesPerInterval of it: every process reads each version.
	writeInterval    = 100 * time.Millisecond
	bytesPerInterval = 32 << 10
	// writeRetryDelay is the delay after a write that was not applied or whose result is
	// unknown.
	writeRetryDelay = 150 * time.Millisecond
	// checkInterval is the longest interval between two decisions without a new report.
	checkInterval = time.Second
	// restoreInterval is the shortest interval between two decisions that give starting
	// amounts back to partitions that nobody waits in.
	restoreInterval = time.Second
	// waitingValidity is how long a report proves that tasks wait. Use is valid until the
	// next report.
	waitingValidity = 8 * time.Second
	// removalDelay is how long a partition that the manifest no longer has must be without
	// a report until nothing can run there: an owner reports every 4 s, stops 1.6 s after
	// its last renewal, and its runs end 5.1 s later.
	removalDelay = 20 * time.Second
	// maxDonors bounds the partitions that one version takes amounts from, since each of
	// them has to report that it obeys.
	maxDonors = 16
	// maxRecordBytes bounds the record, below the 256 KB of a value. A team takes up to
	// teamBytes beside its name, and a part up to partBytes, or pendingPartBytes while its
	// partition may not obey it yet.
	maxRecordBytes   = 240 << 10
	teamBytes        = 180
	partBytes        = 40
	pendingPartBytes = 100
)

// lendCaps decides on the amounts of all capped teams and writes those that change.
func lendCaps(s *State, tick engine.Tick) {
	if !s.mayDecide(tick.Now) {
		return
	}
	s.changed, s.nextCheck = false, tick.Now.Add(checkInterval)
	restore := !tick.Now.Before(s.nextRestore)
	if restore {
		s.nextRestore = tick.Now.Add(restoreInterval)
	}
	d := s.newDecision(tick.Now, restore)
	d.decide()
	if !d.changed {
		return
	}
	s.writeID, s.written = s.NextWrite(), d.next
	s.nextWrite = tick.Now.Add(writeInterval * time.Duration(1+recordBytes(d.next)/bytesPerInterval))
	key := ledger.Key{Kind: ledger.KindAllotment, Name: recordName}
	s.Writes.Add(ledger.Write{
		ID: s.writeID, NotAfter: s.Ownership.ValidUntil,
		Expect: []ledger.Condition{
			{Key: ledger.Key{Kind: ledger.KindOwner, Name: s.Duty}, Revision: s.Ownership.Token},
			{Key: key, Revision: s.revision},
		},
		Put: []ledger.Put{{Key: key, Content: d.next}},
	})
}

func (s *State) mayDecide(now time.Time) bool {
	if s.Manifest == nil || s.Partitions == nil || s.allotment == nil && !hasCaps(s.Manifest) {
		return false
	}
	if !s.Ownership.Owned || !now.Before(s.Ownership.ValidUntil) || s.writeID != 0 || now.Before(s.nextWrite) {
		return false
	}
	if s.allotment != nil && s.allotment.Manifest > s.Manifest.Version {
		return false // an earlier owner has decided by a newer manifest
	}
	return s.changed || !now.Before(s.nextCheck)
}

func isCapped(t *work.Team) bool { return t != nil && t.Cap != (placement.Resources{}) }

func hasCaps(m *work.Manifest) bool {
	return slices.ContainsFunc(m.Teams, func(t work.Team) bool { return isCapped(&t) })
}

// decision computes the next version of the allotment.
type decision struct {
	s       *State
	now     time.Time
	restore bool // give starting amounts back
	next    *work.Allotment
	reports []*Report       // by partition; nil without one
	gone    []bool          // by partition: the manifest has it no longer
	active  int             // partitions that are not gone
	waiting map[string]bool // teams of which tasks wait somewhere
	donors  map[int]bool
	changed bool
	bytes   int
}

func (s *State) newDecision(now time.Time, restore bool) *decision {
	d := &decision{s: s, now: now, restore: restore, donors: map[int]bool{}, waiting: map[string]bool{}}
	d.next = &work.Allotment{Revision: 1, Manifest: s.Manifest.Version, Partitions: slices.Clone(s.Partitions)}
	if old := s.allotment; old != nil {
		d.next.Revision = old.Revision + 1
		for _, partition := range old.Partitions {
			if _, present := slices.BinarySearch(s.Partitions, partition); !present && !s.isRemovable(now, partition) {
				d.next.Partitions = append(d.next.Partitions, partition)
			}
		}
		slices.Sort(d.next.Partitions)
		d.changed = !slices.Equal(old.Partitions, d.next.Partitions)
	}
	d.reports, d.gone = make([]*Report, len(d.next.Partitions)), make([]bool, len(d.next.Partitions))
	for i, partition := range d.next.Partitions {
		if id, ok := s.reportByPartition.Get(partition); ok {
			d.reports[i] = s.Reports.Get(id)
			for name, demand := range d.reports[i].Teams {
				if demand.Waiting != (placement.Resources{}) {
					d.waiting[name] = true
				}
			}
		}
		if _, present := slices.BinarySearch(s.Partitions, partition); !present {
			d.gone[i] = true
		} else {
			d.active++
		}
	}
	return d
}

// isRemovable reports whether nothing can run in a partition that the manifest no longer has.
func (s *State) isRemovable(now time.Time, partition string) bool {
	if now.Sub(s.Ownership.Since) < removalDelay {
		return false
	}
	id, ok := s.reportByPartition.Get(partition)
	return !ok || now.Sub(s.Reports.Get(id).ReceivedAt) >= removalDelay
}

func (d *decision) decide() {
	teams := map[string]placement.Resources{}
	for i := range d.s.Manifest.Teams {
		if t := &d.s.Manifest.Teams[i]; isCapped(t) {
			teams[t.Name] = t.Cap
		}
	}
	names := make([]string, 0, len(teams))
	for name := range teams {
		names = append(names, name)
	}
	if old := d.s.allotment; old != nil {
		d.bytes = recordBytes(old)
		for i := range old.Teams {
			if _, capped := teams[old.Teams[i].Team]; !capped {
				d.changed = true
			}
		}
	}
	slices.Sort(names)
	for _, name := range names {
		d.next.Teams = append(d.next.Teams, d.decideTeam(name, teams[name]))
	}
}

// decideTeam returns the next amounts of a team. A change that would make the record too
// large is left out, unless the team is new or its cap has changed.
func (d *decision) decideTeam(name string, limit placement.Resources) work.TeamAllotment {
	old := d.s.allotment.Team(name)
	if old != nil && old.Cap == limit && !d.waiting[name] && !d.isUnsettled(old) {
		return d.unchanged(old)
	}
	t := d.newTeamSheet(name, limit, old)
	before := slices.Clone(t.parts)
	required := t.adoptCap(old)
	changed := t.distribute(d.restore)
	if !required && !changed && old != nil {
		return d.unchanged(old)
	}
	next := work.TeamAllotment{Team: name, Cap: limit}
	next.Default, next.Parts = compress(t.parts)
	size := partsBytes(next.Parts)
	if old != nil {
		size -= partsBytes(old.Parts)
	}
	if !required && d.bytes+size > maxRecordBytes && size > 0 {
		d.s.Counters.Add(CounterIncrement{Name: "allotments_too_large", Delta: 1})
		return d.unchanged(old)
	}
	d.bytes += size
	d.changed = true
	d.logChanges(t, before)
	return next
}

// isUnsettled reports whether the amounts of a team may have to change although none of its
// tasks wait: a partition may not obey its amount yet, or is to get its starting amount back.
func (d *decision) isUnsettled(t *work.TeamAllotment) bool {
	start := work.StartingAmount(t.Cap, d.active)
	unsettled := func(p work.AllottedPart) bool {
		return p.Held != p.Amount || d.restore && !start.Fits(p.Amount)
	}
	return unsettled(t.Default) || slices.ContainsFunc(t.Parts, func(p work.PartitionPart) bool { return unsettled(p.AllottedPart) })
}

// unchanged returns the amounts of a team with the partitions of the next version.
func (d *decision) unchanged(old *work.TeamAllotment) work.TeamAllotment {
	if slices.Equal(d.s.allotment.Partitions, d.next.Partitions) {
		return *old
	}
	kept := work.TeamAllotment{Team: old.Team, Cap: old.Cap}
	kept.Default, kept.Parts = compress(d.carryParts(old))
	return kept
}

// carryParts returns the parts of a team by the partitions of the next version. A new
// partition has no part yet.
func (d *decision) carryParts(old *work.TeamAllotment) []work.AllottedPart {
	parts := make([]work.AllottedPart, len(d.next.Partitions))
	for i, partition := range d.next.Partitions {
		parts[i] = d.s.allotment.Part(old, partition)
	}
	return parts
}

// compress returns the most frequent part, and the partitions with another one.
func compress(parts []work.AllottedPart) (work.AllottedPart, []work.PartitionPart) {
	counts := map[work.AllottedPart]int{}
	var most work.AllottedPart
	for i, p := range parts {
		if p.Held == p.Amount { // it is obeyed in any case
			p.Lowered = 0
			parts[i] = p
		}
		if counts[p]++; counts[p] > counts[most] {
			most = p
		}
	}
	var others []work.PartitionPart
	for i, p := range parts {
		if p != most {
			others = append(others, work.PartitionPart{Partition: i, AllottedPart: p})
		}
	}
	return most, others
}

// recordBytes returns an upper bound of the stored size of an allotment.
func recordBytes(a *work.Allotment) int {
	size := teamBytes * (1 + len(a.Teams))
	for _, partition := range a.Partitions {
		size += len(partition) + 3
	}
	for i := range a.Teams {
		size += len(a.Teams[i].Team) + partsBytes(a.Teams[i].Parts)
	}
	return size
}

func partsBytes(parts []work.PartitionPart) int {
	size := 0
	for _, p := range parts {
		if size += partBytes; p.Held != p.Amount {
			size += pendingPartBytes - partBytes
		}
	}
	return size
}

// logChanges logs the parts of a team that change, those of the partitions that nobody uses
// in one record.
func (d *decision) logChanges(t *teamSheet, before []work.AllottedPart) {
	idle := 0
	for i, p := range t.parts {
		if p.Amount == before[i].Amount {
			continue
		}
		if t.use[i] == (placement.Resources{}) && t.waiting[i] == (placement.Resources{}) {
			idle++
			continue
		}
		fields := []events.Field{
			events.F("team", t.name), events.F("partition", d.next.Partitions[i]), events.F("revision", d.next.Revision),
			events.F("millicores", p.Amount.MilliCores), events.F("before", before[i].Amount.MilliCores), events.F("held", p.Held.MilliCores),
			events.F("used", t.use[i].MilliCores), events.F("waiting", t.waiting[i].MilliCores), events.F("cap", t.limit.MilliCores),
			events.F("memory_mb", p.Amount.MemoryMB), events.F("manifest", d.next.Manifest),
		}
		if r := d.reports[i]; r != nil {
			fields = append(fields, events.F("obeyed", r.Obeyed), events.F("report_age_ms", d.now.Sub(r.ReceivedAt).Milliseconds()))
		}
		d.s.log(events.AllotmentChanged, fields...)
	}
	if idle > 0 {
		d.s.log(events.AllotmentChanged, events.F("team", t.name), events.F("idle_partitions", idle), events.F("revision", d.next.Revision),
			events.F("cap", t.limit.MilliCores), events.F("manifest", d.next.Manifest))
	}
}

// byLargest orders indices by a value, largest first.
func byLargest(value func(int) int) func(a, b int) int {
	return func(a, b int) int { return cmp.Or(cmp.Compare(value(b), value(a)), cmp.Compare(a, b)) }
}
