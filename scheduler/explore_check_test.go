// Models the rules of RULES.md, section "Jobs": TWICE, UNASKED, REFUSED, LIMIT,
// ORDER, BUDGET, DRAIN, MIXED and LOST. QUOTA and EVAC stand with the operator.

package scheduler

import (
	"fmt"
	"time"

	"chervilhollow/order"
)

type (
	// checks records the rules that are broken, from what workers and clients
	// see.
	checks struct {
		world    *world
		tasks    map[TaskRef][]*modelRun
		suspects []suspect
		broken   []string
		starts   int
	}

	// suspect is a start that breaks a rule if enough of the earlier ends are
	// taken note of at some time.
	suspect struct {
		rule  string
		ends  []*modelRun
		least int
		text  string
	}
)

const (
	modelCancelBound  = 3 * time.Second
	modelVisibleBound = 3 * time.Second
	modelDrainBound   = 3 * time.Second
)

func newChecks(w *world) checks { return checks{world: w, tasks: make(map[TaskRef][]*modelRun)} }

func (c *checks) broke(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.world.trace("BROKEN %s", text)
	c.broken = append(c.broken, text)
}

// started checks a start that a worker is about to make beside runs of the used
// size.
func (c *checks) started(r *modelRun, from sender, used int64) {
	c.starts++
	c.twice(r, from)
	c.unasked(r, from)
	c.refused(r)
	c.world.operator.checkStart(r, from)
	c.drained(r, from)
	if used+c.world.clients.size(r.task) > modelCapacity {
		c.broke("LIMIT", "run %d of %s at %s beside %d", r.run, taskName(r.task), r.worker.id, used)
	}
	c.order(r)
	c.tasks[r.task] = append(c.tasks[r.task], r)
}

func (c *checks) twice(r *modelRun, from sender) {
	var failed []*modelRun
	inTouch := c.world.network.inTouch(from.owner) && !from.late
	for _, e := range c.tasks[r.task] {
		text := fmt.Sprintf("run %d of %s at %s by owner %d, run %d at %s by owner %d", r.run, taskName(r.task), r.worker.id, r.epoch, e.run, e.worker.id, e.epoch)
		switch {
		case e.result == 0:
			c.broke("TWICE", "%s runs", text)
		case e.result == ResultDone && !e.crashed:
			c.suspects = append(c.suspects, suspect{rule: "TWICE", ends: []*modelRun{e}, least: 1, text: text + " is done"})
			if e.noted && inTouch && c.world.now.Sub(e.notedAt) > time.Second {
				c.broke("TWICE", "%s was done and taken note of", text)
			}
		case e.result == ResultFailed && !e.crashed && !c.world.clients.isLasting(r.task):
			failed = append(failed, e)
		}
	}
	if len(failed) >= exploreAttempts {
		c.suspects = append(c.suspects, suspect{rule: "BUDGET", ends: failed, least: exploreAttempts, text: fmt.Sprintf("run %d of %s at %s", r.run, taskName(r.task), r.worker.id)})
	}
}

// unasked checks a start against the cancel of its job. UNASKED-OUT is the same
// for a machine out of touch, and UNASKED-410 for a cancel whose only answer was
// that there is no such job.
func (c *checks) unasked(r *modelRun, from sender) {
	j := c.world.clients.byID[r.task.job]
	if j == nil {
		c.broke("UNASKED", "run of unknown job %s", taskName(r.task))
		return
	}
	rule, since := "UNASKED", j.cancelledAt
	if since.IsZero() {
		rule, since = "UNASKED-410", j.goneAt
	}
	if since.IsZero() || from.late || c.world.now.Sub(since) <= modelCancelBound {
		return
	}
	if !c.world.network.inTouch(from.owner) {
		if rule == "UNASKED-410" {
			return
		}
		rule = "UNASKED-OUT"
	}
	c.broke(rule, "run %d of %s at %s by owner %d, cancelled %v before", r.run, taskName(r.task), r.worker.id, r.epoch, c.world.now.Sub(since))
}

// refused checks that the job of a start has a submission that was not refused.
func (c *checks) refused(r *modelRun) {
	if j := c.world.clients.byID[r.task.job]; j != nil && !j.accepted && j.open == 0 && j.unanswered == 0 {
		c.broke("REFUSED", "run %d of %s at %s, refused %d times", r.run, taskName(r.task), r.worker.id, j.refused)
	}
}

// drained checks a start on a worker that the store has had as draining.
func (c *checks) drained(r *modelRun, from sender) {
	since := r.worker.drainListedAt
	if !since.IsZero() && !from.late && c.world.now.Sub(since) > modelDrainBound && c.world.network.inTouch(from.owner) {
		c.broke("DRAIN", "run %d of %s at %s, draining for %v", r.run, taskName(r.task), r.worker.id, c.world.now.Sub(since))
	}
}

// waiting checks the answer how many jobs of a queue wait.
func (c *checks) waiting(o *modelOwner, route, answer int) {
	w := c.world
	r := w.operator.queues[route]
	if !w.network.inTouch(o) || !r.listed || w.now.Sub(r.listedAt) < modelConfigBound {
		return
	}
	count := 0
	for _, j := range w.clients.jobs {
		if j.route == route && j.accepted && w.now.Sub(j.acceptedAt) > modelVisibleBound+2*time.Second && !j.cancelled && !j.ended.Ended() && !c.begun(j) {
			count++
		}
	}
	if 2*answer < count {
		c.broke("MIXED", "queue %s has %d waiting jobs by owner %d, %d have begun nothing", r.path, answer, o.epoch, count)
	}
}

// begun reports whether any task of the job has had a run.
func (c *checks) begun(j *modelJob) bool {
	for step, s := range j.steps {
		for i := range s.Tasks() {
			if len(c.tasks[NewTaskRef(j.id, 0, step, i)]) > 0 {
				return true
			}
		}
	}
	return false
}

// unknown checks the answer that there is no such job.
func (c *checks) unknown(j *modelJob, o *modelOwner) {
	if !j.cancelled && c.world.now.Sub(j.acceptedAt) > modelVisibleBound && c.world.network.inTouch(o) {
		c.broke("LOST", "job %s is unknown to owner %d", taskName(TaskRef{job: j.id}), o.epoch)
	}
}

func (c *checks) order(r *modelRun) {
	j := c.world.clients.byID[r.task.job]
	if j == nil {
		return
	}
	for _, before := range j.steps[r.task.step].After() {
		for i := range j.steps[before].Tasks() {
			if t := NewTaskRef(r.task.job, r.task.occurrence, before, i); !c.done(t) {
				c.broke("ORDER", "run %d of %s before %s is done", r.run, taskName(r.task), taskName(t))
			}
		}
	}
}

// done reports whether any run of the task has ended done, or one of any member
// of its gang.
func (c *checks) done(t TaskRef) bool {
	for _, member := range c.world.clients.members(t) {
		for _, r := range c.tasks[member] {
			if r.result == ResultDone {
				return true
			}
		}
	}
	return false
}

// failures returns how many runs of the task, or of its gang, have failed.
func (c *checks) failures(t TaskRef) int {
	failed := make(map[int]bool)
	for _, member := range c.world.clients.members(t) {
		for _, r := range c.tasks[member] {
			if r.result == ResultFailed {
				failed[r.run] = true
			}
		}
	}
	return len(failed)
}

// shown checks the end of a job that a client was shown.
func (c *checks) shown(j *modelJob) {
	most, open := 0, 0
	for step, s := range j.steps {
		for i := range s.Tasks() {
			t := NewTaskRef(j.id, 0, step, i)
			most = max(most, c.failures(t))
			if !c.done(t) {
				open++
			}
		}
	}
	switch {
	case j.ended == order.JobCompleted && open > 0:
		c.broke("MIXED", "job %s shown as completed, %d tasks not done", taskName(TaskRef{job: j.id}), open)
	case j.ended == order.JobFailed && most < exploreAttempts:
		c.broke("LOST", "job %s shown as failed after %d failures of a task", taskName(TaskRef{job: j.id}), most)
	case j.ended == order.JobCancelled && !j.cancelled:
		c.broke("LOST", "job %s shown as cancelled", taskName(TaskRef{job: j.id}))
	}
}

func (c *checks) finish() {
	for _, s := range c.suspects {
		noted := 0
		for _, e := range s.ends {
			if e.noted && !e.lapsed {
				noted++
			}
		}
		if noted >= s.least {
			c.broke(s.rule, "%s", s.text)
		}
	}
	for _, j := range c.world.clients.jobs {
		if j.accepted && !j.ended.Ended() {
			c.broke("LOST", "job %s was accepted and has not ended", taskName(TaskRef{job: j.id}))
		}
	}
}
