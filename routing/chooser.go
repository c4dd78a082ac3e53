package routing

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// ChoiceCriteria is what target choice needs to know about a request.
type ChoiceCriteria struct {
	Exclude            table.ID // target of the failed attempt, or zero
	Idempotent         bool
	Urgent             bool
	UncreditedAttempts int // earlier attempts beyond the credits
}

// Choice is a chosen target. The zero Target means that none can take the
// request now.
type Choice struct {
	Target     table.ID
	Uncredited bool // sent without a slot credit
	Probe      bool // tests whether an ejected target has recovered
}

// Chooser selects a target among those that can take a request now.
type Chooser interface {
	Choose(fleet *TargetTable, targets *PoolTargets, candidate ChoiceCriteria, now time.Time) Choice
}

// ChooseTarget selects the target of an attempt: a half-open target that needs a probe,
// or else what the chooser selects. The target of the failed attempt is used
// only when no other target is reachable.
func ChooseTarget(fleet *TargetTable, targets *PoolTargets, chooser Chooser, candidate ChoiceCriteria, now time.Time) Choice {
	if targets.Reachable <= 1 {
		candidate.Exclude = 0
	}
	if choice, ok := probe(fleet, targets, candidate, now); ok {
		return choice
	}
	return chooser.Choose(fleet, targets, candidate, now)
}

func probe(fleet *TargetTable, targets *PoolTargets, candidate ChoiceCriteria, now time.Time) (Choice, bool) {
	if targets.probing.Len() == 0 || candidate.Urgent {
		return Choice{}, false
	}
	id := targets.probing.At(fleet.Random.IntN(targets.probing.Len()))
	waited := now.Sub(fleet.Rows.Get(id).circuit.until)
	if id == candidate.Exclude || (!candidate.Idempotent && waited < probeAnyAfter) {
		return Choice{}, false
	}
	return Choice{Target: id, Probe: true}, true
}

// PowerOfTwoChoices is the baseline: two random targets, of which the one with less
// local load is used.
type PowerOfTwoChoices struct{}

// Choose implements Chooser.
func (PowerOfTwoChoices) Choose(fleet *TargetTable, targets *PoolTargets, candidate ChoiceCriteria, now time.Time) Choice {
	return Choice{Target: acrossZones(fleet, &targets.ready, candidate.Exclude, now)}
}

// Bounds of the attempts beyond the credits. They find slots that were granted
// to gateways which do not use them.
const (
	beyondPerRequest = 2
	beyondShare      = 4 // one attempt in flight for so many targets of the pool
	beyondPauseLeast = 40 * time.Millisecond
	beyondPauseMost  = 500 * time.Millisecond
)

// CreditsFirst uses slot credits, and then a bounded number of tries beyond
// them. While no credits are known for a pool, it is the baseline.
type CreditsFirst struct{}

// Choose implements Chooser.
func (CreditsFirst) Choose(fleet *TargetTable, targets *PoolTargets, candidate ChoiceCriteria, now time.Time) Choice {
	if targets.granted.Len() == 0 {
		return PowerOfTwoChoices{}.Choose(fleet, targets, candidate, now)
	}
	if id := acrossZones(fleet, &targets.credited, candidate.Exclude, now); id != 0 {
		return Choice{Target: id}
	}
	if candidate.UncreditedAttempts >= beyondPerRequest || now.Before(targets.resume) ||
		targets.beyond >= max(1, targets.Reachable/beyondShare) {
		return Choice{}
	}
	id := acrossZones(fleet, &targets.ready, candidate.Exclude, now)
	return Choice{Target: id, Uncredited: id != 0}
}

// zonePreference is the load by which a target of the own zone may exceed one of
// another zone and is still preferred. A larger difference would overload the
// own zone when callers use its gateways more than others.
const zonePreference = 1.0

// acrossZones draws two targets of the own zone and two of the others, and
// prefers the own zone unless it is clearly more loaded.
func acrossZones(fleet *TargetTable, sets *[zoneGroups]table.Set, exclude table.ID, now time.Time) table.ID {
	local, localLoad := lessLoaded(fleet, &sets[localZone], exclude, now)
	other, otherLoad := lessLoaded(fleet, &sets[otherZones], exclude, now)
	if local == 0 || (other != 0 && localLoad > otherLoad+zonePreference) {
		return other
	}
	return local
}

// lessLoaded draws two different rows of the set and returns the less loaded
// one, or zero. Equal load falls to the first.
func lessLoaded(fleet *TargetTable, set *table.Set, exclude table.ID, now time.Time) (table.ID, float64) {
	count := set.Len()
	if exclude != 0 && set.Contains(exclude) {
		count--
	} else {
		exclude = 0
	}
	if count == 0 {
		return 0, 0
	}
	first := fleet.Random.IntN(count)
	best := member(set, first, exclude)
	load := fleet.Rows.Get(best).Load(now)
	if count == 1 {
		return best, load
	}
	second := fleet.Random.IntN(count - 1)
	if second >= first {
		second++
	}
	other := member(set, second, exclude)
	if otherLoad := fleet.Rows.Get(other).Load(now); otherLoad < load {
		return other, otherLoad
	}
	return best, load
}

// member returns the row at position i of the set without the excluded row,
// whose place the last row takes.
func member(set *table.Set, i int, exclude table.ID) table.ID {
	id := set.At(i)
	if exclude != 0 && id == exclude {
		return set.At(set.Len() - 1)
	}
	return id
}
