package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform/standin"
)

// fault is one kind of injected fault. It is removed before run returns.
type fault struct {
	name string
	run  func(s *soakRun, r *rand.Rand)
}

// faults lists all kinds. A soak run picks them at random, and several can be
// active at once. A toxic of type timeout with a timeout of 0 drops data while
// the connection stays open: store-silent drops responses of the store,
// store-deaf drops requests to it.
var faults = []fault{
	{"kill", func(s *soakRun, r *rand.Rand) { s.restartProcess(r, syscall.SIGKILL) }},
	{"stop", func(s *soakRun, r *rand.Rand) { s.restartProcess(r, syscall.SIGTERM) }},
	{"kill-all", func(s *soakRun, _ *rand.Rand) {
		var restarts sync.WaitGroup
		for i := range s.processes {
			restarts.Go(func() { s.withProcess(i, func(p *process) { p.signalAndWait(syscall.SIGKILL); p.start() }) })
		}
		restarts.Wait()
	}},
	{"pause", func(s *soakRun, r *rand.Rand) {
		s.withProcess(r.IntN(len(s.processes)), func(p *process) {
			p.signal(syscall.SIGSTOP)
			s.holdFault(r, 500, 6000)
			p.signal(syscall.SIGCONT)
		})
	}},
	{"reload", func(s *soakRun, r *rand.Rand) {
		s.withProcess(r.IntN(len(s.processes)), func(p *process) { p.signal(syscall.SIGHUP) })
	}},
	{"store-cut", func(s *soakRun, r *rand.Rand) { s.cutConnections(r, s.randomStoreProxy(r)) }},
	{"store-silent", func(s *soakRun, r *rand.Rand) {
		s.injectToxic(r, s.randomStoreProxy(r), "timeout", "downstream", `{"timeout":0}`)
	}},
	{"store-deaf", func(s *soakRun, r *rand.Rand) {
		s.injectToxic(r, s.randomStoreProxy(r), "timeout", "upstream", `{"timeout":0}`)
	}},
	{"store-slow", func(s *soakRun, r *rand.Rand) {
		s.injectToxic(r, s.randomStoreProxy(r), "latency", "downstream", `{"latency":250}`)
	}},
	{"store-reset", func(s *soakRun, r *rand.Rand) {
		s.injectToxic(r, s.randomStoreProxy(r), "reset_peer", "downstream", `{"timeout":200}`)
	}},
	{"store-busy", func(s *soakRun, r *rand.Rand) { s.injectPlatformFaults(r, standin.Faults{StoreBusy: true}) }},
	{"store-down", func(s *soakRun, r *rand.Rand) { s.injectPlatformFaults(r, standin.Faults{StoreDown: true}) }},
	{"answers-lost", func(s *soakRun, r *rand.Rand) { s.injectPlatformFaults(r, standin.Faults{LoseAnswers: 0.3}) }},
	{"compact", func(s *soakRun, _ *rand.Rand) { s.platform.Compact() }},
	{"worker-cut", func(s *soakRun, r *rand.Rand) { s.cutConnections(r, s.randomWorkerProxy(r)) }},
	{"worker-silent", func(s *soakRun, r *rand.Rand) {
		s.injectToxic(r, s.randomWorkerProxy(r), "timeout", "downstream", `{"timeout":0}`)
	}},
	{"worker-slow", func(s *soakRun, r *rand.Rand) {
		s.injectToxic(r, s.randomWorkerProxy(r), "latency", "upstream", `{"latency":400,"jitter":300}`)
	}},
	{"workers-restart", func(s *soakRun, _ *rand.Rand) { s.platform.RestartWorkers("orders") }},
	{"wave", func(s *soakRun, _ *rand.Rand) { s.startWave() }},
	{"manifest", func(s *soakRun, _ *rand.Rand) { s.writeManifest() }},
	{"roll", func(s *soakRun, r *rand.Rand) {
		for i := range s.processes {
			s.withProcess(i, func(p *process) { p.signalAndWait(syscall.SIGTERM); p.start() })
			s.holdFault(r, 300, 1500)
		}
	}},
	{"worker-reborn", func(s *soakRun, r *rand.Rand) {
		s.platform.RestartBehindCut(s.randomPool(r))
		s.holdFault(r, 1000, 6000)
		s.platform.EndCuts()
	}},
	{"worker-leaves", func(s *soakRun, r *rand.Rand) { s.platform.DrainWorker(s.randomPool(r)) }},
	{"worker-failing", func(s *soakRun, r *rand.Rand) {
		pool := s.randomPool(r)
		s.platform.SetFailing(pool, true)
		s.holdFault(r, 100, 800)
		s.platform.SetFailing(pool, false)
	}},
	{"workers-reborn", func(s *soakRun, r *rand.Rand) { s.restartDark(r, false) }},
	{"orders-late", func(s *soakRun, r *rand.Rand) { s.delayOrders(r, 300, 2000) }},
	{"workers-reborn-cut", func(s *soakRun, r *rand.Rand) {
		s.restartDark(r, true)
		s.holdFault(r, 500, 4000)
		s.platform.EndCuts()
	}},
	{"workers-reborn-kill", func(s *soakRun, r *rand.Rand) {
		s.restartDark(r, false)
		s.restartProcess(r, syscall.SIGKILL)
	}},
	{"writes-late", func(s *soakRun, r *rand.Rand) { s.injectPlatformFaults(r, standin.Faults{LateWrites: 0.35}) }},
}

// maxOrderDelay is the longest delay of an order that gets no answer, as on the platform.
const maxOrderDelay = 12 * time.Second

// delayOrders has shares of the orders to workers get no answer and be executed late.
func (s *soakRun) delayOrders(r *rand.Rand, least, most int) {
	s.orderFaultLock.Lock()
	defer s.orderFaultLock.Unlock()
	s.platform.SetOrderFaults(standin.OrderFaults{Starts: 0.4, Stops: 0.3, Polls: 0.1, Repeated: 0.2, Least: 50 * time.Millisecond, Most: maxOrderDelay >> r.IntN(4)})
	s.holdFault(r, least, most)
	s.platform.SetOrderFaults(standin.OrderFaults{})
}

// restartDark has workers of both pools return under their IDs after a dark time, up to
// three times in a row: the busiest one, those of a zone or all. Orders that were under way
// before the dark time, and those that are sent during it, reach the new incarnations.
func (s *soakRun) restartDark(r *rand.Rand, cutOff bool) {
	for range 1 + r.IntN(3) {
		s.delayOrders(r, 100, 600)
		restart := standin.Restart{
			Busiest: r.IntN(3) == 0, Drop: r.IntN(2) == 0, CutOff: cutOff, Dark: time.Duration(50+r.IntN(1000)) * time.Millisecond,
			EntryDelay: time.Duration(r.IntN(300)) * time.Millisecond, Delivery: maxOrderDelay >> r.IntN(4) * time.Duration(r.IntN(2)),
		}
		if !restart.Busiest && r.IntN(4) > 0 {
			restart.Zone = fmt.Sprintf("z%d", r.IntN(3))
		}
		for _, restart.Pool = range []string{"orders", "reports"} {
			s.platform.Restart(restart)
		}
		sleep(s.ctx, restart.Dark)
	}
}

// holdFault waits for a random time in milliseconds, or until all faults have to
// be removed.
func (s *soakRun) holdFault(r *rand.Rand, least, most int) {
	sleep(s.ctx, time.Duration(least+r.IntN(most-least))*time.Millisecond)
}

// withProcess serializes the signals and restarts of one process.
func (s *soakRun) withProcess(i int, do func(*process)) {
	s.processLocks[i].Lock()
	defer s.processLocks[i].Unlock()
	do(s.processes[i])
}

func (s *soakRun) restartProcess(r *rand.Rand, signal syscall.Signal) {
	i := r.IntN(len(s.processes))
	s.withProcess(i, func(p *process) {
		p.signalAndWait(signal)
		s.holdFault(r, 10, 1500)
		p.start()
	})
}

func (s *soakRun) randomPool(r *rand.Rand) string { return []string{"orders", "reports"}[r.IntN(2)] }

func (s *soakRun) randomStoreProxy(r *rand.Rand) *faultProxy {
	return s.storeProxies[r.IntN(len(s.storeProxies))]
}

func (s *soakRun) randomWorkerProxy(r *rand.Rand) *faultProxy {
	s.proxyLock.Lock()
	defer s.proxyLock.Unlock()
	return s.workerProxies[r.IntN(len(s.workerProxies))]
}

func (s *soakRun) cutConnections(r *rand.Rand, p *faultProxy) {
	p.cutLock.Lock()
	defer p.cutLock.Unlock()
	p.Stop()
	s.holdFault(r, 300, 5000)
	if err := p.Start(); err != nil {
		s.client.recordProblem("restart the proxy after a cut: %v", err)
	}
}

func (s *soakRun) injectToxic(r *rand.Rand, p *faultProxy, kind, direction, attributes string) {
	if p.addToxic(kind, direction, attributes) != nil {
		return // the same toxic is already active
	}
	s.holdFault(r, 300, 5000)
	if err := p.Toxics.RemoveToxic(context.Background(), kind+"-"+direction); err != nil {
		s.client.recordProblem("remove the %s toxic: %v", kind, err)
	}
}

// injectPlatformFaults sets fault switches of the platform stand-in. Each call
// replaces all switches, so only one fault at a time uses them.
func (s *soakRun) injectPlatformFaults(r *rand.Rand, f standin.Faults) {
	s.faultSwitchLock.Lock()
	defer s.faultSwitchLock.Unlock()
	s.platform.SetFaults(f)
	s.holdFault(r, 300, 4000)
	s.platform.SetFaults(standin.Faults{})
}

func (s *soakRun) startWave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWave++
	machines := s.platform.Machines("orders")
	names := ""
	for i, name := range machines[:min(3, len(machines))] {
		if i > 0 {
			names += ","
		}
		names += fmt.Sprintf("%q", name)
	}
	s.platform.Put(fmt.Sprintf("op/wave/%d", s.lastWave), []byte(fmt.Sprintf(`{"Wave":%d,"Machines":[%s],"DurationS":30,"Cap":1}`, s.lastWave, names)))
}

func (s *soakRun) writeManifest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifestVersion += 2
	suffixes, divisor := []string{"", withdrawnSuffix}, 1
	if s.client != nil { // the faults have begun: keys are withdrawn, and caps fall and rise
		suffixes, divisor = suffixes[:1], 1+s.manifestVersion/2%2
	}
	team := func(name string, limit int) string {
		var keys []string
		for _, suffix := range suffixes {
			keys = append(keys, fmt.Sprintf(`"key-%s%s"`, name, suffix))
		}
		return fmt.Sprintf(`{"Name":%q,"ApiKeys":[%s],"Weight":1,"Cap":{"Cpu":%d}}`, name, strings.Join(keys, ","), limit/divisor)
	}
	s.platform.Put("op/config", []byte(fmt.Sprintf(`{"Version":%d,
		"Routes":[{"Name":"orders","Host":"shop.example","Prefix":"/orders/","Service":"orders","MaxAttempts":4,"SlowdownFactor":2,"TargetLatencyMs":600},
			{"Name":"advised","Host":"shop.example","Prefix":"/advised/","Service":"orders","MaxAttempts":4,"SlowdownFactor":2,"TargetLatencyMs":600,"Advice":{"DecisionMs":5,"PeriodMs":1,"ValidityMs":3000}},
			{"Name":"reports","Host":"shop.example","Prefix":"/reports/","Service":"reports","MaxAttempts":4,"SlowdownFactor":2,"TargetLatencyMs":600}],
		"Services":[{"Name":"orders","RejectsOverload":true},{"Name":"reports","RejectsOverload":true},{"Name":"spare","Standby":true}],
		"Tenants":[%s,%s,{"Name":"long-running","ApiKeys":["key-long-running"],"Weight":1}],
		"Limits":{"MaxBodyBytes":65536}}`, s.manifestVersion, team("large", 8000), team("small", 2000))))
	if s.client != nil && s.client.withdrawnAt.Load() == nil {
		now := time.Now()
		s.client.withdrawnAt.Store(&now)
	}
}
