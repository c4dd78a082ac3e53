package wirecost

import "testing"

// targetBytes is the bound of control traffic per process and second, sent and
// received together.
const targetBytes = 11_000

// siteLoad is the size to design for.
var siteLoad = Scenario{Gateways: 8, Controllers: 3, Zones: 3, Pools: 114, Workers: 520, Seconds: 20, Seed: 1}

// busyLoad changes the demand of every pool at every gateway and divides the
// slots of a quarter of the workers anew each second, during a wave.
func busyLoad() Scenario {
	load := siteLoad
	load.ChangedPoolShare, load.ChangedGrantShare, load.ChangedWorkerCount = 1, 0.25, 5
	return load
}

// Guards against an exchange that outgrows the node's share of the network.
func TestTrafficStaysWithinTarget(t *testing.T) {
	idle, busy := Measure(siteLoad), Measure(busyLoad())
	t.Logf("seed %d, bytes per second: idle %.0f sent, %.0f received; busy %.0f sent, %.0f received",
		siteLoad.Seed, idle.Sent, idle.Received, busy.Sent, busy.Received)
	if idle.Sent <= 0 || busy.Total() <= idle.Total() {
		t.Error("nothing was counted")
	}
	if busy.Total() > targetBytes {
		t.Errorf("%.0f bytes per second, want at most %d", busy.Total(), targetBytes)
	}
}

// Guards against names or complete states that are sent every second: a fleet
// with twice the pools and workers costs the same while nothing changes.
func TestIdleTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	double := siteLoad
	double.Pools, double.Workers = 2*double.Pools, 2*double.Workers
	if small, large := Measure(siteLoad).Total(), Measure(double).Total(); large > small*1.05 {
		t.Errorf("%.0f bytes per second, and %.0f with twice the fleet", small, large)
	}
}

// BenchmarkExchange reports the bytes per second of the process with the most traffic.
func BenchmarkExchange(b *testing.B) {
	for name, load := range map[string]Scenario{"idle": siteLoad, "busy": busyLoad()} {
		b.Run(name, func(b *testing.B) {
			var cost Traffic
			for b.Loop() {
				cost = Measure(load)
			}
			b.ReportMetric(cost.Sent, "sent-B/s")
			b.ReportMetric(cost.Received, "received-B/s")
		})
	}
}
