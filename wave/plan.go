package wave

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// planner holds one plan while it is made.
type planner struct {
	view      *Input
	wave      *fleet.Wave
	book      *budget.Availability
	spare     string
	decisions []Decision
	reasons   map[string]Reason // per worker that cannot start
	limit     Reason            // why room is used up
	room      int               // reboots that may still start
	rounds    int               // most rounds that a pool with slack of its own still needs
	pending   int               // workers in scope that are or will be maintained
}

// Plan decides what the wave does next. Decisions of one plan respect the
// budget together and have to be applied in their order.
func Plan(view *Input) []Decision { return plan(view).decisions }

// Explain returns why the worker is not being maintained now.
func Explain(view *Input, worker string) Reason {
	row := view.Tables.Worker(worker)
	switch {
	case row == nil:
		return ReasonUnknownWorker
	case view.Tables.Wave == nil:
		return ReasonNoWave
	case !inScope(view.Tables.Wave, row.Pool):
		return ReasonPoolNotInWave
	case !row.MaintainedAt.Before(view.Tables.Wave.StartedAt):
		return ReasonAlreadyMaintained
	case row.OperationID != 0:
		return ReasonOperationInProgress
	case !row.Available():
		return ReasonWorkerNotServing
	}
	p := plan(view)
	for _, decision := range p.decisions {
		if decision.Worker == worker && decision.Kind != DecisionBorrow {
			return ReasonStartingNow
		}
		if decision.Kind == DecisionHalt || decision.Kind == DecisionWait && decision.Pool == "" {
			return decision.Reason
		}
	}
	if reason, ok := p.reasons[worker]; ok {
		return reason
	}
	return ReasonWorkerNotServing
}

func plan(view *Input) *planner {
	p := &planner{view: view, wave: view.Tables.Wave, reasons: map[string]Reason{}}
	if reason := p.blocked(); reason != "" {
		p.add(Decision{Kind: DecisionWait, Reason: reason})
		return p
	}
	if reason := haltReason(view); reason != "" {
		p.add(Decision{Kind: DecisionHalt, Reason: reason})
		return p
	}
	p.book = budget.Assess(view.Tables, view.Effective, view.Demand)
	p.spare = sparePool(view.Effective)
	p.limitRoom()
	for _, pool := range p.ordered() {
		p.planPool(pool)
	}
	if p.pending == 0 {
		p.add(Decision{Kind: DecisionDone})
	}
	return p
}

func (p *planner) add(decision Decision) { p.decisions = append(p.decisions, decision) }

func (p *planner) blocked() Reason {
	if p.wave == nil {
		return ReasonNoWave
	}
	switch p.wave.Status {
	case fleet.WavePaused:
		return ReasonWavePaused
	case fleet.WaveHalted:
		return ReasonWaveHalted
	case fleet.WaveAborted:
		return ReasonWaveAborted
	case fleet.WaveDone:
		return ReasonWaveDone
	}
	if !p.view.DisruptionAllowed {
		return ReasonDisruptionNotAllowed
	}
	return ""
}

func sparePool(effective *policy.Effective) string {
	for _, spec := range effective.Pools() {
		if spec.Spare {
			return spec.Name
		}
	}
	return ""
}

func inScope(wave *fleet.Wave, pool string) bool {
	return len(wave.Pools) == 0 || slices.Contains(wave.Pools, pool)
}

// ordered returns the pools in scope in the order in which they get room: those
// in a trough first, then those that need the most rounds, because they decide
// when the wave ends.
func (p *planner) ordered() []string {
	var pools []string
	rounds := map[string]int{}
	for _, pool := range p.book.ByIdleShare() {
		if !inScope(p.wave, pool) {
			continue
		}
		pools = append(pools, pool)
		rounds[pool] = roundsOf(p.unmaintained(pool), p.book.Pool(pool).MaxSlack())
		if !p.tight(pool) {
			p.rounds = max(p.rounds, rounds[pool])
		}
	}
	slices.SortStableFunc(pools, func(a, b string) int {
		peakA, peakB := p.book.Pool(a).DemandLimited(), p.book.Pool(b).DemandLimited()
		if peakA != peakB {
			if peakA {
				return 1
			}
			return -1
		}
		return cmp.Compare(rounds[b], rounds[a])
	})
	return pools
}

// roundsOf is the number of rounds that a pool with the slack needs, when each
// round disrupts one failure domain.
func roundsOf(domains map[fleet.RackKey]int, slack int) int {
	rounds := 0
	for _, count := range domains {
		rounds += (count + max(slack, 1) - 1) / max(slack, 1)
	}
	return rounds
}

// unmaintained counts the workers of the pool that the wave has not maintained
// yet, by failure domain.
func (p *planner) unmaintained(pool string) map[fleet.RackKey]int {
	domains := map[fleet.RackKey]int{}
	for _, id := range p.view.Tables.WorkersOfPool(pool) {
		if row := p.view.Tables.Workers.Get(id); row.MaintainedAt.Before(p.wave.StartedAt) {
			domains[p.domain(row)]++
		}
	}
	return domains
}

// tight reports whether the pool has no slack of its own.
func (p *planner) tight(pool string) bool {
	return p.book.Pool(pool).MaxSlack()-p.view.Tables.Borrowed(pool) < 1
}

// limitRoom computes how many reboots may start. With the rollout objective the
// width no longer limits after the canary; budgets and failure domains still do.
func (p *planner) limitRoom() {
	site := p.view.Effective.Site()
	ofWave, reboots := 0, 0
	for _, operation := range p.view.Tables.Operations.All() {
		if operation.Kind != fleet.OperationMaintain && operation.Kind != fleet.OperationRotate {
			continue
		}
		reboots++
		if operation.Wave == p.wave.ID {
			ofWave++
		}
	}
	p.room, p.limit = p.wave.Width-ofWave, ReasonBatchFull
	if p.wave.Width <= p.wave.Canary {
		p.limit = ReasonCanaryRunning
	} else if site.Objective == policy.ObjectiveRollout {
		p.room = p.view.Tables.Workers.Len()
	}
	if most := site.MaxConcurrentReboots; most > 0 && most-reboots < p.room {
		p.room, p.limit = most-reboots, ReasonRebootLimit
	}
}

// domain is the part of the site within which one pool may be disrupted at a
// time: a rack, or a whole zone if the site is able to lose one.
func (p *planner) domain(row *fleet.WorkerRow) fleet.RackKey {
	key := fleet.RackKey{AvailabilityZone: row.AvailabilityZone, Rack: row.Rack}
	if p.view.Effective.Site().SurviveLossOf == policy.DomainZone {
		key.Rack = ""
	}
	return key
}

// poolView is what the planner needs to know of one pool.
type poolView struct {
	name       string
	waiting    []*fleet.WorkerRow // serving and not maintained yet, by ID
	open       map[fleet.RackKey]bool
	owed       int // borrowed spares that no operation in progress gives back
	incoming   int // spares on their way into the pool
	faulted    int // workers that may wait again once they recover
	operations int // operations of waves on workers of the pool
	borrowing  bool
	started    bool
	reason     Reason // of the first worker that could not start
}

func (p *planner) scan(pool string) *poolView {
	t := p.view.Tables
	v := &poolView{name: pool, open: p.openDomains(pool), owed: t.Borrowed(pool)}
	for _, id := range t.WorkersOfPool(pool) {
		row := t.Workers.Get(id)
		operation := t.Operation(row)
		if operation != nil {
			p.scanOperation(v, operation)
			continue
		}
		if row.Available() && !p.planned(row.ID) && row.MaintainedAt.Before(p.wave.StartedAt) {
			v.waiting = append(v.waiting, row)
			p.pending++
		}
		if row.State == fleet.Suspected || row.State == fleet.Unknown {
			p.pending++ // becomes serving or failed
		}
		if operation == nil && p.mayRecover(row) {
			v.faulted++
		}
	}
	for _, id := range t.WorkersOfPool(p.spare) {
		operation := t.Operation(t.Workers.Get(id))
		if operation != nil && operation.Kind == fleet.OperationMove && operation.Wave != "" && operation.ToPool == pool && !operation.Aborted {
			v.incoming++
		}
	}
	slices.SortFunc(v.waiting, func(a, b *fleet.WorkerRow) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// scanOperation notes an operation on a worker of the pool.
func (p *planner) scanOperation(v *poolView, operation *fleet.OperationRow) {
	if operation.Wave == p.wave.ID {
		p.pending++
	}
	if operation.Kind == fleet.OperationMaintain || operation.Kind == fleet.OperationRotate {
		v.operations++
	}
	givesBack := operation.Kind == fleet.OperationRotate || operation.Kind == fleet.OperationMove && operation.Wave != ""
	if givesBack && operation.ToPool != v.name && !operation.Aborted {
		v.owed--
	}
}

func (p *planner) planPool(pool string) {
	v := p.scan(pool)
	for _, rows := range p.byDomain(v) {
		key := p.domain(rows[0])
		for _, row := range rows {
			if !onlyOpen(v.open, key) {
				p.refuse(v, row, ReasonOtherDomainDisrupted)
				continue
			}
			p.planWorker(v, row)
		}
	}
	if len(v.waiting) > 0 && !v.started {
		p.add(Decision{Kind: DecisionWait, Pool: pool, Reason: v.reason})
	}
	if pool != p.spare && v.owed > 0 && v.idle() {
		p.giveBack(v)
	}
	p.pending += max(0, v.owed) + v.incoming // the wave ends with all spares given back
}

// recoveryTime is how long a spare stays borrowed for the rotation of a faulted
// worker. Repair or replacement by the platform takes about half of it.
const recoveryTime = 30 * time.Minute

// mayRecover reports whether the faulted worker is likely to serve again and to
// be maintained.
func (p *planner) mayRecover(row *fleet.WorkerRow) bool {
	return !row.State.Available() && row.MaintainedAt.Before(p.wave.StartedAt) && p.view.Now.Sub(row.Since) < recoveryTime
}

// idle reports that no worker of the pool is left to be maintained.
func (v *poolView) idle() bool { return len(v.waiting) == 0 && v.faulted == 0 && v.operations == 0 }

// onlyOpen reports whether a disruption in the domain leaves the pool disrupted
// in one domain. A drain by an operator may have opened a second one.
func onlyOpen(open map[fleet.RackKey]bool, domain fleet.RackKey) bool {
	return len(open) == 0 || len(open) == 1 && open[domain]
}

// byDomain groups the waiting workers by failure domain: domains that are open
// already first, then those with the most waiting workers, then by name. The
// canary takes a whole round of its pool and starts in the smallest domain.
func (p *planner) byDomain(v *poolView) [][]*fleet.WorkerRow {
	groups := map[fleet.RackKey][]*fleet.WorkerRow{}
	for _, row := range v.waiting {
		key := p.domain(row)
		groups[key] = append(groups[key], row)
	}
	ordered := make([][]*fleet.WorkerRow, 0, len(groups))
	for _, rows := range groups {
		ordered = append(ordered, rows)
	}
	closed := func(rows []*fleet.WorkerRow) int {
		if v.open[p.domain(rows[0])] {
			return 0
		}
		return 1
	}
	slices.SortFunc(ordered, func(a, b []*fleet.WorkerRow) int {
		bySize := cmp.Compare(len(b), len(a))
		if p.limit == ReasonCanaryRunning {
			bySize = -bySize
		}
		return cmp.Or(cmp.Compare(closed(a), closed(b)), bySize, strings.Compare(a[0].ID, b[0].ID))
	})
	return ordered
}

func (p *planner) refuse(v *poolView, row *fleet.WorkerRow, reason Reason) {
	p.reasons[row.ID] = reason
	if v.reason == "" || v.reason == ReasonOtherDomainDisrupted {
		v.reason = reason
	}
}

// planWorker starts the maintenance of the worker if the limits allow it.
func (p *planner) planWorker(v *poolView, row *fleet.WorkerRow) {
	shortage := p.book.CheckDisruption(v.name, row.AvailabilityZone)
	short := shortage == budget.ShortagePoolFloor || shortage == budget.ShortageZoneFloor
	switch {
	case short && p.needsSpares(v, row): // borrowing reboots nothing and does not need room
		p.refuse(v, row, p.borrow(v, row))
		return
	case p.room < 1:
		p.refuse(v, row, p.limit)
		return
	}
	if shortage != budget.ShortageNone {
		p.refuse(v, row, Reason(shortage))
		return
	}
	decision := Decision{Kind: DecisionMaintain, Worker: row.ID, Pool: v.name}
	if debt := v.owed + v.incoming; debt > 0 && p.unstarted(v) <= debt && v.name != p.spare {
		if v.owed < 1 { // a rotation needs a spare that has arrived
			p.refuse(v, row, ReasonSpareInTransit)
			return
		}
		decision.Kind, decision.ToPool = DecisionRotate, p.spare
		if shortage = p.book.CheckMove(v.name, p.spare, row.AvailabilityZone); shortage != budget.ShortageNone {
			p.refuse(v, row, Reason(shortage))
			return
		}
		p.book.RecordMove(v.name, p.spare, row.AvailabilityZone)
		v.owed--
	} else {
		p.book.RecordDisruption(v.name, row.AvailabilityZone)
	}
	p.add(decision)
	p.room--
	v.started = true
	v.open[p.domain(row)] = true
	p.reasons[row.ID] = ReasonStartingNow
}

// unstarted counts the waiting workers that this plan has not started. The last
// ones rotate, so that a few borrowed spares serve for the whole pool.
func (p *planner) unstarted(v *poolView) int {
	count := 0
	for _, row := range v.waiting {
		if p.reasons[row.ID] != ReasonStartingNow {
			count++
		}
	}
	return count
}
