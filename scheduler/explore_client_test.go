// Models the clients of PROTOCOL.md, section "Jobs".

package scheduler

import (
	"time"

	"chervilhollow/order"
)

type (
	modelClients struct {
		world *world
		jobs  []*modelJob
		byID  map[order.JobID]*modelJob
		calls map[uint64]modelCall

		// counts has the queue of each question how many jobs wait there.
		counts   map[uint64]int
		lastCall uint64
	}

	modelJob struct {
		id          order.JobID
		steps       []order.JobStep
		route       int
		key         string
		accepted    bool
		acceptedAt  time.Time
		cancelled   bool
		cancelledAt time.Time
		ended       order.JobState

		// goneAt is when a cancel was first answered that there is no such job.
		goneAt time.Time

		// open counts the submissions without an answer yet, unanswered those
		// that never got one, and refused those that were refused.
		open, unanswered, refused int
	}

	modelCall struct {
		job  *modelJob
		verb order.JobVerb
		open bool
	}
)

const (
	modelPatience = 2 * time.Second

	// modelResend is when an entry host repeats a call without an answer, and
	// modelMessageAge how long a message may wait in the queue of a link.
	modelResend     = 700 * time.Millisecond
	modelMessageAge = 2 * time.Second

	// exploreLastingChecked is how long after the last fault each lasting task
	// must have a run, or must have had one within modelRestartBound.
	exploreLastingChecked = 18 * time.Second
	modelRestartBound     = 9 * time.Second
)

func newClients(w *world) modelClients {
	return modelClients{world: w, byID: make(map[order.JobID]*modelJob), calls: make(map[uint64]modelCall), counts: make(map[uint64]int)}
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
	if w.extended {
		w.after(4*time.Second, c.askWaiting)
	}
}

// submit hands in a job, which may be cancelled later or handed in twice.
func (c *modelClients) submit() {
	w := c.world
	j := &modelJob{id: jobID(len(c.jobs)), key: testKey}
	cpu := order.MilliCores(500 + 500*w.rand.IntN(6))
	j.steps = []order.JobStep{exploreStep(1+w.rand.IntN(8), cpu)}
	if w.chance(60) {
		j.steps = append(j.steps, exploreStep(1+w.rand.IntN(4), cpu).WithAfter([]int{0}))
	}
	if w.extended {
		c.extend(j, cpu)
	}
	c.jobs, c.byID[j.id] = append(c.jobs, j), j
	w.trace("job %s of %s for %s: %d tasks of %v, gang %v, lasting %v", taskName(TaskRef{job: j.id}), j.key, w.operator.queues[j.route].path,
		j.steps[0].Tasks(), cpu, j.steps[0].Gang(), j.lasting())
	c.call(j, order.SubmitJob)
	if w.chance(25) {
		w.after(w.upTo(6*time.Second), func() { c.call(j, order.SubmitJob) })
	}
	if w.chance(25) {
		w.after(500*time.Millisecond+w.upTo(8*time.Second), func() { c.cancel(j) })
	}
	w.after(5*time.Second, func() { c.ask(j) })
}

// askWaiting asks an owner how many jobs of a queue wait, from time to time.
func (c *modelClients) askWaiting() {
	w := c.world
	route, o := w.rand.IntN(len(w.operator.queues)), w.owners[len(w.owners)-1]
	c.lastCall++
	c.counts[c.lastCall] = route
	o.handle(NewCallMsg("client", order.JobCallMsg{}.WithCall(c.lastCall).WithVerb(order.CountWaiting).WithHost(testHost).
		WithPath(w.operator.queues[route].path).WithKey(testKey)))
	w.after(200*time.Millisecond+w.upTo(800*time.Millisecond), c.askWaiting)
}

// extend gives a job one of the further kinds.
func (c *modelClients) extend(j *modelJob, cpu order.MilliCores) {
	w := c.world
	j.route = w.rand.IntN(len(w.operator.queues))
	if w.chance(40) {
		j.key = secondKey
	}
	switch w.rand.IntN(8) {
	case 0, 1:
		j.steps[0] = exploreStep(2+w.rand.IntN(4), cpu).WithGang(true)
	case 2:
		j.steps = []order.JobStep{exploreStep(1+w.rand.IntN(2), 500).WithLasting(true)}
		w.after(exploreFaults+exploreLastingChecked-w.now.Sub(testStart), func() { c.checkLasting(j) })
	}
}

// lasting reports whether the tasks of the job last until it is cancelled.
func (j *modelJob) lasting() bool { return j.steps[0].Lasting() }

// checkLasting checks that each task of a lasting job has a run, and cancels it.
func (c *modelClients) checkLasting(j *modelJob) {
	w := c.world
	if !j.accepted || j.cancelled || j.ended.Ended() {
		return
	}
	for i := range j.steps[0].Tasks() {
		t := NewTaskRef(j.id, 0, 0, i)
		running := false
		for _, r := range w.checks.tasks[t] {
			// A run that has just failed has some time to start again.
			running = running || r.result == 0 || w.now.Sub(r.endedAt) < modelRestartBound
		}
		if !running {
			w.checks.broke("LOST", "task %s has no run", taskName(t))
		}
	}
	c.cancel(j)
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
	key := testKey
	if verb == order.SubmitJob {
		key = j.key
		j.open++
	}
	path := w.operator.path(j, verb)
	o := w.owners[len(w.owners)-1]
	if len(w.owners) > 1 && w.chance(10) {
		o = w.owners[len(w.owners)-2]
	}
	msg := NewCallMsg("client", order.JobCallMsg{}.WithCall(number).WithVerb(verb).WithHost(testHost).
		WithPath(path+string(j.id)).WithKey(key).WithSpec(order.JobSpec{}.WithSteps(j.steps)))
	w.after(time.Millisecond+w.upTo(10*time.Millisecond), func() { o.handle(msg) })
	if w.extended {
		w.after(modelResend, func() { c.resend(number, msg) })
	}
	w.after(modelPatience, func() {
		if c.calls[number].open && verb != order.JobStatus {
			delete(c.calls, number)
			if verb == order.SubmitJob {
				j.open, j.unanswered = j.open-1, j.unanswered+1
			}
			c.call(j, verb)
		}
	})
}

// resend sends a copy of a call without an answer to the present owner, as an
// entry host does. It may wait in the queue of a link.
func (c *modelClients) resend(number uint64, msg CallMsg) {
	w := c.world
	if !c.calls[number].open {
		return
	}
	delay := time.Millisecond + w.upTo(10*time.Millisecond)
	if w.network.lossy && w.chance(20) {
		delay += w.upTo(modelMessageAge)
	}
	o := w.owners[len(w.owners)-1]
	w.after(delay, func() { o.handle(msg) })
	w.after(modelResend, func() { c.resend(number, msg) })
}

// reply takes the answer of an owner.
func (c *modelClients) reply(o *modelOwner, r order.JobReplyMsg) {
	w := c.world
	if route, ok := c.counts[r.Call()]; ok && r.Code() == order.Done {
		w.checks.waiting(o, route, r.Waiting())
		return
	}
	call, ok := c.calls[r.Call()]
	if !ok || !call.open {
		return
	}
	if w.extended && r.Code() != order.Done && o != w.owners[len(w.owners)-1] {
		// An entry host drops the refusal of a former owner.
		return
	}
	call.open = false
	c.calls[r.Call()] = call
	j := call.job
	switch call.verb {
	case order.SubmitJob:
		j.countSubmission(r.Code())
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

// countSubmission counts a submission that was answered.
func (j *modelJob) countSubmission(code order.Code) {
	j.open--
	switch code {
	case order.Done:
	case order.OutcomeUnknown:
		j.unanswered++
	default:
		j.refused++
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

// members returns the task, or all tasks of its gang.
func (c *modelClients) members(t TaskRef) []TaskRef {
	j := c.byID[t.job]
	if j == nil || !j.steps[t.step].Gang() {
		return []TaskRef{t}
	}
	var members []TaskRef
	for i := range j.steps[t.step].Tasks() {
		members = append(members, NewTaskRef(t.job, t.occurrence, t.step, i))
	}
	return members
}

// isLasting reports whether the task lasts until its job is cancelled.
func (c *modelClients) isLasting(t TaskRef) bool {
	j := c.byID[t.job]
	return j != nil && j.lasting()
}
