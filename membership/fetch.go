package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// fetchState is the progress of fetching one kind of document.
type fetchState struct {
	wanted   bool      // this process uses the document
	behind   time.Time // since when a peer reports a later revision; zero if none does
	notYet   time.Time // no fetch before this moment
	inFlight bool
	last     table.ID // peer that was asked last
}

// due returns the next moment at which a fetch may start or is given up.
func (f *fetchState) due() time.Time {
	if f.behind.IsZero() {
		return time.Time{}
	}
	return f.notYet
}

// fetchDocuments asks peers for documents that are later than the own ones.
func fetchDocuments(s *State, tick engine.Tick) {
	for kind := DocumentConfig; kind < documentKinds; kind++ {
		if s.fetching[kind].wanted {
			s.fetchDocument(kind, tick.Now)
		}
	}
}

func (s *State) fetchDocument(kind DocumentKind, now time.Time) {
	fetch := &s.fetching[kind]
	id := s.holder(kind, fetch.last)
	if id == 0 {
		fetch.behind, fetch.inFlight = time.Time{}, false
		return
	}
	if fetch.behind.IsZero() {
		fetch.behind = now
		fetch.notYet = now
		if s.revisions[kind] > 0 {
			fetch.notYet = now.Add(FetchDelay)
		}
	}
	if now.Before(fetch.notYet) {
		return
	}
	peer := s.Peers.Get(id)
	fetch.inFlight, fetch.last, fetch.notYet = true, id, now.Add(FetchTimeout)
	s.Fetches.Add(Fetch{kind, id, peer.Address, peer.Revisions[kind]})
}

// FetchFinished records the end of a fetch, whatever its result. The owner has
// set the revision before if the document is in force. Another peer is asked
// after a pause if a later revision is still missing.
func (s *State) FetchFinished(kind DocumentKind, peer table.ID, now time.Time) {
	fetch := &s.fetching[kind]
	if fetch.inFlight && fetch.last == peer {
		fetch.inFlight = false
		fetch.notYet = now.Add(FetchRetry)
	}
}

// holder returns the best peer that reports a later revision than the own one:
// not the one that was asked last, not suspected, in the own zone.
func (s *State) holder(kind DocumentKind, last table.ID) table.ID {
	var best table.ID
	bestRank := 0
	for id, peer := range s.Peers.All() {
		if !peer.Heard || peer.Replaced || peer.Revisions[kind] <= s.revisions[kind] {
			continue
		}
		rank := 1
		if id != last {
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
