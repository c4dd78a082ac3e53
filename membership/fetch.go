package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// fetchState is the progress of fetching one kind of document.
type fetchState struct {
	wanted      bool      // this process uses the document
	behindSince time.Time // since when a peer reports a later revision; zero if none does
	earliest    time.Time // earliest time of the next fetch
	inFlight    bool
	lastAsked   table.ID // peer that was asked last
}

// nextDeadline returns the next time at which a fetch may start or times out.
func (f *fetchState) nextDeadline() time.Time {
	if f.behindSince.IsZero() {
		return time.Time{}
	}
	return f.earliest
}

// fetchDocuments requests documents of which peers hold later revisions.
func fetchDocuments(s *State, tick engine.Tick) {
	for kind := DocumentConfig; kind < documentKinds; kind++ {
		if s.fetching[kind].wanted {
			s.fetchDocument(kind, tick.Now)
		}
	}
}

func (s *State) fetchDocument(kind DocumentKind, now time.Time) {
	fetch := &s.fetching[kind]
	id := s.fetchSource(kind, fetch.lastAsked)
	if id == 0 {
		fetch.behindSince, fetch.inFlight = time.Time{}, false
		return
	}
	if fetch.behindSince.IsZero() {
		fetch.behindSince = now
		fetch.earliest = now
		if s.revisions[kind] > 0 {
			fetch.earliest = now.Add(FetchDelay)
		}
	}
	if now.Before(fetch.earliest) {
		return
	}
	peer := s.Peers.Get(id)
	fetch.inFlight, fetch.lastAsked, fetch.earliest = true, id, now.Add(FetchTimeout)
	s.Fetches.Add(Fetch{kind, id, peer.Address, peer.Revisions[kind]})
}

// FetchFinished records the end of a fetch, regardless of its result. If the
// document is now in force, the owner must have called SetRevision before. If a
// later revision is still missing, another peer is asked after FetchRetry.
func (s *State) FetchFinished(kind DocumentKind, peer table.ID, now time.Time) {
	fetch := &s.fetching[kind]
	if fetch.inFlight && fetch.lastAsked == peer {
		fetch.inFlight = false
		fetch.earliest = now.Add(FetchRetry)
	}
}

// fetchSource selects a peer that reports a later revision than the local one. In
// order of priority, it prefers a peer that was not asked last, one that is not
// suspected, and one in the local zone.
func (s *State) fetchSource(kind DocumentKind, lastAsked table.ID) table.ID {
	var best table.ID
	bestRank := 0
	for id, peer := range s.Peers.All() {
		if !peer.Received || peer.Replaced || peer.Revisions[kind] <= s.revisions[kind] {
			continue
		}
		rank := 1
		if id != lastAsked {
			rank += 4
		}
		if !peer.Suspected {
			rank += 2
		}
		if peer.AvailabilityZone == s.self.AvailabilityZone {
			rank++
		}
		if rank > bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}
