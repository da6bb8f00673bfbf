package wharf

import (
	"errors"
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
)

type (
	// Handler takes one message from a process. It never blocks.
	Handler interface {
		Handle(from order.MemberID, m order.Msg)
	}

	// Directory tells who owns a partition.
	Directory interface {
		Owner(partition order.PartitionID) (order.MemberID, order.Epoch, bool)
	}

	// Inventory lists the tasks of a request partition that a group knows.
	Inventory interface {
		Inventory(request order.PartitionID) []order.InventoryEntry

		// Adopted reports whether the group has read the task lists of its
		// workers, without which its inventory is incomplete.
		Adopted() bool
	}

	// Router hands inbound messages to the part of the placer that they are
	// for, and posts outbound messages to the owners of partitions.
	Router struct {
		self      order.MemberID
		sender    order.Sender
		directory Directory
		registry  *gauge.Registry
		log       zerolog.Logger

		ownership Handler
		peers     Handler
		config    Handler
		digests   *Digests

		mu       sync.RWMutex
		queues   map[order.PartitionID]Handler
		dividers map[order.PartitionID]Handler
		groups   map[order.PartitionID]Handler
	}
)

// ErrNoOwner reports that no process is known to own the partition.
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

// SetOwnership sets the handler of ownership messages.
func (r *Router) SetOwnership(h Handler) { r.ownership = h }

// SetPeers sets the handler of member state messages.
func (r *Router) SetPeers(h Handler) { r.peers = h }

// SetConfig sets the handler of configuration messages.
func (r *Router) SetConfig(h Handler) { r.config = h }

// AddQueue routes the messages of a request partition to its queue and to the
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

// Remove stops routing to a partition.
func (r *Router) Remove(p order.PartitionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.queues, p)
	delete(r.dividers, p)
	delete(r.groups, p)
}

// Post implements order.Poster.
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
		r.ownership.Handle(from, m)
	case order.MemberStateMsg:
		r.peers.Handle(from, m)
	case order.ConfigRequestMsg, order.ConfigReplyMsg:
		r.config.Handle(from, m)
	case order.DigestMsg:
		r.digests.Store(m)
	case order.InventoryMsg:
		r.answerInventory(from, m)
	case order.NotOwnerMsg:
		r.handleNotOwner(from, m)
	default:
		r.handlePartition(from, m)
	}
}

func (r *Router) handlePartition(from order.MemberID, m order.Msg) {
	target, ok := addressOf(m)
	if !ok {
		r.registry.Count("wharf.dropped.unexpected")
		r.log.Warn().Msgf("wharf: dropped unexpected message %T", m)
		return
	}
	handler := r.handler(target)
	if handler == nil {
		r.refuse(from, target)
		return
	}
	handler.Handle(from, m)
}

func (r *Router) handler(a address) Handler {
	r.mu.RLock()
	defer r.mu.RUnlock()
	switch {
	case a.divider:
		return r.dividers[a.partition]
	case a.partition.IsRequest():
		return r.queues[a.partition]
	}
	return r.groups[a.partition]
}

// refuse tells the sender of a message that the partition is owned elsewhere.
func (r *Router) refuse(to order.MemberID, a address) {
	r.registry.Count("wharf.refused.not_owner")
	reply := order.NotOwnerMsg{}.
		WithPartition(a.partition).
		WithRequest(a.request).
		WithTask(a.task)
	if owner, epoch, ok := r.directory.Owner(a.partition); ok && owner != r.self {
		reply = reply.WithOwner(owner).WithEpoch(epoch)
	}
	if err := r.sender.Send(to, reply); err != nil {
		r.registry.Count("wharf.dropped.send")
	}
}

// handleNotOwner gives the notice to the part that sent the message: the queue
// of the task for a group partition, or the group's own parts otherwise.
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

func (r *Router) answerInventory(from order.MemberID, m order.InventoryMsg) {
	reply := order.InventoryReplyMsg{}.
		WithPartition(m.Partition()).
		WithEpoch(m.Epoch())
	var (
		groups  []order.GroupID
		entries []order.InventoryEntry
	)
	r.mu.RLock()
	for p, handler := range r.groups {
		group, ok := handler.(Inventory)
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

// Digests returns the digests of all groups of the placer.
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
