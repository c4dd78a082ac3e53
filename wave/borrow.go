package wave

import (
	"cmp"
	"slices"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// borrow moves spares into a pool that has no slack even when all its workers
// serve, and returns why the worker waits meanwhile.
func (p *planner) borrow(v *poolView, row *fleet.WorkerRow) Reason {
	if v.borrowing {
		return ReasonSpareInTransit
	}
	spares := p.spares(row)
	size, ok := p.book.SparesNeeded(v.name, row.AvailabilityZone, len(spares))
	if !ok {
		if len(spares) == 0 {
			return p.spareShortage()
		}
		return ReasonPoolFloor
	}
	if size == 0 {
		return ReasonSpareInTransit
	}
	size = max(size, size-1+p.slots(v)-v.owed-v.incoming)
	reason := ReasonNoSpare
	for _, spare := range spares {
		if size == 0 || p.freeSpares() < 1 {
			break
		}
		shortage := p.book.CheckMove(p.spare, v.name, spare.AvailabilityZone)
		if shortage != budget.ShortageNone {
			reason = Reason(shortage)
			continue
		}
		p.book.RecordMove(p.spare, v.name, spare.AvailabilityZone)
		p.add(Decision{Kind: DecisionBorrow, Worker: spare.ID, Pool: p.spare, ToPool: v.name})
		p.reasons[spare.ID] = ReasonLentToOtherPool
		reason = ReasonSpareInTransit
		v.borrowing, v.started = true, true
		v.incoming++
		size--
	}
	return reason
}

// needsSpares reports whether only spares give the pool slack for its waiting
// workers: it has none even when all its workers serve, or it borrowed fewer
// spares than it should. The spare pool often cannot lend them all at once,
// because its floor sinks only as its workers leave.
func (p *planner) needsSpares(v *poolView, row *fleet.WorkerRow) bool {
	if v.name == p.spare {
		return false
	}
	have := v.owed + v.incoming
	return p.book.DependsOnSpares(v.name, row.AvailabilityZone) || have > 0 && have < min(p.slots(v), p.unstarted(v))
}

// slots is how many slots the pool should borrow. The rollout objective takes
// enough for a whole failure domain. The buffer objective takes the fewest with
// which the pool needs at most one round more than the pools with slack of their
// own, because the last spare that evens them out is held for most of the wave.
func (p *planner) slots(v *poolView) int {
	domains := p.unmaintained(v.name)
	most := 1
	for _, count := range domains {
		most = max(most, count)
	}
	if p.view.Effective.Site().Objective == policy.ObjectiveRollout {
		return most
	}
	if p.rounds == 0 { // no other pool to keep pace with
		return 1
	}
	slots := 1
	for slots < most && roundsOf(domains, slots) > p.rounds+1 {
		slots++
	}
	return slots
}

// giveBack moves workers to the spare pool when the pool owes spares and no
// worker is left that could rotate. It happens after a rotation whose worker
// came back to its own pool, and costs a move.
func (p *planner) giveBack(v *poolView) {
	t := p.view.Tables
	for _, id := range t.WorkersOfPool(v.name) {
		if v.owed < 1 {
			return
		}
		row := t.Workers.Get(id)
		if !row.Available() || !onlyOpen(v.open, p.domain(row)) {
			continue
		}
		if p.book.CheckMove(v.name, p.spare, row.AvailabilityZone) != budget.ShortageNone {
			continue
		}
		p.book.RecordMove(v.name, p.spare, row.AvailabilityZone)
		p.add(Decision{Kind: DecisionGiveBack, Worker: row.ID, Pool: v.name, ToPool: p.spare})
		v.open[p.domain(row)] = true
		v.owed--
	}
}

// freeSpares is how many spares may leave the spare pool without touching the
// reserve of the joint buffer.
func (p *planner) freeSpares() int {
	pool := p.book.Pool(p.spare)
	if pool == nil {
		return 0
	}
	return min(pool.Slack(), pool.Serving-p.view.SpareReserve)
}

func (p *planner) spareShortage() Reason {
	pool := p.book.Pool(p.spare)
	if pool != nil && pool.Serving > 0 && pool.Serving <= p.view.SpareReserve {
		return ReasonSpareReserved
	}
	return ReasonNoSpare
}

// spares lists the workers that may be borrowed for the worker, the best first:
// in its availability zone, maintained already, by ID. They are in one failure
// domain, as all disrupted workers of a pool are. With a zone floor only spares
// of the same zone help.
func (p *planner) spares(row *fleet.WorkerRow) []*fleet.WorkerRow {
	t := p.view.Tables
	open := p.openDomains(p.spare)
	zoneOnly := p.book.CheckDisruption(row.Pool, row.AvailabilityZone) == budget.ShortageZoneFloor
	var spares []*fleet.WorkerRow
	for _, id := range t.WorkersOfPool(p.spare) {
		spare := t.Workers.Get(id)
		switch {
		case !spare.Available() || p.planned(spare.ID):
		case !onlyOpen(open, p.domain(spare)):
		case zoneOnly && spare.AvailabilityZone != row.AvailabilityZone:
		default:
			spares = append(spares, spare)
		}
	}
	slices.SortFunc(spares, func(a, b *fleet.WorkerRow) int {
		return cmp.Or(cmp.Compare(p.distance(row, a), p.distance(row, b)), strings.Compare(a.ID, b.ID))
	})
	if len(open) == 0 && len(spares) > 0 {
		first := p.domain(spares[0])
		spares = slices.DeleteFunc(spares, func(spare *fleet.WorkerRow) bool { return p.domain(spare) != first })
	}
	return spares[:min(len(spares), max(0, p.freeSpares()))]
}

// planned reports whether this plan already starts an operation on the worker.
func (p *planner) planned(worker string) bool {
	return slices.ContainsFunc(p.decisions, func(d Decision) bool { return d.Worker == worker })
}

// openDomains returns the failure domains in which workers of the pool are
// disrupted, by operations in progress or by this plan. A worker that moves in
// has not served the pool yet and does not disrupt it.
func (p *planner) openDomains(pool string) map[fleet.RackKey]bool {
	t := p.view.Tables
	open := map[fleet.RackKey]bool{}
	for _, id := range t.WorkersOfPool(pool) {
		row := t.Workers.Get(id)
		if operation := t.Operation(row); operation != nil && operation.ToPool != pool {
			open[p.domain(row)] = true
		}
	}
	for _, decision := range p.decisions {
		if decision.Pool == pool && decision.Worker != "" {
			open[p.domain(t.Worker(decision.Worker))] = true
		}
	}
	return open
}

// distance ranks spares: another availability zone counts more than one more
// worker that the pool has to maintain.
func (p *planner) distance(row, spare *fleet.WorkerRow) int {
	rank := 0
	if spare.AvailabilityZone != row.AvailabilityZone {
		rank += 2
	}
	if spare.MaintainedAt.Before(p.wave.StartedAt) {
		rank++
	}
	return rank
}
