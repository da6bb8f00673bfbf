package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
)

// Guards against a second run of each task of a live worker that is cut off from the store while its connections are refused.
func TestNoRestartWhileUnlistedWorkerRefusesConnections(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	cutOff := s.order.to.worker
	d.answerPoll(cutOff, []RunningTask{NewRunningTask(s.order.task, 1, "", 10)}, nil)
	d.advance(50 * time.Millisecond)
	leaseEnd := d.m.workers[cutOff].leaseEnd
	d.failPoll(cutOff, errExited)
	d.advance(4500 * time.Millisecond)
	d.feed(NewWorkersMsg(nil, []order.WorkerID{cutOff}, false))
	for d.now.Before(leaseEnd.Add(-20 * time.Millisecond)) {
		if _, open := d.openPoll(map[order.WorkerID]bool{cutOff: true}); open {
			d.failPoll(cutOff, errExited)
		}
		d.advance(20 * time.Millisecond)
		d.is.Equal(d.startedOf(testJob), 0)
	}
	d.advance(200 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 1)
}
