// Package idempotency determines the home gateway of an idempotency key and keeps
// the records of keys at their home, so that a request runs at most once per key.
// It does no I/O: the control loop passes documents and acknowledgements to a
// Tracker, and the traffic threads query the View that it produces.
package idempotency

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is a gateway that is listed as a home.
type Member struct {
	Incarnation string
	Address     string // peer address, ip:port
}

// Homes is the list of homes in one epoch, as kept in the store.
type Homes struct {
	Epoch   uint64
	First   bool     // epoch 1 was created with no earlier document, so there is no predecessor
	Members []Member // ordered by incarnation
}

// Home returns the member that rendezvous hashing selects for the key. It
// reports false for an empty list.
func (h *Homes) Home(key string) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, member := range h.Members {
		score := rendezvousScore(member.Incarnation, key)
		if !found || score > bestScore || (score == bestScore && member.Incarnation < best.Incarnation) {
			best, bestScore, found = member, score, true
		}
	}
	return best, found
}

// Contains reports whether the incarnation is listed.
func (h *Homes) Contains(incarnation string) bool {
	return slices.ContainsFunc(h.Members, func(m Member) bool { return m.Incarnation == incarnation })
}

// rendezvousScore separates the two strings with a zero byte, which neither may
// contain, so that different pairs never hash the same bytes.
func rendezvousScore(incarnation, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(incarnation)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// InitialHomes returns the document that a gateway writes when the store holds
// none. It must be written with a compare-and-swap that requires the absence of a
// document.
func InitialHomes(self Member) Homes {
	return Homes{Epoch: 1, First: true, Members: []Member{self}}
}

// NextHomes returns the document that the gateway should write next, and false
// if the current one needs no change. It adds self and removes members without
// a lease. It never adds other gateways: each joins by itself once it is ready.
//
// live lists the incarnations that hold a lease. It must be read from the store
// after current was read: a member takes its lease before it joins, so the
// lease of a listed member that is missing in a later listing has ended.
func NextHomes(current Homes, live []string, self Member) (Homes, bool) {
	next := Homes{Epoch: current.Epoch + 1}
	for _, member := range current.Members {
		if member.Incarnation != self.Incarnation && slices.Contains(live, member.Incarnation) {
			next.Members = append(next.Members, member)
		}
	}
	if slices.Contains(live, self.Incarnation) {
		next.Members = append(next.Members, self)
	}
	sortMembers(next.Members)
	return next, !slices.Equal(next.Members, current.Members)
}

// WithoutSelf returns the document that a gateway writes when it shuts down, and
// false if it is not listed. The gateway must have stopped acting as a home before.
func WithoutSelf(current Homes, self string) (Homes, bool) {
	if !current.Contains(self) {
		return Homes{}, false
	}
	members := slices.DeleteFunc(slices.Clone(current.Members), func(m Member) bool { return m.Incarnation == self })
	return Homes{Epoch: current.Epoch + 1, Members: members}, true
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Incarnation, b.Incarnation) })
}
