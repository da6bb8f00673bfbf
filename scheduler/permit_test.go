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
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(3))
	d.commitAll()
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
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(2))
	d.commitAll()
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
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
	d.advance(leaseDuration)
	_, ok := d.takeStart()
	d.is.True(!ok)
	d.advance(100 * time.Millisecond)
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.run, 2)
	d.is.Equal(d.m.workers["w1"].missedCalls, 0)
}

func TestSendsNoStopOfEndedRun(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
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
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.call(order.SubmitJob, smallStep(1))
	d.commitAll()
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
