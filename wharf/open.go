package wharf

import (
	"context"
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"chervilhollow/berth"
	"chervilhollow/chart"
	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"
	"chervilhollow/tide"
	"chervilhollow/till"
	"chervilhollow/tonnage"
)

type (
	// opener makes the queues and groups of a placer.
	opener struct {
		clock    tide.Clock
		store    depot.Store
		registry *gauge.Registry
		log      zerolog.Logger
		sender   order.Sender
		router   *Router
		digests  *Digests
		watcher  *sheet.Watcher
		hosts    *roster.Hosts
		members  *roster.Members
		guards   Guards
		settings chart.Placer
	}

	// Guards gives the guard of an owned partition.
	Guards interface {
		Guard(partition order.PartitionID, epoch order.Epoch) order.Guard
	}

	// queuePart runs the queue of a request partition together with the
	// divider of team limits and the journal.
	queuePart struct {
		queue   *till.Queue
		divider *tonnage.Divider
		journal *logbook.Journal
	}

	// groupPart runs a worker group.
	groupPart struct {
		group *berth.Group
	}
)

var errHostListUnknown = errors.New("host list not read yet")

// Open implements Opener.
func (o *opener) Open(ctx context.Context, partition order.PartitionID, epoch order.Epoch, state []byte) (Part, error) {
	if partition.IsRequest() {
		return o.openQueue(ctx, partition, epoch, state)
	}
	return o.openGroup(partition, epoch, state)
}

// Remove implements Opener.
func (o *opener) Remove(partition order.PartitionID) { o.router.Remove(partition) }

func (o *opener) openQueue(ctx context.Context, partition order.PartitionID, epoch order.Epoch, state []byte) (Part, error) {
	if o.hosts.Age() > digestRetention && len(o.hosts.Workers()) == 0 {
		return nil, errHostListUnknown
	}
	guard := o.guards.Guard(partition, epoch)
	journal, records, err := logbook.Open(ctx, partition, epoch, o.store, o.clock, guard,
		logbook.WithLog(o.log), logbook.WithRegistry(o.registry), logbook.WithRetention(o.settings.ResultRetention()))
	if err != nil {
		o.log.Warn().Err(err).Str("partition", string(partition)).Msg("wharf: cannot open the journal; trying again")
		return nil, err
	}
	deps := till.NewDeps().
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
		WithPlacers(o.placers).
		WithOwned(o.owned)
	division := tonnage.NewDeps().
		WithClock(o.clock).
		WithRegistry(o.registry).
		WithLog(o.log).
		WithGuard(guard).
		WithPoster(o.router).
		WithConfig(o.watcher.Current).
		WithDigests(o.digests.Current).
		WithGroups(o.hosts.Groups).
		WithOwned(o.owned)
	part := &queuePart{
		queue:   till.New(partition, epoch, deps, till.WithState(state), till.WithInbox(o.settings.InboxLength()), till.WithMachine(o.machineOptions()...)),
		divider: tonnage.New(partition, epoch, o.store, division),
		journal: journal,
	}
	o.router.AddQueue(partition, part.queue, part.divider)
	return part, nil
}

func (o *opener) openGroup(partition order.PartitionID, epoch order.Epoch, state []byte) (Part, error) {
	group, ok := partition.Group()
	if !ok {
		return nil, fmt.Errorf("partition %q is neither a queue nor a group", partition)
	}
	deps := berth.NewDeps(o.clock, o.registry, o.log).
		WithGuard(o.guards.Guard(partition, epoch)).
		WithPoster(o.router).
		WithStore(o.store).
		WithConfig(o.watcher.Current).
		WithWorkers(func() []roster.Worker { return o.hosts.WorkersOf(group) }).
		WithLeaving(o.hosts.Leaving).
		WithElsewhere(func(team order.TeamName) float64 { return o.digests.Elsewhere(group, team) }).
		WithPolicy(o.policy()).
		WithBidLimit(o.settings.BidLength())
	part := &groupPart{group: berth.New(group, epoch, deps, berth.WithInbox(o.settings.InboxLength()), berth.WithState(state))}
	o.router.AddGroup(partition, part.group)
	return part, nil
}

func (o *opener) machineOptions() []till.MachineOption {
	return []till.MachineOption{
		till.WithLimit(o.settings.QueueLength()),
		till.WithTeamLimit(o.settings.TeamQueueLength()),
		till.WithCandidates(o.settings.CandidateGroups()),
		till.WithRetryBudget(o.settings.RetryBudget()),
		till.WithRetention(o.settings.ResultRetention()),
	}
}

func (o *opener) policy() berth.Policy {
	return berth.Policy{}.
		WithRandomWorker(o.settings.RandomWorker()).
		WithArrivalOrder(o.settings.ArrivalOrder()).
		WithDeclaredSizes(!o.settings.CorrectSizes()).
		WithoutCooldown(!o.settings.Cooldown())
}

// placers returns the placers that may own worker groups.
func (o *opener) placers() []order.MemberID {
	var ids []order.MemberID
	for _, member := range o.members.Members() {
		if member.Role() == order.RolePlacer {
			ids = append(ids, member.ID())
		}
	}
	return ids
}

func (o *opener) owned(group order.GroupID) bool {
	_, _, ok := o.router.directory.Owner(order.GroupPartition(group))
	return ok
}

// Run implements Part.
func (p *queuePart) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.divider.Run(ctx)
	}()
	err := p.queue.Run(ctx)
	cancel()
	<-done
	return err
}

// Close implements Part.
func (p *queuePart) Close() {
	p.queue.Close()
	p.divider.Close()
	p.journal.Close()
}

// Drain implements Part.
func (p *queuePart) Drain() []byte { return p.queue.Drain() }

// Drain implements Part.
func (p *groupPart) Drain() []byte { return p.group.Drain() }

// Run implements Part.
func (p *groupPart) Run(ctx context.Context) error { return p.group.Run(ctx) }

// Close implements Part.
func (p *groupPart) Close() { p.group.Close() }
