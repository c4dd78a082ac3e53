// Package node implements what all processes of the system have in common: the
// identity, the registration and lease in the store, the local view of
// configuration and fleet with its age, and the I/O that keeps the view up to
// date. The view is part of a role's control state; the I/O goroutines only post
// events to the role's control loop.
package node

import "strings"

// Keys builds the store keys of a site.
type Keys struct{ site, prefix string }

// NewKeys returns the keys of a site.
func NewKeys(site string) Keys { return Keys{site: site, prefix: "/waxwing/" + site + "/"} }

// Site returns the name of the site.
func (k Keys) Site() string { return k.site }

// SharedPrefix is the key prefix that every process watches.
func (k Keys) SharedPrefix() string { return k.prefix + "shared/" }

// Config is the key of the configuration document.
func (k Keys) Config() string { return k.SharedPrefix() + "config" }

// Fleet is the key of the fleet document.
func (k Keys) Fleet() string { return k.SharedPrefix() + "fleet" }

// Homes is the key of the list of homes of idempotency keys.
func (k Keys) Homes() string { return k.SharedPrefix() + "homes" }

// Leader is the key of the active controller's identity.
func (k Keys) Leader() string { return k.SharedPrefix() + "leader" }

// MembersPrefix is the key prefix of the registrations of live processes.
func (k Keys) MembersPrefix() string { return k.prefix + "members/" }

// Member is the registration key of one process.
func (k Keys) Member(incarnation string) string { return k.MembersPrefix() + incarnation }

// ConfigHistory is the key of the previous configuration documents.
func (k Keys) ConfigHistory() string { return k.prefix + "config-history" }

// JobPage is the key of a page of jobs.
func (k Keys) JobPage(page string) string { return k.prefix + "jobs/" + page }

// Incarnation extracts the incarnation from a registration key.
func (k Keys) Incarnation(memberKey string) string {
	return strings.TrimPrefix(memberKey, k.MembersPrefix())
}
