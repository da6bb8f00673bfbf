package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
)

// drainedRun is a run on a draining worker whose entry was just changed.
type drainedRun struct {
	*driver
	start   StartCmd
	id      order.WorkerID
	running []RunningTask
}

func newDrainedRun(t *testing.T) drainedRun {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	r := drainedRun{driver: d, start: s, id: s.order.to.worker}
	r.running = []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}
	r.list(true)
	r.answerPoll(r.id, r.running, nil)
	return r
}

// list feeds a change of the worker's entry.
func (r drainedRun) list(draining bool) {
	entry := NewWorkersMsg([]WorkerInfo{workerInfo(r.id, 1).WithIncarnation(1, draining)}, nil, false)
	r.feed(entry.WithChangedAfter(r.now.Add(feedInterval), r.m.suspended))
}

// noSecondRun fails the test if the task starts again.
func (r drainedRun) noSecondRun() {
	r.t.Helper()
	if again, started := r.takeStart(); started {
		r.t.Errorf("run %d at %s while %s may run %d", again.order.run, again.order.to.worker, r.id, r.start.order.run)
	}
}

// failPolls fails each poll of the worker for a while.
func (r drainedRun) failPolls() {
	r.t.Helper()
	for range 4 {
		r.failOpenPoll(r.id, errCut)
		r.advance(300 * time.Millisecond)
	}
}

// Guards against a second run beside one that its worker reports once it is listed again, before the store confirms the ownership.
func TestNoRestartOfRunReportedByWorkerListedAgain(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	r.feed(deletion(r.id))
	r.failOpenPoll(r.id, errCut)
	r.advance(300 * time.Millisecond)
	r.unconfirmed = true
	r.failOpenPoll(r.id, errCut) // sent after the deletion: counts as an exit
	r.advance(20 * time.Millisecond)
	r.list(true)
	r.advance(2 * pollDelay)
	r.answerPoll(r.id, r.running, nil)
	r.unconfirmed = false
	r.advance(200 * time.Millisecond)
	r.noSecondRun()
}

// Guards against a worker that refuses a poll and counts as one that has exited.
func TestWorkerThatRefusesPollHasNotLeft(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	r.feed(deletion(r.id))
	for range 4 {
		r.failOpenPoll(r.id, NewRefusedError(RefusedBusy, 0))
		r.advance(300 * time.Millisecond)
	}
	r.noSecondRun()
}

// Guards against the exit of a worker's former life that counts for its next life.
func TestExitOfFormerLifeSaysNothingOfNextLife(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	r.feed(deletion(r.id))
	r.advance(2 * pollDelay)
	r.answerPollWith(r.id, NewReport(20, 2, r.running, nil)) // life 2 executed a later copy of the start
	for range 3 {
		r.advance(300 * time.Millisecond)
		r.failOpenPoll(r.id, errCut)
	}
	r.noSecondRun()
}

// Guards against an exit that ends a run whose start may still reach the worker's next life.
func TestExitDoesNotEndRunWithUnansweredCopy(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	r := drainedRun{driver: d, start: s, id: s.order.to.worker}
	r.list(true)
	r.answerStart(s, errCut)
	r.advance(300 * time.Millisecond)
	r.feed(deletion(r.id))
	r.failPolls()
	r.noSecondRun()
}

// Guards against a deletion that is judged before the owner knows how long its machine was suspended.
func TestDeletionFirstAfterSuspensionIsNoExit(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	r.now = r.now.Add(feedInterval)
	r.m.Handle(r.now, deletion(r.id)) // the order of the inputs in Runner.Run
	r.m.Handle(r.now, SuspendedMsg{total: 5 * time.Second})
	r.decide()
	r.failPolls()
	r.noSecondRun()
}

// Guards against a store that was down while the owner's machine was suspended and counts as steady.
func TestSuspensionCountsAsGapOfConfirmations(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	r.m.Handle(r.now, SuspendedMsg{total: 1500 * time.Millisecond})
	r.advance(20 * time.Millisecond) // the store confirms the ownership
	r.feed(deletion(r.id))
	r.failPolls()
	r.noSecondRun()
}

// Guards against a deletion of another writer's entry that counts as the worker's own.
func TestDeletionOfOverwrittenEntryIsNoExit(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	r.feed(NewWorkersMsg(nil, []order.WorkerID{r.id}, false))
	r.advance(200 * time.Millisecond)
	r.feed(deletion(r.id))
	r.failPolls()
	r.noSecondRun()
}

// Guards against a poll that was sent before the deletion of the entry, fails after it and counts as a sign of the exit.
func TestPollFromBeforeTheDeletionIsNoSignOfExit(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	p, ok := r.takePollOf(r.id)
	r.is.True(ok)
	sentAt := r.now
	r.feed(deletion(r.id))
	r.feed(PolledMsg{order: p.order, sentAt: sentAt, err: errCut})
	r.advance(200 * time.Millisecond)
	r.noSecondRun()
}

// Guards against a deletion that still counts once the worker is listed again.
func TestWorkerListedAgainHasNotLeft(t *testing.T) {
	r := newDrainedRun(t)
	r.advance(500 * time.Millisecond)
	r.feed(deletion(r.id))
	r.list(true)
	r.failPolls()
	r.noSecondRun()
}
