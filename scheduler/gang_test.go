package scheduler

import (
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// A gang that waits for room must keep what it is likely to get, but must not
// keep every worker that may run it from less urgent steps.
func TestGangReservesOnlyWhatItNeeds(t *testing.T) {
	d := newAdviceDriver(t, policy.Advice{}, 0, 20)
	i := 0
	for _, w := range d.m.sortedWorkers() {
		w.used = order.NewResources(5000, 1<<20, 0)
		if i < 10 {
			w.used = order.NewResources(4000, 1<<20, 0)
		}
		w.updateFree()
		i++
	}
	wide := order.JobStep{}.WithTasks(8).WithSize(order.NewResources(4500, 1<<20, 0)).WithEstimate(smallStep(1).Estimate())
	d.submit(1, wide.WithGang(true).WithPerWorker(1))
	d.commitAll()
	d.submit(2, smallStep(40))
	d.commitAll()
	started := 0
	for {
		s, ok := d.takeStart()
		if !ok {
			break
		}
		started++
		d.is.Equal(s.order.task.job, jobID(2))
	}
	d.is.True(started > 0)
	full := 0
	for _, w := range d.m.workers {
		if w.used.Cores() == 4000 {
			full++
		}
	}
	d.is.True(full >= 8) // the emptiest workers are kept for the gang
}

// A gang that cannot fit must not keep workers from other steps, whether capacity was lost or long-running tasks hold it.
func TestGangWithoutRoomReservesNothing(t *testing.T) {
	gang := func(tasks int) order.JobStep {
		return order.JobStep{}.WithTasks(tasks).WithSize(order.NewResources(4000, 1<<20, 0)).WithEstimate(time.Second).WithGang(true)
	}
	for name, prepare := range map[string]func(d *driver){
		"too wide for the fleet": func(d *driver) { d.submit(1, gang(5)) },
		"beside lasting tasks": func(d *driver) {
			d.submit(3, smallStep(2).WithLasting(true).WithPerWorker(1))
			d.commitAll()
			d.submit(1, gang(4))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newAdviceDriver(t, policy.Advice{}, 0, 2)
			prepare(d)
			d.commitAll()
			d.submit(2, smallStep(2))
			d.commitAll()
			d.is.Equal(d.startedOf(jobID(1)), 0)
			d.is.Equal(d.startedOf(jobID(2)), 2)
		})
	}
}

// A new owner must not poll all workers of a large cell at once: the calls that
// clients wait for would queue behind them.
func TestContactsWorkersInWaves(t *testing.T) {
	d := newDriver(t, testEpoch)
	d.configure(policy.Advice{}, order.Resources{})
	var infos []WorkerInfo
	for i := range 5 * maxFirstContacts {
		infos = append(infos, workerInfo(order.WorkerID(jobID(i)), 1))
	}
	d.feed(NewWorkersMsg(infos, nil, false))
	contacted := 0
	for range infos {
		open := 0
		for _, c := range d.commands {
			if p, ok := c.(PollCmd); ok && p.order.first {
				open++
			}
		}
		d.is.True(open <= maxFirstContacts)
		for _, c := range d.commands {
			if p, ok := c.(PollCmd); ok && p.order.first {
				d.answerPoll(p.order.to.worker, nil, nil)
				contacted++
				break
			}
		}
	}
	d.is.Equal(contacted, len(infos))
}
