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
