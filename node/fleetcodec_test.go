package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

func fleetExample() *fleet.Document {
	return &fleet.Document{
		Epoch: 3, Revision: 9, Borrowed: map[string]int{"orders": 1},
		Workers: []fleet.Worker{{
			ID: "w001", Pool: "orders", State: fleet.Draining, Since: time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC), BootID: 2,
			Operation: &fleet.Operation{ID: "3-1", Kind: fleet.OperationMaintain, StartRevision: 9},
		}},
	}
}

// Guards against a field that is lost in encoding, and against rejecting plain
// JSON values, which were written before documents were compressed.
func TestFleetSurvivesItsEncoding(t *testing.T) {
	want := fleetExample()
	compressed, err := EncodeFleet(want)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"compressed": compressed, "plain": plain} {
		if got, err := DecodeFleet(data); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v; want %+v", name, got, err, want)
		}
	}
}

// Guards against accepting a truncated value, and against a compressed value that
// exhausts memory when it is decompressed.
func TestDamagedFleetIsRefused(t *testing.T) {
	data, err := EncodeFleet(fleetExample())
	if err != nil {
		t.Fatal(err)
	}
	for cut := range data {
		if _, err := DecodeFleet(data[:cut]); err == nil {
			t.Errorf("value truncated to %d of %d bytes was decoded without error", cut, len(data))
		}
	}
	var bomb bytes.Buffer
	writer := gzip.NewWriter(&bomb)
	_, _ = writer.Write(bytes.Repeat([]byte(" "), maxFleetBytes+1))
	_ = writer.Close()
	if _, err := DecodeFleet(bomb.Bytes()); !errors.Is(err, errFleetTooLarge) {
		t.Errorf("oversized document: error %v, want %v", err, errFleetTooLarge)
	}
}
