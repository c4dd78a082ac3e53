package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/admission"
)

// Guards against names of teams that make the metrics grow without bound.
func TestTeamLabelsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	waits := teamWaits{scope: scope}
	for i := range 1000 {
		waits.record(admission.Wait{Team: fmt.Sprint("t", i), Time: time.Second})
	}
	waits.record(admission.Wait{Time: time.Second})
	histograms := scope.Snapshot().Histograms()
	if len(histograms) != maxTeamLabels+1 {
		t.Errorf("%d histograms, want %d and one for the others", len(histograms), maxTeamLabels)
	}
	others := int64(0)
	for _, h := range histograms {
		if h.Tags()["team"] == otherTeams {
			for _, n := range h.Durations() {
				others += n
			}
		}
	}
	if others != 1000-maxTeamLabels+1 {
		t.Errorf("%d waits of other teams, want %d", others, 1000-maxTeamLabels+1)
	}
}
