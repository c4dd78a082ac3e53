package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// liveGateway is a gateway that takes part in the division of slots. The zero peer
// means this gateway.
type liveGateway struct {
	incarnation string
	peer        table.ID
}

// liveGateways lists the live gateways, including this one, ordered by incarnation,
// so that all gateways with the same view of their peers divide slots in the same
// way.
func (s *State) liveGateways() []liveGateway {
	rows := []liveGateway{{incarnation: s.View.Self.Incarnation}}
	for id, peer := range s.Peers.Peers.All() {
		if peer.Role == membership.Gateway && peer.Received && !peer.Suspected && !peer.Replaced {
			rows = append(rows, liveGateway{peer.Incarnation, id})
		}
	}
	slices.SortFunc(rows, func(a, b liveGateway) int { return cmp.Compare(a.incarnation, b.incarnation) })
	return rows
}

// reportDemand reports the number of queued and running requests to the peers.
func reportDemand(s *State, _ engine.Tick) {
	for pool, requests := range s.demand {
		s.Peers.SetDemand(pool, uint32(max(0, requests)))
		if requests == 0 {
			delete(s.demand, pool)
		}
	}
}

// grantSlots divides the slots of the targets for which this gateway is the grantor.
// If gateways have different views of their peers, a slot may be granted twice; the
// target then refuses a request.
func grantSlots(s *State, tick engine.Tick) {
	if s.View.Fleet == nil || s.View.Policy == nil || tick.Now.Sub(s.grantedAt) < grantInterval {
		return
	}
	s.grantedAt = tick.Now
	s.grantVersion++
	gateways := s.liveGateways()
	demand := make(map[string][]int)
	for i := range s.View.Fleet.Workers {
		worker := &s.View.Fleet.Workers[i]
		slots := 0
		if pool, ok := s.View.Policy.Pool(worker.Pool); ok && s.target(worker.ID).usable && s.isGrantorOf(gateways, worker.ID) {
			slots = pool.SlotsPerTarget
		}
		if demand[worker.Pool] == nil {
			demand[worker.Pool] = s.poolDemand(gateways, worker.Pool)
		}
		s.setGrants(gateways, worker.ID, routing.GrantSlots(slots, demand[worker.Pool], int(xxhash.Sum64String(worker.ID)%uint64(len(gateways)))))
	}
}

// isGrantorOf reports whether rendezvous hashing selects this gateway as the grantor
// of the worker's slots.
func (s *State) isGrantorOf(gateways []liveGateway, worker string) bool {
	var best liveGateway
	var bestScore uint64
	for _, gateway := range gateways {
		if score := xxhash.Sum64String(gateway.incarnation + "\x00" + worker); score >= bestScore {
			best, bestScore = gateway, score
		}
	}
	return best.peer == 0
}

// poolDemand returns the demand of each gateway in the pool.
func (s *State) poolDemand(gateways []liveGateway, pool string) []int {
	demand := make([]int, len(gateways))
	for row := range s.Peers.Demand.ByName(pool) {
		if i := slices.IndexFunc(gateways, func(g liveGateway) bool { return g.peer == row.Peer }); i >= 0 {
			demand[i] = int(row.Value)
		}
	}
	for i, gateway := range gateways {
		if gateway.peer == 0 {
			demand[i] = s.demand[pool]
		}
	}
	return demand
}

func (s *State) setGrants(gateways []liveGateway, worker string, grants []int) {
	for i, gateway := range gateways {
		switch {
		case gateway.peer != 0:
			s.Peers.SetGrant(gateway.peer, worker, uint32(grants[i]))
		case grants[i] == 0:
			delete(s.ownCredits, worker)
		default:
			s.ownCredits[worker] = grants[i]
		}
	}
}
