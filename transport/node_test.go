package transport_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/timers"
	"chervilhollow/transport"
)

type (
	inbound struct {
		from order.MemberID
		msg  order.Msg
	}

	// testNode is a node that records the messages and the changes of links.
	testNode struct {
		node        *transport.Node
		id          order.MemberID
		reg         *gauge.Registry
		received    chan inbound
		linkChanges chan bool
	}
)

const secret = "peer secret of the test"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newTestNode(t testing.TB, l net.Listener, secret string, opts ...transport.Option) *testNode {
	t.Helper()
	e := &testNode{
		id:          order.NewMemberID(l.Addr().String()),
		reg:         gauge.New(zerolog.Nop()),
		received:    make(chan inbound, 1<<16),
		linkChanges: make(chan bool, 64),
	}
	e.node = transport.New(e.id, order.RolePlacer, "east", secret, timers.New(), e.reg, zerolog.Nop(), opts...)
	e.node.OnMessage(func(from order.MemberID, m order.Msg) { e.received <- inbound{from, m} })
	e.node.OnLink(func(_ order.MemberID, up bool) { e.linkChanges <- up })
	go e.node.Serve(l)
	t.Cleanup(e.node.Close)
	return e
}

func (e *testNode) next(t testing.TB) inbound {
	t.Helper()
	select {
	case in := <-e.received:
		return in
	case <-time.After(10 * time.Second):
		t.Fatal("no message arrived")
		return inbound{}
	}
}

func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if cond() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

// closableListener can close the connections that it has accepted.
type closableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *closableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.conns = append(l.conns, c)
	}
	return c, err
}

func (l *closableListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
	l.conns = nil
}

func status(n uint64) order.Msg { return order.StatusMsg{}.WithTeam("toys").WithSequence(n) }

func sequence(m order.Msg) uint64 { return m.(order.StatusMsg).Sequence() }

// Guards against messages that are lost or reordered on a link, and against a
// peer that dials again to answer instead of using the open link.
func TestMessagesArriveInOrderBothWays(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	for i := range uint64(1000) {
		is.NoErr(a.node.Send(b.id, status(i)))
	}
	for i := range uint64(1000) {
		in := b.next(t)
		is.Equal(in.from, a.id)
		is.Equal(sequence(in.msg), i)
	}
	is.NoErr(b.node.Send(a.id, status(7)))
	is.Equal(sequence(a.next(t).msg), uint64(7))
	is.Equal(b.reg.Counter("ferry.links_opened"), int64(1))
}

// Guards against a message of a process to itself that uses the network.
func TestLoopback(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	is.NoErr(a.node.Send(a.id, status(1)))
	is.Equal(a.next(t).from, a.id)
	is.Equal(a.reg.Counter("ferry.links_opened"), int64(0))
}

// Guards against two processes that don't reconnect after their link breaks.
func TestReconnect(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	l := listen(t, "127.0.0.1:0")
	cut := &closableListener{Listener: l}
	b := newTestNode(t, cut, secret)
	for i := range uint64(3) {
		is.NoErr(a.node.Send(b.id, status(i)))
		is.Equal(sequence(b.next(t).msg), i)
		is.True(<-a.linkChanges)
		cut.closeConns()
		is.True(!<-a.linkChanges)
	}
	is.Equal(a.reg.Counter("ferry.links_opened"), int64(3))
}

// Guards against a dialer that stops retrying before a slow peer has started.
func TestDialRetriesUntilPeerStarts(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	l := listen(t, "127.0.0.1:0")
	address := l.Addr().String()
	l.Close()
	id := order.NewMemberID(address)
	is.NoErr(a.node.Send(id, status(1)))
	eventually(t, "failed dial", func() bool { return a.reg.Counter("ferry.dial_failed") > 1 })
	node := transport.New(id, order.RolePlacer, "east", secret, timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop())
	t.Cleanup(node.Close)
	got := make(chan order.Msg, 1)
	node.OnMessage(func(_ order.MemberID, m order.Msg) { got <- m })
	go node.Serve(listen(t, address))
	is.Equal(sequence(<-got), uint64(1))
}

// Guards against messages that reach the handler from a process that doesn't
// know the peer secret.
func TestWrongSecret(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), "another secret", transport.WithMessageAge(200*time.Millisecond))
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	is.NoErr(a.node.Send(b.id, status(1)))
	eventually(t, "refusal", func() bool { return b.reg.Counter("ferry.refused.secret") > 0 })
	eventually(t, "drop", func() bool { return a.reg.Counter("ferry.dropped.expired") == 1 })
	is.Equal(len(b.received), 0)
	is.Equal(len(b.linkChanges), 0)
}

// Guards against a message that is delivered to another process than the one it
// was sent to, because that one was replaced at the same address.
func TestWrongMember(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	is.NoErr(a.node.Send(order.NewMemberID(b.id.Address()), status(1)))
	eventually(t, "drop", func() bool { return a.reg.Counter("ferry.dropped.wrong_member") == 1 })
	is.Equal(len(b.received), 0)
}

// Guards against a large message that blocks or breaks the link for others.
func TestOversizedMessageIsDropped(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret, transport.WithFrameLimit(1000))
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret, transport.WithFrameLimit(1000))
	is.NoErr(a.node.Send(b.id, order.AnswerMsg{}.WithBody(make([]byte, 2000))))
	is.NoErr(a.node.Send(b.id, status(2)))
	is.Equal(sequence(b.next(t).msg), uint64(2))
	is.Equal(a.reg.Counter("ferry.dropped.oversized"), int64(1))
	eventually(t, "count of sent messages", func() bool { return a.reg.Counter("ferry.sent") == 1 })
}

// handshake opens a raw WebSocket link with the right secret.
func handshake(t *testing.T, b *testNode) *websocket.Conn {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	ws, _, err := websocket.Dial(ctx, "ws://"+b.id.Address()+"/v1/link", nil)
	is.NoErr(err)
	t.Cleanup(func() { ws.CloseNow() })
	hello, err := order.Encode(order.HelloMsg{}.WithMember("raw/1").WithSecret(secret).WithVersion(1))
	is.NoErr(err)
	is.NoErr(ws.Write(ctx, websocket.MessageBinary, hello))
	_, _, err = ws.Read(ctx)
	is.NoErr(err)
	return ws
}

// Guards against oversized, malformed or text frames that exhaust the memory or
// stop the process. They must end only the link.
func TestBadFramesEndTheLink(t *testing.T) {
	frames := map[string]struct {
		kind websocket.MessageType
		data []byte
	}{
		"oversized": {websocket.MessageBinary, make([]byte, 4000)},
		"garbage":   {websocket.MessageBinary, bytes.Repeat([]byte{0xff}, 40)},
		"text":      {websocket.MessageText, []byte("hello")},
	}
	for name, frame := range frames {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestNode(t, listen(t, "127.0.0.1:0"), secret, transport.WithFrameLimit(1000))
			ws := handshake(t, b)
			is.True(<-b.linkChanges)
			is.NoErr(ws.Write(context.Background(), frame.kind, frame.data))
			is.True(!<-b.linkChanges)
			is.Equal(len(b.received), 0)
			a := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
			is.NoErr(a.node.Send(b.id, status(1)))
			is.Equal(sequence(b.next(t).msg), uint64(1))
		})
	}
}

// Guards against a peer that stops reading and thereby blocks Send.
func TestSlowReaderDoesNotBlockSender(t *testing.T) {
	is := is.New(t)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret, transport.WithQueueLength(16), transport.WithWriteTimeout(time.Second))
	handshake(t, b)
	is.True(<-b.linkChanges)
	full := false
	body := order.AnswerMsg{}.WithBody(make([]byte, 1<<20))
	for i := 0; i < 64 && !full; i++ {
		start := time.Now()
		full = b.node.Send("raw/1", body) != nil
		is.True(time.Since(start) < 500*time.Millisecond)
	}
	is.True(full)
	is.True(b.reg.Counter("ferry.dropped.ring_full") > 0)
	is.True(!<-b.linkChanges)
}

// Guards against a link that stays open although the peer sends nothing.
func TestIdleLinkEnds(t *testing.T) {
	is := is.New(t)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret, transport.WithIdleTimeout(100*time.Millisecond))
	handshake(t, b)
	is.True(<-b.linkChanges)
	is.True(!<-b.linkChanges)
}

// Guards against a link that ends although both processes run, only because
// they have no messages for each other.
func TestKeepAliveHoldsLinkOpen(t *testing.T) {
	is := is.New(t)
	opt := transport.WithIdleTimeout(600 * time.Millisecond)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret, opt)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret, opt)
	a.node.Connect(b.id)
	is.True(<-b.linkChanges)
	time.Sleep(1800 * time.Millisecond)
	is.Equal(len(b.linkChanges), 0)
	is.Equal(len(a.received), 0)
}

// Guards against queued messages that are lost when the node closes.
func TestCloseWritesQueuedMessages(t *testing.T) {
	is := is.New(t)
	a := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	a.node.Connect(b.id)
	is.True(<-a.linkChanges)
	for i := range uint64(500) {
		is.NoErr(a.node.Send(b.id, status(i)))
	}
	a.node.Close()
	for i := range uint64(500) {
		is.Equal(sequence(b.next(t).msg), i)
	}
	is.Equal(a.node.Send(b.id, status(1)), transport.ErrClosed)
}

// BenchmarkRoundTrip measures one message and its answer over a link.
func BenchmarkRoundTrip(b *testing.B) {
	a := newTestNode(b, listen(b, "127.0.0.1:0"), secret)
	c := newTestNode(b, listen(b, "127.0.0.1:0"), secret)
	c.node.OnMessage(func(from order.MemberID, m order.Msg) { _ = c.node.Send(from, m) })
	b.ReportAllocs()
	for b.Loop() {
		if err := a.node.Send(c.id, status(1)); err != nil {
			b.Fatal(err)
		}
		a.next(b)
	}
}

// BenchmarkStream measures one-way messages with many in flight.
func BenchmarkStream(b *testing.B) {
	a := newTestNode(b, listen(b, "127.0.0.1:0"), secret)
	c := newTestNode(b, listen(b, "127.0.0.1:0"), secret)
	b.ReportAllocs()
	go func() {
		for i := 0; i < b.N; i++ {
			for a.node.Send(c.id, status(1)) != nil {
				time.Sleep(100 * time.Microsecond)
			}
		}
	}()
	for i := 0; i < b.N; i++ {
		c.next(b)
	}
}

// Guards against a link that counts as lost although it is open: the notices of
// a link that closes and of the next one that opens must not overtake each
// other.
func TestLinkNoticesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	closing, reopened, notices := make(chan struct{}), make(chan struct{}), make(chan bool, 64)
	var once sync.Once
	b.node.OnLink(func(_ order.MemberID, up bool) {
		if !up {
			once.Do(func() { close(closing) })
			select {
			case <-reopened:
			case <-time.After(300 * time.Millisecond):
			}
		}
		notices <- up
		select {
		case <-closing:
			if up {
				close(reopened)
			}
		default:
		}
	})
	ws := handshake(t, b)
	is.True(<-notices)
	ws.CloseNow()
	<-closing
	handshake(t, b)
	is.True(!<-notices) // of the first link
	is.True(<-notices)
}

// Guards against one message that can't be decoded, such as a caller's text that
// an older process passed on, which ends the link for all others.
func TestInvalidMessageLeavesLinkOpen(t *testing.T) {
	is := is.New(t)
	b := newTestNode(t, listen(t, "127.0.0.1:0"), secret)
	ws := handshake(t, b)
	is.True(<-b.linkChanges)
	invalid, err := order.Encode(order.JobCallMsg{}.WithPath("/\xff"))
	is.NoErr(err)
	valid, err := order.Encode(status(1))
	is.NoErr(err)
	is.NoErr(ws.Write(context.Background(), websocket.MessageBinary, invalid))
	is.NoErr(ws.Write(context.Background(), websocket.MessageBinary, valid))
	is.Equal(sequence(b.next(t).msg), uint64(1))
	is.Equal(len(b.linkChanges), 0)
	is.Equal(b.reg.Counter("ferry.dropped.invalid_message"), int64(1))
}
