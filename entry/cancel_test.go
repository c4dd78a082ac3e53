package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform"
)

// Guards against a job that runs after its cancelling was answered 410, because the store
// applies the write of its submission afterwards.
func TestSubmissionThatIsStoredAfterACancellationDoesNotRun(t *testing.T) {
	s := newSite(t, 2)
	const path, id = "/q1/00000000000000c1", "00000000000000c1"
	if status, _ := s.call(http.MethodDelete, path, ""); status != http.StatusGone {
		t.Fatalf("an unknown job is cancelled with %d, want 410", status)
	}
	s.platform.Put(platform.RecordPrefix+"job/"+id, []byte(`{"Queue":"q1","Pool":"orders","Payload":"run:100ms",
		"Steps":[{"Count":2,"Size":{"MilliCores":1000,"MemoryMB":64},"Estimate":100000000}],"Limits":{"MaxFailures":2},"AcceptedAt":1}`))
	s.waitFor("the job is shown as cancelled", func() bool { return s.state(path) == "cancelled" })
	s.submit("/q1/00000000000000c2", jobBody("run:100ms", 2))
	s.waitFor("a later job is completed", func() bool { return s.state("/q1/00000000000000c2") == "completed" })
	time.Sleep(10 * ownerTickInterval)
	for _, start := range s.platform.Starts() {
		if start.Task[:len(id)] == id {
			t.Errorf("%s was started", start.Task)
		}
	}
}
