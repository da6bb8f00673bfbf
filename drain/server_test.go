package drain_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilhollow/drain"
	"chervilhollow/timers"
)

type (
	// testServer is a server on loopback whose handler answers with the path.
	// Requests for /wait are answered after release is closed.
	testServer struct {
		t        *testing.T
		server   *drain.Server
		listener net.Listener
		handling chan struct{}
		release  chan struct{}
		served   chan error
	}

	testClient struct {
		t      *testing.T
		conn   net.Conn
		reader *bufio.Reader
	}

	// slowListener accepts the first connection only, until its deadline is
	// set. Others stay queued.
	slowListener struct {
		*net.TCPListener
		once    sync.Once
		expired chan struct{}
	}

	// slowConn reads nothing from the time it is first idle, which it knows by the
	// idle timeout, until its deadline is in the past. What arrives stays queued.
	slowConn struct {
		*net.TCPConn
		idle    chan struct{}
		expired chan struct{}

		mu      sync.Mutex
		wasIdle bool
		slow    bool
	}

	slowConnListener struct {
		net.Listener
		accepted chan *slowConn
	}
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

func startServer(t *testing.T, l net.Listener) *testServer {
	s := &testServer{
		t: t, listener: l, handling: make(chan struct{}, 1), release: make(chan struct{}), served: make(chan error, 1),
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.handling <- struct{}{}
			<-s.release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	s.server = drain.New(&http.Server{Handler: http.HandlerFunc(handler), IdleTimeout: time.Hour}, timers.New())
	go func() { s.served <- s.server.Serve(l) }()
	return s
}

// shutDown begins to shut down, and returns the channel of the result.
func (s *testServer) shutDown(timeout time.Duration) <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		result <- s.server.Shutdown(ctx)
	}()
	return result
}

func (s *testServer) dial() *testClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return &testClient{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *testClient) send(part string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, part); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) receive() string {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return string(body)
}

// awaitEnd waits until the server closes the connection.
func (c *testClient) awaitEnd() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Fatalf("end of the connection: %v", err)
	}
}

func (l *slowListener) Accept() (net.Conn, error) {
	first := false
	l.once.Do(func() { first = true })
	if !first {
		<-l.expired
	}
	return l.TCPListener.Accept()
}

func (l *slowListener) SetDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		close(l.expired)
	}
	return l.TCPListener.SetDeadline(t)
}

func (l *slowConnListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	slow := &slowConn{TCPConn: c.(*net.TCPConn), idle: make(chan struct{}), expired: make(chan struct{})}
	l.accepted <- slow
	return slow, nil
}

func (c *slowConn) isSlow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slow
}

func (c *slowConn) Read(p []byte) (int, error) {
	if c.isSlow() {
		<-c.expired
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(p)
}

func (c *slowConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.wasIdle && t.After(time.Now()):
		c.wasIdle, c.slow = true, true
		close(c.idle)
	case c.slow && !t.IsZero() && t.Before(time.Now()):
		c.slow = false
		close(c.expired)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Guards against a request that is cut because its header arrives while the
// server shuts down.
func TestAnswersRequestThatIsArriving(t *testing.T) {
	is := is.New(t)
	s := startServer(t, listen(t))
	unused, used, fresh := s.dial(), s.dial(), s.dial()
	for _, c := range []*testClient{unused, used} {
		c.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
		is.Equal(c.receive(), "/first")
	}
	used.send("GET /second HT")
	fresh.send("GET /third HT")
	result := s.shutDown(10 * time.Second)
	unused.awaitEnd()
	used.send("TP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(used.receive(), "/second")
	fresh.send("TP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(fresh.receive(), "/third")
	is.NoErr(<-result)
	is.NoErr(<-s.served)
}

// Guards against a request that is cut because it arrived before the connection
// was closed and the server had not read it.
func TestAnswersRequestThatIsQueued(t *testing.T) {
	is := is.New(t)
	l := &slowConnListener{Listener: listen(t), accepted: make(chan *slowConn, 1)}
	s := startServer(t, l)
	c := s.dial()
	c.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(c.receive(), "/first")
	<-(<-l.accepted).idle
	c.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	result := s.shutDown(10 * time.Second)
	is.Equal(c.receive(), "/second")
	is.NoErr(<-result)
	is.NoErr(<-s.served)
}

// Guards against connections that are reset because they were not accepted
// before the listener was closed.
func TestServesQueuedConnections(t *testing.T) {
	is := is.New(t)
	s := startServer(t, &slowListener{TCPListener: listen(t), expired: make(chan struct{})})
	first, queued := s.dial(), s.dial()
	first.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(first.receive(), "/first")
	queued.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	result := s.shutDown(10 * time.Second)
	is.Equal(queued.receive(), "/second")
	is.NoErr(<-result)
	is.NoErr(<-s.served)
}

// Guards against a listener that stays open as long as clients connect.
func TestRefusesConnectionsDespiteSteadyArrivals(t *testing.T) {
	is := is.New(t)
	s := startServer(t, listen(t))
	result := s.shutDown(10 * time.Second)
	for {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			break
		}
		conn.Close()
	}
	is.NoErr(<-result)
	is.NoErr(<-s.served)
}

// Guards against a Serve that returns while responses are being written: its
// caller ends the process.
func TestServeReturnsAfterLastResponse(t *testing.T) {
	is := is.New(t)
	s := startServer(t, listen(t))
	unused, c := s.dial(), s.dial()
	c.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-s.handling
	result := s.shutDown(10 * time.Second)
	unused.awaitEnd()
	select {
	case <-s.served:
		t.Fatal("Serve returned with an open request")
	default:
	}
	close(s.release)
	is.Equal(c.receive(), "/wait")
	is.NoErr(<-result)
	is.NoErr(<-s.served)
}

// Guards against a shutdown that a client or a handler can delay without end.
func TestShutdownEndsWithContext(t *testing.T) {
	is := is.New(t)
	s := startServer(t, listen(t))
	defer close(s.release)
	c, partial := s.dial(), s.dial()
	c.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-s.handling
	partial.send("GET /half HT")
	is.Equal(<-s.shutDown(100*time.Millisecond), context.DeadlineExceeded)
	is.NoErr(<-s.served)
	c.awaitEnd()
}

// Guards against a server that starts after its shutdown.
func TestServeAfterShutdown(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	server := drain.New(&http.Server{}, timers.New())
	is.NoErr(server.Shutdown(context.Background()))
	is.NoErr(server.Serve(l))
	_, err := l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}
