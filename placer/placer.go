// Package placer assembles the placer process: links to peers, membership,
// partition ownership, and the servers of the owned partitions. A partition is
// either a queue of requests or a group of workers. New and Placer.Run in
// placer.go are the entry points; Router delivers inbound messages, and
// Supervisor runs the partition servers.
package placer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/ownership"
	"chervilhollow/roster"
	"chervilhollow/settings"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
	"chervilhollow/transport"
)

type (
	// Placer is one placer process. Create it with New and call Run once.
	Placer struct {
		settings settings.Placer
		self     order.MemberID
		clock    timers.Clock
		registry *gauge.Registry
		log      zerolog.Logger

		store      *storage.Client
		node       *transport.Node
		members    *roster.Membership
		exchange   *roster.StateExchange
		hosts      *roster.HostListClient
		watcher    *sheet.Watcher
		ownership  *ownership.Manager
		router     *Router
		digests    *Digests
		supervisor *Supervisor

		stopping atomic.Bool
	}
)

const (
	digestInterval     = 500 * time.Millisecond
	ensureInterval     = time.Second
	adminHeaderTimeout = 5 * time.Second
)

var (
	errStopping = errors.New("stopping")
	errNoConfig = errors.New("no configuration read yet")
)

// New returns a placer with the given settings. It does not listen before Run.
func New(cfg settings.Placer, log zerolog.Logger) *Placer {
	p := &Placer{
		settings: cfg,
		self:     order.NewMemberID(cfg.PeerAddress()),
		clock:    timers.New(),
		registry: gauge.New(log),
		log:      log,
	}
	domain := cfg.FailureDomain()
	p.store = storage.NewClient(cfg.StoreURL(), storage.WithRegistry(p.registry))
	p.node = transport.New(p.self, order.RolePlacer, domain, cfg.PeerSecret(), p.clock, p.registry, log)
	p.members = roster.NewMembership(
		roster.NewMember(p.self, order.RolePlacer, domain, cfg.AdminAddress()),
		p.store, p.clock, roster.WithMembershipLog(log))
	p.hosts = roster.NewHostListClient(cfg.HostListURL(), p.clock, roster.WithHostListLog(log))
	p.watcher = sheet.NewWatcher(p.store, p.clock, sheet.WithSender(p.node), sheet.WithWatcherLog(log))
	p.exchange = roster.NewStateExchange(p.members, p.node, p.clock,
		roster.WithStateExchangeLog(log),
		roster.WithRevision(p.watcher.Revision),
		roster.WithOnNewerRevision(p.requestNewerConfig))
	p.ownership = ownership.New(p.self, domain, p.store, p.clock, p.node, p.members, p.exchange, p.registry, log,
		ownership.WithHosts(p.hosts), ownership.WithDrain(p.drainPartition))
	p.digests = NewDigests(p.clock)
	p.router = NewRouter(p.self, p.node, p.ownership, p.digests, p.registry, log)
	p.router.SetOwnership(p.ownership)
	p.router.SetPeers(p.exchange)
	p.router.SetConfig(p.watcher)
	p.supervisor = NewSupervisor(p.newOpener(), p.clock)
	p.node.OnMessage(p.router.Handle)
	return p
}

func (p *Placer) newOpener() *partitionOpener {
	return &partitionOpener{
		clock:    p.clock,
		store:    p.store,
		registry: p.registry,
		log:      p.log,
		sender:   p.node,
		router:   p.router,
		digests:  p.digests,
		watcher:  p.watcher,
		hosts:    p.hosts,
		members:  p.members,
		guards:   p.ownership,
		settings: p.settings,
	}
}

// requestNewerConfig requests the configuration from a peer that has a newer
// revision of it.
func (p *Placer) requestNewerConfig(peer order.MemberID, _ order.Revision) {
	if err := p.watcher.RequestConfig(peer); err != nil {
		p.registry.Count("wharf.dropped.config_request")
	}
}

// drainPartition stops the server of a partition that moves to another process
// and returns its state for the next owner.
func (p *Placer) drainPartition(partition order.PartitionID) []byte {
	return p.supervisor.Drain(partition)
}

// Run serves until the context ends. It then hands all partitions over to other
// placers, closes and returns. It returns early with an error if it cannot
// listen or if a component fails.
func (p *Placer) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", p.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	admin, err := net.Listen("tcp", p.settings.AdminAddress())
	if err != nil {
		_ = peers.Close()
		return fmt.Errorf("listen for the admin endpoint: %w", err)
	}
	var group run.Group
	p.addShutdown(ctx, &group)
	p.addServers(&group, peers, admin)
	addActor(&group, p.members.Run)
	addActor(&group, p.hosts.Run)
	addActor(&group, p.watcher.Run)
	addActor(&group, p.exchange.Run)
	addActor(&group, p.ownership.Run)
	addActor(&group, p.eventLoop)
	addActor(&group, p.ensureLoop)
	addActor(&group, p.digestLoop)
	p.log.Info().Str("member", string(p.self)).Msg("wharf: placer started")
	err = group.Run()
	p.supervisor.Close()
	p.node.Close()
	p.store.Close()
	p.log.Info().Msg("wharf: placer stopped")
	return err
}

// addShutdown adds the actor that ends the process. It waits for the context
// and hands the partitions over while all other actors still run.
func (p *Placer) addShutdown(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		return p.handOver()
	}, func(error) { cancel() })
}

// handOver hands all partitions over within the stop timeout. Partitions that
// remain are taken over by their standbys.
func (p *Placer) handOver() error {
	p.stopping.Store(true)
	p.log.Info().Msg("wharf: stopping; handing partitions over")
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.StopTimeout())
	defer cancel()
	if err := p.ownership.Handover(ctx, p.drainPartition); err != nil {
		p.log.Warn().Err(err).Msg("wharf: some partitions were not handed over; their standbys take over")
	}
	return nil
}

func (p *Placer) addServers(group *run.Group, peers, admin net.Listener) {
	group.Add(func() error { return p.node.Serve(peers) }, func(error) { p.node.Close() })
	server := &http.Server{
		Handler: gauge.NewAdmin(p.registry,
			gauge.WithReady(p.ready),
			gauge.WithRevision(p.watcher.Revision),
			gauge.WithStore(p.members.StoreReachable)),
		ReadHeaderTimeout: adminHeaderTimeout,
	}
	group.Add(func() error {
		if err := server.Serve(admin); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// ready returns why the readiness endpoint reports not ready, or nil.
func (p *Placer) ready() error {
	switch {
	case p.stopping.Load():
		return errStopping
	case p.watcher.Revision() == 0:
		return errNoConfig
	}
	return nil
}

// eventLoop starts and stops partition servers as ownership changes.
func (p *Placer) eventLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event, ok := <-p.ownership.Events():
			if !ok {
				return nil
			}
			p.handleEvent(event)
		}
	}
}

// handleEvent does not wait for the end of a lost partition's server, which
// would delay the next events.
func (p *Placer) handleEvent(event ownership.Event) {
	switch event := event.(type) {
	case ownership.AcquiredEvent:
		p.log.Info().Str("partition", string(event.Partition())).Uint64("epoch", uint64(event.Epoch())).Msg("wharf: acquired partition")
		p.supervisor.Start(event.Partition(), event.Epoch(), event.State())
	case ownership.LostEvent:
		p.log.Info().Str("partition", string(event.Partition())).Uint64("epoch", uint64(event.Epoch())).Msg("wharf: lost partition")
		go p.supervisor.Stop(event.Partition(), event.Epoch())
	}
}

// ensureLoop has ownership records created for all partitions that should
// exist, except during shutdown.
func (p *Placer) ensureLoop(ctx context.Context) error {
	timers.Every(ctx, p.clock, ensureInterval, func(time.Time) {
		if !p.stopping.Load() {
			p.ownership.Ensure(p.allPartitions())
		}
	})
	return nil
}

// allPartitions returns the request partitions and one partition for each
// worker group in the host list.
func (p *Placer) allPartitions() []order.PartitionID {
	all := make([]order.PartitionID, 0, order.RequestPartitions)
	for number := range order.RequestPartitions {
		all = append(all, order.RequestPartitionAt(number))
	}
	for _, group := range p.hosts.Groups() {
		all = append(all, order.GroupPartition(group))
	}
	return all
}

// digestLoop periodically sends digests of the own worker groups to the owners
// of the request partitions.
func (p *Placer) digestLoop(ctx context.Context) error {
	timers.Every(ctx, p.clock, digestInterval, func(time.Time) { p.sendDigestMsg() })
	return nil
}

func (p *Placer) sendDigestMsg() {
	groups := p.router.Digests()
	if len(groups) == 0 {
		return
	}
	m := order.DigestMsg{}.WithGroups(groups).WithRevision(p.watcher.Revision())
	for _, owner := range p.queueOwners() {
		if err := p.node.Send(owner, m); err != nil {
			p.registry.Count("wharf.dropped.digest")
		}
	}
}

// queueOwners returns each process that owns a request partition once.
func (p *Placer) queueOwners() []order.MemberID {
	seen := make(map[order.MemberID]bool)
	var owners []order.MemberID
	for number := range order.RequestPartitions {
		owner, _, ok := p.ownership.Owner(order.RequestPartitionAt(number))
		if ok && !seen[owner] {
			seen[owner] = true
			owners = append(owners, owner)
		}
	}
	return owners
}

// addActor adds a function that runs until its context is cancelled.
func addActor(group *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}
