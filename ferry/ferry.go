// Package ferry is the transport between the processes of the system: one
// WebSocket link per pair of processes carries messages in both directions.
package ferry

import (
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Option changes one setting of a Node.
	Option func(*Node)

	// MessageHandler takes inbound messages. It must not block, because it
	// runs on the reader goroutine of the link.
	MessageHandler func(from order.MemberID, m order.Msg)

	// LinkHandler is told when the first link to a peer opens and when the
	// last one closes. It must not block.
	LinkHandler func(peer order.MemberID, up bool)

	// Node is the end of all links of one process.
	Node struct {
		self   order.MemberID
		role   order.Role
		domain order.DomainName
		secret [sha256.Size]byte
		plain  string
		clock  tide.Clock
		reg    *gauge.Registry
		log    zerolog.Logger
		limits limits

		ctx    context.Context
		cancel context.CancelFunc
		wg     sync.WaitGroup
		local  chan order.Msg

		mu        sync.Mutex
		closed    bool
		peers     map[order.MemberID]*peer
		links     map[*link]struct{}
		servers   []*http.Server
		onMessage MessageHandler
		onLink    LinkHandler
	}

	limits struct {
		ring      int
		frame     int
		batch     int
		age       time.Duration
		handshake time.Duration
		write     time.Duration
		idle      time.Duration
		backoff   time.Duration
		longest   time.Duration
	}
)

const (
	protocolVersion = 1
	path            = "/v1/link"

	defaultRing      = 4096
	defaultFrame     = 8 << 20
	defaultBatch     = 64
	defaultAge       = 2 * time.Second
	defaultHandshake = 2 * time.Second
	defaultWrite     = 2 * time.Second
	defaultIdle      = 6 * time.Second
	defaultBackoff   = 50 * time.Millisecond
	defaultLongest   = 2 * time.Second

	// keepAlivesPerIdle lets two keep-alive frames be lost before the peer
	// takes the link for dead.
	keepAlivesPerIdle = 3
)

var (
	// ErrRingFull reports that the messages that wait for the peer fill its
	// ring.
	ErrRingFull = errors.New("ring of the link is full")

	// ErrClosed reports a call after Close.
	ErrClosed = errors.New("node closed")

	errSecret      = errors.New("peer secret does not match")
	errVersion     = errors.New("protocol version does not match")
	errWrongMember = errors.New("another process answers at the address")
	errNoHello     = errors.New("link does not begin with a hello message")
	errNotBinary   = errors.New("frame is not binary")
)

// WithRing sets how many messages may wait for one peer.
func WithRing(messages int) Option {
	return func(n *Node) { n.limits.ring = messages }
}

// WithFrameLimit sets the size of the largest frame in bytes.
func WithFrameLimit(bytes int) Option {
	return func(n *Node) { n.limits.frame = bytes }
}

// WithMessageAge sets how long a message may wait for a link.
func WithMessageAge(age time.Duration) Option {
	return func(n *Node) { n.limits.age = age }
}

// WithWriteTimeout sets how long one write may take.
func WithWriteTimeout(d time.Duration) Option {
	return func(n *Node) { n.limits.write = d }
}

// WithIdleTimeout sets how long a peer may be silent. Both sides send
// keep-alive frames, so both need the same value.
func WithIdleTimeout(d time.Duration) Option {
	return func(n *Node) { n.limits.idle = d }
}

// WithHandshakeTimeout sets how long opening a link may take.
func WithHandshakeTimeout(d time.Duration) Option {
	return func(n *Node) { n.limits.handshake = d }
}

// WithBackoff sets the first and the longest delay between two dials.
func WithBackoff(first, longest time.Duration) Option {
	return func(n *Node) { n.limits.backoff, n.limits.longest = first, longest }
}

// New returns a node without links.
func New(self order.MemberID, role order.Role, domain order.DomainName, secret string,
	clock tide.Clock, reg *gauge.Registry, log zerolog.Logger, opts ...Option) *Node {
	n := &Node{
		self: self, role: role, domain: domain,
		secret: sha256.Sum256([]byte(secret)), plain: secret,
		clock: clock, reg: reg, log: log, limits: defaultLimits(),
		peers: make(map[order.MemberID]*peer),
		links: make(map[*link]struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.local = make(chan order.Msg, n.limits.ring)
	n.wg.Add(1)
	go n.loopback()
	return n
}

func defaultLimits() limits {
	return limits{
		ring: defaultRing, frame: defaultFrame, batch: defaultBatch,
		age: defaultAge, handshake: defaultHandshake, write: defaultWrite,
		idle: defaultIdle, backoff: defaultBackoff, longest: defaultLongest,
	}
}

// OnMessage sets the handler of inbound messages. Messages that arrive while
// there is none are counted and dropped.
func (n *Node) OnMessage(handler MessageHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onMessage = handler
}

// OnLink sets the handler of link changes.
func (n *Node) OnLink(handler LinkHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLink = handler
}

// Send queues a message for the process. It never blocks, and a nil error does
// not mean that the message will arrive.
func (n *Node) Send(to order.MemberID, m order.Msg) error {
	if to == n.self {
		return n.sendLocal(m)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return n.drop("closed", ErrClosed)
	}
	p := n.peer(to)
	select {
	case p.queue <- queued{msg: m, at: n.clock.Now()}:
	default:
		return n.drop("ring_full", ErrRingFull)
	}
	n.dialIfNeeded(p)
	return nil
}

// Connect opens a link to the process ahead of the first message. It does not
// wait.
func (n *Node) Connect(to order.MemberID) {
	if to == n.self {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.dialIfNeeded(n.peer(to))
	}
}

// Serve accepts links until Close.
func (n *Node) Serve(l net.Listener) error {
	server := n.server()
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		l.Close()
		return ErrClosed
	}
	n.servers = append(n.servers, server)
	n.mu.Unlock()
	err := server.Serve(&batchListener{Listener: l, write: n.limits.write, idle: n.limits.idle})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close writes the messages that wait for open links, closes all links and
// waits for the goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	servers := n.servers
	n.servers = nil
	n.mu.Unlock()
	n.cancel()
	for _, server := range servers {
		server.Close()
	}
	n.wg.Wait()
}

func (n *Node) sendLocal(m order.Msg) error {
	if n.ctx.Err() != nil {
		return n.drop("closed", ErrClosed)
	}
	select {
	case n.local <- m:
		return nil
	default:
		return n.drop("ring_full", ErrRingFull)
	}
}

func (n *Node) loopback() {
	defer n.wg.Done()
	for {
		select {
		case m := <-n.local:
			n.deliver(n.self, m)
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) deliver(from order.MemberID, m order.Msg) {
	n.mu.Lock()
	handler := n.onMessage
	n.mu.Unlock()
	if handler == nil {
		n.reg.Count("ferry.dropped.no_handler")
		return
	}
	handler(from, m)
}

func (n *Node) drop(reason string, err error) error {
	n.reg.Count("ferry.dropped." + reason)
	return err
}

// start runs a goroutine that Close waits for. It reports false after Close.
func (n *Node) start(run func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		run()
	}()
	return true
}
