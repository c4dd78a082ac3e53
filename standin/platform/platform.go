// Package platform implements the stand-in for the platform: a key-value store
// with the etcd v3 JSON gateway, and the VM and task interface of infra/httpapi.
//
// Workers, tasks, operations and requests are tables owned by one loop. HTTP
// handlers post a request and wait for its response. Faults are injected through
// Go methods or HTTP (see admin.go).
package platform

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/standin/listen"
	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

// Defaults of Options.
const (
	DefaultListLag    = time.Second
	DefaultUsageLag   = time.Second
	DefaultRebootTime = 2 * time.Second
	DefaultRetention  = 10 * time.Minute
	// minLag limits the rate of the periodic systems.
	minLag = 10 * time.Millisecond
)

const (
	inboxSize = 1024
	// commandRetryInterval is the wait before a failed stop or start of a target is retried.
	commandRetryInterval = 200 * time.Millisecond
)

// Options configure a Server. The zero value listens on free ports on loopback.
type Options struct {
	ListenStore    string
	ListenPlatform string
	Workers        []infra.Worker
	Targets        TargetControl // nil if the workers have no targets
	Store          memory.Options
	ListLag        time.Duration // maximum age of the VM list
	UsageLag       time.Duration // maximum age of the reported usage of tasks
	RebootTime     time.Duration
	// Retention is how long ended tasks stay listed and completed operation IDs are
	// deduplicated.
	Retention time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.ListenStore, "127.0.0.1:0")
	setDefault(&o.ListenPlatform, "127.0.0.1:0")
	setDefault(&o.ListLag, DefaultListLag)
	setDefault(&o.UsageLag, DefaultUsageLag)
	setDefault(&o.RebootTime, DefaultRebootTime)
	setDefault(&o.Retention, DefaultRetention)
	o.ListLag, o.UsageLag = max(o.ListLag, minLag), max(o.UsageLag, minLag)
	if o.Targets == nil {
		o.Targets = noTargets{}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type event interface {
	apply(*state, engine.Tick)
}

// Server is a running platform stand-in.
type Server struct {
	options        Options
	store          *memory.Store
	loop           *engine.Loop[state, event]
	storeServer    *listen.Server
	platformServer *listen.Server
	faults         atomic.Pointer[Faults] // copy for HTTP handlers
	faultsMu       sync.Mutex             // serializes SetFaults
	ctx            context.Context        // cancelled by Close
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup // the loop, the poller and the running commands
}

// Start starts the stand-in. Close stops it.
func Start(options Options) (*Server, error) {
	options.setDefaults()
	s := &Server{options: options, store: memory.New(options.Store)}
	s.faults.Store(&Faults{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.loop = engine.NewLoop(engine.Program[state, event]{
		Apply:        func(st *state, tick engine.Tick, e event) { e.apply(st, tick) },
		Systems:      systems(),
		Flush:        s.flush,
		NextDeadline: nextDeadline,
	}, newState(options), inboxSize)
	if err := s.listen(); err != nil {
		s.Close()
		return nil, err
	}
	s.goroutines.Go(func() { s.loop.Run(s.ctx) })
	s.goroutines.Go(s.pollCounts)
	return s, nil
}

func (s *Server) listen() (err error) {
	gateway := storeGateway{store: s.store}.handler()
	s.storeServer, err = listen.Start(s.options.ListenStore, func(server *http.Server) { server.Handler = gateway })
	if err != nil {
		return errors.Newf("store: %w", err)
	}
	api := s.handler()
	s.platformServer, err = listen.Start(s.options.ListenPlatform, func(server *http.Server) { server.Handler = api })
	if err != nil {
		return errors.Newf("platform: %w", err)
	}
	return nil
}

// Close stops the stand-in and closes its connections.
func (s *Server) Close() {
	s.cancel()
	if s.storeServer != nil {
		s.storeServer.Close()
	}
	if s.platformServer != nil {
		s.platformServer.Close()
	}
	s.goroutines.Wait()
	s.store.Close()
}

// StoreURL returns the base URL of the key-value service.
func (s *Server) StoreURL() string { return "http://" + s.storeServer.Address() }

// PlatformURL returns the base URL of the VM and task interface.
func (s *Server) PlatformURL() string { return "http://" + s.platformServer.Address() }

// Store returns the store, for tests that access it directly.
func (s *Server) Store() *memory.Store { return s.store }

// flush sends responses to the waiting handlers and starts a goroutine for each
// command. Each worker has at most one command in progress, which limits the
// number of goroutines.
func (s *Server) flush(st *state, _ engine.Tick) {
	st.answers.Drain(func(row answerRow) { row.request.answer <- row.response })
	st.completions.Drain(func(done chan struct{}) { close(done) })
	st.outgoingCommands.Drain(func(row commandRow) {
		s.goroutines.Go(func() {
			err := s.runCommand(row)
			_ = s.loop.Post(s.ctx, commandDone{commandRow: row, err: err}) // fails only when the server closes
		})
	})
}

// runCommand executes a command. A stop or start must eventually succeed, so it is
// retried here; a drain is retried by the caller of the interface.
func (s *Server) runCommand(row commandRow) error {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, controlTimeout)
		var err error
		if row.kind == commandDraining {
			err = s.options.Targets.SetDraining(ctx, row.name, row.value)
		} else {
			err = s.options.Targets.SetDown(ctx, row.name, row.value)
		}
		cancel()
		if err == nil {
			return nil
		}
		if row.kind == commandDraining || s.ctx.Err() != nil {
			return fmt.Errorf("%w: target of worker %s: %w", infra.ErrUnavailable, row.name, err)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(commandRetryInterval):
		}
	}
}

// pollCounts polls the targets' requests in flight for the VM list.
func (s *Server) pollCounts() {
	ticker := time.NewTicker(s.options.ListLag)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(s.ctx, controlTimeout)
		counts, err := s.options.Targets.InFlightByWorker(ctx)
		cancel()
		if err == nil {
			_ = s.loop.Post(s.ctx, countsEvent(counts)) // fails only when the server closes
		}
	}
}

// call executes a request in the loop and waits for its response. Once posted, the
// request is executed even if the caller disconnects, like one in transit.
func (s *Server) call(ctx context.Context, r *request) (response, error) {
	r.answer = make(chan response, 1)
	if err := s.loop.Post(ctx, r); err != nil {
		return response{}, fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	select {
	case answer := <-r.answer:
		return answer, answer.err
	case <-ctx.Done():
		return response{}, fmt.Errorf("%w: %w", infra.ErrUnavailable, ctx.Err())
	case <-s.ctx.Done():
		return response{}, errors.Newf("%w: stand-in is closed", infra.ErrUnavailable)
	}
}

func (s *Server) runInLoop(change func(*state, time.Time)) {
	event := controlEvent{change: change, done: make(chan struct{})}
	if s.loop.Post(s.ctx, event) != nil {
		return
	}
	select {
	case <-event.done:
	case <-s.ctx.Done():
	}
}
