package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// endRun reports the end of a run to the scheduler, while all other runs of its
// worker make progress.
func (d *driver) endRun(s StartCmd, result Result) {
	d.t.Helper()
	w := d.m.workers[s.order.to.worker]
	var running []RunningTask
	for key := range w.attempts {
		if key.ref != s.order.task {
			running = append(running, NewRunningTask(key.ref, key.run, "", int(w.lastEnded)))
		}
	}
	d.advance(maxUnackedPollDelay + pollDelay)
	d.answerPoll(w.id, running, []EndedTask{NewEndedTask(w.lastEnded+1, s.order.task, s.order.run, result, "")})
	d.commitAll()
}

// startOn submits a job of one task, starts it on the worker, which is the only
// one with the label, and returns the start.
func (d *driver) startOn(number int, label string) StartCmd {
	d.t.Helper()
	d.submit(number, smallStep(1).WithLabel(label))
	d.commitAll()
	return d.takeStartOf(jobID(number))
}

// takeStartOf removes the next start of the job, confirms and returns it.
func (d *driver) takeStartOf(id order.JobID) StartCmd {
	d.t.Helper()
	for i, c := range d.commands {
		if s, ok := c.(StartCmd); ok && s.order.task.job == id {
			d.removeCommand(i)
			d.answerStart(s, nil)
			return s
		}
	}
	d.t.Fatalf("no start of %s", id)
	return StartCmd{}
}

// usable reports whether the worker may get new tasks.
func (d *driver) usable(w *worker) bool { return d.m.schedulable(d.now, w, "press") }

func (d *driver) cancel(number int) {
	d.feed(NewCallMsg("client", order.JobCallMsg{}.WithVerb(order.CancelJob).WithHost(testHost).
		WithPath("/proofs/"+string(jobID(number))).WithKey(testKey)))
	d.commitAll()
}

// newLabelledDriver returns a driver with workers that have their IDs as labels
// beside a common one.
func newLabelledDriver(t *testing.T, ids ...order.WorkerID) *driver {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers(ids...)
	for _, id := range ids {
		d.feed(NewWorkersMsg([]WorkerInfo{workerInfo(id, 1).WithLabels([]string{"a", string(id)})}, nil, false))
	}
	return d
}

// The failures of one job on all workers tell nothing about these.
func TestFailingJobDoesNotRestAllWorkers(t *testing.T) {
	d := newLabelledDriver(t, "w1", "w2", "w3")
	d.submit(1, smallStep(3).WithLasting(true).WithPerWorker(1))
	d.commitAll()
	for range 12 {
		d.endRun(d.takeStartOf(jobID(1)), ResultFailed)
	}
	for i, label := range []string{"w1", "w2", "w3"} {
		d.submit(2+i, smallStep(1).WithLabel(label))
	}
	d.commitAll()
	d.is.Equal(d.startedOf(jobID(2))+d.startedOf(jobID(3))+d.startedOf(jobID(4)), 3)
}

// A task may fail wherever it runs, even if others of its step are done.
func TestFailingTaskDoesNotRestWorkers(t *testing.T) {
	d := newLabelledDriver(t, "w1", "w2", "w3")
	d.submit(1, smallStep(2).WithPerWorker(1))
	d.commitAll()
	bad, good := d.takeStartOf(jobID(1)), d.takeStartOf(jobID(1))
	d.endRun(good, ResultDone)
	d.endRun(bad, ResultFailed)
	retry := d.takeStartOf(jobID(1))
	d.endRun(retry, ResultFailed)
	d.cancel(1)
	for i, start := range []StartCmd{bad, retry} {
		d.endRun(d.startOn(2+i, string(start.order.to.worker)), ResultFailed)
		d.is.True(d.usable(d.m.workers[start.order.to.worker])) // one failure of its own
	}
}

// A worker on which several jobs fail must rest, and longer each time.
func TestRestsWorkerThatFailsSeveralJobs(t *testing.T) {
	d := newLabelledDriver(t, "w1", "w2")
	for i := range 3 {
		d.endRun(d.startOn(i, "w1"), ResultFailed)
		d.cancel(i)
		if i == 0 {
			continue
		}
		d.submit(10+i, smallStep(1).WithLabel("w1"))
		d.commitAll()
		rest := minCooldown << (i - 1)
		d.advance(rest - time.Second)
		d.is.Equal(d.startedOf(jobID(10+i)), 0)
		d.advance(time.Second)
		s := d.takeStartOf(jobID(10 + i))
		d.cancel(10 + i)
		d.endRun(s, ResultStopped)
	}
}

// A worker that fails tasks of a step which are done elsewhere must rest.
func TestRestsWorkerThatFailsWhatOthersDo(t *testing.T) {
	d := newLabelledDriver(t, "w1", "w2")
	d.submit(1, smallStep(10).WithPerWorker(5))
	d.commitAll()
	var onFirst, onSecond []StartCmd
	for s, ok := d.takeStart(); ok; s, ok = d.takeStart() {
		d.answerStart(s, nil)
		if s.order.to.worker == "w1" {
			onFirst = append(onFirst, s)
		} else {
			onSecond = append(onSecond, s)
		}
	}
	d.endRun(onFirst[0], ResultFailed)
	d.endRun(onFirst[1], ResultFailed)
	d.is.True(d.usable(d.m.workers["w1"])) // the step may be at fault
	d.endRun(onSecond[0], ResultDone)
	d.is.True(!d.usable(d.m.workers["w1"]))
	d.advance(minCooldown)
	d.is.True(d.usable(d.m.workers["w1"]))
}

// A completed task ends the count of failures, but not the rest.
func TestCompletedTaskEndsCountOfFailures(t *testing.T) {
	d := newLabelledDriver(t, "w1")
	w := d.m.workers["w1"]
	var starts []StartCmd
	for i := range 4 {
		starts = append(starts, d.startOn(i, "w1"))
	}
	d.endRun(starts[0], ResultFailed)
	d.endRun(starts[1], ResultFailed)
	d.endRun(starts[2], ResultDone)
	d.is.True(!d.usable(w))
	d.advance(minCooldown)
	d.endRun(starts[3], ResultFailed)
	d.is.True(d.usable(w))
}
