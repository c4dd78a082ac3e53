package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/infra/httpapi"
	"github.com/waxwingbridge/waxwingbridge/metrics"
	"github.com/waxwingbridge/waxwingbridge/settings"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/store/etcdgateway"
)

// Process is the I/O that every role needs: listeners, store, lease, platform,
// logs and metrics. Its goroutines only post events to the role's control loop.
type Process struct {
	Identity Identity
	Keys     Keys
	Log      *events.Logger
	Metrics  *metrics.Metrics
	Store    *store.RateLimitedStore
	Platform infra.Platform
	Lease    *store.ProcessLease

	PublicListener, PeerListener, AdminListener net.Listener

	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	registered chan struct{} // has room for one signal
	post       Post
	servers    []*http.Server
}

// Options describe a process.
type Options struct {
	Role     Role
	Settings *settings.Process
	Listen   settings.Address // towards callers or operators
	Log      *events.Logger
	// Incarnation of the process; empty makes a new one.
	Incarnation string
}

// NewProcess opens the listeners and prepares the clients. It contacts nobody.
func NewProcess(options Options) (*Process, error) {
	p := &Process{Keys: NewKeys(string(options.Settings.Site)), Log: options.Log, registered: make(chan struct{}, 1)}
	if err := p.listen(options); err != nil {
		return nil, err
	}
	incarnation := options.Incarnation
	if incarnation == "" {
		incarnation = NewIncarnation()
	}
	p.Identity = Identity{
		Incarnation: incarnation, Role: options.Role, AvailabilityZone: string(options.Settings.AvailabilityZone),
		PeerAddress: p.PeerListener.Addr().String(), PublicAddress: p.PublicListener.Addr().String(),
	}
	urls := make([]string, len(options.Settings.Store))
	for i, url := range options.Settings.Store {
		urls[i] = string(url)
	}
	if advertised := options.Settings.AdvertisePeers; advertised != "" {
		p.Identity.PeerAddress = string(advertised)
	}
	client, err := etcdgateway.New(urls...)
	if err != nil {
		p.closeListeners()
		return nil, err
	}
	p.Store = store.NewRateLimitedStore(client, store.DefaultRateLimits, nil)
	p.Platform = httpapi.New(string(options.Settings.Platform))
	p.Metrics = metrics.New(string(options.Role))
	p.Lease = store.NewProcessLease(p.Store, store.ProcessLeaseOptions{
		TTL: leaseTTL(options.Role), OnGranted: p.leaseGranted, OnLost: p.leaseLost,
	})
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

func leaseTTL(role Role) time.Duration {
	if role == RoleController {
		return ControllerLeaseTTL
	}
	return GatewayLeaseTTL
}

func (p *Process) listen(options Options) error {
	targets := []struct {
		listener *net.Listener
		address  settings.Address
	}{{&p.PublicListener, options.Listen}, {&p.PeerListener, options.Settings.ListenPeers}, {&p.AdminListener, options.Settings.ListenAdmin}}
	for _, target := range targets {
		listener, err := net.Listen("tcp", string(target.address))
		if err != nil {
			p.closeListeners()
			return err
		}
		*target.listener = listener
	}
	return nil
}

func (p *Process) closeListeners() {
	for _, listener := range []net.Listener{p.PublicListener, p.PeerListener, p.AdminListener} {
		if listener != nil {
			_ = listener.Close() // nothing was accepted yet
		}
	}
}

// Start runs the background reads and the lease. Events go to post.
func (p *Process) Start(post Post) {
	p.post = post
	p.running.Go(func() { p.Lease.Run(p.ctx) })
	p.running.Go(func() { p.followLease() })
	p.running.Go(func() { WatchShared(p.ctx, p.Store, p.Keys, post) })
	p.running.Go(func() { ListWorkers(p.ctx, p.Platform, WorkerListInterval, post) })
	p.running.Go(func() { ListMembers(p.ctx, p.Store, p.Keys, MemberListInterval, p.registered, post) })
	p.running.Go(func() { p.reportStoreCalls() })
}

// Go runs a goroutine that ends with the process.
func (p *Process) Go(run func(context.Context)) { p.running.Go(func() { run(p.ctx) }) }

// Context ends when the process stops.
func (p *Process) Context() context.Context { return p.ctx }

const leasePollInterval = 250 * time.Millisecond

// followLease posts each new deadline of the lease. A system may not read the
// lease itself, because systems are deterministic.
func (p *Process) followLease() {
	var last LeaseChanged
	for {
		current := LeaseChanged{Lease: p.Lease.ID(), Deadline: p.Lease.Deadline()}
		if current != last {
			if p.post(p.ctx, current) != nil {
				return
			}
			last = current
		}
		if store.Sleep(p.ctx, leasePollInterval) != nil {
			return
		}
	}
}

func (p *Process) leaseGranted(lease store.LeaseID) {
	p.Log.Log(events.ProcessLeaseGranted, events.F("lease", lease))
	p.running.Go(func() { p.register(lease) })
}

func (p *Process) leaseLost(lease store.LeaseID) {
	p.Log.Log(events.ProcessLeaseLost, events.F("lease", lease))
}

// register writes the registration until it is in the store or the lease has changed.
func (p *Process) register(lease store.LeaseID) {
	backoff := &store.Backoff{Base: minWatchBackoff, Max: maxWatchBackoff}
	for p.Lease.ID() == lease {
		err := Register(p.ctx, p.Store, p.Keys, p.Identity, lease)
		if err == nil {
			p.signalRegistered()
			return
		}
		if backoff.Wait(p.ctx) != nil {
			return
		}
	}
}

func (p *Process) signalRegistered() {
	select {
	case p.registered <- struct{}{}:
	default: // a read is due already
	}
}

const callReportInterval = time.Second

// reportStoreCalls counts the store calls by kind as a metric.
func (p *Process) reportStoreCalls() {
	reported := map[string]int64{}
	for store.Sleep(p.ctx, callReportInterval) == nil {
		for kind, count := range p.Store.Sent().Snapshot() {
			p.Metrics.Scope.Tagged(map[string]string{"kind": kind}).Counter("store_calls").Inc(count - reported[kind])
			reported[kind] = count
		}
	}
}

// Readiness reports why the process is not ready, or the empty string.
type Readiness func() string

// ServeAdmin serves health, readiness and metrics.
func (p *Process) ServeAdmin(readiness Readiness) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := readiness(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /metrics", p.Metrics.Handler())
	p.Serve(p.AdminListener, NewServer(mux))
}

// Limits of the HTTP servers. Bodies are bounded by their handlers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
)

// NewServer returns an HTTP server for operators or the admin page.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Serve serves HTTP until the process stops.
func (p *Process) Serve(listener net.Listener, server *http.Server) {
	p.servers = append(p.servers, server)
	p.running.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.Log.Log(events.ServerFailed, events.F("address", listener.Addr().String()), events.Err(err))
		}
	})
}

// Stop ends the servers gracefully, then the background work, and gives the
// lease back.
func (p *Process) Stop(ctx context.Context) {
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			p.Log.Log(events.ShutdownTimeout, events.Err(err))
			_ = server.Close() // the timeout has passed
		}
	}
	p.cancel()
	p.running.Wait()
	p.Lease.Release(ctx)
	_ = p.Metrics.Close() // reports the last values
}
