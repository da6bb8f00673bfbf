// Package drain shuts down HTTP servers without losing requests. Where
// http.Server.Shutdown closes every connection on which no whole header has been
// read, Server.Shutdown leaves a connection open while a request arrives on it.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilhollow/timers"
)

type (
	// Server serves HTTP on one listener. Create it with New, call Serve once
	// and end it with Shutdown or Close.
	Server struct {
		server *http.Server
		clock  timers.Clock

		mu       sync.Mutex
		listener net.Listener
		serving  bool
		draining bool
		conns    map[*conn]struct{}

		// closed is closed when no connection is left.
		closed    chan struct{}
		closeOnce sync.Once
	}

	// listener wraps the connections of a Server, and accepts those that are
	// queued when Shutdown begins.
	listener struct {
		net.Listener
		server *Server

		// queueEnd is when to stop accepting queued connections, zero before
		// Shutdown.
		queueEnd time.Time
	}

	deadliner interface{ SetDeadline(t time.Time) error }
)

const (
	// quietTime is how long a connection must have been unused before Shutdown
	// closes it.
	quietTime = 500 * time.Millisecond

	// checkInterval is how often Shutdown looks for unused connections.
	checkInterval = 20 * time.Millisecond

	// queueTimeout is how long no connection may arrive before Shutdown closes
	// the listener, and maxQueueTime how long it stays open at most.
	queueTimeout = 20 * time.Millisecond
	maxQueueTime = 200 * time.Millisecond
)

// New returns a server that uses the configuration of the given one, whose
// ConnState it replaces. Handlers must not hijack connections.
func New(server *http.Server, clock timers.Clock) *Server {
	s := &Server{server: server, clock: clock, conns: make(map[*conn]struct{}), closed: make(chan struct{})}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.setState(state)
		}
	}
	return s
}

// Serve accepts connections until Shutdown or Close, and returns nil when these
// have closed all connections. It closes the listener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		return l.Close()
	}
	s.listener, s.serving = l, true
	s.mu.Unlock()
	err := s.server.Serve(&listener{Listener: l, server: s})
	s.mu.Lock()
	s.serving = false
	s.mu.Unlock()
	if errors.Is(err, http.ErrServerClosed) {
		<-s.closed
		return nil
	}
	return err
}

// Shutdown stops accepting connections, closes each connection once no request
// is open or arriving on it, and returns when all are closed. When the context
// ends, it closes the remaining ones and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	defer s.Close()
	ticks := s.clock.Subscribe(checkInterval)
	defer ticks.Close()
	for !s.closeUnused() {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	err := s.server.Close()
	s.closeOnce.Do(func() { close(s.closed) })
	return err
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if !s.serving {
		return
	}
	if d, ok := s.listener.(deadliner); !ok || d.SetDeadline(time.Unix(1, 0)) != nil {
		s.listener.Close()
	}
}

// closeUnused closes the unused connections. It reports whether no connection
// is left and none can follow.
func (s *Server) closeUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.clock.Now().Add(-quietTime)
	for c := range s.conns {
		c.closeIfUnusedSince(before)
	}
	return !s.serving && len(s.conns) == 0
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) add(c net.Conn) *conn {
	added := &conn{Conn: c, server: s, lastUsed: s.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[added] = struct{}{}
	return added
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.server.isDraining() {
		c, err = l.acceptQueued()
	}
	if err != nil {
		return nil, err
	}
	return l.server.add(c), nil
}

// acceptQueued accepts a connection that the system has queued. A deadline that
// has passed would hide it.
func (l *listener) acceptQueued() (net.Conn, error) {
	now := time.Now()
	if l.queueEnd.IsZero() {
		l.queueEnd = now.Add(maxQueueTime)
	}
	d, ok := l.Listener.(deadliner)
	if !ok || now.After(l.queueEnd) || d.SetDeadline(now.Add(queueTimeout)) != nil {
		return nil, http.ErrServerClosed
	}
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return nil, http.ErrServerClosed
	}
	return c, err
}
