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
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

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
	// Without a handler SIGHUP would end the process. entryhost.Host.Run handles
	// it; before and after that there is nothing to reload.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
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
	runtime.GOMAXPROCS(cfg.Cores())
	if err := apply(cfg); err != nil {
		exit(exitBadSettings, err)
	}
	registry := gauge.New(zerolog.Nop())
	logWriter := gauge.NewLogWriter(os.Stdout, registry)
	log := logWriter.Logger()
	silence := platform.EntryLifetime(command.WorkerHeartbeat())
	err = serve(cfg, silence, registry, log, func() { reload(command, cfg, log) })
	logWriter.Close()
	if err != nil {
		exit(exitFailed, err)
	}
}

// apply sets what can change while the process runs.
func apply(s settings.Host) error {
	level, err := zerolog.ParseLevel(s.LogLevel())
	if err != nil {
		return err
	}
	zerolog.SetGlobalLevel(level)
	debug.SetMemoryLimit(s.MemoryTarget())
	return nil
}

// reload reads the settings file again and applies what can change while the
// process runs. A file with faults changes nothing.
func reload(command settings.Command, started settings.Host, log zerolog.Logger) {
	next, err := command.Host()
	if err == nil {
		err = apply(next)
	}
	if err != nil {
		log.Error().Err(err).Msg("host: settings not reloaded, the present ones stay in force")
		return
	}
	log.Info().Str("log_level", next.LogLevel()).Int64("memory_target", next.MemoryTarget()).
		Strs("needs_restart", started.NeedsRestart(next)).Msg("host: settings reloaded")
}

func serve(s settings.Host, workerSilence time.Duration, registry *gauge.Registry, log zerolog.Logger, reload func()) error {
	registry.SetLog(log)
	limits := scheduler.NewLimits(s.MaxLease(), s.KeepEnded()).WithWriteRate(s.StoreWrites()).
		WithCancelBound(s.CancelBound()).WithWorkerSilence(workerSilence)
	deps := entryhost.NewDependencies(platform.NewStoreClient(s.StoreAddress(), registry), platform.NewWorkerClient(),
		platform.NewAdviceClient(s.AdviceAddress()), platform.Decoder{})
	host := entryhost.New(s.PeerAddress(), s.FailureDomain(), s.PeerSecret(), deps, limits, timers.New(), registry, log,
		entryhost.WithCores(s.CPULimit()), entryhost.WithReload(reload))
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
