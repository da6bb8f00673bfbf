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
			if e, ok := d.entries[m.id]; !ok || e.incarnation != life {
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
	info.domain = order.DomainName([]string{"quay", "mole", "pier"}[m.zone])
	d.entries[m.id] = info
	d.changes++
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
