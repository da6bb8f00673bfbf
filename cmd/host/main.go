// Command host runs an entry host on the users' platform: it reads the
// settings, listens for clients, other hosts and administration, and runs a
// entryhost.Host.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/rs/zerolog"

	"chervilhollow/entryhost"
	"chervilhollow/gauge"
	"chervilhollow/platform"
	"chervilhollow/scheduler"
	"chervilhollow/settings"
	"chervilhollow/timers"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	command, err := settings.HostCommand(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		exit(exitBadSettings, err)
	}
	cfg, err := command.Host()
	if err != nil {
		exit(exitBadSettings, err)
	}
	if command.CheckOnly() {
		fmt.Println("host: the settings are valid")
		return
	}
	level, err := zerolog.ParseLevel(cfg.LogLevel())
	if err != nil {
		exit(exitBadSettings, err)
	}
	runtime.GOMAXPROCS(cfg.Cores())
	debug.SetMemoryLimit(cfg.MemoryTarget())
	registry := gauge.New(zerolog.Nop())
	logWriter := gauge.NewLogWriter(os.Stdout, registry)
	err = serve(cfg, registry, logWriter.Logger().Level(level))
	logWriter.Close()
	if err != nil {
		exit(exitFailed, err)
	}
}

func serve(s settings.Host, registry *gauge.Registry, log zerolog.Logger) error {
	registry.SetLog(log)
	limits := scheduler.NewLimits(s.MaxLease(), s.KeepEnded()).WithWriteRate(s.StoreWrites())
	deps := entryhost.NewDependencies(platform.NewStoreClient(s.StoreAddress(), registry), platform.NewWorkerClient(),
		platform.NewAdviceClient(s.AdviceAddress()), platform.Decoder{})
	host := entryhost.New(s.PeerAddress(), s.FailureDomain(), s.PeerSecret(), deps, limits, timers.New(), registry, log,
		entryhost.WithCores(s.CPULimit()))
	peers, err := net.Listen("tcp", s.PeerListenAddress())
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w", s.PeerListenAddress(), err)
	}
	handlers := map[string]http.Handler{
		s.CallerAddress(): platform.NewJobAPI(host),
		s.ReadyAddress():  platform.NewReadyHandler(host.Ready),
		s.AdminAddress():  gauge.NewAdmin(registry, gauge.WithReady(host.Ready)),
	}
	servers := make(map[net.Listener]http.Handler, len(handlers))
	for address, handler := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		servers[l] = handler
	}
	return host.Run(peers, servers)
}

func exit(code int, err error) {
	fmt.Fprintln(os.Stderr, "host:", err)
	os.Exit(code)
}
