package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform/standin"
)

// fault is one kind of trouble. It lasts until the function returns.
type fault struct {
	name string
	run  func(s *scene, r *rand.Rand)
}

// faults lists all kinds; a soak draws from them with overlaps.
var faults = []fault{
	{"kill", func(s *scene, r *rand.Rand) { s.restart(r, syscall.SIGKILL) }},
	{"stop", func(s *scene, r *rand.Rand) { s.restart(r, syscall.SIGTERM) }},
	{"kill-all", func(s *scene, _ *rand.Rand) {
		var ending sync.WaitGroup
		for i := range s.processes {
			ending.Go(func() { s.exclusive(i, func(p *process) { p.end(syscall.SIGKILL); p.start() }) })
		}
		ending.Wait()
	}},
	{"pause", func(s *scene, r *rand.Rand) {
		s.exclusive(r.IntN(len(s.processes)), func(p *process) {
			p.signal(syscall.SIGSTOP)
			s.last(r, 500, 6000)
			p.signal(syscall.SIGCONT)
		})
	}},
	{"reload", func(s *scene, r *rand.Rand) {
		s.exclusive(r.IntN(len(s.processes)), func(p *process) { p.signal(syscall.SIGHUP) })
	}},
	{"store-cut", func(s *scene, r *rand.Rand) { s.cut(r, s.store(r)) }},
	{"store-silent", func(s *scene, r *rand.Rand) { s.harm(r, s.store(r), "timeout", "downstream", `{"timeout":0}`) }},
	{"store-deaf", func(s *scene, r *rand.Rand) { s.harm(r, s.store(r), "timeout", "upstream", `{"timeout":0}`) }},
	{"store-slow", func(s *scene, r *rand.Rand) { s.harm(r, s.store(r), "latency", "downstream", `{"latency":250}`) }},
	{"store-reset", func(s *scene, r *rand.Rand) { s.harm(r, s.store(r), "reset_peer", "downstream", `{"timeout":200}`) }},
	{"store-busy", func(s *scene, r *rand.Rand) { s.switched(r, standin.Faults{StoreBusy: true}) }},
	{"store-down", func(s *scene, r *rand.Rand) { s.switched(r, standin.Faults{StoreDown: true}) }},
	{"answers-lost", func(s *scene, r *rand.Rand) { s.switched(r, standin.Faults{LoseAnswers: 0.3}) }},
	{"compact", func(s *scene, _ *rand.Rand) { s.platform.Compact() }},
	{"worker-cut", func(s *scene, r *rand.Rand) { s.cut(r, s.worker(r)) }},
	{"worker-silent", func(s *scene, r *rand.Rand) { s.harm(r, s.worker(r), "timeout", "downstream", `{"timeout":0}`) }},
	{"worker-slow", func(s *scene, r *rand.Rand) {
		s.harm(r, s.worker(r), "latency", "upstream", `{"latency":400,"jitter":300}`)
	}},
	{"workers-restart", func(s *scene, _ *rand.Rand) { s.platform.RestartWorkers("orders") }},
	{"wave", func(s *scene, _ *rand.Rand) { s.wave() }},
	{"manifest", func(s *scene, _ *rand.Rand) { s.manifest() }},
}

// last waits for a random time in milliseconds, or until the soak heals.
func (s *scene) last(r *rand.Rand, least, most int) {
	wait(s.ctx, time.Duration(least+r.IntN(most-least))*time.Millisecond)
}

// exclusive runs signals of one process one after the other.
func (s *scene) exclusive(i int, do func(*process)) {
	s.signals[i].Lock()
	defer s.signals[i].Unlock()
	do(s.processes[i])
}

func (s *scene) restart(r *rand.Rand, signal syscall.Signal) {
	i := r.IntN(len(s.processes))
	s.exclusive(i, func(p *process) {
		p.end(signal)
		s.last(r, 10, 1500)
		p.start()
	})
}

func (s *scene) store(r *rand.Rand) *path { return s.stores[r.IntN(len(s.stores))] }

func (s *scene) worker(r *rand.Rand) *path {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[r.IntN(len(s.workers))]
}

func (s *scene) cut(r *rand.Rand, p *path) {
	p.cutting.Lock()
	defer p.cutting.Unlock()
	p.Stop()
	s.last(r, 300, 5000)
	if err := p.Start(); err != nil {
		s.caller.problem("the soak could not heal a cut: %v", err)
	}
}

func (s *scene) harm(r *rand.Rand, p *path, kind, direction, attributes string) {
	if p.harm(kind, direction, attributes) != nil {
		return // the same fault is there already
	}
	s.last(r, 300, 5000)
	if err := p.Toxics.RemoveToxic(context.Background(), kind+"-"+direction); err != nil {
		s.caller.problem("the soak could not heal %s: %v", kind, err)
	}
}

// switched sets switches of the stand-in; only one fault at a time uses them.
func (s *scene) switched(r *rand.Rand, f standin.Faults) {
	s.switches.Lock()
	defer s.switches.Unlock()
	s.platform.SetFaults(f)
	s.last(r, 300, 4000)
	s.platform.SetFaults(standin.Faults{})
}

func (s *scene) wave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waves++
	machines := s.platform.Machines("orders")
	names := ""
	for i, name := range machines[:min(3, len(machines))] {
		if i > 0 {
			names += ","
		}
		names += fmt.Sprintf("%q", name)
	}
	s.platform.Put(fmt.Sprintf("op/wave/%d", s.waves), []byte(fmt.Sprintf(`{"Wave":%d,"Machines":[%s],"DurationS":30,"Cap":1}`, s.waves, names)))
}

func (s *scene) manifest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	s.platform.Put("op/config", []byte(fmt.Sprintf(`{"Version":%d,
		"Routes":[{"Name":"orders","Host":"shop.example","Prefix":"/orders/","Service":"orders","MaxAttempts":2,"SlowdownFactor":2,"TargetLatencyMs":600},
			{"Name":"reports","Host":"shop.example","Prefix":"/reports/","Service":"reports","MaxAttempts":2,"SlowdownFactor":2,"TargetLatencyMs":600}],
		"Services":[{"Name":"orders","RejectsOverload":true},{"Name":"reports","RejectsOverload":true},{"Name":"spare","Standby":true}],
		"Limits":{"MaxBodyBytes":65536}}`, s.version)))
}
