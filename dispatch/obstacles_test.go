package dispatch

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
)

// Guards against a stage that waits without a trace in the log of why.
func TestHeldUpStageIsLogged(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.runTime = 0
	w.run(200 * time.Millisecond)
	labelled := step(1)
	labelled.Label = "special"
	w.accept(job(labelled))
	var logged []map[string]any
	for range 500 {
		w.now = w.now.Add(simulationStep)
		w.renewOwnership()
		tick := w.tickNow()
		for _, system := range Systems {
			system.Run(w.s, tick)
		}
		w.s.Out.Logs.Drain(func(r events.Record) {
			if r.Event == events.StageHeldUp {
				fields := map[string]any{}
				for _, f := range r.Fields {
					fields[f.Key] = f.Value
				}
				logged = append(logged, fields)
			}
		})
		w.execute(tick)
	}
	if len(logged) < 2 || len(logged) > 4 {
		t.Fatalf("%d records in 5 s, want one a second after 2 s", len(logged))
	}
	if logged[0]["label"] != 2 || logged[0]["task"] != "j1.0.0.0" {
		t.Errorf("logged %v, want task j1.0.0.0 held up by its label on 2 workers", logged[0])
	}
}
