package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
)

// A refusal at a former address of a worker must not end its runs at a new owner.
func TestRefusalAtFormerAddressKeepsRunsOfEarlierOwner(t *testing.T) {
	stored := make(map[string][]byte)
	o := newDriver(t, testEpoch)
	commit := func() {
		o.advance(2 * flushInterval)
		for {
			c, ok := o.takeCommit()
			if !ok {
				return
			}
			for _, w := range c.batch.Writes() {
				stored[w.Key()] = w.Value()
			}
			o.version++
			o.feed(CommittedMsg{batchID: c.batchID, version: o.version})
			o.advance(2 * flushInterval)
		}
	}
	moved := NewWorkerInfo("w1", "10.0.1.9:80", "press", "quay", order.NewResources(8000, 1<<30, 0)).WithIncarnation(2, false)
	o.configure(policy.Advice{}, order.Resources{})
	o.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1)}, nil, true))
	commit()
	o.answerFirstPolls([]order.WorkerID{"w1"})
	commit()
	o.feed(NewWorkersMsg([]WorkerInfo{moved}, nil, true))
	commit()
	p, ok := o.takePollOf("w1")
	o.is.True(ok)
	o.feed(PolledMsg{order: p.order, sentAt: o.now, err: ErrNotSent})
	o.advance(time.Second)
	p, ok = o.takePollOf("w1")
	o.is.True(ok)
	o.is.Equal(p.order.to.address, "10.0.1.9:80")
	o.feed(PolledMsg{order: p.order, sentAt: o.now, report: NewReport(1000, 2, nil, nil)})
	o.call(order.SubmitJob, smallStep(1))
	commit()
	s, ok := o.takeStart()
	o.is.True(ok)

	n := succeedAt(t, moved, stored, s)
	if again, started := n.takeStart(); started {
		t.Errorf("run %d of %v at %s while run %d is at %s", again.order.run, again.order.task, again.order.to.worker, s.order.run, s.order.to.worker)
	}
}

// succeedAt returns a later owner whose first poll of the moved worker is answered at its address, and refused at any other.
func succeedAt(t *testing.T, moved WorkerInfo, stored map[string][]byte, former StartCmd) *driver {
	n := newDriver(t, testEpoch+1)
	n.m.Restore(entries(jobKey(testJob), stored[jobKey(testJob)]))
	n.m.RestoreWorkers(storage.NewEntry(WorkersKey, stored[WorkersKey], 5))
	n.configure(policy.Advice{}, order.Resources{})
	n.advance(20 * time.Millisecond)
	p, ok := n.takePollOf("w1")
	n.is.True(ok)
	if p.order.to.address == moved.address {
		report := NewReport(2000, 2, []RunningTask{NewRunningTask(former.order.task, former.order.run, "", 10)}, nil)
		n.feed(PolledMsg{order: p.order, sentAt: n.now, report: report})
	} else {
		n.feed(PolledMsg{order: p.order, sentAt: n.now, err: NewRefusedError(RefusedIncarnation, 0)})
	}
	n.feed(NewWorkersMsg([]WorkerInfo{moved, workerInfo("w2", 1)}, nil, true))
	n.commitAll()
	n.answerPoll("w2", nil, nil)
	n.commitAll()
	n.advance(200 * time.Millisecond)
	return n
}
