// Package gateway assembles the gate process, which receives the requests of
// callers over HTTP and forwards them to the placers that own the request
// partitions. NewGate and Gate.Run are the entry points; Directory looks up the
// owners, and Admission decides whether the gate may accept requests.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"chervilhollow/drain"
	"chervilhollow/frontend"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/settings"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
	"chervilhollow/transport"
)

// Gate is a gate process. Create it with NewGate and call Run once.
type Gate struct {
	settings  settings.Gate
	clock     timers.Clock
	registry  *gauge.Registry
	log       zerolog.Logger
	store     *storage.Client
	node      *transport.Node
	watcher   *sheet.Watcher
	members   *roster.Membership
	exchange  *roster.StateExchange
	directory *Directory
	admission *Admission
	frontend  *frontend.Handler

	peerListener   net.Listener
	adminListener  net.Listener
	callerListener net.Listener
	adminServer    *http.Server
	callerServer   *drain.Server

	stopOnce sync.Once
	stop     chan struct{}

	// draining makes the gate report not ready, so that the load balancer
	// sends no more requests.
	draining atomic.Bool

	// cancelStop ends stopCtx and with it the wait for open requests.
	stopCtx    context.Context
	cancelStop context.CancelFunc
}

// adminHeaderTimeout limits the time to read the header of a request at the
// admin address.
const adminHeaderTimeout = 2 * time.Second

var (
	errStopping    = errors.New("stopping")
	errNoConfig    = errors.New("no configuration")
	errStaleConfig = errors.New("configuration may be out of date")
)

// NewGate returns a gate that listens on its addresses but does not serve
// before Run. It returns an error if an address cannot be used.
func NewGate(cfg settings.Gate, clock timers.Clock, log zerolog.Logger) (*Gate, error) {
	stopCtx, cancelStop := context.WithCancel(context.Background())
	g := &Gate{
		settings: cfg, clock: clock, log: log,
		registry:   gauge.New(log),
		stop:       make(chan struct{}),
		stopCtx:    stopCtx,
		cancelStop: cancelStop,
	}
	if err := g.listen(); err != nil {
		cancelStop()
		g.closeListeners()
		return nil, err
	}
	g.assemble()
	return g, nil
}

func (g *Gate) listen() (err error) {
	if g.peerListener, err = net.Listen("tcp", g.settings.PeerAddress()); err != nil {
		return fmt.Errorf("peer_address: %w", err)
	}
	if g.adminListener, err = net.Listen("tcp", g.settings.AdminAddress()); err != nil {
		return fmt.Errorf("admin_address: %w", err)
	}
	if g.callerListener, err = net.Listen("tcp", g.settings.CallerAddress()); err != nil {
		return fmt.Errorf("caller_address: %w", err)
	}
	return nil
}

func (g *Gate) closeListeners() {
	for _, l := range []net.Listener{g.peerListener, g.adminListener, g.callerListener} {
		if l != nil {
			l.Close()
		}
	}
}

func (g *Gate) assemble() {
	s := g.settings
	self := order.NewMemberID(s.PeerAddress())
	g.store = storage.NewClient(s.StoreURL(), storage.WithRegistry(g.registry))
	g.node = transport.New(self, order.RoleGate, s.FailureDomain(), s.PeerSecret(), g.clock, g.registry, g.log)
	g.watcher = sheet.NewWatcher(g.store, g.clock, sheet.WithSender(g.node), sheet.WithWatcherLog(g.log))
	g.members = roster.NewMembership(
		roster.NewMember(self, order.RoleGate, s.FailureDomain(), s.AdminAddress()),
		g.store, g.clock, roster.WithMembershipLog(g.log))
	g.exchange = roster.NewStateExchange(g.members, g.node, g.clock,
		roster.WithRevision(g.watcher.Revision),
		roster.WithOnNewerRevision(g.requestNewerConfig),
		roster.WithStateExchangeLog(g.log))
	g.directory = NewDirectory(g.store, g.clock, g.registry, g.log)
	g.admission = NewAdmission(g.members, g.exchange, g.watcher.Revision, g.store, g.clock, g.log)
	g.frontend = frontend.New(frontend.NewDeps(g.clock, g.registry, g.log).
		WithSender(g.node).
		WithDirectory(g.directory).
		WithAdmission(g.admission).
		WithConfig(g.config), counterOptions(s)...)
	g.node.OnMessage(g.handle)
	g.callerServer = drain.New(g.frontend.Server(), g.clock)
	g.adminServer = &http.Server{
		Handler: gauge.NewAdmin(g.registry,
			gauge.WithReady(g.Ready),
			gauge.WithRevision(g.watcher.Revision),
			gauge.WithStore(g.members.StoreReachable)),
		ReadHeaderTimeout: adminHeaderTimeout,
	}
}

func counterOptions(s settings.Gate) []frontend.Option {
	return []frontend.Option{
		frontend.WithBodyLimit(s.MaxBodyBytes(), s.MaxHeaderBytes()),
		frontend.WithMemoryLimit(s.MaxOpenBytes()),
		frontend.WithOpenLimit(s.MaxOpenRequests()),
		frontend.WithTaskLimit(s.MaxTasks()),
		frontend.WithReadTimeouts(s.HeaderTimeout(), s.ReadTimeout(), s.IdleTimeout()),
		frontend.WithDeadlines(s.DefaultDeadline(), s.MaxDeadline()),
		frontend.WithCallTimeouts(s.CallTimeout(), s.MaxWait()),
		frontend.WithResend(s.ResendInterval()),
		frontend.WithTeamRate(s.TeamRate(), s.TeamBurst()),
	}
}

// requestNewerConfig requests the configuration from a peer that has a newer
// revision of it.
func (g *Gate) requestNewerConfig(peer order.MemberID, _ order.Revision) {
	if err := g.watcher.RequestConfig(peer); err != nil {
		g.log.Debug().Err(err).Msg("window: configuration not requested from peer")
	}
}

// config returns the configuration in force, or nil while there is none.
func (g *Gate) config() *sheet.Config {
	config := g.watcher.Current()
	if config.Revision() == 0 {
		return nil
	}
	return config
}

// handle dispatches an inbound message. It never blocks.
func (g *Gate) handle(from order.MemberID, m order.Msg) {
	switch m := m.(type) {
	case order.MemberStateMsg:
		g.exchange.Handle(from, m)
	case order.ConfigRequestMsg, order.ConfigReplyMsg:
		g.watcher.Handle(from, m)
	default:
		g.frontend.Handle(from, m)
	}
}

// Ready returns why the load balancer should send no requests to this gate, or
// nil.
func (g *Gate) Ready() error {
	switch {
	case g.draining.Load() || g.frontend.Stopping():
		return errStopping
	case g.config() == nil:
		return errNoConfig
	case !g.admission.MayAccept():
		return errStaleConfig
	}
	return nil
}

// Run serves until Stop is called, SIGTERM or SIGINT is received, or a
// component fails, in which case it returns the error. A second signal ends the
// wait for open requests.
func (g *Gate) Run() error {
	var group run.Group
	group.Add(func() error {
		err := g.adminServer.Serve(g.adminListener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { g.adminServer.Close() })
	group.Add(func() error { return g.callerServer.Serve(g.callerListener) }, func(error) { g.callerServer.Close() })
	group.Add(func() error { return g.node.Serve(g.peerListener) }, func(error) { g.node.Close() })
	for _, runComponent := range []func(context.Context) error{
		g.watcher.Run, g.members.Run, g.exchange.Run, g.directory.Run, g.admission.Run, g.frontend.Run,
	} {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return runComponent(ctx) }, func(error) { cancel() })
	}
	group.Add(g.waitForStop, func(error) {
		g.cancelStop()
		g.Stop()
	})
	g.log.Info().Str("callers", g.callerListener.Addr().String()).
		Str("peers", g.peerListener.Addr().String()).Msg("window: gate started")
	err := group.Run()
	g.store.Close()
	g.log.Info().Msg("window: gate stopped")
	return err
}

// Stop begins a graceful stop and returns at once. Run returns when the stop is
// complete. Stop may be called more than once.
func (g *Gate) Stop() { g.stopOnce.Do(func() { close(g.stop) }) }

// waitForStop waits for a signal or Stop. It returns after the open requests
// have ended, or the stop timeout has expired; then the other components are
// stopped.
func (g *Gate) waitForStop() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case s := <-signals:
		g.log.Info().Str("signal", s.String()).Msg("window: stopping")
	case <-g.stop:
		g.log.Info().Msg("window: stopping")
	}
	ctx, cancel := context.WithTimeout(g.stopCtx, g.settings.StopTimeout())
	defer cancel()
	go func() {
		select {
		case <-signals:
			g.cancelStop()
		case <-ctx.Done():
		}
	}()
	g.waitDrainDelay(ctx)
	g.drain(ctx)
	return nil
}

// waitDrainDelay reports the gate as not ready and still accepts requests for
// the drain delay, because the load balancer sends them until its next check.
func (g *Gate) waitDrainDelay(ctx context.Context) {
	g.draining.Store(true)
	select {
	case <-g.clock.After(g.settings.DrainDelay()):
	case <-ctx.Done():
	}
}

// drain rejects new requests and waits until the open ones have ended. It keeps
// rejecting for at least the stop linger time, so that the load balancer sees
// the gate as not ready instead of failed.
func (g *Gate) drain(ctx context.Context) {
	linger := g.clock.After(g.settings.StopLinger())
	g.frontend.Drain(ctx)
	select {
	case <-linger:
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), g.settings.StopLinger()+time.Second)
	defer cancel()
	if err := g.callerServer.Shutdown(closing); err != nil {
		g.log.Warn().Err(err).Msg("window: caller connections closed before they were idle")
	}
}
