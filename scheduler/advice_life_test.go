package scheduler

import (
	"testing"

	"chervilhollow/order"
)

// A reply to a request of an earlier epoch of the same process must not count as
// one to a request of this epoch: the step would take the tickets of another one,
// and never ask again about the workers that the reply lacks.
func TestDropsAdviceOfEarlierEpoch(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.addWorkers("w1", "w2")
	d.submit(1, smallStep(1))
	former, ok := d.takeAdviceRequest()
	d.is.True(ok)

	n := newDriver(t, testEpoch+1)
	n.configure(testAdvice, order.Resources{})
	n.addWorkers("w1", "w2")
	n.submit(2, smallStep(1))
	_, ok = n.takeAdviceRequest()
	n.is.True(ok)
	n.answerAdvice(former, "w1")
	s := n.m.jobs[jobID(2)].steps[0]
	n.is.Equal(len(s.tickets), 0)
	n.is.Equal(len(s.requestedWorkers), 0)
}

// A ticket ends with the life of its worker. A start that carries it to the next
// life is refused, which ends the whole run of a gang.
func TestRequestsAdviceAgainForRestartedWorker(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.addWorkers("w1")
	d.m.workers["w1"].used = d.m.workers["w1"].info.capacity // no room yet
	d.submit(1, smallStep(1))
	d.commitAll()
	q, ok := d.takeAdviceRequest()
	d.is.True(ok)
	d.answerAdvice(q, "w1")
	d.advance(testAdvice.Validity() / 2)
	for _, ok := d.takeAdviceRequest(); ok; _, ok = d.takeAdviceRequest() {
	}
	d.restart("w1", nil)
	d.m.workers["w1"].used = order.Resources{}
	d.advance(2 * advicePlanInterval)
	_, ok = d.takeStart()
	d.is.True(!ok) // the ticket was for the earlier life
	q, ok = d.takeAdviceRequest()
	d.is.True(ok)
	d.answerAdvice(q, "w1")
	d.commitAll()
	s, ok := d.takeStart()
	d.is.True(ok)
	d.is.Equal(s.order.to.incarnation, int64(2))
}

// The service may have decided on a request before the worker restarted.
func TestDropsTicketRequestedBeforeRestart(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(testAdvice, order.Resources{})
	d.addWorkers("w1")
	d.submit(1, smallStep(1))
	d.commitAll()
	q, ok := d.takeAdviceRequest()
	d.is.True(ok)
	d.restart("w1", nil)
	d.answerAdvice(q, "w1")
	d.is.Equal(len(d.m.jobs[jobID(1)].steps[0].tickets), 0)
	again, ok := d.takeAdviceRequest()
	for !ok {
		d.advance(advicePlanInterval)
		again, ok = d.takeAdviceRequest()
	}
	d.is.Equal(again.Workers(), []order.WorkerID{"w1"})
}
