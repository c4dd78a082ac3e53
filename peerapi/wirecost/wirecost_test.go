package wirecost

import "testing"

// maxBytesPerSecond is the limit of the control traffic of a process, sent and received
// together.
const maxBytesPerSecond = 11_000

// designScenario is the size of site that the system is designed for.
var designScenario = Scenario{Gateways: 8, Controllers: 3, Zones: 3, Pools: 114, Workers: 520, Seconds: 20, Seed: 1}

// busyScenario returns a scenario during a wave: every second, the demand of every
// pool changes at every gateway and the slots of a quarter of the workers are
// redistributed.
func busyScenario() Scenario {
	scenario := designScenario
	scenario.ChangedPoolShare, scenario.ChangedGrantShare, scenario.ChangedWorkerCount = 1, 0.25, 5
	return scenario
}

// Guards against state messages that exceed the control traffic limit of a process.
func TestTrafficStaysWithinTarget(t *testing.T) {
	idle, busy := Measure(designScenario), Measure(busyScenario())
	t.Logf("seed %d, bytes per second: idle %.0f sent, %.0f received; busy %.0f sent, %.0f received",
		designScenario.Seed, idle.Sent, idle.Received, busy.Sent, busy.Received)
	if idle.Sent <= 0 || busy.Total() <= idle.Total() {
		t.Error("idle traffic is zero, or busy traffic is not above it")
	}
	if busy.Total() > maxBytesPerSecond {
		t.Errorf("%.0f bytes per second, want at most %d", busy.Total(), maxBytesPerSecond)
	}
}

// Guards against sending names or the complete state every second: without
// changes, a fleet with twice the pools and workers must cause the same traffic.
func TestIdleTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	double := designScenario
	double.Pools, double.Workers = 2*double.Pools, 2*double.Workers
	if small, large := Measure(designScenario).Total(), Measure(double).Total(); large > small*1.05 {
		t.Errorf("%.0f bytes per second, but %.0f with twice the fleet", small, large)
	}
}

// BenchmarkExchange reports the traffic of the process with the most, in bytes per
// second.
func BenchmarkExchange(b *testing.B) {
	for name, scenario := range map[string]Scenario{"idle": designScenario, "busy": busyScenario()} {
		b.Run(name, func(b *testing.B) {
			var cost Traffic
			for b.Loop() {
				cost = Measure(scenario)
			}
			b.ReportMetric(cost.Sent, "sent-B/s")
			b.ReportMetric(cost.Received, "received-B/s")
		})
	}
}
