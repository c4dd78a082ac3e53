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

// planner holds the state of a plan while it is computed.
type planner struct {
	input        *Input
	wave         *fleet.Wave
	availability *budget.Availability
	sparePool    string
	decisions    []Decision
	reasons      map[string]Reason // by worker ID; ReasonStartingNow if the plan starts the worker
	limitReason  Reason            // why a worker waits when rebootsLeft is zero
	rebootsLeft  int               // reboots that may still start
	maxRounds    int               // largest number of rounds that a pool with slack of its own still needs
	pending      int               // workers in scope that are or will be maintained
}

// Plan decides what the wave does next. The decisions jointly respect the budgets
// and must be applied in their order.
func Plan(input *Input) []Decision { return plan(input).decisions }

// Explain returns why the worker is not being maintained now.
func Explain(input *Input, worker string) Reason {
	row := input.Tables.Worker(worker)
	switch {
	case row == nil:
		return ReasonUnknownWorker
	case input.Tables.Wave == nil:
		return ReasonNoWave
	case !inScope(input.Tables.Wave, row.Pool):
		return ReasonPoolNotInWave
	case !row.MaintainedAt.Before(input.Tables.Wave.StartedAt):
		return ReasonAlreadyMaintained
	case row.OperationID != 0:
		return ReasonOperationInProgress
	case !row.Available():
		return ReasonWorkerNotServing
	}
	p := plan(input)
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

func plan(input *Input) *planner {
	p := &planner{input: input, wave: input.Tables.Wave, reasons: map[string]Reason{}}
	if reason := p.blockReason(); reason != "" {
		p.add(Decision{Kind: DecisionWait, Reason: reason})
		return p
	}
	if reason := haltReason(input); reason != "" {
		p.add(Decision{Kind: DecisionHalt, Reason: reason})
		return p
	}
	p.availability = budget.Assess(input.Tables, input.Effective, input.Demand)
	p.sparePool = sparePool(input.Effective)
	p.limitReboots()
	for _, pool := range p.orderedPools() {
		p.planPool(pool)
	}
	if p.pending == 0 {
		p.add(Decision{Kind: DecisionDone})
	}
	return p
}

func (p *planner) add(decision Decision) { p.decisions = append(p.decisions, decision) }

func (p *planner) blockReason() Reason {
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
	if !p.input.DisruptionAllowed {
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

// orderedPools returns the pools in scope in the order in which they may use the
// remaining reboots: first those whose slack is not limited by demand, then those
// that need the most rounds, because they determine when the wave ends.
func (p *planner) orderedPools() []string {
	var pools []string
	rounds := map[string]int{}
	for _, pool := range p.availability.ByIdleShare() {
		if !inScope(p.wave, pool) {
			continue
		}
		pools = append(pools, pool)
		rounds[pool] = roundsNeeded(p.unmaintained(pool), p.availability.Pool(pool).MaxSlack())
		if !p.lacksOwnSlack(pool) {
			p.maxRounds = max(p.maxRounds, rounds[pool])
		}
	}
	slices.SortStableFunc(pools, func(a, b string) int {
		limitedA, limitedB := p.availability.Pool(a).DemandLimited(), p.availability.Pool(b).DemandLimited()
		if limitedA != limitedB {
			if limitedA {
				return 1
			}
			return -1
		}
		return cmp.Compare(rounds[b], rounds[a])
	})
	return pools
}

// roundsNeeded returns the number of rounds in which a pool with the given slack is
// maintained if each round disrupts one failure domain.
func roundsNeeded(domains map[fleet.RackKey]int, slack int) int {
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
	for _, id := range p.input.Tables.WorkersOfPool(pool) {
		if row := p.input.Tables.Workers.Get(id); row.MaintainedAt.Before(p.wave.StartedAt) {
			domains[p.failureDomain(row)]++
		}
	}
	return domains
}

// lacksOwnSlack reports whether the pool has no slack apart from its borrowed spares.
func (p *planner) lacksOwnSlack(pool string) bool {
	return p.availability.Pool(pool).MaxSlack()-p.input.Tables.Borrowed(pool) < 1
}

// limitReboots computes how many reboots may start. With the rollout objective the
// width limits only the canary batch; later batches are limited by the budgets, the
// failure domains and max_concurrent_reboots.
func (p *planner) limitReboots() {
	site := p.input.Effective.Site()
	ofWave, reboots := 0, 0
	for _, operation := range p.input.Tables.Operations.All() {
		if operation.Kind != fleet.OperationMaintain && operation.Kind != fleet.OperationRotate {
			continue
		}
		reboots++
		if operation.Wave == p.wave.ID {
			ofWave++
		}
	}
	p.rebootsLeft, p.limitReason = p.wave.Width-ofWave, ReasonBatchFull
	if p.wave.Width <= p.wave.Canary {
		p.limitReason = ReasonCanaryRunning
	} else if site.Objective == policy.ObjectiveRollout {
		p.rebootsLeft = p.input.Tables.Workers.Len()
	}
	if maxReboots := site.MaxConcurrentReboots; maxReboots > 0 && maxReboots-reboots < p.rebootsLeft {
		p.rebootsLeft, p.limitReason = maxReboots-reboots, ReasonRebootLimit
	}
}

// failureDomain returns the failure domain of the worker: its rack, or its whole
// availability zone if the site is able to lose one. A pool is disrupted in one
// failure domain at a time.
func (p *planner) failureDomain(row *fleet.WorkerRow) fleet.RackKey {
	key := fleet.RackKey{AvailabilityZone: row.AvailabilityZone, Rack: row.Rack}
	if p.input.Effective.Site().SurviveLossOf == policy.DomainZone {
		key.Rack = ""
	}
	return key
}

// poolState is the planner's state of one pool.
type poolState struct {
	name             string
	waiting          []*fleet.WorkerRow // serving and not maintained yet, by ID
	disruptedDomains map[fleet.RackKey]bool
	outstanding      int // borrowed spares that no operation in progress replaces
	incoming         int // spares that are moving into the pool
	recovering       int // faulted workers that may need maintenance once they recover
	operations       int // operations of waves on workers of the pool
	borrowing        bool
	started          bool
	reason           Reason // why the first worker could not start; ReasonOtherDomainDisrupted gives way to any other reason
}

func (p *planner) scanPool(pool string) *poolState {
	t := p.input.Tables
	state := &poolState{name: pool, disruptedDomains: p.disruptedDomains(pool), outstanding: t.Borrowed(pool)}
	for _, id := range t.WorkersOfPool(pool) {
		row := t.Workers.Get(id)
		operation := t.Operation(row)
		if operation != nil {
			p.scanOperation(state, operation)
			continue
		}
		if row.Available() && !p.planned(row.ID) && row.MaintainedAt.Before(p.wave.StartedAt) {
			state.waiting = append(state.waiting, row)
			p.pending++
		}
		if row.State == fleet.Suspected || row.State == fleet.Unknown {
			p.pending++ // either serves or fails later
		}
		if operation == nil && p.mayRecover(row) {
			state.recovering++
		}
	}
	for _, id := range t.WorkersOfPool(p.sparePool) {
		operation := t.Operation(t.Workers.Get(id))
		if operation != nil && operation.Kind == fleet.OperationMove && operation.Wave != "" && operation.ToPool == pool && !operation.Aborted {
			state.incoming++
		}
	}
	slices.SortFunc(state.waiting, func(a, b *fleet.WorkerRow) int { return strings.Compare(a.ID, b.ID) })
	return state
}

// scanOperation accounts for an operation in progress on a worker of the pool.
func (p *planner) scanOperation(state *poolState, operation *fleet.OperationRow) {
	if operation.Wave == p.wave.ID {
		p.pending++
	}
	if operation.Kind == fleet.OperationMaintain || operation.Kind == fleet.OperationRotate {
		state.operations++
	}
	givesBack := operation.Kind == fleet.OperationRotate || operation.Kind == fleet.OperationMove && operation.Wave != ""
	if givesBack && operation.ToPool != state.name && !operation.Aborted {
		state.outstanding--
	}
}

func (p *planner) planPool(pool string) {
	state := p.scanPool(pool)
	for _, group := range p.byDomain(state) {
		key := p.failureDomain(group[0])
		for _, row := range group {
			if !staysInOneDomain(state.disruptedDomains, key) {
				p.recordWait(state, row, ReasonOtherDomainDisrupted)
				continue
			}
			p.planWorker(state, row)
		}
	}
	if len(state.waiting) > 0 && !state.started {
		p.add(Decision{Kind: DecisionWait, Pool: pool, Reason: state.reason})
	}
	if pool != p.sparePool && state.outstanding > 0 && state.allMaintained() {
		p.planGiveBack(state)
	}
	p.pending += max(0, state.outstanding) + state.incoming // the wave is not done before all spares are given back
}

// recoveryWindow is how long a spare stays borrowed for the rotation of a faulted
// worker. The platform repairs or replaces a worker in about half of this time.
const recoveryWindow = 30 * time.Minute

// mayRecover reports whether the faulted worker is likely to serve again and to
// be maintained.
func (p *planner) mayRecover(row *fleet.WorkerRow) bool {
	return !row.State.Available() && row.MaintainedAt.Before(p.wave.StartedAt) && p.input.Now.Sub(row.Since) < recoveryWindow
}

// allMaintained reports whether no worker of the pool still needs maintenance.
func (state *poolState) allMaintained() bool {
	return len(state.waiting) == 0 && state.recovering == 0 && state.operations == 0
}

// staysInOneDomain reports whether the pool stays disrupted in only one domain if a
// worker of the domain is disrupted. A drain by an operator may already disrupt a
// second domain.
func staysInOneDomain(disrupted map[fleet.RackKey]bool, domain fleet.RackKey) bool {
	return len(disrupted) == 0 || len(disrupted) == 1 && disrupted[domain]
}

// byDomain groups the waiting workers by failure domain. Domains that are already
// disrupted come first, then those with the most waiting workers, then those with
// the lowest worker ID. The canary takes a whole round of its pool and therefore
// starts in the smallest domain.
func (p *planner) byDomain(state *poolState) [][]*fleet.WorkerRow {
	groups := map[fleet.RackKey][]*fleet.WorkerRow{}
	for _, row := range state.waiting {
		key := p.failureDomain(row)
		groups[key] = append(groups[key], row)
	}
	ordered := make([][]*fleet.WorkerRow, 0, len(groups))
	for _, group := range groups {
		ordered = append(ordered, group)
	}
	undisrupted := func(group []*fleet.WorkerRow) int {
		if state.disruptedDomains[p.failureDomain(group[0])] {
			return 0
		}
		return 1
	}
	slices.SortFunc(ordered, func(a, b []*fleet.WorkerRow) int {
		bySize := cmp.Compare(len(b), len(a))
		if p.limitReason == ReasonCanaryRunning {
			bySize = -bySize
		}
		return cmp.Or(cmp.Compare(undisrupted(a), undisrupted(b)), bySize, strings.Compare(a[0].ID, b[0].ID))
	})
	return ordered
}

func (p *planner) recordWait(state *poolState, row *fleet.WorkerRow, reason Reason) {
	p.reasons[row.ID] = reason
	if state.reason == "" || state.reason == ReasonOtherDomainDisrupted {
		state.reason = reason
	}
}

// planWorker starts the maintenance of the worker if the limits allow it.
func (p *planner) planWorker(state *poolState, row *fleet.WorkerRow) {
	shortage := p.availability.CheckDisruption(state.name, row.AvailabilityZone)
	belowFloor := shortage == budget.ShortagePoolFloor || shortage == budget.ShortageZoneFloor
	switch {
	case belowFloor && p.needsSpares(state, row): // borrowing reboots no worker and is not limited by rebootsLeft
		p.recordWait(state, row, p.planBorrow(state, row))
		return
	case p.rebootsLeft < 1:
		p.recordWait(state, row, p.limitReason)
		return
	}
	if shortage != budget.ShortageNone {
		p.recordWait(state, row, Reason(shortage))
		return
	}
	decision := Decision{Kind: DecisionMaintain, Worker: row.ID, Pool: state.name}
	if borrowed := state.outstanding + state.incoming; borrowed > 0 && p.unstarted(state) <= borrowed && state.name != p.sparePool {
		if state.outstanding < 1 { // a rotation needs a spare that has joined the pool
			p.recordWait(state, row, ReasonSpareInTransit)
			return
		}
		decision.Kind, decision.ToPool = DecisionRotate, p.sparePool
		if shortage = p.availability.CheckMove(state.name, p.sparePool, row.AvailabilityZone); shortage != budget.ShortageNone {
			p.recordWait(state, row, Reason(shortage))
			return
		}
		p.availability.RecordMove(state.name, p.sparePool, row.AvailabilityZone)
		state.outstanding--
	} else {
		p.availability.RecordDisruption(state.name, row.AvailabilityZone)
	}
	p.add(decision)
	p.rebootsLeft--
	state.started = true
	state.disruptedDomains[p.failureDomain(row)] = true
	p.reasons[row.ID] = ReasonStartingNow
}

// unstarted counts the waiting workers that this plan has not started. Only the
// last ones rotate, so that a few borrowed spares suffice for the whole pool.
func (p *planner) unstarted(state *poolState) int {
	count := 0
	for _, row := range state.waiting {
		if p.reasons[row.ID] != ReasonStartingNow {
			count++
		}
	}
	return count
}
