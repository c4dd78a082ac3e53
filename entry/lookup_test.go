package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against a finished job that is shown as queued, and inserted to run again,
// because its records are removed between the reads of a lookup.
func TestLookupDuringTheRemovalOfAJobShowsNoUnfinishedJob(t *testing.T) {
	const job = "00000000000000a1"
	values := map[string]string{
		platform.RecordPrefix + "job/" + job:      `{"Queue":"q","Pool":"orders","Steps":[{"Count":1}]}`,
		platform.RecordPrefix + "progress/" + job: `{"State":3}`,
	}
	reads := 0
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Query().Get("Key")
		value, present := values[key]
		if reads++; reads == 1 {
			clear(values) // the owner of the pool removes all records after the first read
		}
		if !present {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Key": key, "Value": []byte(value), "Revision": 7, "Created": 3}) // checked by the lookup
	}))
	defer store.Close()
	p := &Process{store: platform.NewStoreClient(strings.TrimPrefix(store.URL, "http://"))}
	mirror := &ledger.JobMirror{}
	requests := intake.New(mirror, func() uint64 { return 1 })
	tick := engine.Tick{Now: time.Unix(1000, 0)}
	requests.Receive(tick, intake.Request{ID: 1, Verb: intake.Status, Job: job, Deadline: tick.Now.Add(time.Second)})
	var lookup intake.Lookup
	requests.Lookups.Drain(func(l intake.Lookup) { lookup = l })
	done, _ := p.lookup(context.Background(), lookup).(lookupDone)
	requests.LookupDone(tick, done.lookup, done.records, done.err)
	requests.Replies.Drain(func(r intake.Reply) {
		if r.Outcome != intake.JobNotFound && r.State != work.JobCompleted {
			t.Errorf("the job is answered with %v, state %v", r.Outcome, r.State)
		}
	})
	if _, row := mirror.Find(job); row != nil && row.Spec != nil && row.Progress == nil {
		t.Error("the mirror holds the job without its progress")
	}
}
