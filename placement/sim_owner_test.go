package placement

import (
	"fmt"
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/sheet"

	"github.com/rs/zerolog"
)

// simOwner is a process that owns the group, or a former owner that has not
// noticed that its ownership expired. It executes the commands of a real
// machine.
type simOwner struct {
	s          *sim
	epoch      order.Epoch
	machine    *machine
	guardUntil time.Time
	renewing   bool
	paused     bool
	stopped    bool
	backlog    []func()
}

func newSimOwner(s *sim, epoch order.Epoch) *simOwner {
	o := &simOwner{s: s, epoch: epoch, renewing: true, guardUntil: s.now.Add(guardPeriod)}
	deps := NewDeps(nil, s.registry, zerolog.Nop()).
		WithGuard(o).
		WithConfig(func() *sheet.Config { return s.config }).
		WithWorkers(s.roster).
		WithPermit(func() bool { return true })
	o.machine = newMachine(simGroup, epoch, deps, s.now)
	o.tick()
	return o
}

// Remaining implements order.Guard.
func (o *simOwner) Remaining() time.Duration { return max(0, o.guardUntil.Sub(o.s.now)) }

func (o *simOwner) tick() {
	if o.stopped {
		return
	}
	if o.renewing && !o.paused {
		o.guardUntil = o.s.now.Add(guardPeriod)
	}
	o.deliver(tickEvent{})
	o.s.after(tickPeriod, o.tick)
}

// run calls fn at once, or when the process resumes from a pause.
func (o *simOwner) run(fn func()) {
	switch {
	case o.stopped:
	case o.paused:
		o.backlog = append(o.backlog, fn)
	default:
		fn()
	}
}

func (o *simOwner) resume() {
	o.paused = false
	backlog := o.backlog
	o.backlog = nil
	for _, fn := range backlog {
		fn()
	}
}

func (o *simOwner) deliver(ev event) {
	o.run(func() {
		for _, c := range append([]command{}, o.machine.step(o.s.now, ev)...) {
			o.execute(c)
		}
	})
}

func (o *simOwner) execute(c command) {
	switch c := c.(type) {
	case postCommand:
		o.s.send(func() { o.s.onPost(o, c.message) })
	case startCommand:
		o.start(c)
	case readAllotmentsCommand:
		o.s.after(o.s.delay(), func() { o.deliver(o.s.readAllotments()) })
	case closeClientCommand:
	default:
		o.executeCall(c)
	}
}

func (o *simOwner) start(c startCommand) {
	w := o.s.byID[c.worker]
	ref := dispatch.NewAttemptRef(c.start.Task().ID(), c.start.Attempt())
	check := func() error {
		err := checkStartAllowed(o.machine.deps, simGroup, c.worker)
		o.s.record(ref.Task(), "epoch %d sends start of attempt %d to %s: %v", o.epoch, ref.Attempt(), c.worker, err)
		return err
	}
	o.call(w, check, func() { o.s.checkStartSent(o, w, ref) }, time.Second, func() event {
		stamp, err := w.startTask(c.start)
		return startResult{worker: c.worker, ref: ref, stamp: stamp, err: err}
	}, func(err error) event {
		o.s.record(ref.Task(), "epoch %d receives %v for the start", o.epoch, err)
		return startResult{worker: c.worker, ref: ref, err: err}
	})
}

func (o *simOwner) executeCall(c command) {
	none := func() error { return nil }
	switch c := c.(type) {
	case listCommand:
		w := o.s.byID[c.worker]
		o.call(w, none, nil, time.Second, func() event {
			listing, err := w.list(o.epoch)
			return listResult{worker: c.worker, listing: listing, err: err}
		}, func(err error) event { return listResult{worker: c.worker, err: err} })
	case renewCommand:
		w := o.s.byID[c.worker]
		check := func() error { return checkGuard(o.machine.deps) }
		o.call(w, check, nil, time.Second, func() event {
			renewal, err := w.renew(o.epoch, c.stamp, c.refs)
			return renewResult{worker: c.worker, renewal: renewal, err: err}
		}, func(err error) event { return renewResult{worker: c.worker, err: err} })
	case pollCommand:
		o.poll(c)
	case ackCommand:
		w := o.s.byID[c.worker]
		o.call(w, none, nil, time.Second, func() event {
			w.ack(c.refs)
			return ackResult{worker: c.worker, refs: c.refs}
		}, func(err error) event { return ackResult{worker: c.worker, refs: c.refs, err: err} })
	case stopCommand:
		w := o.s.byID[c.worker]
		o.call(w, none, nil, time.Second, func() event {
			if w.spec.Fenced() && o.epoch < w.fence {
				return nil
			}
			w.stop(c.ref, c.checkpoint)
			return nil
		}, func(error) event { return nil })
	case usageCommand:
		w := o.s.byID[c.worker]
		o.call(w, none, nil, time.Second, func() event {
			return usageResult{worker: c.worker, uses: w.usage()}
		}, func(err error) event { return usageResult{worker: c.worker, err: err} })
	default:
		panic(fmt.Sprintf("unexpected command %T", c))
	}
}

// poll executes a long poll as a short one, which the machine repeats.
func (o *simOwner) poll(c pollCommand) {
	w := o.s.byID[c.worker]
	none := func() error { return nil }
	o.call(w, none, nil, time.Second, func() event {
		return pollResult{worker: c.worker, events: dispatch.NewEvents(w.stamp(), w.sequence, w.outcomes(c.after))}
	}, func(err error) event { return pollResult{worker: c.worker, err: err} })
}

// call sends a request that may be rejected by check, fail in the network, be
// lost in either direction, or be answered after the timeout.
func (o *simOwner) call(w *simWorker, check func() error, onSent func(), timeout time.Duration, handle func() event, onError func(error) event) {
	o.s.after(o.s.delay(), func() {
		o.run(func() {
			if err := check(); err != nil {
				o.answer(onError(fmt.Errorf("%w: %w", dispatch.ErrNotSent, err)))
				return
			}
			if w.disconnected && o.s.rng.IntN(2) == 0 {
				o.answer(onError(dispatch.ErrNotSent))
				return
			}
			if onSent != nil {
				onSent()
			}
			o.exchange(w, timeout, handle, onError)
		})
	})
}

func (o *simOwner) answer(ev event) {
	if ev != nil {
		o.deliver(ev)
	}
}

// exchange delivers a sent request to the worker and its answer back.
func (o *simOwner) exchange(w *simWorker, timeout time.Duration, handle func() event, onError func(error) event) {
	finished := false
	finish := func(ev event) {
		if !finished {
			finished = true
			o.answer(ev)
		}
	}
	o.s.after(timeout, func() { finish(onError(dispatch.ErrUncertain)) })
	o.s.transmit(w, func() {
		w.process(func() {
			ev := handle()
			o.s.transmit(w, func() { finish(ev) })
		})
	})
}

// transmit delivers a message unless the link to the worker is cut when it
// arrives.
func (s *sim) transmit(w *simWorker, fn func()) {
	s.send(func() {
		if !w.disconnected {
			fn()
		}
	})
}

func (s *sim) roster() []roster.Worker {
	list := make([]roster.Worker, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w.spec)
	}
	return list
}
