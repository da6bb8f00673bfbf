package queue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

// Guards against gangs that hold each other's slots for ever, and gangs that
// run with only a part of their tasks. Only one of the three gangs fits at a
// time.
func TestGangsCompeteForSlots(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 4, 2)
	a := sim.submit("gate0", request("a", order.Gang).WithTasks(6))
	b := sim.submit("gate1", request("b", order.Gang).WithTasks(6))
	c := sim.submit("gate2", request("c", order.Gang).WithTasks(5).WithIdempotent(false))
	for range 300 {
		sim.tick()
		counts := make(map[order.RequestID]int)
		for id := range sim.running {
			counts[order.RequestID(id[5:6])]++
		}
		is.True(counts["a"]+counts["b"]+counts["c"] <= 8)
	}
	sim.run(10 * time.Second)
	expectAnswer(t, sim, "gate0", a, order.Done)
	expectAnswer(t, sim, "gate1", b, order.Done)
	expectAnswer(t, sim, "gate2", c, order.Done)
	is.Equal(sim.startsSinceSubmit[logbook.Key{Team: testTeam, Request: "c"}], 5)
}

// Guards against members that keep running after another one was lost, an
// idempotent gang that is not retried, and a second run of one that is not
// idempotent.
func TestGangMemberLost(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		sim := newRecoveredSim(t, 3, 2)
		for _, g := range sim.groups {
			g.runTime = func(order.Task) (time.Duration, order.Code) { return 3 * time.Second, order.Done }
		}
		s := sim.submit("gate0", request("a", order.Gang).WithTasks(4).WithIdempotent(idempotent))
		sim.run(time.Second)
		is.Equal(len(sim.running), 4)
		sim.groups[sim.running["toys/a/2"]].loseWorker(sim)
		sim.run(50 * time.Millisecond)
		is.Equal(len(sim.running), 0) // the others are stopped
		sim.run(5 * time.Second)
		if idempotent {
			expectAnswer(t, sim, "gate0", s, order.Done)
			is.Equal(sim.startCounts["toys/a/0"], 2)
			continue
		}
		expectAnswer(t, sim, "gate0", s, order.WorkerLost)
		is.Equal(sim.startCounts["toys/a/0"], 1)
	}
}

// Guards against a checkpointed task that counts as failed, or whose next
// attempt is refused as a second run.
func TestCheckpointedTaskResumes(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 2 * time.Second, order.Done }
	}
	s := sim.submit("gate0", request("a", order.Batch).WithIdempotent(false).WithCheckpoint(true))
	sim.run(time.Second)
	g := sim.groups[sim.running["toys/a/0"]]
	sim.startCounts["toys/a/0"] = 0 // the next attempt continues this run
	g.checkpointTasks = true
	g.loseWorker(sim)
	g.checkpointTasks = false
	sim.run(4 * time.Second)
	expectAnswer(t, sim, "gate0", s, order.Done)
	is.Equal(sim.startCounts["toys/a/0"], 1)
}
