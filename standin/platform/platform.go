// Package platform is the stand-in for the platform: the key-value service
// behind the etcd v3 JSON gateway, and the VM and task interface of
// platform/httpapi.
//
// Workers, tasks, operations and requests are tables that one loop owns. HTTP
// handlers post a request and wait for its answer. Fault switches are Go methods
// and HTTP calls (see admin.go).
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
	// minLag bounds the rate of the periodic systems.
	minLag = 10 * time.Millisecond
)

const (
	inboxSize = 1024
	// commandRetryWait is the pause before a stop or start of a target is tried again.
	commandRetryWait = 200 * time.Millisecond
)

// Options configure a Server. The zero value listens on free ports of loopback.
type Options struct {
	ListenStore    string
	ListenPlatform string
	Workers        []infra.Worker
	Targets        TargetControl // nil means workers without targets
	Store          memory.Options
	ListLag        time.Duration // greatest age of the VM list
	UsageLag       time.Duration // greatest age of the tasks' usage
	RebootTime     time.Duration
	// Retention is how long ended tasks are listed and operation IDs remembered.
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

// Server is a running stand-in.
type Server struct {
	options  Options
	store    *memory.Store
	loop     *engine.Loop[state, event]
	storeWeb *listen.Server
	platWeb  *listen.Server
	faults   atomic.Pointer[Faults] // read by HTTP handlers
	faultsMu sync.Mutex             // serializes SetFaults
	running  context.Context        // ends with Close
	stop     context.CancelFunc
	work     sync.WaitGroup // the loop and the I/O goroutines
}

// Start starts the stand-in. Close ends it.
func Start(options Options) (*Server, error) {
	options.setDefaults()
	s := &Server{options: options, store: memory.New(options.Store)}
	s.faults.Store(&Faults{})
	s.running, s.stop = context.WithCancel(context.Background())
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
	s.work.Go(func() { s.loop.Run(s.running) })
	s.work.Go(s.pollCounts)
	return s, nil
}

func (s *Server) listen() (err error) {
	gateway := storeGateway{store: s.store}.handler()
	s.storeWeb, err = listen.Start(s.options.ListenStore, func(server *http.Server) { server.Handler = gateway })
	if err != nil {
		return errors.Newf("store: %w", err)
	}
	api := s.handler()
	s.platWeb, err = listen.Start(s.options.ListenPlatform, func(server *http.Server) { server.Handler = api })
	if err != nil {
		return errors.Newf("platform: %w", err)
	}
	return nil
}

// Close ends the stand-in and cuts its connections.
func (s *Server) Close() {
	s.stop()
	if s.storeWeb != nil {
		s.storeWeb.Close()
	}
	if s.platWeb != nil {
		s.platWeb.Close()
	}
	s.work.Wait()
	s.store.Close()
}

// StoreURL returns the base URL of the key-value service.
func (s *Server) StoreURL() string { return "http://" + s.storeWeb.Address() }

// PlatformURL returns the base URL of the VM and task interface.
func (s *Server) PlatformURL() string { return "http://" + s.platWeb.Address() }

// Store returns the store, for tests that look at it or change it directly.
func (s *Server) Store() *memory.Store { return s.store }

// flush hands answers to the waiting handlers and commands to I/O goroutines.
// Each worker has at most one command in progress, which bounds the goroutines.
func (s *Server) flush(st *state, _ engine.Tick) {
	st.answers.Drain(func(row answerRow) { row.request.answer <- row.response })
	st.signals.Drain(func(done chan struct{}) { close(done) })
	st.outgoing.Drain(func(row commandRow) {
		s.work.Go(func() {
			err := s.perform(row)
			_ = s.loop.Post(s.running, commandDone{commandRow: row, err: err}) // fails only at the end
		})
	})
}

// perform carries out a command. A stop or start must happen in the end, so it
// is repeated; a drain is repeated by its caller.
func (s *Server) perform(row commandRow) error {
	for {
		ctx, cancel := context.WithTimeout(s.running, controlTimeout)
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
		if row.kind == commandDraining || s.running.Err() != nil {
			return fmt.Errorf("%w: target of worker %s: %w", infra.ErrUnavailable, row.name, err)
		}
		select {
		case <-s.running.Done():
		case <-time.After(commandRetryWait):
		}
	}
}

// pollCounts brings the targets' counts into the VM list.
func (s *Server) pollCounts() {
	ticker := time.NewTicker(s.options.ListLag)
	defer ticker.Stop()
	for {
		select {
		case <-s.running.Done():
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(s.running, controlTimeout)
		counts, err := s.options.Targets.InFlightByWorker(ctx)
		cancel()
		if err == nil {
			_ = s.loop.Post(s.running, countsEvent(counts)) // fails only at the end
		}
	}
}

// call sends a request through the loop. It is executed even if the caller has
// gone away, as a request in transit would be.
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
	case <-s.running.Done():
		return response{}, errors.Newf("%w: stand-in is closed", infra.ErrUnavailable)
	}
}

func (s *Server) control(change func(*state, time.Time)) {
	event := controlEvent{change: change, done: make(chan struct{})}
	if s.loop.Post(s.running, event) != nil {
		return
	}
	select {
	case <-event.done:
	case <-s.running.Done():
	}
}
