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

// The peak offers five times the mean demand to 72 slots for three seconds. The
// mean is two fifths of what the slots can do; the trough is a twentieth of it.
const (
	choiceTargets  = 9
	choiceGateways = 6
	choiceMean     = 576.0 // requests a second in the whole pool
	peakFrom       = 5 * time.Second
	peakTo         = 8 * time.Second
	choiceEnd      = 12 * time.Second
	choiceRuns     = 5 // with different seeds
)

// choiceFigures sums up one run.
type choiceFigures struct {
	refusals, sends, submitted int
	refused                    int // answered as not run because targets refused
	waits                      [routing.ClassCount][]time.Duration
	outcomes                   map[outcome.Outcome]int
	slotUse                    float64 // share of the slots in use during the peak
}

// runChoice drives six gateways, of which some get more of the load.
func runChoice(seed uint64, chooser routing.Chooser, credits bool) choiceFigures {
	w := newWorld(seed)
	var names []string
	for i := range choiceTargets {
		names = append(names, fmt.Sprintf("t%d", i))
		w.addTarget(names[i], healthy)
	}
	w.service = func(message *traffic.Message) time.Duration {
		if message.Path == "/long" {
			return w.exponential(500 * time.Millisecond)
		}
		return w.exponential(50 * time.Millisecond)
	}
	figures := choiceFigures{outcomes: map[outcome.Outcome]int{}}
	shares := []float64{3, 2, 1, 1, 1, 1}
	for i := range choiceGateways {
		g := w.addGateway(chooser, w.snapshot(choiceGateways, nil, names...))
		g.onResult = func(submission *traffic.Submission, result traffic.Result) {
			figures.outcomes[result.Outcome]++
			if result.Attempts > 0 {
				figures.waits[submission.Class] = append(figures.waits[submission.Class], result.QueueWait)
			}
		}
		w.offerMix(g, choiceMean*shares[i]/9, &figures.submitted)
	}
	if credits {
		w.at(time.Duration(w.random.IntN(1000))*time.Millisecond, w.grant)
	}
	before := 0.0
	w.at(peakFrom, func() { w.settleBusy(); before = w.busy })
	w.at(peakTo, func() {
		w.settleBusy()
		figures.slotUse = (w.busy - before) / (peakTo - peakFrom).Seconds() / (8 * choiceTargets)
	})
	w.run(choiceEnd + 10*time.Second) // until every request is answered
	for _, target := range w.targets {
		figures.refusals += target.refused
	}
	for _, g := range w.gateways {
		figures.sends += g.sends
	}
	figures.refused = figures.outcomes[outcome.NotRunBecause(outcome.ReasonRefused)]
	return figures
}

// offerMix submits mean load, the peak and the trough in three classes.
func (w *world) offerMix(g *simGateway, mean float64, submitted *int) {
	count := func(string) { *submitted++ }
	for i, factor := range []float64{1, 5, 0.05} {
		from, to := []time.Duration{0, peakFrom, peakTo}[i], []time.Duration{peakFrom, peakTo, choiceEnd}[i]
		for _, tenant := range []string{"shop", "clinic"} {
			rate := mean * factor / 2
			w.offer(g, load{tenant, routing.Urgent, 0.2 * rate, from, to, false}, count)
			w.offer(g, load{tenant, routing.Quick, 0.75 * rate, from, to, false}, count)
			w.offer(g, load{tenant, routing.Long, 0.05 * rate, from, to, true}, count)
		}
	}
}

// grant hands out the slots of every target by reported demand, once a second
// with leases of three seconds, as the exchange between gateways does.
func (w *world) grant() {
	demand := make([]int, len(w.gateways))
	for i, g := range w.gateways {
		demand[i] = g.demand
	}
	for i, g := range w.gateways {
		next := *g.source.Load()
		next.Version++
		next.Credits = map[string]traffic.Credit{}
		for t, target := range next.Targets {
			slots := routing.GrantSlots(8, demand, t)[i]
			next.Credits[target.Worker] = traffic.Credit{Slots: slots, Until: w.now.Add(3 * time.Second)}
		}
		g.source.Store(&next)
		g.step(traffic.Published{})
	}
	w.at(time.Second, w.grant)
}

// add joins the figures of another run.
func (f *choiceFigures) add(other choiceFigures) {
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

// BenchmarkTargetChoice compares the two target choices at six gateways under a
// peak. All its figures are simulated time and counts; ns/op is the cost of the
// simulation.
func BenchmarkTargetChoice(b *testing.B) {
	for _, kind := range []struct {
		name    string
		chooser routing.Chooser
		credits bool
	}{{"two-choices", routing.PowerOfTwoChoices{}, false}, {"credits-first", routing.CreditsFirst{}, true}} {
		b.Run(kind.name, func(b *testing.B) {
			var figures choiceFigures
			for range b.N {
				figures = choiceFigures{outcomes: map[outcome.Outcome]int{}}
				for run := range uint64(choiceRuns) {
					figures.add(runChoice(propertySeed+run, kind.chooser, kind.credits))
				}
			}
			b.ReportMetric(float64(figures.refusals)/float64(figures.sends)*100, "refusals/100sends")
			b.ReportMetric(float64(figures.refused)/float64(figures.submitted)*100, "refused%")
			b.ReportMetric(float64(figures.outcomes[outcome.Complete()])/float64(figures.submitted)*100, "completed%")
			b.ReportMetric(figures.slotUse*100, "peak-slot-use%")
			for class := routing.Urgent; class < routing.ClassCount; class++ {
				b.ReportMetric(quantile(figures.waits[class], 0.5), class.String()+"-p50-ms")
				b.ReportMetric(quantile(figures.waits[class], 0.99), class.String()+"-p99-ms")
			}
			if testing.Verbose() {
				b.Logf("submitted %d, outcomes %v", figures.submitted, figures.outcomes)
			}
		})
	}
}
