// Models the clients of PROTOCOL.md, section "Jobs".

package scheduler

import (
	"time"

	"chervilhollow/order"
)

type (
	modelClients struct {
		world    *world
		jobs     []*modelJob
		byID     map[order.JobID]*modelJob
		calls    map[uint64]modelCall
		lastCall uint64
	}

	modelJob struct {
		id          order.JobID
		steps       []order.JobStep
		accepted    bool
		acceptedAt  time.Time
		cancelled   bool
		cancelledAt time.Time
		ended       order.JobState

		// goneAt is when a cancel was first answered that there is no such job.
		goneAt time.Time
	}

	modelCall struct {
		job  *modelJob
		verb order.JobVerb
		open bool
	}
)

const modelPatience = 2 * time.Second

func newClients(w *world) modelClients {
	return modelClients{world: w, byID: make(map[order.JobID]*modelJob), calls: make(map[uint64]modelCall)}
}

func (c *modelClients) run() {
	w := c.world
	var next func()
	next = func() {
		if w.now.Sub(testStart) > exploreSubmits {
			return
		}
		c.submit()
		w.after(200*time.Millisecond+w.upTo(1500*time.Millisecond), next)
	}
	w.after(time.Second, next)
}

// submit hands in a job, which may be cancelled later or handed in twice.
func (c *modelClients) submit() {
	w := c.world
	j := &modelJob{id: jobID(len(c.jobs))}
	cpu := order.MilliCores(500 + 500*w.rand.IntN(6))
	j.steps = []order.JobStep{exploreStep(1+w.rand.IntN(8), cpu)}
	if w.chance(60) {
		j.steps = append(j.steps, exploreStep(1+w.rand.IntN(4), cpu).WithAfter([]int{0}))
	}
	c.jobs, c.byID[j.id] = append(c.jobs, j), j
	c.call(j, order.SubmitJob)
	if w.chance(25) {
		w.after(w.upTo(6*time.Second), func() { c.call(j, order.SubmitJob) })
	}
	if w.chance(25) {
		w.after(500*time.Millisecond+w.upTo(8*time.Second), func() { c.cancel(j) })
	}
	w.after(5*time.Second, func() { c.ask(j) })
}

func exploreStep(tasks int, cpu order.MilliCores) order.JobStep {
	return order.JobStep{}.WithTasks(tasks).WithSize(order.NewResources(cpu, 1<<20, 0)).WithEstimate(time.Second)
}

func (c *modelClients) cancel(j *modelJob) {
	if j.accepted && !j.ended.Ended() {
		j.cancelled = true
		c.call(j, order.CancelJob)
	}
}

// ask asks for the state of a job until it has ended.
func (c *modelClients) ask(j *modelJob) {
	if j.ended.Ended() {
		return
	}
	if j.accepted {
		c.call(j, order.JobStatus)
	}
	c.world.after(time.Second+c.world.upTo(time.Second), func() { c.ask(j) })
}

// call sends a call to an owner, and again after no answer.
func (c *modelClients) call(j *modelJob, verb order.JobVerb) {
	w := c.world
	c.lastCall++
	number := c.lastCall
	c.calls[number] = modelCall{job: j, verb: verb, open: true}
	o := w.owners[len(w.owners)-1]
	if len(w.owners) > 1 && w.chance(10) {
		o = w.owners[len(w.owners)-2]
	}
	w.after(time.Millisecond+w.upTo(10*time.Millisecond), func() {
		o.handle(NewCallMsg("client", order.JobCallMsg{}.WithCall(number).WithVerb(verb).WithHost(testHost).
			WithPath("/proofs/"+string(j.id)).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps(j.steps))))
	})
	w.after(modelPatience, func() {
		if c.calls[number].open && verb != order.JobStatus {
			delete(c.calls, number)
			c.call(j, verb)
		}
	})
}

// reply takes the answer of an owner.
func (c *modelClients) reply(o *modelOwner, r order.JobReplyMsg) {
	w := c.world
	call, ok := c.calls[r.Call()]
	if !ok || !call.open {
		return
	}
	call.open = false
	c.calls[r.Call()] = call
	j := call.job
	switch call.verb {
	case order.SubmitJob:
		if r.Code() == order.Done && !j.accepted {
			j.accepted, j.acceptedAt = true, w.now
			w.trace("job %s accepted by owner %d", taskName(TaskRef{job: j.id}), o.epoch)
		} else if r.Code() != order.Done && !j.accepted && !w.calm {
			w.after(time.Second, func() { c.call(j, order.SubmitJob) })
		}
	case order.CancelJob:
		c.cancelReply(o, j, r)
	case order.JobStatus:
		if r.Code() == order.Done && r.State().Ended() && !j.ended.Ended() {
			j.ended = r.State()
			w.trace("job %s shown as %v by owner %d", taskName(TaskRef{job: j.id}), r.State(), o.epoch)
			w.checks.shown(j)
		}
		if r.Code() == order.UnknownRequest {
			w.checks.unknown(j, o)
		}
	}
}

func (c *modelClients) cancelReply(o *modelOwner, j *modelJob, r order.JobReplyMsg) {
	w := c.world
	switch {
	case r.Code() == order.Done || r.Code() == order.UnknownRequest:
		if r.Code() == order.Done && j.cancelledAt.IsZero() {
			j.cancelledAt = w.now
		}
		if r.Code() == order.UnknownRequest && j.goneAt.IsZero() {
			j.goneAt = w.now
		}
		w.trace("cancel of job %s acknowledged by owner %d, code %v", taskName(TaskRef{job: j.id}), o.epoch, r.Code())
	default:
		w.after(time.Second, func() { c.call(j, order.CancelJob) })
	}
}

// settled reports whether each accepted job has ended as far as clients see.
func (c *modelClients) settled() bool {
	for _, j := range c.jobs {
		if j.accepted && !j.ended.Ended() {
			return false
		}
	}
	return true
}

// size returns what a task needs, in thousandths of a core.
func (c *modelClients) size(t TaskRef) int64 {
	if j := c.byID[t.job]; j != nil && t.step < len(j.steps) {
		return int64(j.steps[t.step].Size().Cores())
	}
	return 0
}
