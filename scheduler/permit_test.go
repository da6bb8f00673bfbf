package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// Only a run whose start was sent needs a stop; the other starts are dropped.
func TestSendsNoStartOfCancelledJob(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(3))
	sent, ok := d.takeStart()
	d.is.True(ok)
	d.call(order.CancelJob)
	_, ok = d.takeStart()
	d.is.True(!ok)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.is.Equal(stop.order.task, sent.order.task)
	_, ok = d.takeStop()
	d.is.True(!ok)
	d.is.Equal(d.m.workers["w1"].used, smallStep(1).Size())
}

// The new incarnation has the same ID and would execute the orders.
func TestSendsNoOrderToFormerIncarnation(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(2))
	d.advance(2 * pollDelay) // the next poll is due
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	_, ok := d.takeStart()
	d.is.True(!ok)
	for {
		p, ok := d.takePoll()
		if !ok {
			break
		}
		d.is.Equal(p.order.to.incarnation, int64(2))
	}
}

// The task is placed again, without counting a failed call of the worker.
func TestSendsNoStartAfterItsLease(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	d.advance(leaseDuration - leaseMargin)
	_, ok := d.takeStart()
	d.is.True(!ok)
	d.advance(100 * time.Millisecond)
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.run, 2)
	d.is.Equal(d.m.workers["w1"].missedCalls, 0)
}

func TestSendsNoStopOfEndedRun(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.advance(100 * time.Millisecond)
	d.call(order.CancelJob)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, s.order.run, ResultDone, "")})
	_, ok := d.takeStop()
	d.is.True(!ok)
}

// The queue would grow while the worker does not respond.
func TestQueuesOneStopPerRun(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.call(order.CancelJob)
	for range 3 {
		d.advance(stopRetryInterval + pollDelay)
		d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	}
	_, ok := d.takeStop()
	d.is.True(ok)
	_, ok = d.takeStop()
	d.is.True(!ok)
	d.advance(stopRetryInterval + pollDelay)
	d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	_, ok = d.takeStop()
	d.is.True(ok) // the last one was sent
}

// A start in flight must still be stopped, so only one of the two may succeed.
func TestPermitIsUsedOrWithdrawn(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		p := &permit{}
		sent := make(chan bool)
		go func() { sent <- p.use(testStart) }()
		unsent := p.withdraw()
		is.Equal(<-sent, !unsent)
		is.True(!p.use(testStart))
	}
}

// restart lists the second incarnation of a worker and answers its first poll.
func (d *driver) restart(id order.WorkerID, running []RunningTask) {
	d.t.Helper()
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo(id, 2)}, nil, false))
	d.answerNextIncarnation(id, running)
}

// answerNextIncarnation answers the open poll of the second incarnation of a
// worker, after it has failed the open one of the first.
func (d *driver) answerNextIncarnation(id order.WorkerID, running []RunningTask) {
	d.t.Helper()
	for range 3 {
		d.advance(2 * pollDelay)
		for i, c := range d.commands {
			poll, ok := c.(PollCmd)
			if !ok || poll.order.to.worker != id {
				continue
			}
			d.removeCommand(i)
			if poll.order.to.incarnation == 2 {
				d.feed(PolledMsg{order: poll.order, sentAt: d.now, report: NewReport(1+d.now.Sub(testStart).Milliseconds(), 2, running, nil)})
				return
			}
			d.feed(PolledMsg{order: poll.order, sentAt: d.now, err: errDiverged})
			break
		}
	}
	d.t.Fatalf("no open poll of the second incarnation of %s", id)
}

// A worker checks only the ID, so either incarnation may have answered.
func TestNoSecondStartWhenNextIncarnationRunsTask(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
		s, ok := d.takeStart()
		d.is.True(ok)
		if answered {
			d.answerStart(s, nil)
		}
		d.addWorkers("w2")
		d.restart("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)})
		d.advance(time.Second)
		_, ok = d.takeStart()
		d.is.True(!ok)
		_, ok = d.takeStop()
		d.is.True(!ok)
	}
}

// The start may still arrive, so the new incarnation has to confirm a stop.
func TestRestartsOnceNextIncarnationRejectsRun(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.addWorkers("w2")
	d.restart("w1", nil)
	_, ok := d.takeStart()
	d.is.True(!ok)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.is.Equal(stop.order.to.incarnation, int64(2))
	d.feed(StoppedMsg{order: stop.order})
	d.answerNextIncarnation("w1", nil)
	d.advance(100 * time.Millisecond)
	again, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(again.order.run, 2)
}

// Only runs that the former incarnation never reported may be on the next one.
func TestRestartsReportedRunOfFormerIncarnationAtOnce(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.advance(2 * pollDelay)
	d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	d.addWorkers("w2")
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	again, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(again.order.to.worker, order.WorkerID("w2"))
}

// The stop may be queued for the former incarnation or confirmed by it.
func TestStopsUnreportedRunOnNextIncarnation(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
		_, ok := d.takeStart()
		d.is.True(ok)
		d.call(order.CancelJob)
		if confirmed {
			stop, ok := d.takeStop()
			d.is.True(ok)
			d.feed(StoppedMsg{order: stop.order})
		}
		d.restart("w1", nil)
		d.is.Equal(len(d.m.workers["w1"].attempts), 1)
		stop, ok := d.takeStop()
		d.is.True(ok)
		d.is.Equal(stop.order.to.incarnation, int64(2))
		d.feed(StoppedMsg{order: stop.order})
		d.answerNextIncarnation("w1", nil)
		d.is.Equal(len(d.m.workers["w1"].attempts), 0)
	}
}

// The job was cancelled before the restart.
func TestStopsCancelledRunListedByNextIncarnation(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.call(order.CancelJob)
	stop, ok := d.takeStop()
	d.is.True(ok)
	d.feed(StoppedMsg{order: stop.order})
	d.restart("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)})
	stop, ok = d.takeStop()
	d.is.True(ok)
	d.is.Equal(stop.order.to.incarnation, int64(2))
}

// A lease on the clock of the former incarnation is bounded only by maxLease.
func TestWaitsForLongestLeaseOfNextIncarnation(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.addWorkers("w2")
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	restarted := d.now
	for d.now.Sub(restarted) < maxLeaseTime(d.m.limits.maxLease) {
		_, ok := d.takeStart()
		d.is.True(!ok)
		for p, ok := d.takePoll(); ok; p, ok = d.takePoll() {
			if p.order.to.worker == "w1" {
				d.feed(PolledMsg{order: p.order, sentAt: d.now, err: errDiverged})
				continue
			}
			d.feed(PolledMsg{order: p.order, sentAt: d.now, report: NewReport(1000+d.now.Sub(testStart).Milliseconds(), 1, nil, nil)})
		}
		d.advance(100 * time.Millisecond)
	}
	d.advance(100 * time.Millisecond)
	_, ok := d.takeStart()
	d.is.True(ok)
}

// Whether the same incarnation is there is unknown once a poll has failed.
func TestSendsNoStartToUnreachableWorker(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(2))
	sent, ok := d.takeStart()
	d.is.True(ok)
	d.addWorkers("w2")
	d.advance(2 * pollDelay)
	for p, ok := d.takePoll(); ok; p, ok = d.takePoll() {
		if p.order.to.worker == "w1" {
			d.feed(PolledMsg{order: p.order, sentAt: d.now, err: errDiverged})
		}
	}
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.to.worker, order.WorkerID("w2"))
	d.is.True(s.order.task != sent.order.task)
	_, ok = d.takeStart()
	d.is.True(!ok) // the first start may have arrived
}

// A start without a response is sent again only while its run is wanted.
func TestNoRetryOfStartOfEndedRun(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.advance(2 * pollDelay)
	d.is.True(s.order.permit.use(d.now))
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, s.order.task, s.order.run, ResultDone, "")})
	d.is.True(!s.order.permit.use(d.now))
}

// The queue of the worker was full when the first stop was due.
func TestRepeatsStopThatWasNotQueued(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, _ := d.takeStart()
	d.answerStart(s, nil)
	d.call(order.CancelJob)
	for i, c := range d.commands {
		if stop, ok := c.(StopCmd); ok {
			d.removeCommand(i)
			d.feed(StoppedMsg{order: stop.order, err: ErrNotSent})
			break
		}
	}
	d.advance(stopRetryInterval + pollDelay)
	d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	_, ok := d.takeStop()
	d.is.True(ok)
}

// The process may have been suspended between the decision and the call.
func TestSendsNoPollAfterItsLease(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.advance(2*pollDelay + leaseDuration - leaseMargin)
	_, ok := d.takePoll()
	d.is.True(!ok)
	d.is.Equal(d.m.workers["w1"].missedCalls, 0)
	d.decide()
	_, ok = d.takePoll()
	d.is.True(ok)
}

// A queued start goes elsewhere when its worker may get no starts any more.
func TestSendsNoStartToExcludedWorker(t *testing.T) {
	for _, in := range []Msg{
		NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1).WithIncarnation(1, true)}, nil, false),
		NewWorkersMsg(nil, []order.WorkerID{"w1"}, false),
		NewConfigMsg(nil, []order.DomainName{"quay"}),
	} {
		d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(2))
		sent, ok := d.takeStart()
		d.is.True(ok)
		d.answerStart(sent, nil)
		other := workerInfo("w2", 1)
		other.domain = "dune"
		d.feed(NewWorkersMsg([]WorkerInfo{other}, nil, false))
		d.answerPoll("w2", nil, nil)
		d.commitAll()
		d.feed(in)
		d.advance(100 * time.Millisecond)
		s, ok := d.takeStart()
		d.is.True(ok)
		d.is.Equal(s.order.to.worker, order.WorkerID("w2"))
		_, ok = d.takeStop()
		d.is.True(!ok) // the run that was sent goes on
	}
}

// A gang with a refused member starts anew as a whole.
func TestWithdrawsUnsentStartsOfGang(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2", "w3", "w4"}, smallStep(3).WithGang(true).WithPerWorker(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, NewRefusedError(RefusedNoCapacity, 0))
	_, ok = d.takeStop()
	d.is.True(!ok)
	for range 3 {
		again, ok := d.takeStart()
		d.is.True(ok)
		d.is.Equal(again.order.run, 2)
	}
	_, ok = d.takeStart()
	d.is.True(!ok)
}
