package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// batchConn combines the writes between cork and flush into one, because
	// the WebSocket library flushes every message. Once the link is open it also
	// sets the write and idle deadlines, which costs less than a context per
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

	// batchListener wraps the connections that it accepts in a batchConn.
	batchListener struct {
		net.Listener
		write time.Duration
		idle  time.Duration
	}

	// connKey is the context key of a request's connection.
	connKey struct{}
)

// maxBatchBytes is the buffered size at which a batch is written before flush.
const maxBatchBytes = 64 << 10

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
	if len(c.buffer) < maxBatchBytes {
		return len(p), nil
	}
	return len(p), c.flushLocked()
}

// cork buffers the following writes until flush.
func (c *batchConn) cork() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.corked = true
}

// flush writes the buffer and ends the buffering.
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

// withConn adds the connection to the context of its requests, for connOf.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *batchConn {
	c, _ := r.Context().Value(connKey{}).(*batchConn)
	return c
}
