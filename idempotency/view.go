package idempotency

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
)

// Limits of the scheme. Clocks of gateways and callers may differ from each
// other by at most ClockMargin.
const (
	ClockMargin = 2 * time.Second
	// Retention is the time for which a finished key is remembered.
	Retention = 10 * time.Minute
	// takeoverMargin covers the clock of the previous home and that of the
	// issuer: a key that the previous home could have accepted carries an issue
	// time of at most the takeover plus two margins.
	takeoverMargin = 2 * ClockMargin
)

// View is what a gateway knows about homes at one moment. It is immutable.
type View struct {
	Self       string    // own incarnation
	LeaseUntil time.Time // own store lease, local monotonic time minus a safety margin
	Epochs     []Epoch   // contiguous epochs, ending with the current one
	// Gateways maps the incarnation of each live gateway, self excluded or not,
	// to its peer address. Issued keys are found through it.
	Gateways map[string]string
}

// Epoch is one known epoch of the homes list.
type Epoch struct {
	Homes
	Settled   bool      // every member acknowledged this or a later epoch
	SettledAt time.Time // wall clock of this gateway
}

// RouteKind says where a keyed request is handled.
type RouteKind uint8

// The places of a keyed request.
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
	Address string          // for Elsewhere
	Outcome outcome.Outcome // for Nowhere
	// HistoryComplete is set for Here: this home would know of an earlier use of the key.
	// Otherwise a key without a record ends with Outcome.
	HistoryComplete bool
}

// Route decides where a request with the key is handled at the moment now. The
// gateway of the view repeats the decision before each attempt, because its
// lease or its place in the list may have ended while the request waited.
func (v *View) Route(key string, now time.Time) Route {
	if incarnation, issuedAt, ok := parseIssued(key); ok {
		return v.routeIssued(incarnation, issuedAt, now)
	}
	if len(v.Epochs) == 0 {
		return nowhere(outcome.NotRunBecause(outcome.ReasonNoHome))
	}
	issuedAt, timed := issueTime(key)
	if timed && issuedAt.After(now.Add(ClockMargin)) {
		return nowhere(outcome.NotRunBecause(outcome.ReasonKeyFuture))
	}
	home, ok := v.Epochs[len(v.Epochs)-1].Home(key)
	if !ok {
		return nowhere(outcome.NotRunBecause(outcome.ReasonNoHome))
	}
	if home.Incarnation != v.Self {
		return Route{Kind: RouteRemote, Address: home.Address}
	}
	return v.routeHere(key, issuedAt, timed, now)
}

func (v *View) routeHere(key string, issuedAt time.Time, timed bool, now time.Time) Route {
	takeover, settled := v.takeover(key)
	if !settled || !now.Before(v.LeaseUntil) {
		return nowhere(outcome.NotRunBecause(outcome.ReasonNoHome))
	}
	route := Route{Kind: RouteLocal, Outcome: outcome.UnknownBecause(outcome.ReasonBeforeTakeover)}
	if !timed {
		route.HistoryComplete = takeover.IsZero() || !now.Before(takeover.Add(Retention))
		return route
	}
	if !takeover.IsZero() && issuedAt.Before(takeover.Add(takeoverMargin)) {
		return route
	}
	route.HistoryComplete = recent(issuedAt, now)
	route.Outcome = outcome.UnknownBecause(outcome.ReasonKeyExpired)
	return route
}

func (v *View) routeIssued(incarnation string, issuedAt, now time.Time) Route {
	if incarnation == v.Self {
		return Route{Kind: RouteLocal, HistoryComplete: recent(issuedAt, now), Outcome: outcome.UnknownBecause(outcome.ReasonKeyExpired)}
	}
	if address, ok := v.Gateways[incarnation]; ok {
		return Route{Kind: RouteRemote, Address: address}
	}
	return nowhere(outcome.UnknownBecause(outcome.ReasonHomeLost))
}

// recent reports whether an earlier use of the key would still be on record. A
// key is first used at the earliest one margin before its issue time.
func recent(issuedAt, now time.Time) bool {
	return now.Sub(issuedAt) < Retention-ClockMargin
}

// takeover returns the time since which this gateway has been the home of the
// key without interruption. It reports false while no epoch since then is
// settled. The zero time means that there was no earlier home.
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

func nowhere(result outcome.Outcome) Route { return Route{Kind: RouteRejected, Outcome: result} }
