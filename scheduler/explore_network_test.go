// Models the disruptions of RULES.md, sections "In touch" and "Faults", and the
// late orders of PROTOCOL.md, section "Running tasks".

package scheduler

import (
	"time"

	"chervilhollow/order"
)

type (
	modelNetwork struct {
		world *world
		lossy bool

		// ordersLate makes half of the orders go without a response.
		ordersLate bool

		// orderCut is by the zones of owner and worker, answerCut the other way
		// back, and pairCut by the owner's zone and the worker.
		orderCut       [exploreZones][exploreZones]bool
		answerCut      [exploreZones][exploreZones]bool
		pairCut        map[modelPair]bool
		storeCut       [exploreZones]bool
		workerStoreCut [exploreZones]bool

		// disturbedAt is the last moment at which a zone was disturbed, or the
		// store if it was.
		disturbedAt [exploreZones]time.Time
	}

	// carriage is the way of one order to a worker. The worker carries out a late
	// one without an answer, and the answer to a lost one is lost.
	carriage struct {
		network *modelNetwork
		owner   *modelOwner
		to      WorkerAddress
		arrive  func(*modelWorker, sender, func(func()))
		fail    func(error)
		late    bool
		lost    bool
		settled bool
	}

	modelPair struct {
		zone   int
		worker order.WorkerID
	}
)

const modelContact = 3 * time.Second

func newNetwork(w *world) modelNetwork {
	return modelNetwork{world: w, lossy: w.chance(75), pairCut: make(map[modelPair]bool)}
}

// run draws faults one after the other, and ends all of them at last.
func (n *modelNetwork) run() {
	w := n.world
	var next func()
	next = func() {
		n.heal()
		if w.now.Sub(testStart) >= exploreFaults {
			w.calm, n.lossy = true, false
			w.trace("faults end")
			return
		}
		n.fault()
		left := exploreFaults - w.now.Sub(testStart)
		length := 500*time.Millisecond + w.upTo(9*time.Second)
		if w.chance(20) {
			length += 10 * time.Second
		}
		w.after(min(left, length), next)
	}
	w.after(2*time.Second+w.upTo(4*time.Second), next)
	n.restartWorkers()
}

func (n *modelNetwork) heal() {
	n.world.trace("network whole")
	n.markDisturbed()
	n.orderCut, n.answerCut = [exploreZones][exploreZones]bool{}, [exploreZones][exploreZones]bool{}
	n.storeCut, n.workerStoreCut = [exploreZones]bool{}, [exploreZones]bool{}
	clear(n.pairCut)
	n.ordersLate = false
	s := &n.world.store
	s.up, s.noReads, s.noWrites = true, [exploreZones]bool{}, [exploreZones]bool{}
}

// markDisturbed records which zones the present faults disturb.
func (n *modelNetwork) markDisturbed() {
	s := &n.world.store
	for z := range exploreZones {
		if !s.up || n.storeCut[z] || s.noReads[z] || s.noWrites[z] {
			n.disturbedAt[z] = n.world.now
		}
	}
}

// inTouch reports whether the machine of an owner is in touch.
func (n *modelNetwork) inTouch(o *modelOwner) bool {
	n.markDisturbed()
	return n.world.now.Sub(n.disturbedAt[o.zone]) > modelContact && n.world.now.Sub(o.frozenUntil) > modelContact
}

func (n *modelNetwork) fault() {
	w := n.world
	z := w.rand.IntN(exploreZones)
	kinds := 8
	if w.extended {
		kinds = 10
	}
	switch w.rand.IntN(kinds) {
	case 0:
		w.trace("no fault")
	case 1, 2:
		n.cutZone(z)
	case 3:
		n.cutAny()
	case 4:
		worker := w.workers[w.rand.IntN(exploreWorkers)].id
		n.pairCut[modelPair{z, worker}] = true
		w.trace("cut between zone %d and %s", z, worker)
	case 5:
		to := w.rand.IntN(exploreZones)
		n.answerCut[z][to] = true
		w.trace("cut of answers to zone %d from %d", z, to)
	case 6:
		w.store.up = false
		w.trace("store down")
	case 7:
		w.store.noReads[z] = w.chance(50)
		w.store.noWrites[z] = !w.store.noReads[z]
		w.trace("store refuses zone %d, reads %v, writes %v", z, w.store.noReads[z], w.store.noWrites[z])
	case 8:
		n.ordersLate = true
		w.trace("half of the orders are carried out late")
	case 9:
		m := w.workers[w.rand.IntN(len(w.workers))]
		m.busyUntil = w.now.Add(w.upTo(8 * time.Second))
		w.trace("worker %s refuses starts", m.id)
	}
}

func (n *modelNetwork) cutZone(z int) {
	linked := n.world.rand.IntN(2 * exploreZones)
	for other := range exploreZones {
		if other != z && other != linked {
			n.orderCut[z][other], n.orderCut[other][z] = true, true
		}
	}
	n.storeCut[z], n.workerStoreCut[z] = true, true
	n.world.trace("zone %d cut off, but for zone %d", z, linked)
}

func (n *modelNetwork) cutAny() {
	for z := range exploreZones {
		n.storeCut[z], n.workerStoreCut[z] = n.world.chance(33), n.world.chance(33)
		for other := range exploreZones {
			n.orderCut[z][other] = n.world.chance(33)
		}
	}
	n.world.trace("cuts: orders %v, store %v, workers' store %v", n.orderCut, n.storeCut, n.workerStoreCut)
}

// restartWorkers crashes workers, which start again under the same ID at the
// same address or another.
func (n *modelNetwork) restartWorkers() {
	w := n.world
	var next func()
	next = func() {
		if w.calm {
			return
		}
		m := w.workers[w.rand.IntN(len(w.workers))]
		if m.up && !m.draining {
			m.crash()
			address := m.address
			if w.chance(30) {
				address += "0"
			}
			w.after(50*time.Millisecond+w.upTo(4*time.Second), func() {
				if !m.gone {
					m.begin(address)
				}
			})
		}
		w.after(time.Second+w.upTo(20*time.Second), next)
	}
	if w.chance(60) {
		w.after(w.upTo(20*time.Second), next)
	}
}

// replaceWorkers drains workers, which leave and are replaced by others.
func (w *world) replaceWorkers() {
	if !w.extended {
		return
	}
	var next func()
	next = func() {
		if w.calm {
			return
		}
		if m := w.workers[w.rand.IntN(len(w.workers))]; m.up && !m.draining {
			m.draining = true
			w.trace("worker %s drains", m.id)
			w.discovery.refresh(m)
			length := 2*time.Second + w.upTo(4*time.Second)
			if w.isolated && w.chance(40) {
				length += w.upTo(10 * time.Second)
			}
			w.after(length, func() { m.leave() })
		}
		w.after(2*time.Second+w.upTo(12*time.Second), next)
	}
	w.after(w.upTo(10*time.Second), next)
}

// carry brings an order to a worker. The owner hears the answer, or the error of
// the order after the timeout.
func (n *modelNetwork) carry(o *modelOwner, to WorkerAddress, timeout time.Duration, arrive func(*modelWorker, sender, func(func())), fail func(error)) {
	w := n.world
	c := &carriage{network: n, owner: o, to: to, fail: fail, arrive: arrive}
	w.after(timeout, func() { c.settle(func() { fail(errCut) }) })
	if c.cut() {
		if w.chance(50) {
			w.after(timeout-time.Millisecond, func() { c.settle(func() { fail(ErrNotSent) }) })
		}
		return
	}
	if w.isolated {
		if w.isolation.refuses(o.zone, to.worker) {
			c.refuse()
			return
		}
		w.isolation.watch(c)
	}
	delay := time.Millisecond + w.upTo(7*time.Millisecond)
	if n.lossy {
		switch p := w.rand.IntN(100); {
		case p < 3:
			c.late, delay = true, w.upTo(4*time.Second)
		case p < 5:
			return
		case p < 8:
			delay += w.upTo(150 * time.Millisecond)
		}
		c.lost = w.chance(2)
	}
	if n.ordersLate && w.chance(50) {
		c.late, delay = true, 2*time.Second+w.upTo(10*time.Second)
	}
	if c.late {
		c.deliverLate(delay)
		return
	}
	w.after(delay, c.deliver)
}

// deliverLate lets the worker that is there now carry out the order later, if it
// still lives.
func (c *carriage) deliverLate(delay time.Duration) {
	receiver, _ := c.network.world.workerAt(c.to)
	if receiver == nil {
		return
	}
	life := receiver.life
	c.network.world.after(delay, func() {
		if receiver.up && receiver.life == life {
			c.deliver()
		}
	})
}

// zone returns the zone of the worker that gets the order.
func (c *carriage) zone() int {
	if m := c.network.world.worker(c.to.worker); m != nil {
		return m.zone
	}
	return 0
}

func (c *carriage) cut() bool {
	return c.network.orderCut[c.owner.zone][c.zone()] || c.network.pairCut[modelPair{c.owner.zone, c.to.worker}]
}

// settle gives the owner the first result.
func (c *carriage) settle(result func()) {
	if !c.settled {
		c.settled = true
		result()
	}
}

func (c *carriage) deliver() {
	w := c.network.world
	m, err := w.workerAt(c.to)
	if err != nil {
		w.after(time.Millisecond, func() { c.settle(func() { c.fail(err) }) })
		return
	}
	c.arrive(m, sender{c.owner, c.late}, func(result func()) {
		if c.late || c.lost || c.cut() || c.network.answerCut[c.owner.zone][c.zone()] {
			return
		}
		delay := time.Millisecond + w.upTo(7*time.Millisecond)
		if w.extended && c.network.lossy && w.chance(5) {
			// Answers on other connections overtake it.
			delay += w.upTo(500 * time.Millisecond)
		}
		w.after(delay, func() { c.settle(result) })
	})
}
