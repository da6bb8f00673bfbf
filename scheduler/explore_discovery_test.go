// Models the entries of PROTOCOL.md, section "Service discovery".

package scheduler

import (
	"time"

	"chervilhollow/order"
)

type modelDiscovery struct {
	world   *world
	entries map[order.WorkerID]WorkerInfo
	changes int
}

var modelDomains = [exploreZones]order.DomainName{"quay", "mole", "pier"}

const (
	modelHeartbeat = 1500 * time.Millisecond
	modelSilence   = 3 * modelHeartbeat

	// modelEntryDelay is how much later than the heartbeat a missing entry may
	// be back, 2 s after the store's return at the latest.
	modelEntryDelay = 500 * time.Millisecond
)

// register lets a life of a worker write its entry until it ends.
func (d *modelDiscovery) register(m *modelWorker) {
	life, seenAt := m.life, d.world.now
	var beat func()
	beat = func() {
		same := m.life == life
		if same && m.up && d.reachedBy(m) {
			seenAt = d.world.now
			d.heartbeat(m, life)
		}
		e, ok := d.entries[m.id]
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
	d.changes++
}

func (d *modelDiscovery) drop(id order.WorkerID) {
	delete(d.entries, id)
	d.changes++
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
