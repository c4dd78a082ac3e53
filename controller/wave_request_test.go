package controller

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/engine"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// Guards against a "not active" response from the active controller of a site that
// has no configuration yet.
func TestWaveNeedsAConfiguration(t *testing.T) {
	h := newHarness(t)
	h.state.Leadership.phase = active
	h.state.Fleet = fleet.Load(&fleet.Document{Epoch: 1, Revision: 1})
	reply := make(chan Response, 1)
	ControlWave{Action: WaveStart}.execute(h.state, engine.Tick{Now: h.now}, &Request{Operator: "alena", Reply: reply})
	h.step(0)
	h.expect(h.response(reply), StatusUnavailable, "no-configuration")
}
