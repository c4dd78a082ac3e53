package controller

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/engine"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// Guards against the active controller of a new site telling that it is not
// active when it only lacks a configuration.
func TestWaveNeedsAConfiguration(t *testing.T) {
	m := newMachine(t)
	m.state.Leadership.phase = active
	m.state.Fleet = fleet.Load(&fleet.Document{Epoch: 1, Revision: 1})
	reply := make(chan Response, 1)
	ControlWave{Action: WaveStart}.execute(m.state, engine.Tick{Now: m.now}, &Request{Operator: "alena", Reply: reply})
	m.step(0)
	m.wants(m.answer(reply), StatusUnavailable, "no-configuration")
}
