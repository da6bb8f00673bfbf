package ownership

import (
	"errors"
	"time"

	"github.com/oklog/ulid/v2"

	"chervilhollow/order"
)

type (
	// outgoingHandover is a handover from this process to the target. While it
	// is in progress, this process does not act for the partition. A planned
	// one belongs to a planned stop; any other is a move.
	outgoingHandover struct {
		target  order.MemberID
		id      string
		planned bool
		drained bool
		state   []byte
	}

	// pendingAck is a handover that the new owner has not confirmed yet.
	pendingAck struct {
		epoch order.Epoch
		until time.Time
	}

	// incomingHandover holds the state of a partition that is being handed over
	// to this process. It is used once the record names the same handover.
	incomingHandover struct {
		from  order.MemberID
		id    string
		epoch order.Epoch
		state []byte
		at    time.Time
	}
)

const (
	ackTimeout       = time.Second
	incomingLifetime = 10 * time.Second

	// stateTimeout is how long a new owner waits for the state of the previous
	// one, whose message may arrive after the record. A link takes under 10 ms;
	// the rest allows for an overloaded process.
	stateTimeout = 250 * time.Millisecond
)

var (
	// ErrNoTarget reports that no other process is available to take over.
	ErrNoTarget = errors.New("no process to hand over to")

	// ErrNotConfirmed reports that the new owner did not confirm in time,
	// although the record names it.
	ErrNotConfirmed = errors.New("handover not confirmed in time")

	// ErrNotOwner reports that this process does not own the partition, or that
	// the handover was aborted or another record was written instead.
	ErrNotOwner = errors.New("not the owner of the partition")
)

// startLeaving stops this process from claiming partitions, for a planned stop,
// and returns the partitions that it owns.
func (c *protocol) startLeaving() []order.PartitionID {
	c.leaving = true
	var ids []order.PartitionID
	for _, id := range c.ids {
		if c.owned[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// startPlannedHandover transfers a partition for a planned stop. The target is
// its standby, or another candidate if that is suspected.
func (c *protocol) startPlannedHandover(now time.Time, id order.PartitionID) {
	p := c.owned[id]
	if p == nil {
		c.emit(handoverDoneCommand{partition: id, err: ErrNotOwner})
		return
	}
	if p.outgoing != nil {
		p.outgoing.planned = true
		return
	}
	target := p.record.standby
	if c.isSuspected(target) || target == "" {
		target = c.chooseStandby(id)
	}
	if target == "" {
		c.emit(handoverDoneCommand{partition: id, err: ErrNoTarget})
		return
	}
	c.startHandover(now, p, target, true)
}

// startHandover revokes the permission to act and requests that the component
// of the partition is drained.
func (c *protocol) startHandover(_ time.Time, p *partition, target order.MemberID, planned bool) {
	if !p.stateDeadline.IsZero() {
		c.startServing(p, nil)
	}
	p.outgoing = &outgoingHandover{target: target, id: ulid.Make().String(), planned: planned}
	c.refreshDeadline(p)
	c.emit(drainCommand{partition: p.id, epoch: p.permission.epoch})
}

// handleDrained handles the state of a drained component, which no longer
// changes.
func (c *protocol) handleDrained(now time.Time, id order.PartitionID, epoch order.Epoch, state []byte) {
	p := c.owned[id]
	if p == nil || p.outgoing == nil || p.permission.epoch != epoch {
		return
	}
	p.outgoing.drained = true
	p.outgoing.state = state
	c.continueHandover(now, p)
}

// continueHandover sends the state and writes the record. Only the record
// transfers ownership, so it does no harm if the message arrives early or is
// lost. If the store is unreachable, a move is aborted and a planned handover
// waits.
func (c *protocol) continueHandover(now time.Time, p *partition) {
	r := p.outgoing
	switch {
	case !r.drained || p.pending != nil:
		return
	case !c.canWrite(now, p):
		if !r.planned && !c.view.storeReachable {
			c.abortHandover(p)
		}
		return
	}
	epoch := p.record.epoch + 1
	c.emit(sendCommand{to: r.target, msg: order.HandoverMsg{}.
		WithPartition(p.id).
		WithEpoch(epoch).
		WithState(r.state).
		WithHandover(r.id)})
	record := NewRecord(r.target, c.chooseStandbyFor(p.id, r.target), epoch)
	record.handover = r.id
	c.startWrite(now, p, record)
}

// handleFailedWrite handles a write that certainly had no effect: it aborts a
// move, but a planned handover is retried.
func (c *protocol) handleFailedWrite(p *partition) {
	if p.outgoing != nil && !p.outgoing.planned {
		c.abortHandover(p)
	}
}

// abortHandover keeps this process as the owner. A component that was drained
// is started again with its state at the same epoch. No LostEvent is sent
// first, because a receiver that stops the component on it could stop the new
// one.
func (c *protocol) abortHandover(p *partition) {
	r := p.outgoing
	p.outgoing = nil
	c.refreshDeadline(p)
	c.registry.Count("harbour.handover_aborted")
	if r.drained && c.canDrain {
		c.emit(eventCommand{AcquiredEvent{partition: p.id, epoch: p.permission.epoch, state: r.state}})
	}
	c.emit(handoverDoneCommand{partition: p.id, err: ErrNotOwner})
}

// endHandover ends the outgoing handover, if there is one, when this process
// has lost the ownership. If the record is the one of the handover, only the
// confirmation is missing.
func (c *protocol) endHandover(now time.Time, p *partition, epoch order.Epoch) {
	r := p.outgoing
	p.outgoing = nil
	switch {
	case r == nil:
	case p.record.handover == r.id && p.record.epoch == epoch+1:
		c.registry.Count("harbour.handed_over")
		c.pendingAcks[p.id] = pendingAck{epoch: epoch + 1, until: now.Add(ackTimeout)}
	default:
		c.emit(handoverDoneCommand{partition: p.id, err: ErrNotOwner})
	}
}

// handleHandoverAck handles the confirmation of the new owner.
func (c *protocol) handleHandoverAck(m order.HandoverAckMsg) {
	if a, ok := c.pendingAcks[m.Partition()]; ok && a.epoch == m.Epoch() {
		delete(c.pendingAcks, m.Partition())
		c.emit(handoverDoneCommand{partition: m.Partition()})
	}
}

// expirePendingAcks ends the handovers that were not confirmed within
// ackTimeout.
func (c *protocol) expirePendingAcks(now time.Time) {
	for _, id := range c.ids {
		if len(c.pendingAcks) == 0 {
			return
		}
		if a, ok := c.pendingAcks[id]; ok && !now.Before(a.until) {
			delete(c.pendingAcks, id)
			c.emit(handoverDoneCommand{partition: id, err: ErrNotConfirmed})
		}
	}
}

// handleHandover handles the state that the former owner sent. The state is
// used only with the record of the same handover, so the state of an aborted
// handover cannot be used for a later one.
func (c *protocol) handleHandover(now time.Time, from order.MemberID, m order.HandoverMsg) {
	p := c.partition(m.Partition())
	if p.permission != nil && p.permission.epoch == m.Epoch() && p.record.handover == m.Handover() {
		p.ackTo = from
		if !p.stateDeadline.IsZero() {
			c.startServing(p, m.State())
		}
		return
	}
	p.incoming = &incomingHandover{
		from:  from,
		id:    m.Handover(),
		epoch: m.Epoch(),
		state: m.State(),
		at:    now,
	}
}

// takeIncomingState returns the state that belongs to the record, if it has
// arrived.
func (c *protocol) takeIncomingState(p *partition) ([]byte, bool) {
	i := p.incoming
	if i == nil || i.epoch != p.record.epoch || i.id != p.record.handover || i.id == "" {
		return nil, false
	}
	p.incoming = nil
	p.ackTo = i.from
	return i.state, true
}

// expireStateWait starts serving a partition without its state when the state
// has not arrived in time.
func (c *protocol) expireStateWait(now time.Time, p *partition) {
	if p.stateDeadline.IsZero() || now.Before(p.stateDeadline) {
		return
	}
	c.registry.Count("harbour.state_missing")
	c.log.Warn().Str("partition", string(p.id)).Uint64("epoch", uint64(p.record.epoch)).Dur("waited", stateTimeout).
		Msg("harbour: state of the former owner not received")
	c.startServing(p, nil)
}

// expireIncoming drops the state of a handover whose record was not seen.
func (c *protocol) expireIncoming(now time.Time, p *partition) {
	if p.incoming != nil && now.Sub(p.incoming.at) > incomingLifetime {
		p.incoming = nil
	}
}
