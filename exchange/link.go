package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
)

const (
	linkQueueSize   = 2                // queued messages while one is in flight; further ones are dropped
	linkIdleTimeout = 10 * time.Second // without messages, after which the connection is closed
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second // below membership.SuspectAfter, so that a restarted peer is reached in time
)

// links holds the link of each address to which state messages are sent.
type links struct {
	mu        sync.Mutex
	byAddress map[string]*link
}

// link sends state messages to one address over one connection, one at a time.
type link struct {
	address  string
	queue    chan membership.Message
	conn     *drpcconn.Conn
	failures int
	nextDial time.Time // no message is sent before this time
}

// send queues a message on the link of its address. It drops the message if the
// queue is full; the next one contains all changes since the last acknowledged one.
func (e *Exchange) send(send membership.Send) {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	l := e.links.byAddress[send.Address]
	if l == nil {
		l = &link{address: send.Address, queue: make(chan membership.Message, linkQueueSize)}
		if !e.launch(func() { e.runLink(l) }) {
			return
		}
		e.links.byAddress[send.Address] = l
	}
	select {
	case l.queue <- send.Message:
	default:
	}
}

// runLink sends queued messages until the exchange is closed or the link has been
// idle for linkIdleTimeout.
func (e *Exchange) runLink(l *link) {
	defer l.disconnect()
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case message := <-l.queue:
			e.exchange(l, &message)
			idle.Reset(linkIdleTimeout)
		case <-idle.C:
			if e.removeIfIdle(l) {
				return
			}
			idle.Reset(linkIdleTimeout)
		}
	}
}

// removeIfIdle removes the link unless a message has been queued meanwhile. It
// reports whether it removed the link.
func (e *Exchange) removeIfIdle(l *link) bool {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(e.links.byAddress, l.address)
	return true
}

// exchange sends one message and posts the reply. After a failure it closes the
// connection, because a late reply on it could not be distinguished from the reply
// to the next message.
func (e *Exchange) exchange(l *link, message *membership.Message) {
	if time.Now().Before(l.nextDial) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, exchangeTimeout)
	defer cancel()
	answer, err := l.invoke(ctx, peerapi.MessageToProto(message))
	if err != nil {
		l.disconnect()
		l.failures++
		l.nextDial = time.Now().Add(backoff(l.failures))
		return
	}
	l.failures = 0
	e.options.Post(Event{Received: &membership.Received{Message: peerapi.MessageFromProto(answer), Address: l.address}})
}

func (l *link) invoke(ctx context.Context, state *peerpb.State) (*peerpb.State, error) {
	if l.conn == nil {
		transport, err := dial(ctx, l.address)
		if err != nil {
			return nil, err
		}
		l.conn = drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions(0)})
	}
	return peerpb.NewDRPCPeerClient(l.conn).Exchange(ctx, state)
}

func (l *link) disconnect() {
	if l.conn != nil {
		_ = l.conn.Close() // the connection is discarded, so an error does not matter
		l.conn = nil
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// backoff returns a random delay below a bound that doubles with each failure.
func backoff(failures int) time.Duration {
	bound := min(minBackoff<<min(failures, 10), maxBackoff)
	return rand.N(bound)
}
