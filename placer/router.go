package placer

import (
	"errors"
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
)

type (
	// Handler handles messages from other processes. Handle must not block,
	// because it runs on the goroutine that reads the link.
	Handler interface {
		Handle(from order.MemberID, m order.Msg)
	}

	// Directory looks up the owner of a partition and its epoch. The result
	// is false if no owner is known.
	Directory interface {
		Owner(partition order.PartitionID) (order.MemberID, order.Epoch, bool)
	}

	// InventoryProvider lists the tasks of a request partition in a worker
	// group. A queue requests it to recover after a change of owner.
	InventoryProvider interface {
		Inventory(request order.PartitionID) []order.InventoryEntry

		// Adopted reports whether the group has read the task lists of its
		// workers, without which its inventory is incomplete.
		Adopted() bool
	}

	// Router dispatches inbound messages to the components of the placer and
	// sends outbound messages to the owners of partitions. The handlers for
	// ownership, peers and configuration must be set before Handle is called.
	// All other methods are safe for concurrent use.
	Router struct {
		self      order.MemberID
		sender    order.Sender
		directory Directory
		registry  *gauge.Registry
		log       zerolog.Logger

		ownershipHandler Handler
		peersHandler     Handler
		configHandler    Handler
		digests          *Digests

		mu       sync.RWMutex
		queues   map[order.PartitionID]Handler
		dividers map[order.PartitionID]Handler
		groups   map[order.PartitionID]Handler
	}
)

// ErrNoOwner is returned by Router.Post if the partition has no known owner.
var ErrNoOwner = errors.New("no known owner of the partition")

// NewRouter returns a router without partitions.
func NewRouter(self order.MemberID, sender order.Sender, directory Directory, digests *Digests, registry *gauge.Registry, log zerolog.Logger) *Router {
	return &Router{
		self:      self,
		sender:    sender,
		directory: directory,
		digests:   digests,
		registry:  registry,
		log:       log,
		queues:    make(map[order.PartitionID]Handler),
		dividers:  make(map[order.PartitionID]Handler),
		groups:    make(map[order.PartitionID]Handler),
	}
}

// SetOwnership sets the handler of ownership messages: heartbeats, promises and
// handovers.
func (r *Router) SetOwnership(h Handler) { r.ownershipHandler = h }

// SetPeers sets the handler of member state messages.
func (r *Router) SetPeers(h Handler) { r.peersHandler = h }

// SetConfig sets the handler of configuration messages.
func (r *Router) SetConfig(h Handler) { r.configHandler = h }

// AddQueue routes the messages of a request partition to its queue and to its
// divider of team limits.
func (r *Router) AddQueue(p order.PartitionID, queue, divider Handler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queues[p] = queue
	r.dividers[p] = divider
}

// AddGroup routes the messages of a group partition to the group.
func (r *Router) AddGroup(p order.PartitionID, group Handler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups[p] = group
}

// RemovePartition removes the handlers of a partition. Senders get a
// NotOwnerMsg from then on.
func (r *Router) RemovePartition(p order.PartitionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.queues, p)
	delete(r.dividers, p)
	delete(r.groups, p)
}

// Post implements order.Poster. It sends the message to the owner of the
// partition, or returns ErrNoOwner.
func (r *Router) Post(p order.PartitionID, m order.Msg) error {
	owner, _, ok := r.directory.Owner(p)
	if !ok {
		r.registry.Count("wharf.dropped.no_owner")
		return fmt.Errorf("%s: %w", p, ErrNoOwner)
	}
	return r.sender.Send(owner, m)
}

// Handle dispatches one inbound message. It never blocks.
func (r *Router) Handle(from order.MemberID, m order.Msg) {
	switch m := m.(type) {
	case order.HeartbeatMsg, order.PromiseMsg, order.HandoverMsg, order.HandoverAckMsg:
		r.ownershipHandler.Handle(from, m)
	case order.MemberStateMsg:
		r.peersHandler.Handle(from, m)
	case order.ConfigRequestMsg, order.ConfigReplyMsg:
		r.configHandler.Handle(from, m)
	case order.DigestMsg:
		r.digests.Store(m)
	case order.InventoryMsg:
		r.replyInventory(from, m)
	case order.NotOwnerMsg:
		r.handleNotOwner(from, m)
	default:
		r.handlePartition(from, m)
	}
}

// handlePartition dispatches a message that is addressed to a partition.
func (r *Router) handlePartition(from order.MemberID, m order.Msg) {
	dest, ok := destinationOf(m)
	if !ok {
		r.registry.Count("wharf.dropped.unexpected")
		r.log.Warn().Msgf("wharf: unexpected message %T dropped", m)
		return
	}
	handler := r.handlerFor(dest)
	if handler == nil {
		r.sendNotOwner(from, dest)
		return
	}
	handler.Handle(from, m)
}

func (r *Router) handlerFor(dest destination) Handler {
	r.mu.RLock()
	defer r.mu.RUnlock()
	switch {
	case dest.toDivider:
		return r.dividers[dest.partition]
	case dest.partition.IsRequest():
		return r.queues[dest.partition]
	}
	return r.groups[dest.partition]
}

// sendNotOwner replies that this process does not own the partition, and names
// the owner if it is known.
func (r *Router) sendNotOwner(to order.MemberID, dest destination) {
	r.registry.Count("wharf.refused.not_owner")
	reply := order.NotOwnerMsg{}.
		WithPartition(dest.partition).
		WithRequest(dest.request).
		WithTask(dest.task)
	if owner, epoch, ok := r.directory.Owner(dest.partition); ok && owner != r.self {
		reply = reply.WithOwner(owner).WithEpoch(epoch)
	}
	if err := r.sender.Send(to, reply); err != nil {
		r.registry.Count("wharf.dropped.send")
	}
}

// handleNotOwner delivers the reply to whatever sent the rejected message. For
// a group partition that is the queue of the task. For a request partition it
// can be any worker group, so all of them get the reply.
func (r *Router) handleNotOwner(from order.MemberID, m order.NotOwnerMsg) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if m.Partition().IsRequest() {
		for _, group := range r.groups {
			group.Handle(from, m)
		}
		return
	}
	if queue, ok := r.queues[m.Task().Partition()]; ok {
		queue.Handle(from, m)
	}
}

// replyInventory replies with the inventory of all groups that have adopted the
// task lists of their workers. Only these are named in the reply, because the
// inventory of the others is incomplete.
func (r *Router) replyInventory(from order.MemberID, m order.InventoryMsg) {
	reply := order.InventoryReplyMsg{}.
		WithPartition(m.Partition()).
		WithEpoch(m.Epoch())
	var (
		groups  []order.GroupID
		entries []order.InventoryEntry
	)
	r.mu.RLock()
	for p, handler := range r.groups {
		group, ok := handler.(InventoryProvider)
		if !ok || !group.Adopted() {
			continue
		}
		id, _ := p.Group()
		groups = append(groups, id)
		entries = append(entries, group.Inventory(m.Partition())...)
	}
	r.mu.RUnlock()
	reply = reply.WithGroups(groups).WithEntries(entries)
	if err := r.sender.Send(from, reply); err != nil {
		r.registry.Count("wharf.dropped.send")
	}
}

// Digests returns the digests of all worker groups that this placer owns.
func (r *Router) Digests() []order.GroupDigest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	digests := make([]order.GroupDigest, 0, len(r.groups))
	for _, handler := range r.groups {
		if group, ok := handler.(interface{ Digest() order.GroupDigest }); ok {
			digests = append(digests, group.Digest())
		}
	}
	return digests
}
