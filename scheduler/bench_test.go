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
		d.confirm()
		d.m.hosts[testMember].busyUntil = d.now.Add(q.Advice().Duration(maxAdviceWorkers) + adviceTimeout)
		d.m.place(d.now)
	}
}

// BenchmarkPlaceWideGangs measures a round of placement on a full cell of 1,100
// workers, while 30 gangs of 40 tasks and 60 smaller steps wait for room.
func BenchmarkPlaceWideGangs(b *testing.B) {
	d := newAdviceDriver(b, slowAdvice, 146, 1100)
	for _, w := range d.m.workers {
		w.used = order.NewResources(7500, 1<<20, 0)
		w.updateFree()
	}
	for i := range 30 {
		d.submit(i, smallStep(40).WithGang(true))
	}
	for i := range 60 {
		d.submit(100+i, smallStep(4))
	}
	d.commitAll()
	answer := func() {
		for i, q := range d.takeAdviceRequests() {
			var good []order.WorkerID
			for j, id := range q.Workers() {
				if (i+j)%3 == 0 {
					good = append(good, id)
				}
			}
			d.answerAdvice(q, good...)
		}
	}
	answer()
	b.ReportAllocs()
	for b.Loop() {
		d.now = d.now.Add(placeInterval + 100*placeIntervalPerStep)
		d.confirm()
		d.m.place(d.now)
		if len(d.m.commands) > 0 {
			b.StopTimer()
			d.decide()
			answer()
			b.StartTimer()
		}
	}
}
