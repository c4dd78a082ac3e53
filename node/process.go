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

// Process bundles the I/O that every role needs: listeners, store client, lease,
// platform client, logs and metrics. Its goroutines only post events to the
// role's control loop.
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
	registered chan struct{} // capacity 1: signals that arrive before the next read are merged
	post       Post
	servers    []*http.Server
}

// Options configure a Process.
type Options struct {
	Role     Role
	Settings *settings.Process
	Listen   settings.Address // of the public listener, for callers or operators
	Log      *events.Logger
	// Incarnation is generated if it is empty.
	Incarnation string
}

// NewProcess opens the listeners and creates the clients. It sends no requests.
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
	bindings := []struct {
		listener *net.Listener
		address  settings.Address
	}{{&p.PublicListener, options.Listen}, {&p.PeerListener, options.Settings.ListenPeers}, {&p.AdminListener, options.Settings.ListenAdmin}}
	for _, binding := range bindings {
		listener, err := net.Listen("tcp", string(binding.address))
		if err != nil {
			p.closeListeners()
			return err
		}
		*binding.listener = listener
	}
	return nil
}

func (p *Process) closeListeners() {
	for _, listener := range []net.Listener{p.PublicListener, p.PeerListener, p.AdminListener} {
		if listener != nil {
			_ = listener.Close() // no connection was accepted yet
		}
	}
}

// Start starts the lease and the background reads. They pass their events to post.
func (p *Process) Start(post Post) {
	p.post = post
	p.running.Go(func() { p.Lease.Run(p.ctx) })
	p.running.Go(func() { p.reportLease() })
	p.running.Go(func() { WatchShared(p.ctx, p.Store, p.Keys, post) })
	p.running.Go(func() { ListWorkers(p.ctx, p.Platform, WorkerListInterval, post) })
	p.running.Go(func() { ListMembers(p.ctx, p.Store, p.Keys, MemberListInterval, p.registered, post) })
	p.running.Go(func() { p.reportStoreCalls() })
}

// Go runs the function on a goroutine whose context ends when the process stops.
// Stop waits for it.
func (p *Process) Go(run func(context.Context)) { p.running.Go(func() { run(p.ctx) }) }

// Context returns the context that is cancelled when the process stops.
func (p *Process) Context() context.Context { return p.ctx }

const leasePollInterval = 250 * time.Millisecond

// reportLease posts every change of the lease or its deadline. Systems must be
// deterministic, so they cannot read the lease themselves.
func (p *Process) reportLease() {
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

// register retries the registration until it is stored or the lease has changed.
func (p *Process) register(lease store.LeaseID) {
	backoff := &store.Backoff{Base: minBackoff, Max: maxBackoff}
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
	default: // a signal is already pending
	}
}

const callReportInterval = time.Second

// reportStoreCalls exports the number of store calls by kind as a metric.
func (p *Process) reportStoreCalls() {
	reported := map[string]int64{}
	for store.Sleep(p.ctx, callReportInterval) == nil {
		for kind, count := range p.Store.Sent().Snapshot() {
			p.Metrics.Scope.Tagged(map[string]string{"kind": kind}).Counter("store_calls").Inc(count - reported[kind])
			reported[kind] = count
		}
	}
}

// Readiness returns the reason why the process is not ready, or an empty string
// if it is ready.
type Readiness func() string

// ServeAdmin serves the health, readiness and metrics endpoints on the admin
// listener.
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

// Limits of the HTTP servers. The handlers limit the size of request bodies.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
)

// NewServer returns an HTTP server for the operator API or the admin endpoints.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Serve runs the server on the listener until the process stops.
func (p *Process) Serve(listener net.Listener, server *http.Server) {
	p.servers = append(p.servers, server)
	p.running.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.Log.Log(events.ServerFailed, events.F("address", listener.Addr().String()), events.Err(err))
		}
	})
}

// Stop shuts the servers down gracefully, then stops the background goroutines
// and revokes the lease.
func (p *Process) Stop(ctx context.Context) {
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			p.Log.Log(events.ShutdownTimeout, events.Err(err))
			_ = server.Close() // the shutdown timed out
		}
	}
	p.cancel()
	p.running.Wait()
	p.Lease.Release(ctx)
	_ = p.Metrics.Close() // flushes the last values
}
