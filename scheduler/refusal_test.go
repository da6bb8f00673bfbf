package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// An entry host sends a call again if its reply is late. If the first copy was
// refused while the store was stalled, the later copy must not be accepted once
// the store has returned: the caller knows that the job never runs.
func TestRefusesLaterCopiesOfRefusedCall(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.submit(0, smallStep(1))
	d.advance(2 * storeStallTimeout)
	d.submit(1, smallStep(1))
	r, _ := d.takeReply()
	d.is.Equal(r.Code(), order.JournalUnavailable)
	d.commitAll()
	_, _ = d.takeReply()
	d.submit(1, smallStep(1)) // the second copy of the same call
	r, ok := d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.JournalUnavailable)
	d.is.Equal(d.m.jobs[jobID(1)], nil)
	d.call(order.SubmitJob, smallStep(1)) // another call
	d.commitAll()
	r, ok = d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.Done)
}

// A job that waits for a batch when the store stalls is refused as well. Copies
// of its call must be refused too.
func TestRefusesLaterCopiesOfUnsentJob(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.m.limits = d.m.limits.WithWriteRate(0) // the fewest batches in flight
	last := 2 * minInFlight                  // a batch is sent for every other job
	for i := range last + 1 {
		d.submit(i, smallStep(1))
	}
	d.is.True(d.m.jobs[jobID(last)] != nil && !d.m.jobs[jobID(last)].everSent)
	d.advance(2 * storeStallTimeout)
	r, ok := d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.JournalUnavailable)
	d.commitAll()
	for ok {
		_, ok = d.takeReply()
	}
	d.submit(last, smallStep(1))
	r, ok = d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.JournalUnavailable)
}

// While the store does not answer, a call whose batch may be stored must be
// answered before half of the caller's time has passed, and must not be told
// that the job does not run. The job is stored when the store returns.
func TestAnswersUncertainCallsSoon(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	d.submit(0, smallStep(1))
	sent := d.now
	for {
		d.advance(20 * time.Millisecond)
		r, ok := d.takeReply()
		if !ok {
			d.is.True(d.now.Sub(sent) < 1500*time.Millisecond) // callers wait 3 s
			continue
		}
		d.is.Equal(r.Code(), order.OutcomeUnknown)
		break
	}
	d.commitAll()
	d.submit(0, smallStep(1))
	r, ok := d.takeReply()
	d.is.True(ok)
	d.is.Equal(r.Code(), order.Done)
}

// A slow store that still stores batches must not lead to refusals.
func TestAcceptsWhileStoreIsSlow(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	d.addWorkers("w1")
	for i := range 20 {
		d.submit(i, smallStep(1))
		d.advance(storeStallTimeout / 2)
		if c, ok := d.takeCommit(); ok {
			d.version++
			d.feed(CommittedMsg{batchID: c.batchID, version: d.version})
		}
		if r, ok := d.takeReply(); ok {
			d.is.Equal(r.Code(), order.Done)
		}
	}
}
