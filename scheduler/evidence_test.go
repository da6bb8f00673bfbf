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

// Guards against a second run beside one that the first report of the next life lists.
func TestNoSecondStartOfRunInReportOfNextLife(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.addWorkers("w2")
	running := []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}
	d.advance(2 * pollDelay)
	d.answerPoll("w1", running, nil) // life 1 executed the first copy, whose response is lost
	d.answerStart(s, nil)            // life 2 executed the second copy
	d.advance(2 * pollDelay)
	d.answerPollWith("w1", NewReport(20, 2, running, nil))
	d.advance(200 * time.Millisecond)
	if again, started := d.takeStart(); started {
		t.Errorf("run %d of %v at %s while life 2 of w1 reports run %d", again.order.run, again.order.task, again.order.to.worker, s.order.run)
	}
}

// Guards against a second run beside one that the next life began before the discovery listed that life.
func TestNoSecondStartOfRunBegunBeforeNextLifeIsListed(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.addWorkers("w2")
	d.advance(2 * pollDelay)
	d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	d.feed(StartedMsg{order: s.order, clock: 40}) // life 2 executed a later copy
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	d.advance(200 * time.Millisecond)
	if again, started := d.takeStart(); started {
		t.Errorf("run %d of %v at %s while life 2 of w1 runs run %d", again.order.run, again.order.task, again.order.to.worker, s.order.run)
	}
}

// Guards against a second run beside one that a start began in a life of the worker which the owner did not know, and whose lease is the longest.
func TestStartInUnnoticedNextLifeCountsWithLongestLease(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
			s, ok := d.takeStart()
			d.is.True(ok)
			executedAt := d.now
			if answered {
				d.feed(StartedMsg{order: s.order, clock: 40})
			} else {
				d.answerStart(s, errCut)
			}
			d.addWorkers("w2")
			for d.now.Sub(executedAt) < d.m.limits.maxLease {
				if p, open := d.takePollOf("w1"); open {
					d.feed(PolledMsg{order: p.order, sentAt: d.now, err: errCut})
				}
				if id, open := d.openPoll(map[order.WorkerID]bool{"w2": true}); open {
					d.answerPoll(id, nil, nil)
				}
				d.advance(100 * time.Millisecond)
				if again, started := d.takeStart(); started {
					t.Fatalf("run %d at %s after %v, while the lease of life 2 lasts for %v",
						again.order.run, again.order.to.worker, d.now.Sub(executedAt), d.m.limits.maxLease)
				}
			}
		})
	}
}

// Guards against a second run beside one that the next life begins by a copy of the start that had no response.
func TestNoSecondStartWhileUnansweredCopyMayReachNextLife(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.addWorkers("w2")
	d.advance(2 * pollDelay)
	d.answerPoll("w1", []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	d.feed(StartedMsg{order: s.order, clock: d.workerClock(), unanswered: true})
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	d.advance(200 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 0)
	// A stopped run is rejected by the life that got the stop.
	p, ok := d.takePollOf("w1")
	d.is.True(ok)
	d.feed(PolledMsg{order: p.order, sentAt: d.now, report: NewReport(30, 2, nil, nil)})
	st, ok := d.takeStop()
	d.is.True(ok)
	d.is.Equal(st.order.to.incarnation, int64(2))
	d.feed(StoppedMsg{order: st.order, clock: 60})
	d.advance(2 * pollDelay)
	p, ok = d.takePollOf("w1")
	d.is.True(ok)
	d.feed(PolledMsg{order: p.order, sentAt: d.now, report: NewReport(90, 2, nil, nil)})
	d.advance(100 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 1)
}

// Guards against a run that a report lists and that still counts with the longest lease.
func TestReportedRunCountsWithItsLease(t *testing.T) {
	d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
	s, ok := d.takeStart()
	d.is.True(ok)
	d.answerStart(s, errCut)
	id := s.order.to.worker
	d.advance(2 * pollDelay)
	d.answerPoll(id, []RunningTask{NewRunningTask(s.order.task, s.order.run, "", 10)}, nil)
	d.advance(2 * pollDelay)
	leaseEnd := d.m.workers[id].leaseEnd
	d.refuseUntil(id, errCut, leaseEnd)
	d.is.Equal(d.startedOf(testJob), 0)
	d.refuseUntil(id, errCut, leaseEnd.Add(300*time.Millisecond))
	d.is.Equal(d.startedOf(testJob), 1)
}
