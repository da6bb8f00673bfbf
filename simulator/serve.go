package simulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// Serve serves HTTP at the address until ctx is done, then shuts down
// gracefully. It calls onListening with the actual address, which has the
// assigned port if the given one is zero. The contexts of running requests are
// cancelled first, so that long polls do not delay the shutdown.
func Serve(ctx context.Context, address string, handler http.Handler, onListening func(net.Addr)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	requestsCtx, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return requestsCtx },
	}
	serveDone := make(chan error, 1)
	go func() { serveDone <- server.Serve(listener) }()
	onListening(listener.Addr())
	select {
	case err := <-serveDone:
		return err
	case <-ctx.Done():
	}
	cancelRequests()
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	err = server.Shutdown(shutdownCtx)
	if serveErr := <-serveDone; !errors.Is(serveErr, http.ErrServerClosed) {
		return serveErr
	}
	return err
}
