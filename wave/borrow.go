package wave

import (
	"cmp"
	"slices"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// planBorrow plans moves of spares into a pool that has no slack even when all its
// workers serve. It returns the reason for which the worker waits.
func (p *planner) planBorrow(state *poolState, row *fleet.WorkerRow) Reason {
	if state.borrowing {
		return ReasonSpareInTransit
	}
	spares := p.spareCandidates(row)
	count, ok := p.availability.SparesNeeded(state.name, row.AvailabilityZone, len(spares))
	if !ok {
		if len(spares) == 0 {
			return p.noSpareReason()
		}
		return ReasonPoolFloor
	}
	if count == 0 {
		return ReasonSpareInTransit
	}
	count = max(count, count-1+p.sparesToBorrow(state)-state.outstanding-state.incoming)
	reason := ReasonNoSpare
	for _, spare := range spares {
		if count == 0 || p.lendableSpares() < 1 {
			break
		}
		shortage := p.availability.CheckMove(p.sparePool, state.name, spare.AvailabilityZone)
		if shortage != budget.ShortageNone {
			reason = Reason(shortage)
			continue
		}
		p.availability.RecordMove(p.sparePool, state.name, spare.AvailabilityZone)
		p.add(Decision{Kind: DecisionBorrow, Worker: spare.ID, Pool: p.sparePool, ToPool: state.name})
		p.reasons[spare.ID] = ReasonLentToOtherPool
		reason = ReasonSpareInTransit
		state.borrowing, state.started = true, true
		state.incoming++
		count--
	}
	return reason
}

// needsSpares reports whether the pool has to borrow spares before its waiting
// workers start: it has no slack even when all its workers serve, or it has
// borrowed fewer spares than it should. The spare pool often cannot lend all of
// them at once, because its floor falls only as its workers leave.
func (p *planner) needsSpares(state *poolState, row *fleet.WorkerRow) bool {
	if state.name == p.sparePool {
		return false
	}
	borrowed := state.outstanding + state.incoming
	return p.availability.DependsOnSpares(state.name, row.AvailabilityZone) || borrowed > 0 && borrowed < min(p.sparesToBorrow(state), p.unstarted(state))
}

// sparesToBorrow returns how many spares the pool should borrow. The rollout
// objective borrows enough for a whole failure domain. The buffer objective borrows
// the fewest with which the pool needs at most one round more than the pools with
// slack of their own: the spare that saves the last extra round would stay borrowed
// for most of the wave.
func (p *planner) sparesToBorrow(state *poolState) int {
	domains := p.unmaintained(state.name)
	largest := 1
	for _, count := range domains {
		largest = max(largest, count)
	}
	if p.input.Effective.Site().Objective == policy.ObjectiveRollout {
		return largest
	}
	if p.maxRounds == 0 { // no pool with slack of its own to compare with
		return 1
	}
	spares := 1
	for spares < largest && roundsNeeded(domains, spares) > p.maxRounds+1 {
		spares++
	}
	return spares
}

// planGiveBack plans moves to the spare pool if the pool has to replace borrowed
// spares and no worker is left that could rotate. This happens after a rotation
// whose worker returned to its own pool, and costs an additional move.
func (p *planner) planGiveBack(state *poolState) {
	t := p.input.Tables
	for _, id := range t.WorkersOfPool(state.name) {
		if state.outstanding < 1 {
			return
		}
		row := t.Workers.Get(id)
		if !row.Available() || !staysInOneDomain(state.disruptedDomains, p.failureDomain(row)) {
			continue
		}
		if p.availability.CheckMove(state.name, p.sparePool, row.AvailabilityZone) != budget.ShortageNone {
			continue
		}
		p.availability.RecordMove(state.name, p.sparePool, row.AvailabilityZone)
		p.add(Decision{Kind: DecisionGiveBack, Worker: row.ID, Pool: state.name, ToPool: p.sparePool})
		state.disruptedDomains[p.failureDomain(row)] = true
		state.outstanding--
	}
}

// lendableSpares returns how many spares may leave the spare pool without using the
// reserve of the joint buffer.
func (p *planner) lendableSpares() int {
	pool := p.availability.Pool(p.sparePool)
	if pool == nil {
		return 0
	}
	return min(pool.Slack(), pool.Serving-p.input.SpareReserve)
}

func (p *planner) noSpareReason() Reason {
	pool := p.availability.Pool(p.sparePool)
	if pool != nil && pool.Serving > 0 && pool.Serving <= p.input.SpareReserve {
		return ReasonSpareReserved
	}
	return ReasonNoSpare
}

// spareCandidates returns the spares that may be borrowed for the worker, best
// first: those in its availability zone, those already maintained, then by ID. All
// are in one failure domain, because the spare pool too is disrupted in only one
// domain at a time. If the zone floor is the limit, only spares of the same zone are
// returned.
func (p *planner) spareCandidates(row *fleet.WorkerRow) []*fleet.WorkerRow {
	t := p.input.Tables
	disrupted := p.disruptedDomains(p.sparePool)
	zoneOnly := p.availability.CheckDisruption(row.Pool, row.AvailabilityZone) == budget.ShortageZoneFloor
	var spares []*fleet.WorkerRow
	for _, id := range t.WorkersOfPool(p.sparePool) {
		spare := t.Workers.Get(id)
		switch {
		case !spare.Available() || p.planned(spare.ID):
		case !staysInOneDomain(disrupted, p.failureDomain(spare)):
		case zoneOnly && spare.AvailabilityZone != row.AvailabilityZone:
		default:
			spares = append(spares, spare)
		}
	}
	slices.SortFunc(spares, func(a, b *fleet.WorkerRow) int {
		return cmp.Or(cmp.Compare(p.spareRank(row, a), p.spareRank(row, b)), strings.Compare(a.ID, b.ID))
	})
	if len(disrupted) == 0 && len(spares) > 0 {
		domain := p.failureDomain(spares[0])
		spares = slices.DeleteFunc(spares, func(spare *fleet.WorkerRow) bool { return p.failureDomain(spare) != domain })
	}
	return spares[:min(len(spares), max(0, p.lendableSpares()))]
}

// planned reports whether this plan already starts an operation on the worker.
func (p *planner) planned(worker string) bool {
	return slices.ContainsFunc(p.decisions, func(d Decision) bool { return d.Worker == worker })
}

// disruptedDomains returns the failure domains in which workers of the pool are
// disrupted, by operations in progress or by this plan. A worker that moves in
// has not served the pool yet and does not disrupt it.
func (p *planner) disruptedDomains(pool string) map[fleet.RackKey]bool {
	t := p.input.Tables
	disrupted := map[fleet.RackKey]bool{}
	for _, id := range t.WorkersOfPool(pool) {
		row := t.Workers.Get(id)
		if operation := t.Operation(row); operation != nil && operation.ToPool != pool {
			disrupted[p.failureDomain(row)] = true
		}
	}
	for _, decision := range p.decisions {
		if decision.Pool == pool && decision.Worker != "" {
			disrupted[p.failureDomain(t.Worker(decision.Worker))] = true
		}
	}
	return disrupted
}

// spareRank returns the rank of a spare, the lowest being best. Another availability
// zone weighs more than one more worker that the pool has to maintain.
func (p *planner) spareRank(row, spare *fleet.WorkerRow) int {
	rank := 0
	if spare.AvailabilityZone != row.AvailabilityZone {
		rank += 2
	}
	if spare.MaintainedAt.Before(p.wave.StartedAt) {
		rank++
	}
	return rank
}
