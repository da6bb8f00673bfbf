// Package wharf assembles the placer process: links, membership, ownership and
// the parts that serve the owned partitions.
package wharf

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

	"chervilhollow/chart"
	"chervilhollow/depot"
	"chervilhollow/ferry"
	"chervilhollow/gauge"
	"chervilhollow/harbour"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

type (
	// Placer is one placer process.
	Placer struct {
		settings chart.Placer
		self     order.MemberID
		clock    tide.Clock
		registry *gauge.Registry
		log      zerolog.Logger

		store   *depot.Client
		node    *ferry.Node
		members *roster.Members
		peers   *roster.Peers
		hosts   *roster.Hosts
		watcher *sheet.Watcher
		keeper  *harbour.Keeper
		router  *Router
		digests *Digests
		parts   *Parts

		stopping atomic.Bool
	}
)

const (
	digestPeriod = 500 * time.Millisecond
	ensurePeriod = time.Second
	adminTimeout = 5 * time.Second
)

var (
	errStopping = errors.New("stopping")
	errNoConfig = errors.New("no configuration read yet")
)

// New returns a placer with the given settings.
func New(settings chart.Placer, log zerolog.Logger) *Placer {
	p := &Placer{
		settings: settings,
		self:     order.NewMemberID(settings.PeerAddress()),
		clock:    tide.New(),
		registry: gauge.New(log),
		log:      log,
	}
	domain := settings.FailureDomain()
	p.store = depot.NewClient(settings.StoreURL(), depot.WithRegistry(p.registry))
	p.node = ferry.New(p.self, order.RolePlacer, domain, settings.PeerSecret(), p.clock, p.registry, log)
	p.members = roster.NewMembers(
		roster.NewMember(p.self, order.RolePlacer, domain, settings.AdminAddress()),
		p.store, p.clock, roster.WithMembersLog(log))
	p.hosts = roster.NewHosts(settings.HostListURL(), p.clock, roster.WithHostsLog(log))
	p.watcher = sheet.NewWatcher(p.store, p.clock, sheet.WithSender(p.node), sheet.WithWatcherLog(log))
	p.peers = roster.NewPeers(p.members, p.node, p.clock,
		roster.WithPeersLog(log),
		roster.WithRevision(p.watcher.Revision),
		roster.WithNewer(p.askNewer))
	p.keeper = harbour.New(p.self, domain, p.store, p.clock, p.node, p.members, p.peers, p.registry, log,
		harbour.WithHosts(p.hosts), harbour.WithCollect(p.collect))
	p.digests = NewDigests(p.clock)
	p.router = NewRouter(p.self, p.node, p.keeper, p.digests, p.registry, log)
	p.router.SetOwnership(p.keeper)
	p.router.SetPeers(p.peers)
	p.router.SetConfig(p.watcher)
	p.parts = NewParts(p.newOpener(), p.clock)
	p.node.OnMessage(p.router.Handle)
	return p
}

func (p *Placer) newOpener() *opener {
	return &opener{
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
		guards:   p.keeper,
		settings: p.settings,
	}
}

// askNewer fetches the configuration of a peer that has a newer revision.
func (p *Placer) askNewer(peer order.MemberID, _ order.Revision) {
	if err := p.watcher.Ask(peer); err != nil {
		p.registry.Count("wharf.dropped.config_request")
	}
}

// collect stops the part of a partition that moves to another process, and
// returns its state.
func (p *Placer) collect(partition order.PartitionID) []byte {
	return p.parts.Drain(partition)
}

// Run works until the context ends. It then hands all partitions over before
// it closes.
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
	p.addStop(ctx, &group)
	p.addServers(&group, peers, admin)
	addActor(&group, p.members.Run)
	addActor(&group, p.hosts.Run)
	addActor(&group, p.watcher.Run)
	addActor(&group, p.peers.Run)
	addActor(&group, p.keeper.Run)
	addActor(&group, p.followEvents)
	addActor(&group, p.ensure)
	addActor(&group, p.sendDigests)
	p.log.Info().Str("member", string(p.self)).Msg("wharf: placer started")
	err = group.Run()
	p.parts.Close()
	p.node.Close()
	p.store.Close()
	p.log.Info().Msg("wharf: placer stopped")
	return err
}

// addStop adds the actor that ends the process: it waits for the context and
// hands the partitions over while all other actors still run.
func (p *Placer) addStop(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		return p.handOver()
	}, func(error) { cancel() })
}

func (p *Placer) handOver() error {
	p.stopping.Store(true)
	p.log.Info().Msg("wharf: stopping; handing partitions over")
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.StopTimeout())
	defer cancel()
	if err := p.keeper.Handover(ctx, p.collect); err != nil {
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
		ReadHeaderTimeout: adminTimeout,
	}
	group.Add(func() error {
		if err := server.Serve(admin); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = server.Close() })
}

func (p *Placer) ready() error {
	switch {
	case p.stopping.Load():
		return errStopping
	case p.watcher.Revision() == 0:
		return errNoConfig
	}
	return nil
}

// followEvents starts and stops parts as partitions come and go.
func (p *Placer) followEvents(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event, ok := <-p.keeper.Events():
			if !ok {
				return nil
			}
			p.follow(event)
		}
	}
}

func (p *Placer) follow(event harbour.Event) {
	switch event := event.(type) {
	case harbour.AcquiredEvent:
		p.log.Info().Str("partition", string(event.Partition())).Uint64("epoch", uint64(event.Epoch())).Msg("wharf: acquired partition")
		p.parts.Start(event.Partition(), event.Epoch(), event.State())
	case harbour.LostEvent:
		p.log.Info().Str("partition", string(event.Partition())).Uint64("epoch", uint64(event.Epoch())).Msg("wharf: lost partition")
		go p.parts.Stop(event.Partition(), event.Epoch())
	}
}

// ensure asks for ownership records of all partitions that should exist.
func (p *Placer) ensure(ctx context.Context) error {
	tide.Every(ctx, p.clock, ensurePeriod, func(time.Time) {
		if !p.stopping.Load() {
			p.keeper.Ensure(p.partitions())
		}
	})
	return nil
}

func (p *Placer) partitions() []order.PartitionID {
	all := make([]order.PartitionID, 0, order.RequestPartitions)
	for number := range order.RequestPartitions {
		all = append(all, order.RequestPartitionAt(number))
	}
	for _, group := range p.hosts.Groups() {
		all = append(all, order.GroupPartition(group))
	}
	return all
}

// sendDigests tells the owners of request partitions about the own groups.
func (p *Placer) sendDigests(ctx context.Context) error {
	tide.Every(ctx, p.clock, digestPeriod, func(time.Time) { p.sendDigest() })
	return nil
}

func (p *Placer) sendDigest() {
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

func (p *Placer) queueOwners() []order.MemberID {
	seen := make(map[order.MemberID]bool)
	var owners []order.MemberID
	for number := range order.RequestPartitions {
		owner, _, ok := p.keeper.Owner(order.RequestPartitionAt(number))
		if ok && !seen[owner] {
			seen[owner] = true
			owners = append(owners, owner)
		}
	}
	return owners
}

func addActor(group *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}
