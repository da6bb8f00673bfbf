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

// A poll after an order without a response must not acknowledge ends, since the
// worker may have restarted, and would forget its first ends.
func TestPollAfterUnansweredOrderAcknowledgesNothing(t *testing.T) {
	for _, stop := range []bool{false, true} {
		d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(2).WithPerWorker(2))
		first, _ := d.takeStart()
		d.answerStart(first, nil)
		second, ok := d.takeStart()
		d.is.True(ok)
		d.advance(2 * pollDelay)
		ended := []EndedTask{NewEndedTask(7, first.order.task, first.order.run, ResultDone, "")}
		d.answerPoll("w1", nil, ended)
		if stop {
			d.call(order.CancelJob)
			st, ok := d.takeStop()
			d.is.True(ok)
			d.feed(StoppedMsg{order: st.order, err: errCut})
		} else {
			d.answerStart(second, errCut)
		}
		d.commitAll()
		p, ok := d.takePollOf("w1")
		d.is.True(ok)
		d.is.Equal(p.order.acked, int64(0))
		d.feed(PolledMsg{order: p.order, sentAt: d.now, report: NewReport(d.workerClock(), 1, nil, ended)})
		d.advance(2 * pollDelay)
		p, ok = d.takePollOf("w1")
		d.is.True(ok)
		d.is.Equal(p.order.acked, int64(7))
	}
}

// Guards against a poll that makes the next life forget ends nobody has read: it must acknowledge only what the last report listed.
func TestAcknowledgesOnlyListedEnds(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, nil)
	for _, c := range []struct {
		listed []EndedTask
		acked  int64
	}{
		{[]EndedTask{NewEndedTask(1, s.order.task, s.order.run, ResultDone, "")}, 1},
		{nil, 0},
		{nil, 0},
	} {
		d.advance(2 * pollDelay)
		d.answerPoll("w1", nil, c.listed)
		d.commitAll()
		d.advance(2 * pollDelay)
		id := map[order.WorkerID]bool{"w1": true}
		_, open := d.openPoll(id)
		d.is.True(open)
		for _, cmd := range d.commands {
			if p, ok := cmd.(PollCmd); ok {
				d.is.Equal(p.order.acked, c.acked)
			}
		}
	}
}
