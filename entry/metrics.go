package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/metrics"
)

// counters creates the counters of the process on first use.
type counters struct {
	scope  tally.Scope
	byName sync.Map // string to tally.Counter
}

func (c *counters) add(name string, delta int64) {
	counter, ok := c.byName.Load(name)
	if !ok {
		counter, _ = c.byName.LoadOrStore(name, c.scope.Counter(name))
	}
	counter.(tally.Counter).Inc(delta)
}

// timers creates the latency histograms of the process on first use.
type timers struct {
	scope  tally.Scope
	byName sync.Map // string to tally.Histogram
}

func (t *timers) record(name string, d time.Duration) {
	histogram, ok := t.byName.Load(name)
	if !ok {
		histogram, _ = t.byName.LoadOrStore(name, metrics.Latency(t.scope, name))
	}
	histogram.(tally.Histogram).RecordDuration(d)
}

const (
	// maxTeamLabels bounds the histograms by team: each has 18 time series.
	maxTeamLabels = 160
	otherTeams    = "other"
	noTeam        = "none"
)

// teamWaits holds the histograms of the waits of jobs by team. The teams beyond
// maxTeamLabels share one. Only the control thread may use it.
type teamWaits struct {
	scope  tally.Scope
	byTeam map[string]tally.Histogram
}

func (t *teamWaits) record(w admission.Wait) { t.histogram(w.Team).RecordDuration(w.Time) }

func (t *teamWaits) histogram(team string) tally.Histogram {
	if team == "" {
		team = noTeam
	}
	if t.byTeam == nil {
		t.byTeam = map[string]tally.Histogram{}
	}
	if _, known := t.byTeam[team]; !known && len(t.byTeam) >= maxTeamLabels {
		team = otherTeams
	}
	histogram, known := t.byTeam[team]
	if !known {
		histogram = metrics.TeamWait(t.scope, team)
		t.byTeam[team] = histogram
	}
	return histogram
}
