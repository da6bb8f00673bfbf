package window

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

	"chervilhollow/chart"
	"chervilhollow/counter"
	"chervilhollow/depot"
	"chervilhollow/ferry"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

// Gate is the gate process.
type Gate struct {
	settings  chart.Gate
	clock     tide.Clock
	registry  *gauge.Registry
	log       zerolog.Logger
	store     *depot.Client
	node      *ferry.Node
	watcher   *sheet.Watcher
	members   *roster.Members
	peers     *roster.Peers
	directory *Directory
	admission *Admission
	counter   *counter.Counter

	peerListener  net.Listener
	adminListener net.Listener
	callListener  net.Listener
	adminServer   *http.Server
	callServer    *http.Server

	stopOnce sync.Once
	stop     chan struct{}

	// leaving tells the balancer to send no more work here.
	leaving atomic.Bool

	// stopping ends the wait for open requests.
	stopping context.Context
	hurry    context.CancelFunc
}

// adminHeaderTimeout limits how long reading a header at the admin address may
// take.
const adminHeaderTimeout = 2 * time.Second

var (
	errStopping        = errors.New("stopping")
	errNoConfiguration = errors.New("no configuration")
	errOldConfig       = errors.New("configuration may be out of date")
)

// NewGate returns a gate that listens on its addresses.
func NewGate(settings chart.Gate, clock tide.Clock, log zerolog.Logger) (*Gate, error) {
	stopping, hurry := context.WithCancel(context.Background())
	g := &Gate{
		settings: settings, clock: clock, log: log,
		registry: gauge.New(log),
		stop:     make(chan struct{}),
		stopping: stopping,
		hurry:    hurry,
	}
	if err := g.listen(); err != nil {
		hurry()
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
	if g.callListener, err = net.Listen("tcp", g.settings.CallerAddress()); err != nil {
		return fmt.Errorf("caller_address: %w", err)
	}
	return nil
}

func (g *Gate) closeListeners() {
	for _, l := range []net.Listener{g.peerListener, g.adminListener, g.callListener} {
		if l != nil {
			l.Close()
		}
	}
}

func (g *Gate) assemble() {
	s := g.settings
	self := order.NewMemberID(s.PeerAddress())
	g.store = depot.NewClient(s.StoreURL(), depot.WithRegistry(g.registry))
	g.node = ferry.New(self, order.RoleGate, s.FailureDomain(), s.PeerSecret(), g.clock, g.registry, g.log)
	g.watcher = sheet.NewWatcher(g.store, g.clock, sheet.WithSender(g.node), sheet.WithWatcherLog(g.log))
	g.members = roster.NewMembers(
		roster.NewMember(self, order.RoleGate, s.FailureDomain(), s.AdminAddress()),
		g.store, g.clock, roster.WithMembersLog(g.log))
	g.peers = roster.NewPeers(g.members, g.node, g.clock,
		roster.WithRevision(g.watcher.Revision),
		roster.WithOnNewerRevision(g.askNewer),
		roster.WithPeersLog(g.log))
	g.directory = NewDirectory(g.store, g.clock, g.registry, g.log)
	g.admission = NewAdmission(g.members, g.peers, g.watcher.Revision, g.store, g.clock, g.log)
	g.counter = counter.New(counter.NewDeps(g.clock, g.registry, g.log).
		WithSender(g.node).
		WithDirectory(g.directory).
		WithAdmission(g.admission).
		WithConfig(g.config), counterOptions(s)...)
	g.node.OnMessage(g.handle)
	g.callServer = g.counter.Server()
	g.adminServer = &http.Server{
		Handler: gauge.NewAdmin(g.registry,
			gauge.WithReady(g.Ready),
			gauge.WithRevision(g.watcher.Revision),
			gauge.WithStore(g.members.StoreReachable)),
		ReadHeaderTimeout: adminHeaderTimeout,
	}
}

func counterOptions(s chart.Gate) []counter.Option {
	return []counter.Option{
		counter.WithBodyLimit(s.MaxBodyBytes(), s.MaxHeaderBytes()),
		counter.WithMemoryLimit(s.MaxOpenBytes()),
		counter.WithOpenLimit(s.MaxOpenRequests()),
		counter.WithTaskLimit(s.MaxTasks()),
		counter.WithReadTimeouts(s.HeaderTimeout(), s.ReadTimeout(), s.IdleTimeout()),
		counter.WithDeadlines(s.DefaultDeadline(), s.MaxDeadline()),
		counter.WithCallTimeouts(s.CallTimeout(), s.MaxWait()),
		counter.WithResend(s.ResendInterval()),
		counter.WithTeamRate(s.TeamRate(), s.TeamBurst()),
	}
}

func (g *Gate) askNewer(peer order.MemberID, _ order.Revision) {
	if err := g.watcher.Ask(peer); err != nil {
		g.log.Debug().Err(err).Msg("window: peer not asked for its configuration")
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
		g.peers.Handle(from, m)
	case order.ConfigRequestMsg, order.ConfigReplyMsg:
		g.watcher.Handle(from, m)
	default:
		g.counter.Handle(from, m)
	}
}

// Ready returns why the balancer should send no work here, or nil.
func (g *Gate) Ready() error {
	switch {
	case g.leaving.Load() || g.counter.Stopping():
		return errStopping
	case g.config() == nil:
		return errNoConfiguration
	case !g.admission.MayAccept():
		return errOldConfig
	}
	return nil
}

// Run serves until Stop is called, SIGTERM or SIGINT arrives, or a part fails.
// A second signal ends the wait for open requests.
func (g *Gate) Run() error {
	var group run.Group
	g.addServer(&group, g.adminServer, g.adminListener)
	g.addServer(&group, g.callServer, g.callListener)
	group.Add(func() error { return g.node.Serve(g.peerListener) }, func(error) { g.node.Close() })
	for _, part := range []func(context.Context) error{
		g.watcher.Run, g.members.Run, g.peers.Run, g.directory.Run, g.admission.Run, g.counter.Run,
	} {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	group.Add(g.awaitStop, func(error) {
		g.hurry()
		g.Stop()
	})
	g.log.Info().Str("callers", g.callListener.Addr().String()).
		Str("peers", g.peerListener.Addr().String()).Msg("window: gate started")
	err := group.Run()
	g.store.Close()
	g.log.Info().Msg("window: gate stopped")
	return err
}

func (g *Gate) addServer(group *run.Group, server *http.Server, l net.Listener) {
	group.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { server.Close() })
}

// Stop begins a graceful stop. Run returns when it is over.
func (g *Gate) Stop() { g.stopOnce.Do(func() { close(g.stop) }) }

// awaitStop waits for a signal or Stop, and lets the open requests end before
// the other parts are stopped.
func (g *Gate) awaitStop() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case s := <-signals:
		g.log.Info().Str("signal", s.String()).Msg("window: stopping")
	case <-g.stop:
		g.log.Info().Msg("window: stopping")
	}
	ctx, cancel := context.WithTimeout(g.stopping, g.settings.StopTimeout())
	defer cancel()
	go func() {
		select {
		case <-signals:
			g.hurry()
		case <-ctx.Done():
		}
	}()
	g.leave(ctx)
	g.drain(ctx)
	return nil
}

// leave takes new requests for a while after the gate reports that it is not
// ready, because the balancer sends some until its next look.
func (g *Gate) leave(ctx context.Context) {
	g.leaving.Store(true)
	select {
	case <-g.clock.After(g.settings.DrainDelay()):
	case <-ctx.Done():
	}
}

// drain refuses new requests, lets open ones end, and keeps refusing for a
// moment so that the balancer sees the gate as not ready and not as broken.
func (g *Gate) drain(ctx context.Context) {
	linger := g.clock.After(g.settings.StopLinger())
	g.counter.Drain(ctx)
	select {
	case <-linger:
	case <-ctx.Done():
	}
	// The answers are complete by now; only their last bytes may still be on
	// the way to the callers.
	closing, cancel := context.WithTimeout(context.Background(), g.settings.StopLinger()+time.Second)
	defer cancel()
	if err := g.callServer.Shutdown(closing); err != nil {
		g.log.Warn().Err(err).Msg("window: caller connections closed before they were idle")
	}
}
