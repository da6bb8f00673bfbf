package sample

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 5 * time.Second
)

// Serve serves the handler at the address until the context ends. It calls
// started with the address in use, which tells the port when the given one
// is zero. Waiting calls are ended first, so that they do not delay the stop.
func Serve(ctx context.Context, address string, handler http.Handler, started func(net.Addr)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	calls, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return calls },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	started(listener.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	cancel()
	stop, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	err = server.Shutdown(stop)
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		return served
	}
	return err
}
