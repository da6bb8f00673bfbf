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
)

// register lets a life of a worker write its entry until it ends.
func (d *modelDiscovery) register(m *modelWorker) {
	life, seenAt := m.life, d.world.now
	var beat func()
	beat = func() {
		same := m.life == life
		if same && m.up && d.world.store.up && !d.world.network.workerStoreCut[m.zone] {
			seenAt = d.world.now
			if e, ok := d.entries[m.id]; !ok || e.incarnation != life || e.draining != m.draining {
				d.set(m)
			}
		}
		e, ok := d.entries[m.id]
		if ok && e.incarnation == life && d.world.now.Sub(seenAt) >= modelSilence {
			d.world.trace("entry of %s lapses", m.id)
			delete(d.entries, m.id)
			d.changes++
		}
		if same || ok && e.incarnation == life {
			d.world.after(modelHeartbeat, beat)
		}
	}
	d.world.after(d.world.upTo(500*time.Millisecond), beat)
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

// refresh writes the entry of a worker that reaches the store.
func (d *modelDiscovery) refresh(m *modelWorker) {
	if d.world.store.up && !d.world.network.workerStoreCut[m.zone] {
		d.set(m)
	}
}

// remove removes the entry of a worker that has left, if it reaches the store.
func (d *modelDiscovery) remove(m *modelWorker) {
	if _, ok := d.entries[m.id]; ok && d.world.store.up && !d.world.network.workerStoreCut[m.zone] {
		delete(d.entries, m.id)
		d.changes++
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
