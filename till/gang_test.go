package till_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

// Guards against two gangs that take each other's room for ever, or that run
// with a part of their tasks.
func TestGangsThatNeedTheSameRoom(t *testing.T) {
	is := is.New(t)
	w := settled(t, 4, 2)
	a := w.submit("gate0", request("a", order.Gang).WithTasks(6))
	b := w.submit("gate1", request("b", order.Gang).WithTasks(6))
	c := w.submit("gate2", request("c", order.Gang).WithTasks(5).WithIdempotent(false))
	for range 300 {
		w.tick()
		counts := make(map[order.RequestID]int)
		for id := range w.running {
			counts[order.RequestID(id[5:6])]++
		}
		is.True(counts["a"]+counts["b"]+counts["c"] <= 8)
	}
	w.run(10 * time.Second)
	expect(t, w, "gate0", a, order.Done)
	expect(t, w, "gate1", b, order.Done)
	expect(t, w, "gate2", c, order.Done)
	is.Equal(w.since[logbook.Key{Team: testTeam, Request: "c"}], 5)
}

// Guards against a gang whose other members run on after one failed, against a
// repeatable gang that is not retried, and a second run of one that is not.
func TestGangMemberLost(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		w := settled(t, 3, 2)
		for _, g := range w.groups {
			g.runTime = func(order.Task) (time.Duration, order.Code) { return 3 * time.Second, order.Done }
		}
		s := w.submit("gate0", request("a", order.Gang).WithTasks(4).WithIdempotent(idempotent))
		w.run(time.Second)
		is.Equal(len(w.running), 4)
		w.groups[w.running["toys/a/2"]].loseWorker(w)
		w.run(50 * time.Millisecond)
		is.Equal(len(w.running), 0) // the others are stopped
		w.run(5 * time.Second)
		if idempotent {
			expect(t, w, "gate0", s, order.Done)
			is.Equal(w.starts["toys/a/0"], 2)
			continue
		}
		expect(t, w, "gate0", s, order.WorkerLost)
		is.Equal(w.starts["toys/a/0"], 1)
	}
}

// Guards against a checkpointed task that counts as failed, or that is refused
// as a second run.
func TestCheckpointedTaskResumes(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 2 * time.Second, order.Done }
	}
	s := w.submit("gate0", request("a", order.Batch).WithIdempotent(false).WithCheckpoint(true))
	w.run(time.Second)
	g := w.groups[w.running["toys/a/0"]]
	w.starts["toys/a/0"] = 0 // the next attempt goes on with this run
	g.checkpoint = true
	g.loseWorker(w)
	g.checkpoint = false
	w.run(4 * time.Second)
	expect(t, w, "gate0", s, order.Done)
	is.Equal(w.starts["toys/a/0"], 1)
}
