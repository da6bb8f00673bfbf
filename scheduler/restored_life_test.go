package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// A restart of a restored worker that the discovery does not list must not leave the ends and the clock of its earlier life in force.
func TestRestartOfUnlistedWorkerIsNoticed(t *testing.T) {
	d := newDriver(t, testEpoch)
	list, err := order.WorkerList{}.WithWorkers([]order.WorkerRecord{order.WorkerRecord{}.WithID("w1").WithAddress("10.0.1.1:80").WithService("press")}).MarshalCBOR()
	d.is.NoErr(err)
	d.m.RestoreWorkers(entries(WorkersKey, list)[0])
	d.configure(policy.Advice{}, order.Resources{})
	d.advance(pollDelay)
	p, ok := d.takePollOf("w1")
	d.is.True(ok)
	running := []RunningTask{NewRunningTask(NewTaskRef(testJob, 0, 0, 0), 1, "", 10)}
	ended := []EndedTask{NewEndedTask(5, NewTaskRef(testJob, 0, 0, 1), 1, ResultDone, "")}
	d.feed(PolledMsg{order: p.order, sentAt: d.now, report: NewReport(100_000, 1, running, ended)})
	d.advance(2 * pollDelay)
	p, ok = d.takePollOf("w1")
	d.is.True(ok)
	d.is.Equal(p.order.acked, int64(5))
	d.feed(PolledMsg{order: p.order, sentAt: d.now, report: NewReport(500, 2, nil, nil)})
	d.advance(2 * pollDelay)
	p, ok = d.takePollOf("w1")
	d.is.True(ok)
	if p.order.acked > 0 || p.order.leaseEnd > 500+2*leaseDuration.Milliseconds() {
		t.Errorf("the poll of life 2 acknowledges end %d and has a lease to %d at clock 500", p.order.acked, p.order.leaseEnd)
	}
}

// An order that is under way when its worker restarts may give the new life the longest lease.
func TestRestartCountsWithLongestLease(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 2)}, nil, false))
	d.is.True(!d.m.workers["w1"].leaseEnd.Before(d.now.Add(d.m.limits.maxLease)))
}

// A worker that restarts and stays silent must not hold up the jobs of earlier owners on all others, long after the takeover.
func TestSilentRestartHoldsUpNoOtherWorkers(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1), smallStep(1).WithAfter([]int{0})}, []order.WorkerID{"w1", "w2"}, "w1", "w2")
	running := []RunningTask{NewRunningTask(NewTaskRef(testJob, 0, 0, 0), 1, "", 10)}
	for end := d.now.Add(maxLeaseTime(d.m.limits.maxLease) + time.Second); d.now.Before(end); d.advance(100 * time.Millisecond) {
		if id, ok := d.openPoll(map[order.WorkerID]bool{"w1": true}); ok {
			d.answerPoll(id, running, nil)
		}
		if id, ok := d.openPoll(map[order.WorkerID]bool{"w2": true}); ok {
			d.answerPoll(id, nil, nil)
		}
	}
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w2", 2)}, nil, false))
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, NewTaskRef(testJob, 0, 0, 0), 1, ResultDone, "")})
	d.advance(time.Second)
	d.is.Equal(d.startedOf(testJob), 1)
}

// An entry that lacks the incarnation must not make the known one unknown.
func TestEntryWithoutIncarnationKeepsTheKnownOne(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 0)}, nil, false))
	d.is.Equal(d.m.workers["w1"].info.incarnation, int64(1))
}
