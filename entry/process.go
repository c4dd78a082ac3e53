package entry

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/clientconn"
	"github.com/waxwingbridge/waxwingbridge/clientlimit"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/metrics"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Limits of the process.
const (
	inboxSize = 8192
	// ownerTickInterval is the longest time between two ticks while the process
	// owns a duty. Most ticks run earlier because an event arrives.
	ownerTickInterval = 20 * time.Millisecond
	// nonOwnerTickInterval applies to a process that owns no duty.
	nonOwnerTickInterval = 50 * time.Millisecond
	// ownerRecordsPause and nonOwnerRecordsPause are the pauses between two watch
	// calls over the records, during which changes accumulate. An owner learns of
	// new jobs from the watch; other processes need it only to answer status
	// requests.
	ownerRecordsPause    = 70 * time.Millisecond
	nonOwnerRecordsPause = 250 * time.Millisecond
	// ownerRegistryPause and nonOwnerRegistryPause are those of the watch over the
	// registry. Each call is charged, and only owners act on the registry.
	ownerRegistryPause    = 140 * time.Millisecond
	nonOwnerRegistryPause = time.Second
	// operatorWatchPause can be short because the operator writes rarely.
	operatorWatchPause = 20 * time.Millisecond
	// serveAfterStopTime is how long a process that shuts down still answers on
	// open connections, because clients keep using them until they are closed.
	serveAfterStopTime = 2500 * time.Millisecond
	// shutdownTimeout then bounds the wait for requests in flight.
	shutdownTimeout = 2 * time.Second
	// graceShare is the largest part of the platform's time between SIGTERM and
	// SIGKILL that each of serveAfterStopTime and shutdownTimeout may take.
	graceShare = 0.4
	// gcPercent is above Go's default so that the heap grows further between
	// collections, which took 7% of the CPU time of an owner with a heap of about
	// 10 MB.
	gcPercent = 200
	// memoryShare is the part of the node's memory limit that is set as the soft
	// memory limit of the Go runtime.
	memoryShare = 0.6
)

// Process is one entry process with its control loop, servers and clients.
type Process struct {
	// DroppedLines returns how many log lines were dropped because the reader of
	// the log was too slow. It may be nil.
	DroppedLines func() int64
	// Reload receives a value when the settings file has changed, see NotifyReload. It may
	// be nil.
	Reload chan os.Signal

	settings *platform.Settings
	log      *events.Logger
	limiter  *logLimiter // for records of the control thread
	load     loadReporter
	loop     *engine.Loop[State, event]
	store    *platform.StoreClient
	workers  *platform.WorkerClient
	machines *platform.MachineClient
	advice   *platform.AdviceClient
	metrics  *metrics.Metrics
	counters counters
	timers   timers
	// teamWaits are the waits of jobs by team.
	teamWaits teamWaits

	ctx     context.Context //nolint:containedctx // cancels all calls of the process
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	servers []*http.Server
	gate    *clientconn.Gate

	manifest atomic.Pointer[work.Manifest]
	// manifestUsableUntil is the time, in nanoseconds since clockEpoch, until which the
	// manifest may be used without a further confirmation.
	manifestUsableUntil atomic.Int64
	ready               atomic.Bool
	ownsDuty            atomic.Bool
	// wakeRecords and wakeRegistry end the pauses of the watches when the process
	// claims a duty: a new owner may act only when its tables have reached its own
	// claim.
	wakeRecords, wakeRegistry chan struct{}
	closing                   atomic.Bool

	countedDroppedLines int64 // dropped log lines already added to the counter
	requestID           atomic.Uint64
	pendingReplies      sync.Map // request ID to chan intake.Reply
}

// clockEpoch is the time that stands for zero on the boot-time clock.
var clockEpoch = time.Unix(0, 0)

// now reads the clock that all decisions use. It is monotonic and, unlike Go's
// monotonic clock, also advances while the machine is suspended.
func now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "read the boot-time clock")) // Linux always provides this clock
	}
	return clockEpoch.Add(time.Duration(ts.Nano()))
}

// Features are parts of the process that its settings switch on.
type Features struct {
	// Forecast learns the turns of each pool's demand and orders machines ahead of them.
	Forecast bool
	// Interference keeps tasks apart that slow each other down on one worker.
	Interference bool
}

// New returns a process that has not been started.
func New(settings *platform.Settings, features Features, log *events.Logger, incarnation string) *Process {
	p := &Process{
		settings: settings, log: log, limiter: newLogLimiter(log), metrics: metrics.New("entry"),
		store: platform.NewStoreClient(settings.StoreAddress), workers: platform.NewWorkerClient(),
		machines: platform.NewMachineClient(settings.MachinesAddress, func(err error) { log.Log(events.MachineRowInvalid, events.Err(err)) }), advice: platform.NewAdviceClient(settings.AdviceAddress),
		wakeRecords: make(chan struct{}, 1), wakeRegistry: make(chan struct{}, 1),
	}
	p.counters.scope, p.timers.scope, p.teamWaits.scope = p.metrics.Scope, p.metrics.Scope, p.metrics.Scope
	p.gate = p.newGate()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	program := engine.Program[State, event]{
		Apply:   func(s *State, tick engine.Tick, e event) { e.apply(s, tick) },
		Systems: systems(),
		Flush:   p.flush,
		NextDeadline: func(s *State) time.Time {
			if p.ownsDuty.Load() {
				return s.lastTick.Add(ownerTickInterval)
			}
			return s.lastTick.Add(nonOwnerTickInterval)
		},
	}
	p.loop = engine.NewLoop(program, newState(settings, features, incarnation, time.Now), inboxSize)
	p.loop.SetClock(now)
	return p
}

// Start opens the listeners and starts the goroutines of the process.
func (p *Process) Start() error {
	if p.settings.MemoryBytes > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryShare * float64(p.settings.MemoryBytes)))
	}
	frontend := &platform.Frontend{
		Manifest: p.usableManifest, Execute: p.execute, Ready: p.ready.Load, Closing: p.closing.Load, Now: now, TimeOfDay: time.Now,
	}
	p.gate.Start(p.ctx)
	handlers := map[clientlimit.Class]http.Handler{
		clientlimit.Clients: frontend.Handler(), clientlimit.Readiness: frontend.ReadinessHandler(), clientlimit.Metrics: p.metrics.Handler(),
	}
	for class, handler := range handlers {
		if err := p.serve(class, handler); err != nil {
			return err
		}
	}
	go p.loop.Run(p.ctx)
	go p.watchRecords()
	go p.watchRegistry()
	go p.watchOperatorKeys()
	go p.reloadOnSignal()
	p.log.Log(events.ProcessStarted, events.F("node", p.settings.Node), events.F("zone", p.settings.Zone), events.F("metrics", p.settings.MetricsAddress))
	return nil
}

// watchRecords posts the changes of the records of this system.
func (p *Process) watchRecords() {
	pause := func() time.Duration { return p.watchPause(ownerRecordsPause, nonOwnerRecordsPause) }
	// An owner must stop the tasks of cancelled jobs in time although it reads all records.
	cancellations := storeKey(ledger.Key{Kind: ledger.KindCancel})
	p.watch(platform.RecordPrefix, cancellations, pause, p.wakeRecords, func(batch platform.Batch) event { return recordsChanged{batch, now()} })
}

// watchRegistry posts the changes of the registry of workers and of the wave statuses.
func (p *Process) watchRegistry() {
	pause := func() time.Duration { return p.watchPause(ownerRegistryPause, nonOwnerRegistryPause) }
	p.watch(platform.PlatformPrefix, "", pause, p.wakeRegistry, func(batch platform.Batch) event { return registryChanged{batch, now()} })
}

func (p *Process) watchPause(owner, nonOwner time.Duration) time.Duration {
	if p.ownsDuty.Load() {
		return owner
	}
	return nonOwner
}

// watchOperatorKeys posts the changes of the operator's keys. No other watch covers
// them: a manifest of 1 MB takes more than a second on a link of 10 Mbit/s, must be in
// force everywhere two or three seconds after it was written, and must not delay the
// changes of jobs and workers.
func (p *Process) watchOperatorKeys() {
	pause := func() time.Duration { return operatorWatchPause }
	p.watch(platform.OperatorPrefix, "", pause, nil, func(batch platform.Batch) event { return operatorWrote{batch, now()} })
}

// watch posts the changes of all keys with a prefix until the process ends, those with
// the prefix urgent also while all keys are read again.
func (p *Process) watch(prefix, urgent string, pause func() time.Duration, wake <-chan struct{}, wrap func(platform.Batch) event) {
	watcher := platform.Watcher{
		Store: p.store, Prefix: prefix, Urgent: urgent, Now: now, Pause: pause, Wake: wake,
		OnError: func(err error) {
			if err == nil {
				p.log.Log(events.StoreAvailable, events.F("prefix", prefix))
				return
			}
			p.log.Log(events.StoreWatchLost, events.F("prefix", prefix), events.Err(err))
		},
	}
	watcher.Run(p.ctx, func(batch platform.Batch) {
		if err := p.loop.Post(p.ctx, wrap(batch)); err != nil && p.ctx.Err() == nil {
			p.log.Log(events.StoreWatchLost, events.F("prefix", prefix), events.Err(err))
		}
	})
}

// NotifyReload returns a channel for Process.Reload. It must be called first: a SIGHUP ends
// a process that has not asked for it, and the platform sends one at any time.
func NotifyReload() chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// reloadOnSignal reads the settings file again on SIGHUP. A running process
// cannot change its addresses, so the file is only validated and the result logged.
func (p *Process) reloadOnSignal() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.Reload:
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			p.log.Log(events.ConfigRejected, events.Err(err))
			continue
		}
		p.log.Log(events.SettingsReloaded, events.F("node", settings.Node))
	}
}

// execute passes a request to the control thread and waits for the reply. It
// returns false if the context ends first.
func (p *Process) execute(ctx context.Context, request intake.Request) (intake.Reply, bool) {
	request.ID = p.requestID.Add(1)
	answer := make(chan intake.Reply, 1)
	p.pendingReplies.Store(request.ID, answer)
	defer p.pendingReplies.Delete(request.ID)
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

// usableManifest returns the manifest in force, or nil if the store has not confirmed
// for too long that it is the newest: a route may have been added or removed since.
func (p *Process) usableManifest() *work.Manifest {
	if now().Sub(clockEpoch) >= time.Duration(p.manifestUsableUntil.Load()) {
		p.counters.add("requests_without_manifest", 1)
		return nil
	}
	return p.manifest.Load()
}

// publishManifest passes the manifest to the traffic goroutines.
func (p *Process) publishManifest(s *State, tick engine.Tick) {
	if s.Manifest != p.manifest.Load() {
		p.manifest.Store(s.Manifest)
	}
	until := s.manifestConfirmedAt.Add(p.settings.Bounds.ManifestMaxAge())
	p.manifestUsableUntil.Store(int64(until.Sub(clockEpoch)))
	if expired := s.Manifest != nil && !tick.Now.Before(until); expired != s.manifestExpired {
		s.manifestExpired = expired
		p.log.Log(events.ManifestExpired, events.F("expired", expired), events.F("version", s.Manifest.Version),
			events.F("confirmed_ms_ago", tick.Now.Sub(s.manifestConfirmedAt).Milliseconds()))
	}
}

func (p *Process) deliverReply(reply intake.Reply) {
	p.counters.add("requests_"+reply.Outcome.String(), 1)
	if reply.Reason != admission.None {
		p.counters.add("rejected_"+strings.ReplaceAll(reply.Reason.String(), "-", "_"), 1)
	}
	if answer, ok := p.pendingReplies.LoadAndDelete(reply.Request); ok {
		answer.(chan intake.Reply) <- reply // never blocks: the channel has room for the only reply
	}
}

// publish updates the state that the traffic goroutines read.
func (p *Process) publish(s *State, tick engine.Tick) {
	s.lastTick = tick.Now
	p.publishManifest(s, tick)
	owning := s.Ownership.OwnsAny()
	p.ownsDuty.Store(owning)
	if s.claimedDuties() {
		for _, wake := range []chan struct{}{p.wakeRecords, p.wakeRegistry} {
			select {
			case wake <- struct{}{}:
			default: // the watch has been woken already
			}
		}
	}
	ready := s.Mirror.Synced && s.Manifest != nil && s.stoppingSince.IsZero() && s.reachesStore(tick.Now)
	if ready && !p.ready.Load() {
		p.log.Log(events.ProcessReady, events.F("manifest", s.Manifest.Version), events.F("store_revision", s.Mirror.Revision))
	}
	p.ready.Store(ready)
	p.load.report(p, s, tick)
	if p.DroppedLines != nil {
		if dropped := p.DroppedLines(); dropped > p.countedDroppedLines {
			p.counters.add("log_dropped", dropped-p.countedDroppedLines)
			p.countedDroppedLines = dropped
		}
	}
}

// Stop hands over the duties, answers the open requests and ends the process.
func (p *Process) Stop(ctx context.Context) {
	p.log.Log(events.ProcessStopping)
	p.closing.Store(true)
	if err := p.loop.Post(ctx, stopRequested{}); err != nil {
		p.log.Log(events.ShutdownTimeout, events.Err(err))
	}
	share := time.Duration(graceShare * float64(p.settings.Bounds.ShutdownGrace))
	timer := time.NewTimer(min(serveAfterStopTime, share))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(ctx, min(shutdownTimeout, share))
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, server := range p.servers {
		shutdowns.Go(func() {
			if err := server.Shutdown(shutdown); err != nil {
				p.log.Log(events.ShutdownTimeout, events.Err(err))
			}
		})
	}
	shutdowns.Wait()
	p.cancel()
	if p.Reload != nil {
		signal.Stop(p.Reload)
	}
	p.log.Log(events.ProcessStopped)
}

// MaxStopTime is the longest time that Stop takes.
const MaxStopTime = serveAfterStopTime + shutdownTimeout + 500*time.Millisecond
