package ferry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// batchConn joins the writes between cork and flush into one, because the
	// WebSocket library flushes every message. Once the link is open it also
	// sets the write and idle deadlines, which is cheaper than a context per
	// message.
	batchConn struct {
		net.Conn
		write  time.Duration
		idle   time.Duration
		active atomic.Bool

		mu     sync.Mutex
		corked bool
		buffer []byte
	}

	batchListener struct {
		net.Listener
		write time.Duration
		idle  time.Duration
	}

	connKey struct{}
)

// batchBytes is the size at which a batch is written at once.
const batchBytes = 64 << 10

// Accept implements net.Listener.
func (l *batchListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &batchConn{Conn: c, write: l.write, idle: l.idle}, nil
}

// Read implements net.Conn.
func (c *batchConn) Read(p []byte) (int, error) {
	if c.active.Load() {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.corked {
		return c.writeNow(p)
	}
	c.buffer = append(c.buffer, p...)
	if len(c.buffer) < batchBytes {
		return len(p), nil
	}
	return len(p), c.flushLocked()
}

// cork holds back writes until flush.
func (c *batchConn) cork() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.corked = true
}

// flush writes what was held back.
func (c *batchConn) flush() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.corked = false
	return c.flushLocked()
}

func (c *batchConn) flushLocked() error {
	if len(c.buffer) == 0 {
		return nil
	}
	_, err := c.writeNow(c.buffer)
	c.buffer = c.buffer[:0]
	return err
}

func (c *batchConn) writeNow(p []byte) (int, error) {
	if c.active.Load() {
		if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// withConn keeps the connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *batchConn {
	c, _ := r.Context().Value(connKey{}).(*batchConn)
	return c
}
