package clientconn

import (
	"context"
	"net"
	"net/http"
	"runtime/metrics"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/clientlimit"
	"github.com/waxwingbridge/waxwingbridge/engine"
)

const (
	// maxHeaderBytes bounds the heads that net/http accepts. The limit in force is lower
	// and checked by the connection, since that of a server can't be changed.
	maxHeaderBytes = 1 << 20
	// bufferSlack is the size of the buffer through which net/http reads, by which a
	// head may exceed its limit before that shows.
	bufferSlack = 4 << 10
	inboxSize   = 1024
	// metricsPageBytes is what the answer of the metrics listener takes while it is
	// written.
	metricsPageBytes = 256 << 10
	observeInterval  = time.Second
)

// RequestLimits are the limits of a request and of the wait for it.
type RequestLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // from the first byte of a head, or from the connection's start
	IdleTimeout   time.Duration // between an answer and the next request
	BodyBytes     int
}

// Gate applies the limits of a process to its listeners.
type Gate struct {
	// Current returns the limits in force for a new request.
	Current func() RequestLimits
	// Count is called for each case of a reason, from any goroutine.
	Count func(clientlimit.Reason)
	// Observe is called every second while there are connections, by the same goroutine as
	// Report.
	Observe func(held, limit int64, clients int)
	// Report is called at most once a minute for each reason, by one goroutine.
	Report func(clientlimit.Report)

	limits     clientlimit.Limits
	budget     *clientlimit.Budget
	counts     clientlimit.Counts
	pace       clientlimit.Pace
	loop       *engine.Loop[clientlimit.State, event]
	slots      [3]chan struct{} // by class: one element for each open connection
	live       []metrics.Sample // of the runtime; only the loop uses it and observedAt
	observedAt time.Time
	ctx        context.Context //nolint:containedctx // ends with the process
}

// event is a change of the table of connections.
type event struct {
	kind  eventKind
	usage *clientlimit.Usage
	class clientlimit.Class
}

type eventKind uint8

const (
	opened eventKind = iota
	closed
	full  // a listener waits for room
	short // a request waits for room in the budget
)

// New returns a gate that has not been started. The functions of Gate must be set before
// Run.
func New(limits clientlimit.Limits) *Gate {
	g := &Gate{limits: limits, live: []metrics.Sample{{Name: "/gc/heap/live:bytes"}}}
	g.budget = clientlimit.NewBudget(limits.Bytes, func() { g.loop.TryPost(event{kind: short}) })
	for class := range g.slots {
		g.slots[class] = make(chan struct{}, limits.Conns[class])
	}
	program := engine.Program[clientlimit.State, event]{
		Apply: apply, Systems: clientlimit.Systems(), Flush: g.flush,
		NextDeadline: func(s *clientlimit.State) time.Time { return s.NextDeadline() },
	}
	g.loop = engine.NewLoop(program, clientlimit.NewState(limits, g.budget, &g.counts), inboxSize)
	return g
}

// Start starts the goroutine that chooses which connections are closed.
func (g *Gate) Start(ctx context.Context) {
	g.ctx = ctx
	go g.loop.Run(ctx)
}

// Limits returns the limits of the process.
func (g *Gate) Limits() clientlimit.Limits { return g.limits }

// Held returns the bytes that clients make the process hold.
func (g *Gate) Held() int64 { return g.budget.Used() }

func apply(s *clientlimit.State, tick engine.Tick, e event) {
	switch e.kind {
	case opened:
		s.Opened(tick, e.usage)
	case closed:
		s.Closed(e.usage)
	case full:
		s.Full(e.class)
	case short:
		s.Short()
	}
}

func (g *Gate) flush(s *clientlimit.State, tick engine.Tick) {
	if s.Sampled() {
		metrics.Read(g.live)
		if g.live[0].Value.Kind() == metrics.KindUint64 {
			s.SetLive(int64(g.live[0].Value.Uint64()))
		}
	}
	if tick.Now.Sub(g.observedAt) >= observeInterval {
		g.observedAt = tick.Now
		g.Observe(g.budget.Used(), g.budget.Limit(clientlimit.Executing), s.Open(clientlimit.Clients))
	}
	s.Closes().Drain(func(c clientlimit.Closing) {
		g.count(c.Reason)
		c.Usage.Close()
	})
	s.Reports().Drain(g.Report)
}

func (g *Gate) count(reason clientlimit.Reason) {
	g.counts.Add(reason)
	g.Count(reason)
}

func (g *Gate) post(e event) { _ = g.loop.Post(g.ctx, e) } // fails only when the process ends

// Server returns a server for the connections of a listener that Listen has returned.
func (g *Gate) Server(class clientlimit.Class, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: g.handler(class, handler), MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			c, ok := conn.(*Conn)
			switch {
			case !ok:
			case state == http.StateIdle:
				c.awaitRequest()
			case state == http.StateClosed:
				c.release()
			}
		},
	}
}

// handler brackets the requests of a server, so that what they hold is given back on
// every way out.
func (g *Gate) handler(class clientlimit.Class, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := From(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		limits := g.Current()
		c.beginRequest(r, limits.BodyBytes)
		defer c.endRequest()
		switch {
		case c.headBytes > limits.HeaderBytes && headSize(r) > limits.HeaderBytes:
			g.count(clientlimit.HeadTooLarge)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		case class == clientlimit.Metrics && !c.Hold(r.Context(), metricsPageBytes, clientlimit.Starting):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// headSize returns the size of a request's head on the wire, without the blanks that its
// decoding drops.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// listener limits the number of connections of a listener.
type listener struct {
	net.Listener
	gate  *Gate
	class clientlimit.Class
	done  chan struct{}
}

// Listen returns a listener whose connections count against the limits.
func (g *Gate) Listen(inner net.Listener, class clientlimit.Class) net.Listener {
	return &listener{Listener: inner, gate: g, class: class, done: make(chan struct{})}
}

// Close implements net.Listener. It is called once by the server.
func (l *listener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return l.Listener.Close()
}

// Accept implements net.Listener. A connection beyond the limit waits until another one
// is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.gate.slots[l.class] <- struct{}{}:
		default:
			l.gate.post(event{kind: full, class: l.class})
			select {
			case l.gate.slots[l.class] <- struct{}{}:
			case <-l.done:
				inner.Close()
				return nil, errors.WithStack(net.ErrClosed)
			}
		}
		if !l.gate.budget.Take(l.gate.ctx, clientlimit.ConnBytes, clientlimit.Starting) {
			l.gate.count(clientlimit.NoRoom)
			inner.Close()
			<-l.gate.slots[l.class]
			continue
		}
		return l.gate.open(inner, l.class), nil
	}
}
