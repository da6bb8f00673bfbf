package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection of a Server. It is unused while no handler runs for it
// and nothing has been read since the last response.
type conn struct {
	net.Conn
	server *Server

	mu           sync.Mutex
	handling     bool
	arriving     bool
	lastUsed     time.Time
	closing      bool
	readDeadline time.Time
}

// Read implements net.Conn. On a connection that is being closed it returns
// what has arrived, which reopens the connection, or else io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := 0, os.ErrDeadlineExceeded
	if !c.isClosing() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		n, err = c.readQueued(p)
	}
	if n > 0 {
		c.setArriving()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	// The next request may be read before the call below returns.
	c.arriving = false
	c.lastUsed = c.server.clock.Now()
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending direction, which http.Server does before it
// closes a connection whose client may still send.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.remove(c)
	return c.Conn.Close()
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = state == http.StateActive
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// closeIfUnusedSince begins to close the connection if it has been unused since
// the time. The server closes it when its read ends.
func (c *conn) closeIfUnusedSince(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.handling || c.arriving || c.lastUsed.After(t) {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) setArriving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving = true
	c.lastUsed = c.server.clock.Now()
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// readQueued reads what the system has received, without waiting. If there is
// nothing, it closes the sending direction and returns io.EOF. net.Conn.Read
// can't do this: it returns no data after the deadline.
func (c *conn) readQueued(p []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, io.EOF
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) {
		for {
			var readErr error
			if n, readErr = syscall.Read(int(fd), p); readErr != syscall.EINTR {
				break
			}
		}
		if n <= 0 {
			_ = syscall.Shutdown(int(fd), syscall.SHUT_WR)
		}
	})
	if err != nil {
		return 0, err
	}
	if n > 0 {
		return n, nil
	}
	return 0, io.EOF
}
