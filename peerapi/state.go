package peerapi

import (
	"math"
	"time"

	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

// MessageToProto converts a state message to protobuf.
func MessageToProto(message *membership.Message) *peerpb.State {
	state := &peerpb.State{
		Sender:         memberToProto(&message.Sender),
		Receiver:       message.Receiver,
		Sequence:       message.Sequence,
		Acknowledged:   message.Acknowledged,
		Base:           message.Base,
		ConfigRevision: message.Revisions[membership.DocumentConfig],
		FleetRevision:  message.Revisions[membership.DocumentFleet],
		HomesEpoch:     message.Revisions[membership.DocumentHomes],
		FleetEpoch:     message.FleetEpoch,
	}
	if message.FleetConfirmed {
		age := ceilMilliseconds(message.FleetAge)
		state.FleetAgeMs = &age
	}
	for _, entry := range message.Leaving.Set {
		state.LeavingWorkers = append(state.LeavingWorkers, entry.Name)
	}
	state.ReturnedWorkers = removedNames(message.Leaving.Removed)
	state.DemandNumbers, state.DemandRequests = splitByNumber(message.Demand, func(entry membership.Entry[uint32]) {
		state.Demand = append(state.Demand, &peerpb.PoolDemand{Pool: entry.Name, Number: entry.Number, Requests: entry.Value})
	})
	state.GrantNumbers, state.GrantSlots = splitByNumber(message.Grants, func(entry membership.Entry[uint32]) {
		state.Grants = append(state.Grants, &peerpb.SlotGrant{Worker: entry.Name, Number: entry.Number, Slots: entry.Value})
	})
	for i := range message.Members.Set {
		relayed := &message.Members.Set[i].Value
		member := memberToProto(&relayed.Member)
		member.ConfigRevision = relayed.ConfigRevision
		state.Members = append(state.Members, member)
	}
	state.DepartedMembers = removedNames(message.Members.Removed)
	return state
}

// MessageFromProto converts a state message from protobuf. Missing fields have
// their zero value; a missing age means that the sender's fleet view has not been
// confirmed.
func MessageFromProto(state *peerpb.State) membership.Message {
	message := membership.Message{
		Sender:       memberFromProto(state.GetSender()),
		Receiver:     state.GetReceiver(),
		Sequence:     state.GetSequence(),
		Acknowledged: state.GetAcknowledged(),
		Base:         state.GetBase(),
		Revisions: membership.Revisions{
			membership.DocumentConfig: state.GetConfigRevision(),
			membership.DocumentFleet:  state.GetFleetRevision(),
			membership.DocumentHomes:  state.GetHomesEpoch(),
		},
		FleetEpoch:     state.GetFleetEpoch(),
		FleetConfirmed: state.FleetAgeMs != nil,
		FleetAge:       time.Duration(state.GetFleetAgeMs()) * time.Millisecond,
	}
	for _, worker := range state.GetLeavingWorkers() {
		message.Leaving.Set = append(message.Leaving.Set, membership.Entry[struct{}]{Name: worker})
	}
	message.Leaving.Removed = removalsOf(state.GetReturnedWorkers())
	for _, demand := range state.GetDemand() {
		addEntry(&message.Demand, demand.GetPool(), demand.GetNumber(), demand.GetRequests())
	}
	addNumbered(&message.Demand, state.GetDemandNumbers(), state.GetDemandRequests())
	for _, grant := range state.GetGrants() {
		addEntry(&message.Grants, grant.GetWorker(), grant.GetNumber(), grant.GetSlots())
	}
	addNumbered(&message.Grants, state.GetGrantNumbers(), state.GetGrantSlots())
	for _, member := range state.GetMembers() {
		relayed := membership.RelayedMember{Member: memberFromProto(member), ConfigRevision: member.GetConfigRevision()}
		message.Members.Set = append(message.Members.Set, membership.Entry[membership.RelayedMember]{Name: relayed.Member.Incarnation, Value: relayed})
	}
	message.Members.Removed = removalsOf(state.GetDepartedMembers())
	return message
}

// splitByNumber returns the numbers and values of the entries that the receiver
// knows by number, and passes the others to emit. A removed entry has the value zero.
func splitByNumber(delta membership.Delta[uint32], emit func(membership.Entry[uint32])) (numbers, values []uint32) {
	for _, entry := range delta.Set {
		if entry.Name != "" {
			emit(entry)
			continue
		}
		numbers, values = append(numbers, entry.Number), append(values, entry.Value)
	}
	for _, removal := range delta.Removed {
		if removal.Name != "" {
			emit(membership.Entry[uint32]{Name: removal.Name, Number: removal.Number})
			continue
		}
		numbers, values = append(numbers, removal.Number), append(values, 0)
	}
	return numbers, values
}

func addEntry(delta *membership.Delta[uint32], name string, number, value uint32) {
	if value == 0 {
		delta.Removed = append(delta.Removed, membership.Removal{Name: name, Number: number})
		return
	}
	delta.Set = append(delta.Set, membership.Entry[uint32]{Name: name, Number: number, Value: value})
}

func addNumbered(delta *membership.Delta[uint32], numbers, values []uint32) {
	for i := range min(len(numbers), len(values)) {
		addEntry(delta, "", numbers[i], values[i])
	}
}

func removedNames(removals []membership.Removal) []string {
	var names []string
	for _, removal := range removals {
		names = append(names, removal.Name)
	}
	return names
}

func removalsOf(names []string) []membership.Removal {
	var removals []membership.Removal
	for _, name := range names {
		removals = append(removals, membership.Removal{Name: name})
	}
	return removals
}

func memberToProto(member *membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Incarnation: member.Incarnation, Role: string(member.Role), Address: member.Address,
		AvailabilityZone: member.AvailabilityZone, Active: member.Active, CallerAddress: member.CallerAddress,
	}
}

func memberFromProto(member *peerpb.Member) membership.Member {
	return membership.Member{
		Incarnation: member.GetIncarnation(), Role: membership.Role(member.GetRole()), Address: member.GetAddress(),
		AvailabilityZone: member.GetAvailabilityZone(), Active: member.GetActive(), CallerAddress: member.GetCallerAddress(),
	}
}

// DocumentKindToProto converts a document kind to protobuf.
func DocumentKindToProto(kind membership.DocumentKind) peerpb.DocumentKind {
	switch kind {
	case membership.DocumentConfig:
		return peerpb.DocumentKind_DOCUMENT_KIND_CONFIG
	case membership.DocumentFleet:
		return peerpb.DocumentKind_DOCUMENT_KIND_FLEET
	case membership.DocumentHomes:
		return peerpb.DocumentKind_DOCUMENT_KIND_HOMES
	default:
		return peerpb.DocumentKind_DOCUMENT_KIND_UNSPECIFIED
	}
}

// DocumentKindFromProto converts a document kind from protobuf. It reports false
// for an unknown one.
func DocumentKindFromProto(kind peerpb.DocumentKind) (membership.DocumentKind, bool) {
	switch kind {
	case peerpb.DocumentKind_DOCUMENT_KIND_CONFIG:
		return membership.DocumentConfig, true
	case peerpb.DocumentKind_DOCUMENT_KIND_FLEET:
		return membership.DocumentFleet, true
	case peerpb.DocumentKind_DOCUMENT_KIND_HOMES:
		return membership.DocumentHomes, true
	default:
		return 0, false
	}
}

// ceilMilliseconds rounds up to milliseconds, so that an age on the wire is never
// below the real one. It clamps the result to the range of uint32.
func ceilMilliseconds(d time.Duration) uint32 {
	rounded := (max(0, d) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(rounded, math.MaxUint32))
}
