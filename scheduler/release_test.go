package scheduler

import (
	"errors"
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// Guards against tasks that wait for the longest lease although the owner before released the cell, and against ones that don't wait for the usual lease.
func TestNewOwnerWaitsForUsualLeasesAfterRelease(t *testing.T) {
	d := newReleasedSuccessor(t, []order.JobStep{smallStep(1).WithLasting(true)}, []order.WorkerID{"w1", "gone"})
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1)}, nil, true))
	d.configure(policy.Advice{}, order.Resources{})
	d.commitAll()
	d.answerPoll("w1", nil, nil)
	d.refuseUntil("gone", errRefused, testStart.Add(maxLeaseTime(leaseDuration)))
	d.is.Equal(d.startedOf(testJob), 0)
	d.advance(100 * time.Millisecond)
	d.is.Equal(d.startedOf(testJob), 1)
}

// Guards against a release that promises settled leases while a start may still be carried out, or an earlier owner's lease may last.
func TestSettledWithoutOpenStartsOnly(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(d *driver, s StartCmd)
		settled bool
	}{
		"started":   {func(d *driver, s StartCmd) { d.answerStart(s, nil) }, true},
		"refused":   {func(d *driver, s StartCmd) { d.answerStart(s, NewRefusedError(RefusedBusy, 0)) }, true},
		"open":      {func(*driver, StartCmd) {}, false},
		"unclear":   {func(d *driver, s StartCmd) { d.answerStart(s, errors.New("no response")) }, false},
		"overtaken": {func(d *driver, s StartCmd) { d.feed(StartedMsg{order: s.order, clock: 40}) }, false},
		"worker restarted": {func(d *driver, s StartCmd) {
			d.answerStart(s, nil)
			d.feed(NewWorkersMsg([]WorkerInfo{workerInfo(s.order.to.worker, 2)}, nil, false))
		}, false},
		"placement goes on": {func(d *driver, s StartCmd) {
			d.answerStart(s, nil)
			d.feed(NewPauseMsg(false))
		}, false},
		"later owner": {func(d *driver, s StartCmd) { d.answerStart(s, NewRefusedError(RefusedStaleEpoch, 0)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWithJob(t, []order.WorkerID{"w1", "w2"}, smallStep(1))
			s, ok := d.takeStart()
			d.is.True(ok)
			d.feed(NewPauseMsg(true))
			c.prepare(d, s)
			d.advance(20 * time.Millisecond)
			d.is.Equal(d.m.Settled(d.now), c.settled)
		})
	}
}

// Guards against a release that promises settled leases before all workers of earlier owners have reported.
func TestNotSettledBeforeRecovery(t *testing.T) {
	d := newSuccessor(t, order.Resources{}, []order.JobStep{smallStep(1)}, []order.WorkerID{"w1", "cut"}, "w1", "cut")
	d.feed(NewPauseMsg(true))
	d.answerPoll("w1", nil, nil)
	d.is.True(!d.m.Settled(d.now))
	d.answerPoll("cut", nil, nil)
	d.is.True(!d.m.Settled(d.now)) // a lease that never shortens may last for maxLease
	d.advance(maxLeaseTime(d.m.limits.maxLease) - maxLeaseTime(leaseDuration))
	d.is.True(d.m.Settled(d.now))
}

// newReleasedSuccessor is newSuccessorBeforeDiscovery after a release.
func newReleasedSuccessor(t *testing.T, steps []order.JobStep, workers []order.WorkerID) *driver {
	d := newSuccessorBeforeDiscovery(t, steps, nil)
	d.m.PredecessorReleased()
	d.restoreWorkers(workers)
	return d
}

// Guards against a release that promises settled leases while workers that the stored list may lack hold longer ones.
func TestNotSettledWithoutListOfWorkers(t *testing.T) {
	d := newSuccessorBeforeDiscovery(t, []order.JobStep{smallStep(1)}, nil)
	d.m.RestoreWorkers(entries(WorkersKey, []byte("unreadable"))[0])
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1)}, nil, true))
	d.feed(NewPauseMsg(true))
	d.answerPoll("w1", nil, nil)
	d.is.True(!d.m.Settled(d.now))
	d.advance(maxLeaseTime(d.m.limits.maxLease))
	d.is.True(d.m.Settled(d.now))
}
