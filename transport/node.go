// Package transport carries messages between the processes of the system. A
// Node sends messages to other processes and receives theirs. One WebSocket
// link per pair of processes carries the messages in both directions. A link is
// dialed when there is a message to send and no open link, and broken links are
// replaced in the same way. Messages may be lost, so a sender that needs an
// answer has to send again.
package transport

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
	"chervilhollow/timers"
)

type (
	// Option sets an option of New.
	Option func(*Node)

	// MessageHandler receives inbound messages. It must not block, because it
	// runs on the reader goroutine of the link.
	MessageHandler func(from order.MemberID, m order.Msg)

	// LinkHandler is called when the first link to a peer opens, with up set,
	// and when the last one closes. Its calls don't overlap, and it must not
	// block.
	LinkHandler func(peer order.MemberID, up bool)

	// Node holds the links of one process to its peers. It is safe for
	// concurrent use.
	Node struct {
		self       order.MemberID
		role       order.Role
		domain     order.DomainName
		secretHash [sha256.Size]byte
		secret     string
		clock      timers.Clock
		reg        *gauge.Registry
		log        zerolog.Logger
		limits     limits

		ctx    context.Context
		cancel context.CancelFunc
		wg     sync.WaitGroup
		local  chan order.Msg

		// notices is held while a link is added or removed and the handler is
		// told, so that it learns of changes in their order. It is locked before
		// mu.
		notices sync.Mutex

		mu        sync.Mutex
		closed    bool
		peers     map[order.MemberID]*peer
		links     map[*link]struct{}
		servers   []*http.Server
		onMessage MessageHandler
		onLink    LinkHandler
	}

	// limits holds the settings that options change.
	limits struct {
		queueLength    int
		maxFrame       int
		maxBatch       int
		messageAge     time.Duration
		handshake      time.Duration
		write          time.Duration
		idle           time.Duration
		firstBackoff   time.Duration
		longestBackoff time.Duration
	}
)

const (
	protocolVersion = 1
	path            = "/v1/link"

	defaultQueueLength    = 4096
	defaultMaxFrame       = 8 << 20
	defaultMaxBatch       = 64
	defaultMessageAge     = 2 * time.Second
	defaultHandshake      = 2 * time.Second
	defaultWrite          = 2 * time.Second
	defaultIdle           = 6 * time.Second
	defaultFirstBackoff   = 50 * time.Millisecond
	defaultLongestBackoff = 2 * time.Second

	// keepAlivesPerIdle is how many keep-alive frames are sent in an idle
	// timeout, so two may be lost before the peer closes the link.
	keepAlivesPerIdle = 3
)

var (
	// ErrQueueFull reports that the send queue of the peer is full. The message
	// was dropped.
	ErrQueueFull = errors.New("send queue of the link is full")

	// ErrClosed reports a call after Close.
	ErrClosed = errors.New("node closed")

	errSecret      = errors.New("peer secret does not match")
	errVersion     = errors.New("link protocol version does not match")
	errWrongMember = errors.New("another process answers at the address")
	errNoHello     = errors.New("link does not begin with a hello message")
	errNotBinary   = errors.New("frame is not binary")
)

// WithQueueLength sets the length of each peer's send queue in messages; the
// default is 4096.
func WithQueueLength(messages int) Option {
	return func(n *Node) { n.limits.queueLength = messages }
}

// WithFrameLimit sets the size of the largest frame in bytes; the default is 8
// MiB. Larger messages are dropped, and a peer that sends one is disconnected.
func WithFrameLimit(bytes int) Option {
	return func(n *Node) { n.limits.maxFrame = bytes }
}

// WithMessageAge sets how long a message may wait in the send queue until it is
// dropped; the default is two seconds.
func WithMessageAge(age time.Duration) Option {
	return func(n *Node) { n.limits.messageAge = age }
}

// WithWriteTimeout sets how long one write may take; the default is two
// seconds. The link is closed after that.
func WithWriteTimeout(d time.Duration) Option {
	return func(n *Node) { n.limits.write = d }
}

// WithIdleTimeout sets how long nothing may arrive on a link until it is
// closed; the default is six seconds. Both sides send keep-alive frames at a
// third of it, so both need the same value.
func WithIdleTimeout(d time.Duration) Option {
	return func(n *Node) { n.limits.idle = d }
}

// WithHandshakeTimeout sets how long opening a link may take; the default is
// two seconds.
func WithHandshakeTimeout(d time.Duration) Option {
	return func(n *Node) { n.limits.handshake = d }
}

// WithBackoff sets the first and the longest delay between two dials; the
// defaults are 50 milliseconds and two seconds.
func WithBackoff(first, longest time.Duration) Option {
	return func(n *Node) { n.limits.firstBackoff, n.limits.longestBackoff = first, longest }
}

// New returns a node without links, for the process with the ID self. It starts
// a goroutine, which Close ends.
func New(self order.MemberID, role order.Role, domain order.DomainName, secret string,
	clock timers.Clock, reg *gauge.Registry, log zerolog.Logger, opts ...Option) *Node {
	n := &Node{
		self: self, role: role, domain: domain,
		secretHash: sha256.Sum256([]byte(secret)), secret: secret,
		clock: clock, reg: reg, log: log, limits: defaultLimits(),
		peers: make(map[order.MemberID]*peer),
		links: make(map[*link]struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.local = make(chan order.Msg, n.limits.queueLength)
	n.wg.Add(1)
	go n.loopback()
	return n
}

func defaultLimits() limits {
	return limits{
		queueLength: defaultQueueLength, maxFrame: defaultMaxFrame, maxBatch: defaultMaxBatch,
		messageAge: defaultMessageAge, handshake: defaultHandshake, write: defaultWrite,
		idle: defaultIdle, firstBackoff: defaultFirstBackoff, longestBackoff: defaultLongestBackoff,
	}
}

// OnMessage sets the handler of inbound messages, also of those that the
// process sends to itself. Messages that arrive before a handler is set are
// dropped.
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

// Send queues a message for the process and dials it if there is no link. It
// never blocks. A nil error doesn't mean that the message will arrive.
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
	case p.queue <- queuedMsg{msg: m, queuedAt: n.clock.Now()}:
	default:
		return n.drop("ring_full", ErrQueueFull)
	}
	n.dialIfNeeded(p)
	return nil
}

// Connect starts to dial the process before there is a message for it. It never
// blocks.
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

// Serve accepts links until Close, and then returns nil.
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

// Close writes the queued messages of open links, closes all links and waits
// for the goroutines.
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
		return n.drop("ring_full", ErrQueueFull)
	}
}

// loopback delivers the messages that the process sends to itself.
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

// drop counts a dropped message and returns the error.
func (n *Node) drop(reason string, err error) error {
	n.reg.Count("ferry.dropped." + reason)
	return err
}

// start runs the function on a goroutine that Close waits for. After Close it
// reports false and doesn't run it.
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
