package bench

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

// Load of the comparison. The peak offers five times the mean request rate to 72
// slots for three seconds. The mean rate is two fifths of the capacity of the slots;
// the rate after the peak is a twentieth of the mean.
const (
	choiceTargets   = 9
	choiceGateways  = 6
	meanRequestRate = 576.0 // requests a second in the whole pool
	peakStart       = 5 * time.Second
	peakEnd         = 8 * time.Second
	choiceEnd       = 12 * time.Second
	choiceRuns      = 5 // with different seeds
)

// choiceMetrics holds the results of one or several runs.
type choiceMetrics struct {
	refusals, sends, submitted int
	refused                    int // finished as not run because targets refused
	waits                      [routing.ClassCount][]time.Duration
	outcomes                   map[outcome.Outcome]int
	slotUse                    float64 // share of the slots in use during the peak
}

// runChoice simulates six gateways that receive unequal shares of the load.
func runChoice(seed uint64, chooser routing.Chooser, credits bool) choiceMetrics {
	sim := newSimulation(seed)
	var names []string
	for i := range choiceTargets {
		names = append(names, fmt.Sprintf("t%d", i))
		sim.addTarget(names[i], healthy)
	}
	sim.service = func(message *traffic.Message) time.Duration {
		if message.Path == "/long" {
			return sim.exponential(500 * time.Millisecond)
		}
		return sim.exponential(50 * time.Millisecond)
	}
	results := choiceMetrics{outcomes: map[outcome.Outcome]int{}}
	shares := []float64{3, 2, 1, 1, 1, 1}
	for i := range choiceGateways {
		g := sim.addGateway(chooser, sim.snapshot(choiceGateways, nil, names...))
		g.onResult = func(submission *traffic.Submission, result traffic.Result) {
			results.outcomes[result.Outcome]++
			if result.Attempts > 0 {
				results.waits[submission.Class] = append(results.waits[submission.Class], result.QueueWait)
			}
		}
		sim.addMixedLoad(g, meanRequestRate*shares[i]/9, &results.submitted)
	}
	if credits {
		sim.after(time.Duration(sim.random.IntN(1000))*time.Millisecond, sim.grantCredits)
	}
	before := 0.0
	sim.after(peakStart, func() { sim.accrueSlotSeconds(); before = sim.slotSeconds })
	sim.after(peakEnd, func() {
		sim.accrueSlotSeconds()
		results.slotUse = (sim.slotSeconds - before) / (peakEnd - peakStart).Seconds() / (8 * choiceTargets)
	})
	sim.run(choiceEnd + 10*time.Second) // until every request has a result
	for _, target := range sim.targets {
		results.refusals += target.refused
	}
	for _, g := range sim.gateways {
		results.sends += g.sends
	}
	results.refused = results.outcomes[outcome.NotRunBecause(outcome.ReasonRefused)]
	return results
}

// addMixedLoad adds the mean load, the peak and the low load after it, each in three
// classes.
func (sim *simulation) addMixedLoad(g *simGateway, mean float64, submitted *int) {
	count := func(string) { *submitted++ }
	for i, factor := range []float64{1, 5, 0.05} {
		from, to := []time.Duration{0, peakStart, peakEnd}[i], []time.Duration{peakStart, peakEnd, choiceEnd}[i]
		for _, tenant := range []string{"shop", "clinic"} {
			rate := mean * factor / 2
			sim.addLoad(g, load{tenant, routing.Urgent, 0.2 * rate, from, to, false}, count)
			sim.addLoad(g, load{tenant, routing.Quick, 0.75 * rate, from, to, false}, count)
			sim.addLoad(g, load{tenant, routing.Long, 0.05 * rate, from, to, true}, count)
		}
	}
}

// grantCredits divides the slots of every target by reported demand once a second,
// with a validity of three seconds, as the peer exchange between gateways does.
func (sim *simulation) grantCredits() {
	demand := make([]int, len(sim.gateways))
	for i, g := range sim.gateways {
		demand[i] = g.demand
	}
	for i, g := range sim.gateways {
		next := *g.source.Load()
		next.Version++
		next.Credits = map[string]traffic.Credit{}
		for t, target := range next.Targets {
			slots := routing.GrantSlots(8, demand, t)[i]
			next.Credits[target.Worker] = traffic.Credit{Slots: slots, Until: sim.now.Add(3 * time.Second)}
		}
		g.source.Store(&next)
		g.step(traffic.Published{})
	}
	sim.after(time.Second, sim.grantCredits)
}

// add adds the results of another run.
func (f *choiceMetrics) add(other choiceMetrics) {
	f.refusals += other.refusals
	f.sends += other.sends
	f.submitted += other.submitted
	f.refused += other.refused
	f.slotUse += other.slotUse / choiceRuns
	for class := range f.waits {
		f.waits[class] = append(f.waits[class], other.waits[class]...)
	}
	for result, count := range other.outcomes {
		f.outcomes[result] += count
	}
}

func quantile(values []time.Duration, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[min(len(values)-1, int(share*float64(len(values))))]) / float64(time.Millisecond)
}

// BenchmarkTargetChoice compares the two strategies of target selection with six
// gateways under a peak load. All metrics are simulated times and counts, except for
// ns/op, which is the cost of the simulation.
func BenchmarkTargetChoice(b *testing.B) {
	for _, kind := range []struct {
		name    string
		chooser routing.Chooser
		credits bool
	}{{"two-choices", routing.PowerOfTwoChoices{}, false}, {"credits-first", routing.CreditsFirst{}, true}} {
		b.Run(kind.name, func(b *testing.B) {
			var results choiceMetrics
			for range b.N {
				results = choiceMetrics{outcomes: map[outcome.Outcome]int{}}
				for run := range uint64(choiceRuns) {
					results.add(runChoice(propertySeed+run, kind.chooser, kind.credits))
				}
			}
			b.ReportMetric(float64(results.refusals)/float64(results.sends)*100, "refusals/100sends")
			b.ReportMetric(float64(results.refused)/float64(results.submitted)*100, "refused%")
			b.ReportMetric(float64(results.outcomes[outcome.Complete()])/float64(results.submitted)*100, "completed%")
			b.ReportMetric(results.slotUse*100, "peak-slot-use%")
			for class := routing.Urgent; class < routing.ClassCount; class++ {
				b.ReportMetric(quantile(results.waits[class], 0.5), class.String()+"-p50-ms")
				b.ReportMetric(quantile(results.waits[class], 0.99), class.String()+"-p99-ms")
			}
			if testing.Verbose() {
				b.Logf("submitted %d, outcomes %v", results.submitted, results.outcomes)
			}
		})
	}
}
