// Models the workers of PROTOCOL.md, section "Running tasks".

package scheduler

import (
	"errors"
	"fmt"
	"time"

	"chervilhollow/order"
)

type (
	modelWorker struct {
		world   *world
		id      order.WorkerID
		zone    int
		address string

		// place is that of the first worker which this one replaces.
		place   int
		up      bool
		life    int64
		bornAt  time.Time
		rate    float64
		fence   order.Epoch
		lease   int64
		last    int64
		runs    []*modelRun
		ended   []*modelRun
		stopped map[TaskRef]int
		waiting []*heldPoll

		// busyUntil is how long the worker refuses starts, and drainListedAt when
		// the store first had the worker as draining.
		busyUntil     time.Time
		draining      bool
		drainListedAt time.Time
		gone          bool

		// entryWrittenAt is when the worker last wrote its entry, but for
		// heartbeats.
		entryWrittenAt time.Time
	}

	modelRun struct {
		worker  *modelWorker
		task    TaskRef
		run     int
		number  int64
		result  Result
		crashed bool
		lapsed  bool
		noted   bool
		notedAt time.Time
		endedAt time.Time
		epoch   order.Epoch
	}

	// heldPoll is a poll that waits for an end.
	heldPoll struct{ answer func() }

	// sender is what a worker's check needs to know of an order's way.
	sender struct {
		owner *modelOwner
		late  bool
	}
)

const (
	modelCapacity = 8000
	modelMaxHold  = 10 * time.Second
)

func newModelWorker(w *world, number int) *modelWorker {
	m := &modelWorker{world: w, id: order.WorkerID(fmt.Sprintf("w%d", number)), zone: number % exploreZones, place: number}
	m.begin(fmt.Sprintf("10.0.1.%d:80", number))
	m.bornAt = w.now.Add(-w.upTo(100 * time.Second))
	return m
}

// begin starts a life that knows nothing of an earlier one.
func (m *modelWorker) begin(address string) {
	m.up, m.address, m.bornAt = true, address, m.world.now
	m.life = max(m.life+1, m.world.now.UnixMilli())
	m.rate = 0.98 + float64(m.world.rand.IntN(20001))/1e6
	m.fence, m.lease, m.last = 0, 0, 0
	m.runs, m.ended, m.waiting, m.stopped = nil, nil, nil, make(map[TaskRef]int)
	m.world.trace("worker %s begins life %d at %s", m.id, m.life, address)
	m.world.discovery.register(m)
}

// crash ends the life. What it ran and said no longer counts.
func (m *modelWorker) crash() {
	m.world.trace("worker %s crashes", m.id)
	m.up = false
	for _, r := range m.runs {
		if r.result == 0 {
			r.result, r.crashed, r.endedAt = ResultLeaseExpired, true, m.world.now
			m.world.gangs.broken(r)
		}
	}
	m.runs, m.ended, m.waiting = nil, nil, nil
	m.draining, m.drainListedAt = false, time.Time{}
}

// leave ends a draining worker for good and begins another one in its place.
func (m *modelWorker) leave() {
	w := m.world
	if !m.up || !m.draining {
		return
	}
	m.crash()
	m.gone = true
	w.discovery.remove(m)
	if w.isolated && w.chance(30) {
		w.isolation.reuseAddress(m)
		return
	}
	next := newModelWorker(w, len(w.workers))
	next.place = m.place
	w.workers = append(w.workers, next)
}

func (m *modelWorker) clock() int64 {
	return 1 + int64(float64(m.world.now.Sub(m.bornAt).Milliseconds())*m.rate)
}

// extend takes a deadline of the worker's clock.
func (m *modelWorker) extend(deadline int64) {
	deadline = min(deadline, m.clock()+modelMaxHold.Milliseconds())
	if deadline > m.lease {
		m.lease = deadline
		m.watchLease()
	}
}

func (m *modelWorker) watchLease() {
	lease, life := m.lease, m.life
	left := time.Duration(float64(lease-m.clock()+1)/m.rate) * time.Millisecond
	m.world.after(left, func() {
		if m.up && m.life == life && m.lease == lease {
			m.lapse()
		}
	})
}

// lapse kills everything. Ends not taken note of before no longer count.
func (m *modelWorker) lapse() {
	for _, r := range m.ended {
		r.lapsed = true
	}
	for _, r := range m.runs {
		if r.result == 0 {
			m.end(r, ResultLeaseExpired)
		}
	}
}

func (m *modelWorker) refuse(reason Refusal) (int64, error) {
	return m.clock(), NewRefusedError(reason, m.clock())
}

func (m *modelWorker) start(o StartOrder, from sender) (int64, error) {
	if o.epoch < m.fence {
		return m.refuse(RefusedStaleEpoch)
	}
	m.fence = o.epoch
	if o.leaseEnd <= m.clock() {
		return m.refuse(RefusedLeaseExpired)
	}
	m.extend(o.leaseEnd)
	used := int64(0)
	for _, r := range m.runs {
		switch {
		case r.task == o.task && r.run == o.run && r.result == 0:
			return m.clock(), nil
		case r.task == o.task && r.run >= o.run:
			return m.refuse(RefusedKnownRun)
		case r.result == 0:
			used += m.world.clients.size(r.task)
		}
	}
	if m.stopped[o.task] >= o.run {
		return m.refuse(RefusedKnownRun)
	}
	if m.world.now.Before(m.busyUntil) {
		return m.refuse(RefusedBusy)
	}
	if !m.world.advice.accepts(m, o) {
		return m.refuse(RefusedTicket)
	}
	if m.world.guarded && used+m.world.clients.size(o.task) > modelCapacity {
		return m.refuse(RefusedNoCapacity)
	}
	r := &modelRun{worker: m, task: o.task, run: o.run, epoch: o.epoch}
	m.world.trace("worker %s starts run %d of %s for epoch %d, life %d, late %v", m.id, o.run, taskName(o.task), o.epoch, m.life, from.late)
	m.world.checks.started(r, from, used)
	m.runs = append(m.runs, r)
	if j := m.world.clients.byID[o.task.job]; j != nil && j.steps[o.task.step].Gang() {
		m.world.gangs.join(r, j.steps[o.task.step].Tasks())
		return m.clock(), nil
	}
	result := ResultDone
	if m.world.chance(8) {
		result = ResultFailed
	}
	if m.world.clients.isLasting(o.task) {
		if result == ResultFailed {
			m.world.after(m.world.upTo(2*exploreLongest), func() { m.end(r, result) })
		}
		return m.clock(), nil
	}
	m.world.after(50*time.Millisecond+m.world.upTo(exploreLongest-50*time.Millisecond), func() { m.end(r, result) })
	return m.clock(), nil
}

func (m *modelWorker) end(r *modelRun, result Result) {
	if r.result != 0 {
		return
	}
	m.last++
	r.result, r.number, r.endedAt = result, m.last, m.world.now
	m.world.trace("worker %s ends run %d of %s as %v, number %d", m.id, r.run, taskName(r.task), result, r.number)
	m.ended = append(m.ended, r)
	if result != ResultDone {
		m.world.gangs.broken(r)
	}
	waiting := m.waiting
	m.waiting = nil
	for _, p := range waiting {
		p.answer()
	}
}

func (m *modelWorker) stop(o StopOrder) (int64, error) {
	if o.epoch < m.fence {
		return m.refuse(RefusedStaleEpoch)
	}
	m.fence = o.epoch
	m.stopped[o.task] = max(m.stopped[o.task], o.run)
	for _, r := range m.runs {
		if r.task == o.task && r.run <= o.run && r.result == 0 {
			m.world.after(m.world.upTo(300*time.Millisecond), func() { m.end(r, ResultStopped) })
		}
	}
	return m.clock(), nil
}

// hold carries out a poll, and answers when an end is listed or the wait is over.
func (m *modelWorker) hold(o PollOrder, answer func(Report, error)) {
	if o.epoch < m.fence {
		_, err := m.refuse(RefusedStaleEpoch)
		answer(Report{}, err)
		return
	}
	m.fence = o.epoch
	if o.leaseEnd > m.clock() {
		m.extend(o.leaseEnd)
	}
	m.note(o.acked)
	if o.wait == 0 || len(m.ended) > 0 {
		answer(m.report(), nil)
		return
	}
	life, open := m.life, true
	p := &heldPoll{answer: func() {
		if open {
			open = false
			if m.up && m.life == life {
				answer(m.report(), nil)
			} else {
				answer(Report{}, errCut)
			}
		}
	}}
	m.waiting = append(m.waiting, p)
	m.world.after(o.wait, p.answer)
}

// note forgets the ends up to a number.
func (m *modelWorker) note(number int64) {
	for len(m.ended) > 0 && m.ended[0].number <= number {
		r := m.ended[0]
		r.noted, r.notedAt = true, m.world.now
		m.world.trace("worker %s forgets run %d of %s, lapsed %v", m.id, r.run, taskName(r.task), r.lapsed)
		m.ended = m.ended[1:]
	}
}

func (m *modelWorker) report() Report {
	var running []RunningTask
	for _, r := range m.runs {
		if r.result == 0 {
			running = append(running, NewRunningTask(r.task, r.run, "", int(m.world.now.Sub(testStart).Seconds())))
		}
	}
	var ended []EndedTask
	for _, r := range m.ended[:min(len(m.ended), m.world.pageSize)] {
		ended = append(ended, NewEndedTask(r.number, r.task, r.run, r.result, ""))
	}
	return NewReport(m.clock(), m.life, running, ended).WithMoreEnds(len(ended) == m.world.pageSize)
}

// workerAt returns the worker that gets an order, or the error of the order.
func (w *world) workerAt(to WorkerAddress) (*modelWorker, error) {
	for _, m := range w.workers {
		if m.up && m.address == to.address {
			if m.id != to.worker {
				return nil, NewRefusedError(RefusedIncarnation, 0)
			}
			return m, nil
		}
	}
	return nil, errors.Join(ErrNotSent, ErrConnectionRefused)
}
