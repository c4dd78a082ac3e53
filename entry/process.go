package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/metrics"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Limits of the process.
const (
	inboxSize = 8192
	// tickOwning is the longest time between two ticks while the process owns
	// a duty. Most ticks run earlier, on an event.
	tickOwning = 20 * time.Millisecond
	// tickFollowing is the same for a process without duties.
	tickFollowing = 50 * time.Millisecond
	// watchPauseOwning and watchPauseFollowing gather changes between two
	// watches: an owner learns of a new job by a watch, other processes only
	// show states.
	watchPauseOwning    = 70 * time.Millisecond
	watchPauseFollowing = 250 * time.Millisecond
	// watchPauseOperator is short: the operator writes rarely.
	watchPauseOperator = 20 * time.Millisecond
	// serveAfterStop is how long a stopping process still answers on open
	// connections; clients keep using them until they end.
	serveAfterStop = 2500 * time.Millisecond
	// shutdownTimeout bounds the wait for answers in flight after that.
	shutdownTimeout = 2 * time.Second
	// graceShare is the part of the platform's time between SIGTERM and SIGKILL
	// that each of the two may take at most.
	graceShare = 0.4
	// gcPercent lets the heap grow further between two collections than Go's
	// default: collections took 7% of an owner's processor time with a heap of
	// some 10 MB.
	gcPercent = 200
	// memoryShare of the machine's memory is the collector's soft limit.
	memoryShare       = 0.6
	headerTimeout     = 5 * time.Second
	idleClientTimeout = 60 * time.Second
)

// Process is a running process.
type Process struct {
	// DroppedLines returns how many log lines were lost to a slow reader; it
	// may be nil.
	DroppedLines func() int64

	settings *platform.Settings
	log      *events.Logger
	limiter  *logLimiter // of the control thread's records
	loop     *engine.Loop[State, event]
	store    *platform.StoreClient
	workers  *platform.WorkerClient
	machines *platform.MachineClient
	advice   *platform.AdviceClient
	metrics  *metrics.Metrics
	counters counters
	timers   timers

	ctx     context.Context //nolint:containedctx // ends all calls of the process
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	servers []*http.Server
	signals chan os.Signal

	manifest atomic.Pointer[work.Manifest]
	ready    atomic.Bool
	owning   atomic.Bool
	closing  atomic.Bool

	dropped   int64 // dropped lines that are counted
	requestID atomic.Uint64
	waiting   sync.Map // request ID to chan intake.Reply
}

// epoch anchors the readings of the clock that counts suspension.
var epoch = time.Unix(0, 0)

// now reads the clock for all decisions: it is steady, and unlike Go's
// monotonic clock it goes on while the machine is suspended.
func now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "read the boot-time clock")) // the kernel always has it
	}
	return epoch.Add(time.Duration(ts.Nano()))
}

// New makes a process.
func New(settings *platform.Settings, log *events.Logger, incarnation string) *Process {
	p := &Process{
		settings: settings, log: log, limiter: newLogLimiter(log), metrics: metrics.New("entry"),
		store: platform.NewStoreClient(settings.StoreAddress), workers: platform.NewWorkerClient(),
		machines: platform.NewMachineClient(settings.MachinesAddress), advice: platform.NewAdviceClient(settings.AdviceAddress),
		signals: make(chan os.Signal, 1),
	}
	p.counters.scope, p.timers.scope = p.metrics.Scope, p.metrics.Scope
	p.ctx, p.cancel = context.WithCancel(context.Background())
	program := engine.Program[State, event]{
		Apply:   func(s *State, tick engine.Tick, e event) { e.apply(s, tick) },
		Systems: systems(),
		Flush:   p.flush,
		NextDeadline: func(s *State) time.Time {
			if p.owning.Load() {
				return s.tickAt.Add(tickOwning)
			}
			return s.tickAt.Add(tickFollowing)
		},
	}
	p.loop = engine.NewLoop(program, newState(settings, incarnation, time.Now), inboxSize)
	p.loop.SetClock(now)
	return p
}

// Start begins to serve.
func (p *Process) Start() error {
	if p.settings.MemoryBytes > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryShare * float64(p.settings.MemoryBytes)))
	}
	frontend := &platform.Frontend{
		Manifest: p.manifest.Load, Execute: p.askControl, Ready: p.ready.Load, Closing: p.closing.Load, Now: now, TimeOfDay: time.Now,
	}
	listen := map[string]http.Handler{p.settings.ClientAddress: frontend.Handler(), p.settings.ReadyAddress: frontend.ReadinessHandler()}
	if p.settings.MetricsAddress != "" {
		listen[p.settings.MetricsAddress] = p.metrics.Handler()
	}
	for address, handler := range listen {
		if err := p.serve(address, handler); err != nil {
			return err
		}
	}
	go p.loop.Run(p.ctx)
	go p.followAll()
	go p.followOperator()
	signal.Notify(p.signals, syscall.SIGHUP)
	go p.reload()
	p.log.Log(events.ProcessStarted, events.F("node", p.settings.Node), events.F("zone", p.settings.Zone), events.F("metrics", p.settings.MetricsAddress))
	return nil
}

func (p *Process) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleClientTimeout}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.log.Log(events.ServerFailed, events.F("address", address), events.Err(err))
		}
	}()
	return nil
}

// followAll posts all changes of the store.
func (p *Process) followAll() {
	p.follow("", func() time.Duration {
		if p.owning.Load() {
			return watchPauseOwning
		}
		return watchPauseFollowing
	}, func(batch platform.Batch) event { return storeChanged{batch} })
}

// followOperator posts what the operator writes. Its watch is apart from the
// other one, which lags behind on a weak machine while many jobs come: a
// manifest must be in force two seconds after it was written.
func (p *Process) followOperator() {
	pause := func() time.Duration { return watchPauseOperator }
	p.follow(platform.OperatorPrefix, pause, func(batch platform.Batch) event { return operatorWrote{batch} })
}

// follow posts the changes under a prefix.
func (p *Process) follow(prefix string, pause func() time.Duration, wrap func(platform.Batch) event) {
	follower := platform.Watcher{
		Store: p.store, Prefix: prefix, Pause: pause,
		OnError: func(err error) {
			if err == nil {
				p.log.Log(events.StoreAvailable, events.F("prefix", prefix))
				return
			}
			p.log.Log(events.StoreWatchLost, events.F("prefix", prefix), events.Err(err))
		},
	}
	follower.Run(p.ctx, func(batch platform.Batch) {
		if err := p.loop.Post(p.ctx, wrap(batch)); err != nil && p.ctx.Err() == nil {
			p.log.Log(events.StoreWatchLost, events.F("prefix", prefix), events.Err(err))
		}
	})
}

// reload reads the settings file again on SIGHUP. Addresses of a running
// process don't change, so it only reports what it found.
func (p *Process) reload() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.signals:
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			p.log.Log(events.ConfigRejected, events.Err(err))
			continue
		}
		p.log.Log(events.SettingsReloaded, events.F("node", settings.Node))
	}
}

// askControl hands a request to the control thread and waits for the reply.
func (p *Process) askControl(ctx context.Context, request intake.Request) (intake.Reply, bool) {
	request.ID = p.requestID.Add(1)
	answer := make(chan intake.Reply, 1)
	p.waiting.Store(request.ID, answer)
	defer p.waiting.Delete(request.ID)
	begin := now()
	defer func() { p.timers.record("request_"+request.Verb.String(), now().Sub(begin)) }()
	if !p.loop.TryPost(requested{request}) {
		p.log.Log(events.ShardInboxFull, events.F("request", request.ID), events.F("job", request.Job))
		return intake.Reply{Request: request.ID, Outcome: intake.NotAvailable}, true
	}
	select {
	case reply := <-answer:
		return reply, true
	case <-ctx.Done():
		return intake.Reply{}, false
	}
}

func (p *Process) reply(reply intake.Reply) {
	p.counters.add("requests_"+reply.Outcome.String(), 1)
	if answer, ok := p.waiting.LoadAndDelete(reply.Request); ok {
		answer.(chan intake.Reply) <- reply // holds one reply, and gets only one
	}
}

// publish shows the traffic goroutines what they may read.
func (p *Process) publish(s *State, tick engine.Tick) {
	s.tickAt = tick.Now
	if s.Manifest != p.manifest.Load() {
		p.manifest.Store(s.Manifest)
	}
	owning := s.Ownership.OwnsAny()
	p.owning.Store(owning)
	ready := s.Ledger.Synced && s.Manifest != nil && s.stopping.IsZero()
	if ready && !p.ready.Load() {
		p.log.Log(events.ProcessReady, events.F("manifest", s.Manifest.Version), events.F("store_revision", s.Ledger.Revision))
	}
	p.ready.Store(ready)
	if p.DroppedLines != nil {
		if dropped := p.DroppedLines(); dropped > p.dropped {
			p.counters.add("log_dropped", dropped-p.dropped)
			p.dropped = dropped
		}
	}
}

// Stop hands the duties over, answers what is open and ends the process.
func (p *Process) Stop(ctx context.Context) {
	p.log.Log(events.ProcessStopping)
	p.closing.Store(true)
	if err := p.loop.Post(ctx, stopRequested{}); err != nil {
		p.log.Log(events.ShutdownTimeout, events.Err(err))
	}
	share := time.Duration(graceShare * float64(p.settings.Bounds.ShutdownGrace))
	timer := time.NewTimer(min(serveAfterStop, share))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(ctx, min(shutdownTimeout, share))
	defer cancel()
	var ending sync.WaitGroup
	for _, server := range p.servers {
		ending.Go(func() {
			if err := server.Shutdown(shutdown); err != nil {
				p.log.Log(events.ShutdownTimeout, events.Err(err))
			}
		})
	}
	ending.Wait()
	p.cancel()
	signal.Stop(p.signals)
	p.log.Log(events.ProcessStopped)
}

// MaxStopTime is the longest time that Stop takes.
const MaxStopTime = serveAfterStop + shutdownTimeout + 500*time.Millisecond
