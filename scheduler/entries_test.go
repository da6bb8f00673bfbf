package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
)

// Guards against entries of other writers that fill the stored list of workers,
// and against new owners that wait for the lease of a worker that never was.
func TestTakeoverIgnoresWorkersThatNeverAnswered(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1), workerInfo("odd", 1)}, nil, true))
	d.answerPoll("w1", nil, nil)
	stored := d.storeWorkers()
	d.is.True(stored.Exists())
	next := newDriver(t, testEpoch+1)
	next.configure(policy.Advice{}, order.Resources{})
	next.m.RestoreWorkers(stored)
	next.feed(NewWorkersMsg([]WorkerInfo{workerInfo("w1", 1), workerInfo("odd", 1)}, nil, true))
	next.is.True(!next.m.recovered()) // w1 may run tasks
	next.answerPoll("w1", nil, nil)
	next.is.True(next.m.recovered())
}

// Guards against a worker that is stored only because an earlier owner stored
// it: each further owner would wait for its lease again.
func TestDropsRestoredWorkerThatNeverAnswers(t *testing.T) {
	d := newDriver(t, 2)
	d.configure(policy.Advice{}, order.Resources{})
	record := order.WorkerRecord{}.WithID("odd").WithAddress("10.0.1.1:80").WithService("press").WithDomain("quay")
	list, err := order.WorkerList{}.WithWorkers([]order.WorkerRecord{record}).MarshalCBOR()
	d.is.NoErr(err)
	d.m.RestoreWorkers(entries(WorkersKey, list)[0])
	d.feed(NewWorkersMsg([]WorkerInfo{workerInfo("odd", 1)}, nil, true))
	d.advance(maxLeaseTime(d.m.limits.maxLease) + time.Second)
	stored := d.storeWorkers()
	d.is.True(stored.Exists())
	next := newDriver(t, 3)
	next.m.RestoreWorkers(stored)
	next.is.True(next.m.recovered())
}

// storeWorkers stores batches until there are no more, and returns the list of
// workers that the store has then.
func (d *driver) storeWorkers() storage.Entry {
	var stored storage.Entry
	d.advance(2 * flushInterval)
	for {
		c, ok := d.takeCommit()
		if !ok {
			return stored
		}
		d.version++
		for _, w := range c.batch.Writes() {
			if w.Key() == WorkersKey {
				stored = storage.NewEntry(WorkersKey, w.Value(), d.version)
			}
		}
		d.feed(CommittedMsg{batchID: c.batchID, version: d.version})
		d.advance(2 * flushInterval)
	}
}

// Guards against an end that can't be read and is never acknowledged: the
// worker would repeat it, and list no later ends behind many of them.
func TestAcknowledgesUnreadableEnds(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.advance(100 * time.Millisecond)
	d.answerPoll("w1", nil, []EndedTask{NewEndedTask(1, TaskRef{}, 0, 0, ""), {}, NewEndedTask(2, TaskRef{}, 0, 0, "")})
	d.advance(100 * time.Millisecond)
	p, ok := d.takePoll()
	d.is.True(ok)
	d.is.Equal(p.order.acked, int64(2))
}
