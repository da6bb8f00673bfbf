// Models the entries of PROTOCOL.md, section "Service discovery".

package scheduler

import (
	"time"

	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// modelDiscovery holds the entries that can be read. states has the last
	// change of each entry, in isolated worlds; in half of them each heartbeat
	// changes the entry.
	modelDiscovery struct {
		world   *world
		entries map[order.WorkerID]WorkerInfo
		changes int

		states     map[order.WorkerID]modelEntryState
		heartbeats bool
	}

	// modelEntryState is the state of an entry since a change. An entry that
	// can't be read is present, and not in entries.
	modelEntryState struct {
		change  int
		present bool
	}

	// modelWatch is the watch of an owner: when its present call was sent, and
	// the last one that was answered, and which change of each entry it has.
	modelWatch struct {
		sentAt     time.Time
		answeredAt time.Time
		known      map[order.WorkerID]int
		busy       bool
	}
)

var modelDomains = [exploreZones]order.DomainName{"quay", "mole", "pier"}

const (
	modelHeartbeat = 1500 * time.Millisecond
	modelSilence   = 3 * modelHeartbeat

	// modelEntryDelay is how much later than the heartbeat a missing entry may
	// be back, 2 s after the store's return at the latest.
	modelEntryDelay = 500 * time.Millisecond

	// modelWatchPause is the pause between two calls of a watch.
	modelWatchPause = 150 * time.Millisecond
)

// register lets a life of a worker write its entry until it ends.
func (d *modelDiscovery) register(m *modelWorker) {
	life, seenAt := m.life, d.world.now
	m.entryWrittenAt = seenAt
	var beat func()
	beat = func() {
		same := m.life == life
		if same && m.up && d.reachedBy(m) {
			seenAt = d.world.now
			d.heartbeat(m, life)
		}
		e, ok := d.entries[m.id]
		if d.world.isolated {
			// The report that a worker drains ends its silence as well.
			seenAt = timers.Later(seenAt, m.entryWrittenAt)
		}
		if ok && e.incarnation == life && d.world.now.Sub(seenAt) >= modelSilence {
			d.world.trace("entry of %s lapses", m.id)
			d.drop(m.id)
		}
		if same || ok && e.incarnation == life {
			d.world.after(modelHeartbeat, beat)
		}
	}
	d.world.after(d.world.upTo(500*time.Millisecond), beat)
}

// heartbeat writes the entry of the worker's present life if it has changed or is
// missing.
func (d *modelDiscovery) heartbeat(m *modelWorker, life int64) {
	e, ok := d.entries[m.id]
	switch {
	case !ok && d.world.isolated:
		d.world.after(d.world.upTo(modelEntryDelay), func() {
			if m.life == life && m.up {
				d.refresh(m)
			}
		})
	case !ok || e.incarnation != life || e.draining != m.draining:
		d.set(m)
	case d.heartbeats:
		d.change(m.id, true)
	}
}

func (d *modelDiscovery) set(m *modelWorker) {
	d.world.trace("entry of %s: life %d at %s", m.id, m.life, m.address)
	info := workerInfo(m.id, m.life)
	info.address = m.address
	info.domain, info.draining = modelDomains[m.zone], m.draining
	if m.draining && m.drainListedAt.IsZero() {
		m.drainListedAt = d.world.now
	}
	d.entries[m.id] = info
	m.entryWrittenAt = d.world.now
	d.change(m.id, true)
}

func (d *modelDiscovery) drop(id order.WorkerID) {
	delete(d.entries, id)
	d.change(id, false)
}

// change records a change of an entry, after which the store has one or not.
func (d *modelDiscovery) change(id order.WorkerID, present bool) {
	d.changes++
	if d.world.isolated {
		d.states[id] = modelEntryState{change: d.changes, present: present}
	}
}

// reachedBy reports whether the entry follows what the worker writes.
func (d *modelDiscovery) reachedBy(m *modelWorker) bool {
	return d.world.store.up && !d.world.network.workerStoreCut[m.zone] && !d.world.isolation.hides(m.id)
}

// refresh writes the entry of a worker that reaches the store.
func (d *modelDiscovery) refresh(m *modelWorker) {
	if d.reachedBy(m) {
		d.set(m)
	}
}

// remove removes the entry of a worker that has left, if it reaches the store.
func (d *modelDiscovery) remove(m *modelWorker) {
	if _, ok := d.entries[m.id]; ok && d.reachedBy(m) {
		d.drop(m.id)
	}
}

// list gives an owner the present entries.
func (d *modelDiscovery) list(o *modelOwner) {
	if d.world.isolated {
		d.watch(o)
		return
	}
	if !d.world.store.reached(o.zone) || o.listedChanges == d.changes+1 {
		return
	}
	o.listedChanges = d.changes + 1
	var infos []WorkerInfo
	for _, m := range d.world.workers {
		if e, ok := d.entries[m.id]; ok {
			infos = append(infos, e)
		}
	}
	d.world.after(15*time.Millisecond, func() { o.handle(NewWorkersMsg(infos, nil, true)) })
}

// watch gives an owner the changes since the last answer, or all entries first
// and sometimes after the store was not reached.
func (d *modelDiscovery) watch(o *modelOwner) {
	w, v := d.world, &o.watch
	if !w.store.reached(o.zone) {
		if !v.sentAt.IsZero() && w.chance(30) {
			v.known = nil
		}
		v.sentAt = time.Time{}
		return
	}
	if v.sentAt.IsZero() {
		v.sentAt = w.now
	}
	if v.busy {
		return
	}
	in, changed := d.changesFor(v)
	if !changed {
		return
	}
	v.busy, v.answeredAt = true, v.sentAt
	delay := 5*time.Millisecond + w.upTo(10*time.Millisecond)
	if w.chance(5) {
		delay += w.upTo(500 * time.Millisecond)
	}
	w.after(delay, func() {
		o.handle(in)
		w.after(modelWatchPause, func() { v.busy, v.sentAt = false, w.now })
	})
}

// changesFor returns the next answer of a watch, and false if there is no change.
func (d *modelDiscovery) changesFor(v *modelWatch) (Msg, bool) {
	complete := v.known == nil
	if complete {
		v.known = make(map[order.WorkerID]int)
	}
	var infos []WorkerInfo
	var removed, deleted []order.WorkerID
	changed := complete
	for _, m := range d.world.workers {
		s := d.states[m.id]
		if s.change == v.known[m.id] {
			continue
		}
		changed, v.known[m.id] = true, s.change
		e, readable := d.entries[m.id]
		switch {
		case readable:
			infos = append(infos, e)
		case s.present:
			removed = append(removed, m.id)
		case !complete:
			removed, deleted = append(removed, m.id), append(deleted, m.id)
		}
	}
	in := NewWorkersMsg(infos, removed, complete).WithDeleted(deleted)
	if !complete {
		in = in.WithChangedAfter(v.answeredAt, 0)
	}
	return in, changed
}
