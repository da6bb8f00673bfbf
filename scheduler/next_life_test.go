package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
)

// A copy of a start may reach the next life of a worker although a report of the
// former life listed the run: the task must not start elsewhere beside it.
func TestNoSecondStartWhileCopyOfReportedStartIsUnderWay(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	running := []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}
	d.advance(2 * pollDelay)
	d.answerPoll("w1", running, nil)
	d.addWorkers("w2")
	d.restart("w1", running)
	d.feed(StartedMsg{order: s.order, err: errCut})
	d.advance(time.Second)
	_, ok = d.takeStart()
	d.is.True(!ok)
	_, ok = d.takeStop()
	d.is.True(!ok) // the next life runs it
}
