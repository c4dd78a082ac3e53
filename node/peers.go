package node

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/membership"
)

// Member converts the identity to the form of the peer exchange.
func (i Identity) Member() membership.Member {
	return membership.Member{
		Incarnation: i.Incarnation, Role: membership.Role(i.Role), Address: i.PeerAddress,
		AvailabilityZone: i.AvailabilityZone, CallerAddress: i.PublicAddress,
	}
}

// ReportView tells the peer exchange which revisions the process holds and when
// its view of the fleet was last confirmed.
func ReportView(v *View, peers *membership.State, tick engine.Tick) {
	if v.Config != nil {
		peers.SetRevision(membership.DocumentConfig, uint64(v.Config.Revision), tick.Now)
	}
	if v.Fleet != nil {
		peers.SetRevision(membership.DocumentFleet, v.Fleet.Revision, tick.Now)
		peers.SetFleetView(v.Fleet.Epoch, v.FleetConfirmed())
	}
}

// FollowMembers hands new registrations to the peer exchange.
func FollowMembers(v *View, peers *membership.State, tick engine.Tick) {
	if v.RegisteredAt.IsZero() || v.RegisteredAt.Equal(v.membersTold) {
		return
	}
	v.membersTold = v.RegisteredAt
	members := make([]membership.Member, len(v.Registered))
	for i := range v.Registered {
		members[i] = v.Registered[i].Member()
	}
	peers.SetMembers(members, tick.Now)
}

// LogPeerChanges turns changes of the peer table into log events.
func LogPeerChanges(v *View, peers *membership.State) {
	peers.Changes.Drain(func(change membership.Change) {
		fields := []events.Field{
			events.F("peer", change.Member.Incarnation), events.F("address", change.Member.Address),
			events.F("peer_role", change.Member.Role),
		}
		switch change.Kind {
		case membership.PeerJoined:
			v.Log(events.PeerJoined, fields...)
		case membership.PeerSuspected:
			v.Log(events.PeerSuspected, fields...)
		case membership.PeerRecovered:
			v.Log(events.PeerRecovered, fields...)
		case membership.PeerReplaced, membership.PeerRemoved:
			v.Log(events.PeerRemoved, fields...)
		}
	})
}
