package scheduler

import (
	"fmt"
	"testing"

	"chervilhollow/order"
)

// BenchmarkPlaceBacklog measures a round of placement on a cell of 350 workers,
// with steps that wait for advice while no host is free to request it.
func BenchmarkPlaceBacklog(b *testing.B) {
	d := newDriver(b, testEpoch)
	d.configure(testAdvice, order.Resources{})
	for i := range 350 {
		d.addWorkers(order.WorkerID(fmt.Sprintf("w%03d", i)))
	}
	for i := range 100 {
		d.submit(i, smallStep(3))
	}
	d.commitAll()
	q, _ := d.m.config.Queue(testQueue)
	b.ReportAllocs()
	for b.Loop() {
		d.now = d.now.Add(placeInterval + 100*placeIntervalPerStep)
		d.m.hosts[testMember].busyUntil = d.now.Add(q.Advice().Duration(maxAdviceWorkers) + adviceTimeout)
		d.m.place(d.now)
	}
}
