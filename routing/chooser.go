package routing

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// ChoiceCriteria describes a request to a Chooser.
type ChoiceCriteria struct {
	Exclude            table.ID // target of the failed attempt, or zero
	Idempotent         bool
	Urgent             bool
	UncreditedAttempts int // earlier attempts of the request that were sent without a slot credit
}

// Choice is a selected target. A zero Target means that no target can accept the
// request at present.
type Choice struct {
	Target     table.ID
	Uncredited bool // sent without a slot credit
	Probe      bool // tests whether an ejected target has recovered
}

// Chooser selects one of the targets that can accept a request.
type Chooser interface {
	Choose(targets *TargetTable, pool *PoolTargets, criteria ChoiceCriteria, now time.Time) Choice
}

// ChooseTarget selects the target of an attempt: a half-open target that is due
// for a probe, or else the selection of the chooser. The target of the failed
// attempt is used only when no other target is reachable.
func ChooseTarget(targets *TargetTable, pool *PoolTargets, chooser Chooser, criteria ChoiceCriteria, now time.Time) Choice {
	if pool.Reachable <= 1 {
		criteria.Exclude = 0
	}
	if choice, ok := probe(targets, pool, criteria, now); ok {
		return choice
	}
	return chooser.Choose(targets, pool, criteria, now)
}

func probe(targets *TargetTable, pool *PoolTargets, criteria ChoiceCriteria, now time.Time) (Choice, bool) {
	if pool.probeable.Len() == 0 || criteria.Urgent {
		return Choice{}, false
	}
	id := pool.probeable.At(targets.Random.IntN(pool.probeable.Len()))
	waited := now.Sub(targets.Rows.Get(id).circuit.ejectedUntil)
	if id == criteria.Exclude || (!criteria.Idempotent && waited < probeAnyAfter) {
		return Choice{}, false
	}
	return Choice{Target: id, Probe: true}, true
}

// PowerOfTwoChoices is the baseline strategy: of two random targets, it uses the
// one with less local load, with a preference for the local zone.
type PowerOfTwoChoices struct{}

// Choose implements Chooser.
func (PowerOfTwoChoices) Choose(targets *TargetTable, pool *PoolTargets, criteria ChoiceCriteria, now time.Time) Choice {
	return Choice{Target: preferLocalZone(targets, &pool.ready, criteria.Exclude, now)}
}

// Limits of uncredited attempts, which are sent without a slot credit. They make
// use of slots that were granted to other gateways and are idle.
const (
	maxUncreditedPerRequest     = 2
	targetsPerUncreditedAttempt = 4 // one attempt in flight per this number of reachable targets
	minUncreditedPause          = 40 * time.Millisecond
	maxUncreditedPause          = 500 * time.Millisecond
)

// CreditsFirst uses targets with free slot credits, and then a limited number of
// uncredited attempts. For a pool without known credits, it falls back to the
// baseline strategy.
type CreditsFirst struct{}

// Choose implements Chooser.
func (CreditsFirst) Choose(targets *TargetTable, pool *PoolTargets, criteria ChoiceCriteria, now time.Time) Choice {
	if pool.granted.Len() == 0 {
		return PowerOfTwoChoices{}.Choose(targets, pool, criteria, now)
	}
	if id := preferLocalZone(targets, &pool.credited, criteria.Exclude, now); id != 0 {
		return Choice{Target: id}
	}
	if criteria.UncreditedAttempts >= maxUncreditedPerRequest || now.Before(pool.uncreditedAfter) ||
		pool.uncredited >= max(1, pool.Reachable/targetsPerUncreditedAttempt) {
		return Choice{}
	}
	id := preferLocalZone(targets, &pool.ready, criteria.Exclude, now)
	return Choice{Target: id, Uncredited: id != 0}
}

// zonePreference is the additional load that a target in the local zone may have
// and still be preferred to one in another zone. A larger value would overload
// the local zone when its gateways receive more requests than others.
const zonePreference = 1.0

// preferLocalZone samples two targets in the local zone and two in other zones.
// It selects the local one unless its load is higher by more than zonePreference.
func preferLocalZone(targets *TargetTable, sets *[zoneGroups]table.Set, exclude table.ID, now time.Time) table.ID {
	local, localLoad := lessLoadedOfTwo(targets, &sets[localZone], exclude, now)
	other, otherLoad := lessLoadedOfTwo(targets, &sets[otherZones], exclude, now)
	if local == 0 || (other != 0 && localLoad > otherLoad+zonePreference) {
		return other
	}
	return local
}

// lessLoadedOfTwo samples two different rows of the set and returns the less
// loaded one, or zero if there is none. On equal load it returns the first sample.
func lessLoadedOfTwo(targets *TargetTable, set *table.Set, exclude table.ID, now time.Time) (table.ID, float64) {
	count := set.Len()
	if exclude != 0 && set.Contains(exclude) {
		count--
	} else {
		exclude = 0
	}
	if count == 0 {
		return 0, 0
	}
	first := targets.Random.IntN(count)
	best := memberExcluding(set, first, exclude)
	load := targets.Rows.Get(best).Load(now)
	if count == 1 {
		return best, load
	}
	second := targets.Random.IntN(count - 1)
	if second >= first {
		second++
	}
	other := memberExcluding(set, second, exclude)
	if otherLoad := targets.Rows.Get(other).Load(now); otherLoad < load {
		return other, otherLoad
	}
	return best, load
}

// memberExcluding returns the row at position i of the set without the excluded
// row. The last row takes the position of the excluded one.
func memberExcluding(set *table.Set, i int, exclude table.ID) table.ID {
	id := set.At(i)
	if exclude != 0 && id == exclude {
		return set.At(set.Len() - 1)
	}
	return id
}
