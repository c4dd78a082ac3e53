package entry

import (
	"net"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/waxwingbridge/waxwingbridge/clientconn"
	"github.com/waxwingbridge/waxwingbridge/clientlimit"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/platform"
)

// newGate returns the limits for clients, which follow the settings and the manifest in
// force.
func (p *Process) newGate() *clientconn.Gate {
	gate := clientconn.New(clientlimit.Derive(p.settings.MemoryBytes, p.settings.MaxFds))
	gate.Current = func() clientconn.RequestLimits { return platform.RequestLimits(p.manifest.Load()) }
	gate.Count = func(reason clientlimit.Reason) { p.counters.add("client_limit_"+reason.String(), 1) }
	held, limit, conns := p.metrics.Scope.Gauge("client_held_bytes"), p.metrics.Scope.Gauge("client_held_bytes_limit"), p.metrics.Scope.Gauge("client_connections")
	gate.Observe = func(heldBytes, limitBytes int64, clients int) {
		held.Update(float64(heldBytes))
		limit.Update(float64(limitBytes))
		conns.Update(float64(clients))
	}
	gate.Report = func(r clientlimit.Report) {
		p.log.Log(events.ClientsLimited, events.F("reason", r.Reason.String()), events.F("cases", r.Cases), events.F("held_bytes", r.Held),
			events.F("held_limit", r.Limit), events.F("connections", r.Conns), events.F("connection_limit", gate.Limits().Conns[clientlimit.Clients]))
	}
	return gate
}

// Sizes of the kernel's buffers of a connection, which it takes over from its listener.
// They are not in the memory of the process but in that of its machine, and would grow to
// some megabytes. 128 KB in a round trip of 10 ms are 100 Mbit/s.
const (
	receiveBuffer = 128 << 10
	sendBuffer    = 64 << 10
)

func limitBuffers(_, _ string, conn syscall.RawConn) error {
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = errors.CombineErrors(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer))
	})
	return errors.CombineErrors(err, optErr)
}

// serve opens the listener of a class, unless the settings name none.
func (p *Process) serve(class clientlimit.Class, handler http.Handler) error {
	address := map[clientlimit.Class]string{
		clientlimit.Clients: p.settings.ClientAddress, clientlimit.Readiness: p.settings.ReadyAddress, clientlimit.Metrics: p.settings.MetricsAddress,
	}[class]
	if address == "" {
		return nil
	}
	config := net.ListenConfig{Control: limitBuffers}
	listener, err := config.Listen(p.ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := p.gate.Server(class, handler)
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(p.gate.Listen(listener, class)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.log.Log(events.ServerFailed, events.F("address", address), events.Err(err))
		}
	}()
	return nil
}
