package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
)

// Guards against a second run beside one that its worker reports again before the store confirms the ownership.
func TestNoRestartOfRunReportedBeforeConfirmation(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	d.addWorkers("w2")
	running := []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}
	d.advance(2 * pollDelay)
	d.answerPoll("w1", running, nil)
	d.unconfirmed = true
	d.advance(20 * time.Millisecond)
	for _, a := range d.m.workers["w1"].attempts {
		d.m.requeueConfirmed(d.now, a, "wrong conclusion")
	}
	d.advance(2 * pollDelay)
	d.answerPoll("w1", running, nil)
	d.unconfirmed = false
	d.advance(200 * time.Millisecond)
	if again, started := d.takeStart(); started {
		t.Errorf("run %d of %v at %s while w1 reports run %d", again.order.run, again.order.task, again.order.to.worker, s.order.run)
	}
}
