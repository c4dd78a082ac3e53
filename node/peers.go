package node

import (
	"encoding/json"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/exchange"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Member converts the identity to the type that the peer protocol uses.
func (i Identity) Member() membership.Member {
	return membership.Member{
		Incarnation: i.Incarnation, Role: membership.Role(i.Role), Address: i.PeerAddress,
		AvailabilityZone: i.AvailabilityZone, CallerAddress: i.PublicAddress,
	}
}

// ReportRevisions sets the document revisions that the process reports to its peers,
// and the time at which its view of the fleet was last confirmed.
func ReportRevisions(v *View, peers *membership.State, tick engine.Tick) {
	if v.Config != nil {
		peers.SetRevision(membership.DocumentConfig, uint64(v.Config.Revision), tick.Now)
	}
	if v.Fleet != nil {
		peers.SetRevision(membership.DocumentFleet, v.Fleet.Revision, tick.Now)
		peers.SetFleetView(v.Fleet.Epoch, v.FleetConfirmedAt())
	}
	if v.Homes != nil {
		peers.SetRevision(membership.DocumentHomes, v.Homes.Epoch, tick.Now)
	}
}

// UpdateMembers passes newly read registrations to the peer table.
func UpdateMembers(v *View, peers *membership.State, tick engine.Tick) {
	if v.MembersReadAt.IsZero() || v.MembersReadAt.Equal(v.membersSyncedAt) {
		return
	}
	v.membersSyncedAt = v.MembersReadAt
	members := make([]membership.Member, len(v.Members))
	for i := range v.Members {
		members[i] = v.Members[i].Member()
	}
	peers.SetMembers(members, tick.Now)
}

// FinishFetch marks a fetch as completed in the peer state. The caller must have
// applied the fetched document, if any, before.
func FinishFetch(v *View, peers *membership.State, tick engine.Tick, fetched exchange.Fetched) {
	ReportRevisions(v, peers, tick)
	peers.FetchFinished(fetched.Kind, fetched.Peer, tick.Now)
}

// PublishDocuments publishes new documents for peers to fetch. A document is
// encoded only when a peer requests it, because nearly all processes receive it
// through the store watch.
func PublishDocuments(v *View, e *exchange.Exchange) {
	if config := v.Config; config != nil && config != v.publishedConfig {
		e.Publish(membership.DocumentConfig, uint64(config.Revision), func() ([]byte, error) { return policy.Encode(config) })
		v.publishedConfig = config
	}
	if document := v.Fleet; document != nil && document != v.publishedFleet {
		e.Publish(membership.DocumentFleet, document.Revision, func() ([]byte, error) { return EncodeFleet(document) })
		v.publishedFleet = document
	}
	if homes := v.Homes; homes != nil && homes != v.publishedHomes {
		e.Publish(membership.DocumentHomes, homes.Epoch, func() ([]byte, error) { return json.Marshal(homes) })
		v.publishedHomes = homes
	}
}
