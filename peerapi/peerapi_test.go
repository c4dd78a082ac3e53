package peerapi

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

func sample() membership.Message {
	return membership.Message{
		Sender:   membership.Member{Incarnation: "a", Role: membership.Gateway, Address: "127.0.0.1:1", AvailabilityZone: "z", CallerAddress: "127.0.0.1:2", Active: true},
		Receiver: "b", Sequence: 9, Acknowledged: 8, Base: 7, Revisions: membership.Revisions{3, 4, 5}, FleetEpoch: 6,
		FleetConfirmed: true, FleetAge: 250 * time.Millisecond,
		Demand:  membership.Delta[uint32]{Set: []membership.Entry[uint32]{{Name: "p", Number: 3, Value: 4}, {Number: 2, Value: 300}}, Removed: []membership.Removal{{Number: 1}}},
		Leaving: membership.Delta[struct{}]{Set: []membership.Entry[struct{}]{{Name: "w1"}}, Removed: []membership.Removal{{Name: "w2"}}},
		Grants:  membership.Delta[uint32]{Set: []membership.Entry[uint32]{{Name: "w3", Number: 1, Value: 8}}, Removed: []membership.Removal{{Name: "w4", Number: 9}}},
		Members: membership.Delta[membership.RelayedMember]{
			Set:     []membership.Entry[membership.RelayedMember]{{Name: "c", Value: membership.RelayedMember{Member: membership.Member{Incarnation: "c", Role: membership.Controller}, ConfigRevision: 2}}},
			Removed: []membership.Removal{{Name: "d"}},
		},
	}
}

func roundTrip(t *testing.T, in, out proto.Message) {
	t.Helper()
	data, err := proto.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
}

// Guards against a field that one direction of a conversion omits.
func TestConversionsKeepEveryField(t *testing.T) {
	message := sample()
	var state peerpb.State
	roundTrip(t, MessageToProto(&message), &state)
	if got := MessageFromProto(&state); !reflect.DeepEqual(got, message) {
		t.Errorf("state %+v, want %+v", got, message)
	}
	request := KeyedRequest{"k", 1, "t", "quick", "p", "POST", "/x", []Header{{"A", "b"}}, []byte("body"), 1500 * time.Millisecond, true}
	var keyed peerpb.KeyedRequest
	roundTrip(t, KeyedRequestToProto(&request), &keyed)
	if got := KeyedRequestFromProto(&keyed); !reflect.DeepEqual(got, request) {
		t.Errorf("request %+v", got)
	}
	response := KeyedResponse{outcome.Complete(), 201, []Header{{"A", "b"}}, []byte("body"), true, 3}
	var answered peerpb.KeyedResponse
	roundTrip(t, KeyedResponseToProto(&response), &answered)
	if got := KeyedResponseFromProto(&answered); !reflect.DeepEqual(got, response) {
		t.Errorf("response %+v", got)
	}
	job := JobSubmission{"j", "t", "p", "long", "f", 500, 64, 1, time.Minute, true, "x", -2, "z", true, true}
	var submitted peerpb.SubmitJobRequest
	roundTrip(t, JobSubmissionToProto(&job), &submitted)
	if got := JobSubmissionFromProto(&submitted); got != job {
		t.Errorf("job %+v", got)
	}
	answer := JobResponse{outcome.NotRunBecause(outcome.ReasonNotDurable), "j", "pending", "d", "w", 2, "127.0.0.1:1"}
	var job2 peerpb.JobResponse
	roundTrip(t, JobResponseToProto(&answer), &job2)
	if got := JobResponseFromProto(&job2); got != answer {
		t.Errorf("answer %+v", got)
	}
}

// Guards against an incompatible upgrade: a message of a later version has
// additional fields, and one of an earlier version lacks some.
func TestVersionSkewIsAccepted(t *testing.T) {
	message := sample()
	data, err := proto.Marshal(MessageToProto(&message))
	if err != nil {
		t.Fatal(err)
	}
	data = protowire.AppendTag(data, 900, protowire.BytesType)
	data = protowire.AppendString(data, "from a later version")
	var state peerpb.State
	if err := proto.Unmarshal(data, &state); err != nil || !reflect.DeepEqual(MessageFromProto(&state), message) {
		t.Errorf("message with an additional field was decoded differently, error %v", err)
	}
	early := MessageFromProto(&peerpb.State{Sender: &peerpb.Member{Incarnation: "a"}, Sequence: 1})
	if early.FleetConfirmed || early.Sender.Incarnation != "a" {
		t.Errorf("message with missing fields was decoded as %+v", early)
	}
	if got := KeyedResponseFromProto(&peerpb.KeyedResponse{Outcome: "later-kind"}); got.Outcome.Kind != outcome.Unknown {
		t.Errorf("outcome of a later version was decoded as %v, want unknown", got.Outcome)
	}
}

// Guards against a document kind that is not converted, and against rounding that
// makes the age of the fleet view smaller.
func TestKindsAndRounding(t *testing.T) {
	for _, kind := range []membership.DocumentKind{membership.DocumentConfig, membership.DocumentFleet, membership.DocumentHomes} {
		if got, ok := DocumentKindFromProto(DocumentKindToProto(kind)); !ok || got != kind {
			t.Errorf("kind %v was converted to %v", kind, got)
		}
	}
	if _, ok := DocumentKindFromProto(peerpb.DocumentKind_DOCUMENT_KIND_UNSPECIFIED); ok {
		t.Error("unspecified kind was accepted")
	}
	if ceilMilliseconds(1) != 1 || ceilMilliseconds(-time.Second) != 0 || ceilMilliseconds(1<<62) == 0 {
		t.Error("age is not rounded up and clamped to the valid range")
	}
}
