package idempotency

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
)

// Time limits. The clocks of gateways and callers may differ from each other by at
// most ClockMargin.
const (
	ClockMargin = 2 * time.Second
	// Retention is the time for which the record of a finished request is kept.
	Retention = 10 * time.Minute
	// takeoverMargin covers the clock of the previous home and that of the
	// issuer: a key that the previous home could have accepted carries an issue
	// time of at most the takeover plus two margins.
	takeoverMargin = 2 * ClockMargin
)

// View is what a gateway knows about homes at one moment. It is immutable.
type View struct {
	Self       string    // incarnation of this gateway
	LeaseUntil time.Time // expiry of its store lease, local monotonic time minus a safety margin
	Epochs     []Epoch   // contiguous epochs, ending with the current one
	Gateways   Gateways
}

// Gateways is what a gateway knows about the gateways of the site. It is used to find
// the home of an issued key and may omit this gateway.
type Gateways struct {
	// Addresses maps incarnations to peer addresses. The address is empty if another
	// process has it by now.
	Addresses map[string]string
	// ReadAt is the time at which the registrations were read last. A gateway that is
	// missing here may have registered since then.
	ReadAt time.Time
}

// Epoch is one known epoch of the homes list.
type Epoch struct {
	Homes
	Settled   bool      // every member acknowledged this or a later epoch
	SettledAt time.Time // wall clock of this gateway
}

// RouteKind tells where a keyed request is handled.
type RouteKind uint8

// The kinds of route.
const (
	// RouteLocal means that this gateway is the home.
	RouteLocal RouteKind = iota + 1
	// RouteRemote means that the gateway at Route.Address is the home.
	RouteRemote
	// RouteRejected means that the request ends with Route.Outcome.
	RouteRejected
)

// Route is the decision on a keyed request.
type Route struct {
	Kind    RouteKind
	Address string          // for RouteRemote
	Outcome outcome.Outcome // for RouteRejected, and for RouteLocal as described below
	// HistoryComplete is set for RouteLocal if this home would have a record of
	// any earlier use of the key. Otherwise, a request whose key has no record
	// ends with Outcome.
	HistoryComplete bool
}

// Route decides where a request with the key is handled at the time now. The
// gateway repeats the decision before each attempt, because its lease may have
// expired, or it may have been removed from the list, while the request waited.
func (v *View) Route(key string, now time.Time) Route {
	if incarnation, issuedAt, ok := parseIssuedKey(key); ok {
		return v.routeIssued(incarnation, issuedAt, now)
	}
	if len(v.Epochs) == 0 {
		return reject(outcome.NotRunBecause(outcome.ReasonNoHome))
	}
	issuedAt, hasIssueTime := issueTime(key)
	if hasIssueTime && issuedAt.After(now.Add(ClockMargin)) {
		return reject(outcome.NotRunBecause(outcome.ReasonKeyFuture))
	}
	home, ok := v.Epochs[len(v.Epochs)-1].Home(key)
	if !ok {
		return reject(outcome.NotRunBecause(outcome.ReasonNoHome))
	}
	if home.Incarnation != v.Self {
		return Route{Kind: RouteRemote, Address: home.Address}
	}
	return v.routeLocal(key, issuedAt, hasIssueTime, now)
}

func (v *View) routeLocal(key string, issuedAt time.Time, hasIssueTime bool, now time.Time) Route {
	takeover, settled := v.takeover(key)
	if !settled || !now.Before(v.LeaseUntil) {
		return reject(outcome.NotRunBecause(outcome.ReasonNoHome))
	}
	route := Route{Kind: RouteLocal, Outcome: outcome.UnknownBecause(outcome.ReasonBeforeTakeover)}
	if !hasIssueTime {
		route.HistoryComplete = takeover.IsZero() || !now.Before(takeover.Add(Retention))
		return route
	}
	if !takeover.IsZero() && issuedAt.Before(takeover.Add(takeoverMargin)) {
		return route
	}
	route.HistoryComplete = withinRetention(issuedAt, now)
	route.Outcome = outcome.UnknownBecause(outcome.ReasonKeyExpired)
	return route
}

func (v *View) routeIssued(incarnation string, issuedAt, now time.Time) Route {
	if incarnation == v.Self {
		return Route{Kind: RouteLocal, HistoryComplete: withinRetention(issuedAt, now), Outcome: outcome.UnknownBecause(outcome.ReasonKeyExpired)}
	}
	address, known := v.Gateways.Addresses[incarnation]
	switch {
	case address != "":
		return Route{Kind: RouteRemote, Address: address}
	case !known && issuedAt.After(v.Gateways.ReadAt.Add(-ClockMargin)):
		return reject(outcome.NotRunBecause(outcome.ReasonNoHome)) // the issuer may have registered since
	default:
		return reject(outcome.UnknownBecause(outcome.ReasonHomeLost))
	}
}

// withinRetention reports whether a record of an earlier use of the key would still
// exist. The first use is at most ClockMargin before the issue time of the key.
func withinRetention(issuedAt, now time.Time) bool {
	return now.Sub(issuedAt) < Retention-ClockMargin
}

// takeover returns the time since which this gateway has been the home of the key
// without interruption. It reports false while no epoch since then is settled. The
// zero time means that there was no earlier home.
//
// The key must have the same home in every epoch since the last settled one,
// and no epoch may be missing: another gateway may have become home in between.
func (v *View) takeover(key string) (time.Time, bool) {
	var since time.Time
	settled := false
	for i := len(v.Epochs) - 1; i >= 0; i-- {
		epoch := &v.Epochs[i]
		if home, ok := epoch.Home(key); !ok || home.Incarnation != v.Self {
			break
		}
		if epoch.Settled {
			since, settled = epoch.SettledAt, true
			if epoch.First {
				return time.Time{}, true
			}
		}
	}
	return since, settled
}

func reject(result outcome.Outcome) Route { return Route{Kind: RouteRejected, Outcome: result} }
