// Models faults after which a live worker or host looks gone: PROTOCOL.md,
// section "Service discovery", and DEPLOY.md, section "Network".

package scheduler

import (
	"errors"
	"fmt"
	"time"

	"chervilhollow/order"
)

type (
	// modelIsolation holds the cuts that refuse connections to workers that run
	// on, the cuts between single workers and the store, and the entries that
	// another writer keeps unreadable, each until a time.
	modelIsolation struct {
		world      *world
		refusals   map[modelPair]modelRefusal
		storeCuts  map[order.WorkerID]time.Time
		unreadable map[order.WorkerID]time.Time

		// open are the orders under way, which a reset ends.
		open []*carriage
	}

	// modelRefusal lasts until a time. It refuses all orders if it also reset
	// the connections that were open, and half of them otherwise.
	modelRefusal struct {
		until time.Time
		reset bool
	}
)

// modelAddressReuse is addrReuseS of the settings.
const modelAddressReuse = 2 * time.Second

// modelSettle is how long a release waits for the leases to be settled.
const modelSettle = 300 * time.Millisecond

func newIsolation(w *world) modelIsolation {
	return modelIsolation{
		world: w, refusals: make(map[modelPair]modelRefusal),
		storeCuts: make(map[order.WorkerID]time.Time), unreadable: make(map[order.WorkerID]time.Time),
	}
}

// run draws faults from time to time, beside those of the network.
func (i *modelIsolation) run() {
	w := i.world
	if !w.isolated {
		return
	}
	var next func()
	next = func() {
		if w.calm {
			return
		}
		i.fault()
		w.after(500*time.Millisecond+w.upTo(7*time.Second), next)
	}
	w.after(time.Second+w.upTo(5*time.Second), next)
}

func (i *modelIsolation) fault() {
	w := i.world
	m := i.victim()
	switch w.rand.IntN(10) {
	case 0, 1:
		i.refuseAfter(0, m)
	case 2, 3:
		i.cutStore(m)
		i.refuseAfter(w.upTo(5*time.Second), m)
	case 4:
		i.cutStore(m)
	case 5:
		i.overwrite(m)
		if w.chance(50) {
			i.refuseAfter(w.upTo(time.Second), m)
		}
	case 6:
		i.stopStore(5*time.Second + w.upTo(5*time.Second))
		for range 1 + w.rand.IntN(3) {
			i.refuseAfter(w.upTo(9*time.Second), i.victim())
		}
	case 7:
		w.owners[len(w.owners)-1].returnAfter("power lost", true, w.upTo(3500*time.Millisecond))
	case 8:
		o := w.owners[len(w.owners)-1]
		if w.chance(50) {
			o.returnAfter("steps down", false, w.upTo(300*time.Millisecond))
			return
		}
		o.release(w.now.Add(modelSettle))
	case 9:
		i.race()
	}
}

// victim returns a worker, often one that drains.
func (i *modelIsolation) victim() *modelWorker {
	w := i.world
	var up []*modelWorker
	draining := w.chance(40)
	for _, m := range w.workers {
		if draining && m.up && m.draining {
			return m
		}
		if m.up {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return w.workers[len(w.workers)-1]
	}
	return up[w.rand.IntN(len(up))]
}

// left returns the length, or less if all faults end before.
func (i *modelIsolation) left(length time.Duration) time.Duration {
	return max(0, min(length, exploreFaults-i.world.now.Sub(testStart)))
}

// refuseAfter makes a path refuse connections to the worker after the delay for 1
// to 10 s, from one zone or from all.
func (i *modelIsolation) refuseAfter(delay time.Duration, m *modelWorker) {
	w := i.world
	first, last := 0, exploreZones-1
	if w.chance(50) {
		first = w.rand.IntN(exploreZones)
		last = first
	}
	r := modelRefusal{reset: w.chance(70)}
	length := time.Second + w.upTo(9*time.Second)
	w.after(delay, func() {
		r.until = w.now.Add(i.left(length))
		w.trace("connections to %s from zones %d to %d refused until %.3f, reset %v", m.id, first, last, r.until.Sub(testStart).Seconds(), r.reset)
		for z := first; z <= last; z++ {
			i.refusals[modelPair{z, m.id}] = r
		}
		if r.reset {
			i.reset(first, last, m.id)
		}
	})
}

// refuses reports whether an order of the zone to the worker finds no open
// connection, and a new one is refused.
func (i *modelIsolation) refuses(zone int, id order.WorkerID) bool {
	r, ok := i.refusals[modelPair{zone, id}]
	return ok && i.world.now.Before(r.until) && (r.reset || i.world.chance(50))
}

// reset ends the orders under way from the zones. The worker may still carry them
// out.
func (i *modelIsolation) reset(first, last int, id order.WorkerID) {
	for _, c := range i.open {
		if c.to.worker == id && c.owner.zone >= first && c.owner.zone <= last {
			i.world.after(time.Millisecond, func() { c.settle(func() { c.fail(errCut) }) })
		}
	}
}

// watch records an order under way.
func (i *modelIsolation) watch(c *carriage) {
	n := 0
	for _, other := range i.open {
		if !other.settled {
			i.open[n] = other
			n++
		}
	}
	i.open = append(i.open[:n], c)
}

// refuse gives the owner the error of an order over a refused connection.
func (c *carriage) refuse() {
	c.network.world.after(time.Millisecond, func() {
		c.settle(func() { c.fail(errors.Join(ErrNotSent, ErrConnectionRefused)) })
	})
}

// cutStore cuts the worker off from the store, mostly until its entry has lapsed.
func (i *modelIsolation) cutStore(m *modelWorker) {
	w := i.world
	until := w.now.Add(i.left(time.Second + w.upTo(12*time.Second)))
	i.storeCuts[m.id] = until
	w.trace("worker %s cut off from the store until %.3f", m.id, until.Sub(testStart).Seconds())
}

// overwrite makes the worker's entry unreadable, until its next heartbeat or as
// long as the other writer goes on.
func (i *modelIsolation) overwrite(m *modelWorker) {
	w := i.world
	if !w.store.up {
		return
	}
	until := w.now
	if w.chance(50) {
		until = until.Add(i.left(w.upTo(8 * time.Second)))
	}
	i.unreadable[m.id] = until
	w.trace("entry of %s overwritten until %.3f", m.id, until.Sub(testStart).Seconds())
	w.discovery.drop(m.id)
	w.discovery.change(m.id, true)
}

// stopStore takes the store down for long enough for all entries to lapse.
func (i *modelIsolation) stopStore(length time.Duration) {
	w := i.world
	w.trace("store down")
	w.store.up = false
	w.after(i.left(length), func() {
		w.network.markDisturbed()
		w.trace("store up")
		w.store.up = true
	})
}

// hides reports whether the worker's heartbeats have no effect on its entry.
func (i *modelIsolation) hides(id order.WorkerID) bool {
	return i.world.now.Before(i.storeCuts[id]) || i.world.now.Before(i.unreadable[id])
}

// reuseAddress begins a worker at the address of one that has left, after the
// least time for that.
func (i *modelIsolation) reuseAddress(left *modelWorker) {
	w := i.world
	w.after(modelAddressReuse+w.upTo(4*time.Second), func() {
		next := &modelWorker{world: w, id: order.WorkerID(fmt.Sprintf("w%d", len(w.workers))), zone: left.zone, place: left.place}
		next.begin(left.address)
		w.workers = append(w.workers, next)
	})
}

// returnAfter ends the owner, and lets its host claim the cell again after the
// delay, also if another host has claimed it since. A new process gets no replies
// to the requests of the one before.
func (o *modelOwner) returnAfter(why string, newProcess bool, delay time.Duration) {
	w := o.world
	if o.dead {
		return
	}
	o.kill(why)
	o.processLost = newProcess
	w.after(delay, func() {
		if w.store.reached(o.zone) {
			w.claim(o.zone)
		}
	})
}

// release pauses the owner until its leases are settled or the time has come, and
// ends it. Another host claims then. After the last fault the owner goes on.
func (o *modelOwner) release(until time.Time) {
	w := o.world
	if o.dead || o.Scheduler == nil {
		return
	}
	if o.frozen(w.now) {
		w.after(o.frozenUntil.Sub(w.now), func() { o.release(until) })
		return
	}
	if w.calm {
		o.Handle(w.now, NewPauseMsg(false))
		return
	}
	o.Handle(w.now, NewPauseMsg(true))
	if !o.Settled(w.now) && w.now.Before(until) {
		w.after(5*time.Millisecond, func() { o.release(until) })
		return
	}
	o.released = o.Settled(w.now) && w.store.reached(o.zone)
	o.kill(fmt.Sprintf("releases the cell, settled %v", o.released))
	zone := w.rand.IntN(exploreZones)
	w.after(w.upTo(300*time.Millisecond), func() {
		if w.store.reached(zone) {
			w.claim(zone)
		}
	})
}

// race lets two hosts claim the cell within some milliseconds, although the owner
// reaches the store and the workers.
func (i *modelIsolation) race() {
	w := i.world
	for range 2 {
		zone := w.rand.IntN(exploreZones)
		w.after(w.upTo(10*time.Millisecond), func() {
			if w.store.reached(zone) {
				w.claim(zone)
			}
		})
	}
}
