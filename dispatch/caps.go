package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// recomputeTimeout is how long tasks of a team wait, after its cap was lowered, until
	// the owner of the fleet has taken the use of all partitions into account. Without one,
	// the amounts lent are used in proportion.
	recomputeTimeout = 5 * time.Second
	// capWaitMemory is how long after the last placement that the cap prevented a team
	// counts as waiting. It exceeds placementRetryInterval.
	capWaitMemory = 500 * time.Millisecond
	// capUseDivisor divides a cap into the steps by which a change of the use is reported
	// without an urgent reason.
	capUseDivisor = 16
)

// TeamWait is a team of which tasks in a pool could start but for the team's cap.
type TeamWait struct {
	Pool   table.ID
	Team   string
	Since  time.Time
	SeenAt time.Time // last placement that the cap prevented
	// Size is that of the tasks that the free workers have room for.
	Size placement.Resources
	Use  placement.Resources // what the team used at that time
	// Next is what the first of them needs to start.
	Next placement.Resources
	// MilliCores are those of all waiting tasks.
	MilliCores int
}

// teamKey identifies a team in a pool.
type teamKey struct {
	pool table.ID
	team string
}

// poolCaps is what an owner knows of the caps in its pool.
type poolCaps struct {
	// inherited is the allotment when the jobs were loaded: earlier owners started nothing
	// beyond what it holds for the partition.
	inherited *work.Allotment
	// loweredAt holds, by team, when a cap was first seen that is below that of the
	// allotment.
	loweredAt map[string]time.Time
	// pending lists the teams of which the allotment pendingOf holds more than the amount of
	// this partition.
	pending   []pendingPart
	pendingOf *work.Allotment
	// The fields below are valid during one placement.
	limits     map[string]teamLimit
	unanswered placement.Resources // capacity of contacts that have not answered
	free       placement.Resources // on all candidates
}

// pendingPart is a lowered amount that the owner of the fleet waits for.
type pendingPart struct {
	team string
	work.AllottedPart
}

// teamLimit is what a team may use in a pool.
type teamLimit struct {
	cap, use, amount placement.Resources // a resource of cap that is 0 has no limit
	capped           bool
}

// SetTeams puts the teams of a manifest in force.
func (s *State) SetTeams(m *work.Manifest) {
	s.Team, s.ManifestVersion = m.Team, m.Version
	s.hasCaps = slices.ContainsFunc(m.Teams, func(t work.Team) bool { return t.Cap != (placement.Resources{}) })
}

// ApplyAllotment records the stored allotment. Revisions that are not newer are ignored.
func (s *State) ApplyAllotment(record ledger.Record) {
	a, ok := record.Content.(*work.Allotment)
	if !ok || record.Revision <= s.allotmentRevision {
		return
	}
	s.Allotment, s.allotmentRevision = a, record.Revision
	for _, p := range s.Pools.All() {
		p.placementNeeded = true
	}
}

// beginCaps prepares the caps for a placement in a pool.
func (s *State) beginCaps(p *Pool, candidates []candidate) {
	clear(p.caps.limits)
	p.caps.unanswered, p.caps.free = placement.Resources{}, placement.Resources{}
	if !s.hasCaps {
		return
	}
	p.caps.unanswered = s.unansweredCapacity(p)
	for i := range candidates {
		p.caps.free = p.caps.free.Add(candidates[i].free)
	}
}

// unlimited stands for a capacity that is not known.
const unlimited = 1 << 40

// unansweredCapacity returns the capacity of the contacts of earlier owners that have not
// answered, so that runs that this process does not know may exist there.
func (s *State) unansweredCapacity(p *Pool) placement.Resources {
	var sum placement.Resources
	if p.Reconciled {
		return sum
	}
	for _, contact := range p.Contacts {
		w := s.unansweredContact(contact)
		switch {
		case w == nil:
		case w.Capacity == (placement.Resources{}): // no longer in the registry
			sum = sum.Add(placement.Resources{MilliCores: unlimited, MemoryMB: unlimited, Accelerators: unlimited})
		default:
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

// teamUseBound returns what a team may use at most in a pool: its known runs and, until the
// pool is reconciled, those that workers without an answer may hold. An earlier owner
// started nothing beyond the amount held for the partition.
func (s *State) teamUseBound(p *Pool, team *work.Team, unanswered placement.Resources) placement.Resources {
	use := p.teamUse(team.Name)
	if unanswered == (placement.Resources{}) {
		return use
	}
	held := work.StartingAmount(team.Cap, s.PartitionCount)
	if t := p.caps.inherited.Team(team.Name); t != nil {
		held = p.caps.inherited.Part(t, p.Name).Held
	}
	return use.Add(smallestOf(unanswered, held))
}

// limitOf returns what a team may use in a pool and what it uses. The limit stays the same
// during one placement.
func (s *State) limitOf(now time.Time, p *Pool, name string) teamLimit {
	if limit, known := p.caps.limits[name]; known {
		if limit.capped {
			limit.use = s.teamUseBound(p, s.Team(name), p.caps.unanswered)
		}
		return limit
	}
	var limit teamLimit
	if team := s.Team(name); team != nil && team.Cap != (placement.Resources{}) {
		limit = teamLimit{capped: true, cap: team.Cap, amount: s.teamAmount(now, p, team)}
		limit.use = s.teamUseBound(p, team, p.caps.unanswered)
	}
	if p.caps.limits == nil {
		p.caps.limits = map[string]teamLimit{}
	}
	p.caps.limits[name] = limit
	return limit
}

// teamAmount returns the part of a team's cap that a pool may use. If the cap is lower than
// that of the allotment, it is none until the owner of the fleet has lowered the amounts,
// since more than the cap may run elsewhere, or the amount in proportion if that takes long.
func (s *State) teamAmount(now time.Time, p *Pool, team *work.Team) placement.Resources {
	start := work.StartingAmount(team.Cap, s.PartitionCount)
	t := s.Allotment.Team(team.Name)
	if t == nil {
		return start
	}
	part := s.Allotment.Part(t, p.Name)
	lowered := false
	inProportion := func(amount, now, before, start int) int {
		switch {
		case before == 0: // there was no limit
			return start
		case now == 0 || now >= before:
			return amount
		default:
			lowered = true
			return int(int64(amount) * int64(now) / int64(before))
		}
	}
	amount := placement.Resources{
		MilliCores:   inProportion(part.Amount.MilliCores, team.Cap.MilliCores, t.Cap.MilliCores, start.MilliCores),
		MemoryMB:     inProportion(part.Amount.MemoryMB, team.Cap.MemoryMB, t.Cap.MemoryMB, start.MemoryMB),
		Accelerators: inProportion(part.Amount.Accelerators, team.Cap.Accelerators, t.Cap.Accelerators, start.Accelerators),
	}
	if !lowered || s.Allotment.Manifest >= s.ManifestVersion { // decided by a newer manifest, whose cap is higher
		delete(p.caps.loweredAt, team.Name)
		return amount
	}
	since, known := p.caps.loweredAt[team.Name]
	if !known {
		if p.caps.loweredAt == nil {
			p.caps.loweredAt = map[string]time.Time{}
		}
		since, p.caps.loweredAt[team.Name] = now, now
	}
	if now.Sub(since) < recomputeTimeout {
		return placement.Resources{}
	}
	return amount
}

// fits reports whether the cap allows to start tasks of a total size. A single task that is
// larger than the cap starts when the pool has all of the cap and the team uses nothing.
func (l teamLimit) fits(size placement.Resources, single bool) bool {
	fit := func(size, use, amount, limit int) bool {
		if single {
			size = min(size, limit)
		}
		return limit == 0 || use+size <= amount
	}
	return fit(size.MilliCores, l.use.MilliCores, l.amount.MilliCores, l.cap.MilliCores) &&
		fit(size.MemoryMB, l.use.MemoryMB, l.amount.MemoryMB, l.cap.MemoryMB) &&
		fit(size.Accelerators, l.use.Accelerators, l.amount.Accelerators, l.cap.Accelerators)
}

// capAllows reports whether the cap of a job's team allows the next start of a stage: of one
// task, or of all ready members of a gang. If not, it records that the team waits.
func (s *State) capAllows(now time.Time, poolID table.ID, stage *Stage) bool {
	j := s.Jobs.Get(stage.Job)
	if j.Spec.Team == "" {
		return true
	}
	p := s.Pools.Get(poolID)
	limit := s.limitOf(now, p, j.Spec.Team)
	if !limit.capped {
		return true
	}
	step := &j.Spec.Steps[stage.Step]
	next := step.Size
	if step.Gang {
		next = times(step.Size, stage.ReadyTasks)
	}
	if limit.fits(next, !step.Gang) {
		return true
	}
	if step.Gang && !(teamLimit{cap: limit.cap, amount: limit.cap}).fits(next, false) {
		return false // it never fits: lending room for it would only keep others waiting
	}
	w := s.capWait(now, poolID, p, j.Spec.Team, limit, next)
	w.Size = smallestOf(w.Size.Add(times(step.Size, stage.ReadyTasks)), p.caps.free)
	w.MilliCores += stage.ReadyTasks * step.Reserved().MilliCores
	return false
}

func times(size placement.Resources, n int) placement.Resources {
	return placement.Resources{MilliCores: size.MilliCores * n, MemoryMB: size.MemoryMB * n, Accelerators: size.Accelerators * n}
}

// capWait returns the row of a team whose tasks wait for its cap. next is what the present
// one needs, which is the first of them if the row was not seen in this placement yet.
func (s *State) capWait(now time.Time, poolID table.ID, p *Pool, team string, limit teamLimit, next placement.Resources) *TeamWait {
	key := teamKey{pool: poolID, team: team}
	id, known := s.teamWaitByKey.Get(key)
	if !known {
		id = s.TeamWaits.Insert(TeamWait{Pool: poolID, Team: team, Since: now})
		s.teamWaitByKey.Put(key, id)
		revision := int64(0)
		if s.Allotment != nil {
			revision = s.Allotment.Revision
		}
		s.count("cap_waits")
		s.log(events.CapWaitBegan, events.F("team", team), events.F("pool", p.Name), events.F("used", limit.use.MilliCores),
			events.F("lent", limit.amount.MilliCores), events.F("cap", limit.cap.MilliCores), events.F("next", next.MilliCores),
			events.F("memory_mb_used", limit.use.MemoryMB), events.F("memory_mb_lent", limit.amount.MemoryMB), events.F("obeyed", revision),
			events.F("unanswered_millicores", p.caps.unanswered.MilliCores), events.F("manifest", s.ManifestVersion))
	}
	w := s.TeamWaits.Get(id)
	if !w.SeenAt.Equal(now) { // a new placement
		w.SeenAt, w.Use, w.Size, w.Next, w.MilliCores = now, limit.use, placement.Resources{}, smallestOf(next, limit.capOrUnlimited()), 0
	}
	return w
}

// capOrUnlimited returns the cap with a very large amount of each resource without a limit.
func (l teamLimit) capOrUnlimited() placement.Resources {
	orUnlimited := func(n int) int {
		if n == 0 {
			return unlimited
		}
		return n
	}
	return placement.Resources{MilliCores: orUnlimited(l.cap.MilliCores), MemoryMB: orUnlimited(l.cap.MemoryMB), Accelerators: orUnlimited(l.cap.Accelerators)}
}

// endCapWaits ends the waits of teams whose tasks have not met the cap lately.
func endCapWaits(s *State, tick engine.Tick) {
	for id, w := range s.TeamWaits.All() {
		p := s.Pools.Get(w.Pool)
		if p != nil && tick.Now.Sub(w.SeenAt) < capWaitMemory {
			continue
		}
		if p != nil {
			s.log(events.CapWaitEnded, events.F("team", w.Team), events.F("pool", p.Name), events.F("waited_ms", w.SeenAt.Sub(w.Since).Milliseconds()),
				events.F("used", p.teamUse(w.Team).MilliCores))
		}
		s.teamWaitByKey.Delete(teamKey{pool: w.Pool, team: w.Team})
		s.TeamWaits.Delete(id)
	}
}

// waitingForCap returns the cores of the tasks in a pool that wait for the cap of their
// team. More machines would not help them.
func (s *State) waitingForCap(p *Pool) int {
	millicores := 0
	for _, w := range s.TeamWaits.All() {
		if s.Pools.Get(w.Pool) == p {
			millicores += w.MilliCores
		}
	}
	return millicores
}

// waitsForCap reports whether tasks of a team wait in a pool for the team's cap.
func (s *State) waitsForCap(p *Pool, team string) bool {
	id, _ := s.poolByName.Get(p.Name)
	_, waits := s.teamWaitByKey.Get(teamKey{pool: id, team: team})
	return waits
}

// reportTeams adds what the capped teams use and lack in a pool to a report.
func (s *State) reportTeams(poolID table.ID, demand *work.Demand) {
	p := s.Pools.Get(poolID)
	if s.Allotment != nil {
		demand.Obeyed = s.Allotment.Revision
	}
	if !s.hasCaps {
		return
	}
	unanswered := s.unansweredCapacity(p)
	demand.Incomplete = unanswered != (placement.Resources{})
	for name := range p.teams {
		if team := s.Team(name); team != nil && team.Cap != (placement.Resources{}) {
			demand.Teams = append(demand.Teams, work.TeamDemand{Team: name, Use: s.teamUseBound(p, team, unanswered)})
		}
	}
	for _, w := range s.TeamWaits.All() {
		if w.Pool != poolID {
			continue
		}
		i := slices.IndexFunc(demand.Teams, func(t work.TeamDemand) bool { return t.Team == w.Team })
		if team := s.Team(w.Team); i < 0 && team != nil {
			i = len(demand.Teams)
			demand.Teams = append(demand.Teams, work.TeamDemand{Team: w.Team, Use: s.teamUseBound(p, team, unanswered)})
		}
		if i >= 0 {
			// Some may have started since.
			waiting := w.Use.Add(w.Size).Sub(demand.Teams[i].Use)
			waiting = placement.Resources{MilliCores: max(0, waiting.MilliCores), MemoryMB: max(0, waiting.MemoryMB), Accelerators: max(0, waiting.Accelerators)}
			if demand.Teams[i].Waiting = waiting; waiting != (placement.Resources{}) {
				demand.Teams[i].Next = w.Next
			}
		}
	}
	slices.SortFunc(demand.Teams, func(a, b work.TeamDemand) int { return cmp.Compare(a.Team, b.Team) })
}

// teamsUrgent reports whether the owner of the fleet needs a report at once: a team lacks
// more than was reported, or the report lets it lend an amount to others.
func (s *State) teamsUrgent(p *Pool, old, demand *work.Demand) bool {
	for _, t := range demand.Teams {
		before, team := teamDemand(old, t.Team), s.Team(t.Team)
		if t.Waiting == (placement.Resources{}) || team == nil {
			continue
		}
		known := before.Use.Add(before.Waiting).Add(reportStep(team))
		if before.Waiting == (placement.Resources{}) || !smallestOf(team.Cap, t.Use.Add(t.Waiting)).Fits(known) {
			return true
		}
	}
	for _, part := range s.pendingParts(p) {
		if old.Obeyed < part.Lowered || old.Incomplete && !demand.Incomplete {
			return true
		}
		// What ends above the amount is free for others.
		if use, before := teamDemand(demand, part.team).Use, teamDemand(old, part.team).Use; !before.Fits(part.Amount) && use != before && use.Fits(before) {
			return true
		}
	}
	return false
}

// pendingParts returns the lowered amounts of a pool that count in full until a report
// shows that they are obeyed.
func (s *State) pendingParts(p *Pool) []pendingPart {
	c := &p.caps
	if s.Allotment == c.pendingOf {
		return c.pending
	}
	c.pendingOf, c.pending = s.Allotment, nil
	for i := range s.Allotment.Teams {
		t := &s.Allotment.Teams[i]
		if part := s.Allotment.Part(t, p.Name); part.Held != part.Amount {
			c.pending = append(c.pending, pendingPart{team: t.Team, AllottedPart: part})
		}
	}
	return c.pending
}

func teamDemand(d *work.Demand, team string) work.TeamDemand {
	for _, t := range d.Teams {
		if t.Team == team {
			return t
		}
	}
	return work.TeamDemand{}
}

// reportStep returns the change of a team's use that is worth a report.
func reportStep(t *work.Team) placement.Resources {
	return placement.Resources{MilliCores: t.Cap.MilliCores / capUseDivisor, MemoryMB: t.Cap.MemoryMB / capUseDivisor, Accelerators: t.Cap.Accelerators / capUseDivisor}
}

// sameTeams reports whether the teams of two reports hardly differ.
func (s *State) sameTeams(a, b *work.Demand) bool {
	if a.Incomplete != b.Incomplete {
		return false
	}
	similar := func(x, y *work.Demand) bool {
		return !slices.ContainsFunc(x.Teams, func(t work.TeamDemand) bool {
			other, team := teamDemand(y, t.Team), s.Team(t.Team)
			if team == nil {
				return false
			}
			return t.Waiting != other.Waiting || !t.Use.Fits(other.Use.Add(reportStep(team)))
		})
	}
	return similar(a, b) && similar(b, a)
}
