package admission

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// maxViewAge is the age of the mirror from which only the rules for the store apply.
	// A non-owner reads the changes every 250 ms.
	maxViewAge = 2 * time.Second
	// maxReportAge is the age of a report from which the capacity of its pool is unknown.
	// An owner repeats an unchanged report after 4 s.
	maxReportAge = 4*time.Second + maxViewAge
	// growthTime is how long a pool takes to get machines that other pools don't need.
	growthTime = 2 * time.Second
	// reservedShare is the share of the room that is kept for callers who return when
	// they were told.
	reservedShare = 0.25
	// minAllowedShare is the least share of the objective that a job is expected to wait
	// without being late: estimates of run times are off by up to 90 %.
	minAllowedShare = 0.25
	// overShareFactor keeps teams of equal demand, whose shares vary by chance, from being
	// turned away in turn.
	overShareFactor = 1.5
	// overloadFactor is the number of objectives after which a job earns nothing.
	overloadFactor = 3
	// certainShare is the share of the outstanding work that there is at least, if all
	// estimates are too high by 90 %.
	certainShare = 0.5
	// unknownWait is longer than any wait that the rules compare.
	unknownWait = time.Hour
)

// Inputs are what the rules for the load are applied to.
type Inputs struct {
	Team   string
	Listed bool    // the manifest has the team
	Weight float64 // relative share of a full pool

	TeamWork float64 // core-seconds outstanding of the team in all pools
	Cap      float64 // cores; 0 means no limit
	PoolWork float64 // core-seconds outstanding in the pool that may delay the job
	Capacity float64 // cores of the pool
	Spare    float64 // cores that other pools don't need
	// PoolShare is the team's share of the outstanding work in the pool, and OwedShare its
	// weighted share among the teams that have work there.
	PoolShare, OwedShare float64

	// TeamWait and PoolWait are the expected times until the outstanding work of the
	// team is done at its cap, and that of the pool at its capacity.
	TeamWait, PoolWait time.Duration
	// CapWait and ShareWait are the times until the certain part of the team's work is
	// done: all of it at its cap, and that in the pool at its share of the capacity.
	CapWait, ShareWait time.Duration
	// SureWait is the least time until the pool can serve the job: the certain part of all
	// work, or the team's own at its share if that is less.
	SureWait  time.Duration
	Objective time.Duration
	Allowed   time.Duration // wait from which the job is expected to be late
	Worth     time.Duration // wait from which the job earns nothing
	// Slots are those over which rejected callers are spread, and Due tells whether the
	// caller may have returned when it was told. Both are set only if the job exceeds the
	// bounds for new callers.
	Slots int
	Due   bool

	MirrorAge time.Duration
	ReportAge time.Duration // of the oldest report of the pool
	// MirrorFresh and CapacityKnown tell whether the rules that need them apply.
	MirrorFresh, CapacityKnown bool
	// RoomIn is the time until the excess over the bounds for new callers is worked off.
	RoomIn time.Duration
}

// overShare reports whether the team has more than overShareFactor times its weighted share
// of the work in the pool. Where all teams send more than can be served, none is turned
// away for the others.
func (in *Inputs) overShare() bool { return in.PoolShare > overShareFactor*in.OwedShare }

// room returns the longest wait with which the job is accepted.
func (in *Inputs) room() time.Duration {
	if in.Due {
		return in.Worth
	}
	return time.Duration((1 - reservedShare) * float64(in.Worth))
}

// decide applies the rules, at first with the bounds for new callers, then with those for
// callers who are due.
func (in *Inputs) decide(submission Submission) Reason {
	reason := in.reason()
	if reason == None {
		return None
	}
	in.RoomIn = in.excess(reason)
	in.Slots = slotsFor(in.RoomIn)
	in.Due = isDue(submission, in.Slots)
	return in.reason()
}

// reason applies the rules in their order.
func (in *Inputs) reason() Reason {
	switch {
	case !in.MirrorFresh:
		return None
	case in.Listed && in.Cap > 0 && in.CapWait > in.room():
		return TeamAtCap
	case !in.CapacityKnown:
		return None
	case in.Listed && in.overShare() && in.SureWait > in.room():
		return TeamOverShare
	case in.SureWait > overloadFactor*in.Objective:
		return PoolOverloaded
	default:
		return None
	}
}

// excess returns how long it takes until a submission that is rejected for the reason may
// be accepted.
func (in *Inputs) excess(reason Reason) time.Duration {
	switch reason {
	case TeamAtCap:
		return in.CapWait - in.room()
	case TeamOverShare:
		return in.SureWait - in.room()
	default:
		return in.SureWait - overloadFactor*in.Objective
	}
}

// inputs collects what the rules need, from rows of the team, the pool and the teams in
// the pool.
func (l *Load) inputs(now, mirrorReadAt time.Time, submission Submission) Inputs {
	job := submission.Job
	in := Inputs{Team: job.Team, Objective: objective(job), MirrorAge: now.Sub(mirrorReadAt)}
	in.MirrorFresh = in.MirrorAge <= maxViewAge
	chain := longestChain(job)
	in.Worth = overloadFactor*in.Objective - chain
	in.Allowed = max(in.Objective-chain, time.Duration(minAllowedShare*float64(in.Objective)))
	weight := 0.0
	teamID, known := l.teamByName.Get(job.Team)
	if known {
		t := l.Teams.Get(teamID)
		in.Listed, in.Weight = t.Listed, t.Weight
		in.TeamWork, in.Cap = t.work.expected(), float64(t.Cap)/1000
		in.TeamWait = waitFor(in.TeamWork, in.Cap, 0)
		in.CapWait = waitFor(certainShare*in.TeamWork, in.Cap, 0)
		weight = t.Weight
	}
	poolID, known := l.poolByName.Get(job.Pool)
	if !known {
		return in
	}
	l.capacity(now, poolID, &in)
	in.PoolWork = l.poolWork(poolID, in.Allowed)
	in.PoolWait = waitFor(in.PoolWork, in.Capacity, in.Spare)
	certain := certainShare * l.poolWork(poolID, overloadFactor*in.Objective)
	own := l.share(teamID, poolID, weight, &in)
	in.SureWait = waitFor(certain, in.Capacity, in.Spare)
	in.ShareWait = waitFor(certainShare*own, in.Capacity*in.OwedShare, in.Spare*in.OwedShare)
	if weight > 0 {
		in.SureWait = min(in.SureWait, in.ShareWait)
	}
	return in
}

// capacity finds the capacity of a pool from the reports on all its partitions.
func (l *Load) capacity(now time.Time, pool table.ID, in *Inputs) {
	p := l.Pools.Get(pool)
	machines, reports := 0, l.reportsOf.Get(pool)
	for _, id := range reports {
		r := l.Reports.Get(id)
		machines += r.machines()
		in.ReportAge = max(in.ReportAge, now.Sub(r.ReceivedAt))
	}
	workers, millicores := p.workers, p.millicores
	if workers == 0 { // an empty pool gets machines like those of the others
		workers, millicores = l.Workers.Len(), l.millicore
	}
	if workers == 0 {
		return
	}
	cores := float64(millicores) / 1000 / float64(workers)
	in.Capacity, in.Spare = float64(machines)*cores, float64(l.spare)*cores
	in.CapacityKnown = in.Capacity > 0 && len(reports) >= len(l.Partitions.PartitionsOf(p.Name)) && in.ReportAge <= maxReportAge
}

// poolWork returns the work in a pool that can delay a job within a time, in core-seconds:
// no team can occupy more than its cap, whatever it has sent.
func (l *Load) poolWork(pool table.ID, within time.Duration) float64 {
	sum := 0.0
	for _, id := range l.usesOfPool.Get(pool) {
		u := l.Uses.Get(id)
		amount := u.work.expected()
		if limit := float64(l.Teams.Get(u.Team).Cap) / 1000; limit > 0 {
			amount = min(amount, limit*within.Seconds())
		}
		sum += amount
	}
	return sum
}

// share finds the team's share of the work in the pool and the one that it is owed. It
// returns the team's work there, in core-seconds.
func (l *Load) share(team, pool table.ID, weight float64, in *Inputs) float64 {
	own, all, weights := 0.0, 0.0, weight
	for _, id := range l.usesOfPool.Get(pool) {
		u := l.Uses.Get(id)
		amount := u.work.expected()
		all += amount
		switch {
		case u.Team == team:
			own = amount
		case amount > 0:
			weights += l.Teams.Get(u.Team).Weight
		}
	}
	if all > 0 {
		in.PoolShare = own / all
	}
	in.OwedShare = 1 // without weights there are no shares to exceed
	if weights > 0 {
		in.OwedShare = weight / weights
	}
	return own
}

// waitFor returns the time in which work is done by a number of cores, to which others
// are added after growthTime.
func waitFor(coreSeconds, cores, spare float64) time.Duration {
	if coreSeconds <= 0 {
		return 0
	}
	if cores <= 0 {
		return unknownWait
	}
	seconds := coreSeconds / cores
	if growth := growthTime.Seconds(); spare > 0 && seconds > growth {
		seconds = growth + (coreSeconds-growth*cores)/(cores+spare)
	}
	return time.Duration(min(seconds, unknownWait.Seconds()) * float64(time.Second))
}

// ExpectsLate reports whether the job is expected to be late.
func (in *Inputs) ExpectsLate() bool {
	return in.MirrorFresh && (in.TeamWait > in.Allowed || in.CapacityKnown && in.PoolWait > in.Allowed)
}

// Fields returns the inputs for the log.
func (in *Inputs) Fields() []events.Field {
	return []events.Field{
		events.F("team", in.Team), events.F("weight", in.Weight),
		events.F("team_core_s", int(in.TeamWork)), events.F("cap_cores", int(in.Cap)), events.F("team_wait_ms", in.TeamWait.Milliseconds()), events.F("cap_wait_ms", in.CapWait.Milliseconds()),
		events.F("pool_core_s", int(in.PoolWork)), events.F("pool_cores", int(in.Capacity)), events.F("capacity_known", in.CapacityKnown), events.F("spare_cores", int(in.Spare)),
		events.F("pool_share", in.PoolShare), events.F("owed_share", in.OwedShare), events.F("pool_wait_ms", in.PoolWait.Milliseconds()), events.F("share_wait_ms", in.ShareWait.Milliseconds()), events.F("sure_wait_ms", in.SureWait.Milliseconds()),
		events.F("objective_ms", in.Objective.Milliseconds()), events.F("allowed_ms", in.Allowed.Milliseconds()), events.F("worth_ms", in.Worth.Milliseconds()),
		events.F("room_in_ms", in.RoomIn.Milliseconds()), events.F("slots", in.Slots), events.F("due", in.Due),
		events.F("view_age_ms", in.MirrorAge.Milliseconds()), events.F("report_age_ms", in.ReportAge.Milliseconds()),
	}
}
