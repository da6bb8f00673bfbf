package placer

import (
	"context"
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/placement"
	"chervilhollow/queue"
	"chervilhollow/quota"
	"chervilhollow/roster"
	"chervilhollow/settings"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// partitionOpener implements Opener. It holds what queues and worker
	// groups share within a placer.
	partitionOpener struct {
		clock    timers.Clock
		store    storage.Store
		registry *gauge.Registry
		log      zerolog.Logger
		sender   order.Sender
		router   *Router
		digests  *Digests
		watcher  *sheet.Watcher
		hosts    *roster.HostListClient
		members  *roster.Membership
		guards   GuardProvider
		settings settings.Placer
	}

	// GuardProvider returns the guard that limits how long the owner of a
	// partition may act at an epoch. ownership.Manager implements it.
	GuardProvider interface {
		Guard(partition order.PartitionID, epoch order.Epoch) order.Guard
	}

	// queueServer runs the queue of a request partition, the divider that
	// splits the teams' limits among worker groups, and the journal.
	queueServer struct {
		queue   *queue.Queue
		divider *quota.Divider
		journal *logbook.Journal
	}

	// groupServer runs a worker group.
	groupServer struct {
		group *placement.Group
	}
)

var errNoHostList = errors.New("host list not read yet")

// Open implements Opener. It opens a queue for a request partition and a worker
// group for any other.
func (o *partitionOpener) Open(ctx context.Context, partition order.PartitionID, epoch order.Epoch, state []byte) (PartitionServer, error) {
	if partition.IsRequest() {
		return o.openQueue(ctx, partition, epoch, state)
	}
	return o.openGroup(partition, epoch, state)
}

// RemoveRoutes implements Opener.
func (o *partitionOpener) RemoveRoutes(p order.PartitionID) { o.router.RemovePartition(p) }

func (o *partitionOpener) openQueue(ctx context.Context, partition order.PartitionID, epoch order.Epoch, state []byte) (PartitionServer, error) {
	if o.hosts.ListAge() > digestTTL && len(o.hosts.Workers()) == 0 {
		return nil, errNoHostList
	}
	guard := o.guards.Guard(partition, epoch)
	journal, records, err := logbook.Open(ctx, partition, epoch, o.store, o.clock, guard,
		logbook.WithLogger(o.log), logbook.WithRegistry(o.registry), logbook.WithRetention(o.settings.ResultRetention()))
	if err != nil {
		o.log.Warn().Err(err).Str("partition", string(partition)).Msg("wharf: cannot open the journal; retrying")
		return nil, err
	}
	queueDeps := queue.NewDeps().
		WithClock(o.clock).
		WithRegistry(o.registry).
		WithLog(o.log).
		WithGuard(guard).
		WithPoster(o.router).
		WithSender(o.sender).
		WithJournal(journal, records).
		WithConfig(o.watcher.Current).
		WithDigests(o.digests.Current).
		WithGroups(o.hosts.Groups).
		WithPlacers(o.placerIDs).
		WithOwned(o.hasOwner)
	dividerDeps := quota.NewDeps().
		WithClock(o.clock).
		WithRegistry(o.registry).
		WithLog(o.log).
		WithGuard(guard).
		WithPoster(o.router).
		WithConfig(o.watcher.Current).
		WithDigests(o.digests.Current).
		WithGroups(o.hosts.Groups).
		WithHasOwner(o.hasOwner)
	server := &queueServer{
		queue:   queue.New(partition, epoch, queueDeps, queue.WithHandoverState(state), queue.WithInbox(o.settings.InboxLength()), queue.WithMachineOptions(o.machineOptions()...)),
		divider: quota.New(partition, epoch, o.store, dividerDeps),
		journal: journal,
	}
	o.router.AddQueue(partition, server.queue, server.divider)
	return server, nil
}

func (o *partitionOpener) openGroup(partition order.PartitionID, epoch order.Epoch, state []byte) (PartitionServer, error) {
	group, ok := partition.Group()
	if !ok {
		return nil, fmt.Errorf("partition %q is neither a queue nor a group", partition)
	}
	deps := placement.NewDeps(o.clock, o.registry, o.log).
		WithGuard(o.guards.Guard(partition, epoch)).
		WithPoster(o.router).
		WithStore(o.store).
		WithConfig(o.watcher.Current).
		WithWorkers(func() []roster.Worker { return o.hosts.WorkersOf(group) }).
		WithLeaving(o.hosts.Unschedulable).
		WithOtherGroupsUse(func(team order.TeamName) float64 { return o.digests.OtherGroupsUse(group, team) }).
		WithPolicy(o.placementPolicy()).
		WithBidLimit(o.settings.BidLength())
	server := &groupServer{group: placement.New(group, epoch, deps, placement.WithInbox(o.settings.InboxLength()), placement.WithHandoverState(state))}
	o.router.AddGroup(partition, server.group)
	return server, nil
}

func (o *partitionOpener) machineOptions() []queue.MachineOption {
	return []queue.MachineOption{
		queue.WithOpenLimit(o.settings.QueueLength()),
		queue.WithTeamOpenLimit(o.settings.TeamQueueLength()),
		queue.WithCandidates(o.settings.CandidateGroups()),
		queue.WithRetryBudget(o.settings.RetryBudget()),
		queue.WithRetention(o.settings.ResultRetention()),
	}
}

func (o *partitionOpener) placementPolicy() placement.Policy {
	return placement.Policy{}.
		WithRandomWorker(o.settings.RandomWorker()).
		WithArrivalOrder(o.settings.ArrivalOrder()).
		WithDeclaredSizes(!o.settings.CorrectSizes()).
		WithoutCooldown(!o.settings.Cooldown())
}

// placerIDs returns the registered placers, which are those that may own worker
// groups.
func (o *partitionOpener) placerIDs() []order.MemberID {
	var ids []order.MemberID
	for _, member := range o.members.Members() {
		if member.Role() == order.RolePlacer {
			ids = append(ids, member.ID())
		}
	}
	return ids
}

// hasOwner reports whether a worker group has a known owner.
func (o *partitionOpener) hasOwner(group order.GroupID) bool {
	_, _, ok := o.router.directory.Owner(order.GroupPartition(group))
	return ok
}

// Run implements PartitionServer. The divider ends together with the queue.
func (s *queueServer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.divider.Run(ctx)
	}()
	err := s.queue.Run(ctx)
	cancel()
	<-done
	return err
}

// Close implements PartitionServer.
func (s *queueServer) Close() {
	s.queue.Close()
	s.divider.Close()
	s.journal.Close()
}

// Drain implements PartitionServer.
func (s *queueServer) Drain() []byte { return s.queue.Drain() }

// Drain implements PartitionServer.
func (s *groupServer) Drain() []byte { return s.group.Drain() }

// Run implements PartitionServer.
func (s *groupServer) Run(ctx context.Context) error { return s.group.Run(ctx) }

// Close implements PartitionServer.
func (s *groupServer) Close() { s.group.Close() }
