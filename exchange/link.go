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
	linkQueue    = 2                // messages that wait while one is in flight; later ones are dropped
	linkIdleTime = 10 * time.Second // without a message before the connection is closed
	firstBackoff = 100 * time.Millisecond
	longBackoff  = 2 * time.Second // below membership.SuspectAfter, so that a peer that returns is found in time
)

// links holds one link per address to which state messages are sent.
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
	notYet   time.Time // no dial before this moment
}

// send hands a message to the address's link. It drops the message if earlier
// ones still wait; the next message builds on what the peer acknowledged.
func (e *Exchange) send(send membership.Send) {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	l := e.links.byAddress[send.Address]
	if l == nil {
		l = &link{address: send.Address, queue: make(chan membership.Message, linkQueue)}
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

// runLink sends messages until the exchange closes or no message comes for linkIdleTime.
func (e *Exchange) runLink(l *link) {
	defer l.disconnect()
	idle := time.NewTimer(linkIdleTime)
	defer idle.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case message := <-l.queue:
			e.exchange(l, &message)
			idle.Reset(linkIdleTime)
		case <-idle.C:
			if e.forget(l) {
				return
			}
			idle.Reset(linkIdleTime)
		}
	}
}

// forget removes an idle link and reports false if a message has arrived.
func (e *Exchange) forget(l *link) bool {
	e.links.mu.Lock()
	defer e.links.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(e.links.byAddress, l.address)
	return true
}

// exchange sends one message and posts the answer. After a failure the
// connection is closed, because a late answer on it cannot be told from the
// answer to the next message.
func (e *Exchange) exchange(l *link, message *membership.Message) {
	if time.Now().Before(l.notYet) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, exchangeTimeout)
	defer cancel()
	answer, err := l.invoke(ctx, peerapi.MessageToProto(message))
	if err != nil {
		l.disconnect()
		l.failures++
		l.notYet = time.Now().Add(jitter(l.failures))
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
		_ = l.conn.Close() // the connection is given up, whatever its state
		l.conn = nil
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// jitter returns a random pause up to a bound that doubles with each failure.
func jitter(failures int) time.Duration {
	bound := min(firstBackoff<<min(failures, 10), longBackoff)
	return rand.N(bound)
}
