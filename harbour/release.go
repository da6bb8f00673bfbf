package harbour

import (
	"errors"
	"time"

	"github.com/oklog/ulid/v2"

	"chervilhollow/order"
)

type (
	// release is a handover under way. From its start the process does not
	// act for the partition.
	release struct {
		target    order.MemberID
		id        string
		planned   bool
		collected bool
		state     []byte
	}

	// awaited is a handover whose new owner has not confirmed it yet.
	awaited struct {
		epoch order.Epoch
		until time.Time
	}

	// inheritance is the state of a partition that is being handed over to
	// this process.
	inheritance struct {
		from  order.MemberID
		id    string
		epoch order.Epoch
		state []byte
		at    time.Time
	}
)

const (
	ackLimit        = time.Second
	inheritanceLife = 10 * time.Second

	// stateWait is how long a new owner waits for the state of the former one,
	// whose message may come later than the record. A link takes under 10 ms;
	// the rest is for a process that is behind.
	stateWait = 250 * time.Millisecond
)

var (
	// ErrNoTarget reports that no other process lives that could take over.
	ErrNoTarget = errors.New("no process to hand over to")

	// ErrNotConfirmed reports that the new owner did not confirm in time. The
	// record names it all the same.
	ErrNotConfirmed = errors.New("handover not confirmed in time")

	// ErrNotOwner reports that the process is not the owner.
	ErrNotOwner = errors.New("not the owner of the partition")
)

// leave makes the process claim nothing more, for a planned stop, and returns
// the partitions that it owns.
func (c *protocol) leave() []order.PartitionID {
	c.leaving = true
	var ids []order.PartitionID
	for _, id := range c.ids {
		if c.owned[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// releasePlanned hands a partition over for a planned stop.
func (c *protocol) releasePlanned(now time.Time, id order.PartitionID) {
	p := c.owned[id]
	if p == nil {
		c.emit(releasedCommand{partition: id, err: ErrNotOwner})
		return
	}
	if p.release != nil {
		p.release.planned = true
		return
	}
	target := p.record.standby
	if c.suspected(target) || target == "" {
		target = c.chooseStandby(id)
	}
	if target == "" {
		c.emit(releasedCommand{partition: id, err: ErrNoTarget})
		return
	}
	c.startRelease(now, p, target, true)
}

func (c *protocol) startRelease(_ time.Time, p *partition, target order.MemberID, planned bool) {
	if !p.stateUntil.IsZero() {
		c.begin(p, nil)
	}
	p.release = &release{target: target, id: ulid.Make().String(), planned: planned}
	c.refresh(p)
	c.emit(collectCommand{partition: p.id, epoch: p.hold.epoch})
}

// collected takes the state of a partition, which its owner no longer changes.
func (c *protocol) collected(now time.Time, id order.PartitionID, epoch order.Epoch, state []byte) {
	p := c.owned[id]
	if p == nil || p.release == nil || p.hold.epoch != epoch {
		return
	}
	p.release.collected = true
	p.release.state = state
	c.continueRelease(now, p)
}

// continueRelease sends the state and writes the record. The record alone
// gives the ownership; a message that overtakes it or is lost changes nothing.
func (c *protocol) continueRelease(now time.Time, p *partition) {
	r := p.release
	switch {
	case !r.collected || p.pending != nil:
		return
	case !c.mayWrite(now, p):
		if !r.planned && !c.view.reachable {
			c.abortRelease(p)
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
	c.issue(now, p, record)
}

// swapFailed is told of a write that certainly had no effect.
func (c *protocol) swapFailed(p *partition) {
	if p.release != nil && !p.release.planned {
		c.abortRelease(p)
	}
}

// abortRelease goes on as the owner. A part that has given its state away is
// started again with it, at the same epoch: no LostEvent goes before, because
// a reader that stops the part on it might stop the new one.
func (c *protocol) abortRelease(p *partition) {
	r := p.release
	p.release = nil
	c.refresh(p)
	c.registry.Count("harbour.handover_aborted")
	if r.collected && c.collects {
		c.emit(eventCommand{AcquiredEvent{partition: p.id, epoch: p.hold.epoch, state: r.state}})
	}
	c.emit(releasedCommand{partition: p.id, err: ErrNotOwner})
}

// releaseEnded is told of a partition that has another owner now.
func (c *protocol) releaseEnded(now time.Time, p *partition, epoch order.Epoch) {
	r := p.release
	p.release = nil
	switch {
	case r == nil:
	case p.record.handover == r.id && p.record.epoch == epoch+1:
		c.registry.Count("harbour.handed_over")
		c.awaiting[p.id] = awaited{epoch: epoch + 1, until: now.Add(ackLimit)}
	default:
		c.emit(releasedCommand{partition: p.id, err: ErrNotOwner})
	}
}

// acknowledged takes the new owner's confirmation.
func (c *protocol) acknowledged(m order.HandoverAckMsg) {
	if a, ok := c.awaiting[m.Partition()]; ok && a.epoch == m.Epoch() {
		delete(c.awaiting, m.Partition())
		c.emit(releasedCommand{partition: m.Partition()})
	}
}

func (c *protocol) expireAwaited(now time.Time) {
	for _, id := range c.ids {
		if len(c.awaiting) == 0 {
			return
		}
		if a, ok := c.awaiting[id]; ok && !now.Before(a.until) {
			delete(c.awaiting, id)
			c.emit(releasedCommand{partition: id, err: ErrNotConfirmed})
		}
	}
}

// handover takes the state of a partition from its owner. It is used only with
// the record of the same handover: a handover that was broken off must not
// leave an old state for a later one.
func (c *protocol) handover(now time.Time, from order.MemberID, m order.HandoverMsg) {
	p := c.at(m.Partition())
	if p.hold != nil && p.hold.epoch == m.Epoch() && p.record.handover == m.Handover() {
		p.ackTo = from
		if !p.stateUntil.IsZero() {
			c.begin(p, m.State())
		}
		return
	}
	p.inherited = &inheritance{
		from:  from,
		id:    m.Handover(),
		epoch: m.Epoch(),
		state: m.State(),
		at:    now,
	}
}

// inherit returns the state that belongs to the record, if it has come.
func (c *protocol) inherit(p *partition) ([]byte, bool) {
	i := p.inherited
	if i == nil || i.epoch != p.record.epoch || i.id != p.record.handover || i.id == "" {
		return nil, false
	}
	p.inherited = nil
	p.ackTo = i.from
	return i.state, true
}

// expireState starts a partition without the state that it waited for.
func (c *protocol) expireState(now time.Time, p *partition) {
	if p.stateUntil.IsZero() || now.Before(p.stateUntil) {
		return
	}
	c.registry.Count("harbour.state_missing")
	c.log.Warn().Str("partition", string(p.id)).Uint64("epoch", uint64(p.record.epoch)).Dur("waited", stateWait).
		Msg("harbour: state of the former owner has not come")
	c.begin(p, nil)
}

func (c *protocol) expireInherited(now time.Time, p *partition) {
	if p.inherited != nil && now.Sub(p.inherited.at) > inheritanceLife {
		p.inherited = nil
	}
}
