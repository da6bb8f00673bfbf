package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
)

// A draining worker that reports after its removal from the discovery has not left, and its runs must not start again.
func TestDrainingWorkerThatReportsAfterRemovalKeepsItsRuns(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	d.addWorkers("w2")
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1).WithIncarnation(1, true)}, nil, false))
	d.feed(NewWorkersMsg(nil, []order.WorkerID{"w1"}, false))
	running := []RunningTask{NewRunningTask(s.order.task, 1, "", 10)}
	for range 3 {
		d.advance(200 * time.Millisecond)
		d.answerPoll("w1", running, nil)
	}
	d.advance(200 * time.Millisecond)
	p, ok := d.takePollOf("w1")
	d.is.True(ok)
	d.feed(PolledMsg{order: p.order, sentAt: d.now, err: ErrNotSent})
	d.advance(100 * time.Millisecond)
	if again, started := d.takeStart(); started {
		t.Errorf("run %d of %v at %s while run 1 is at w1", again.order.run, again.order.task, again.order.to.worker)
	}
}

// takePollOf removes and returns the open poll of a worker.
func (d *driver) takePollOf(id order.WorkerID) (PollCmd, bool) {
	for i, c := range d.commands {
		if poll, ok := c.(PollCmd); ok && poll.order.to.worker == id {
			d.removeCommand(i)
			return poll, true
		}
	}
	return PollCmd{}, false
}
