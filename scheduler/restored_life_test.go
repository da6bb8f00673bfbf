package scheduler

import (
	"testing"

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
