package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
)

// Guards against machines in use that are moved by a report of released machines which the store
// has executed late, after the pool had taken them back (review/15, AVAIL).
func TestLateReportMovesNoMachineInUse(t *testing.T) {
	s := newSiteOf(t, 8)
	demandKey := storeKey(ledger.Key{Kind: ledger.KindDemand, Name: "orders"})
	s.platform.HoldNextWrite(6*time.Second, func(key string, value []byte) bool {
		var report struct{ Released []string }
		return key == demandKey && json.Unmarshal(value, &report) == nil && len(report.Released) >= 4
	})
	s.start()
	s.start()
	s.waitFor("the report of released machines is held", func() bool { waiting, _ := s.platform.HeldWrites(); return waiting == 1 })
	s.submit("/q1/00000000000000f1", `{"Spec":"last","Steps":[{"Count":6,"Cpu":1000,"LongRunning":true,"MaxUnavailable":1,"MaxPerServer":1}]}`)
	s.waitFor("six runs", func() bool { return s.platform.Running("00000000000000f1") == 6 })
	s.submit("/q2/00000000000000f2", `{"Spec":"last","Steps":[{"Count":200,"Cpu":4000,"LongRunning":true}]}`)
	s.waitFor("the held report is executed or void", func() bool { waiting, _ := s.platform.HeldWrites(); return waiting == 0 })
	for end := time.Now().Add(observationTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n := s.platform.Running("00000000000000f1"); n != 6 {
			t.Fatalf("%d of 6 tasks run, the machines of the others were moved: %v", n, s.platform.MachineOrders())
		}
	}
}

// observationTime is how long the site is observed after the late write. The owner of the fleet
// plans by a report within some 100 ms.
const observationTime = 2 * time.Second
