package queue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

// Guards against a request that stays queued for ever because it has no ID, has
// too many tasks, or does not fit into a journal record.
func TestMalformedAndBodyTooLarge(t *testing.T) {
	sim := newRecoveredSim(t, 3, 2)
	nameless := sim.submit("gate0", request("", order.Batch))
	gang := sim.submit("gate0", request("gang", order.Gang).WithTasks(1<<20))
	large := sim.submit("gate0", request("large", order.Batch).WithDetached(true).WithPayload(make([]byte, 1<<20)))
	sim.run(time.Second)
	expectAnswer(t, sim, "gate0", nameless, order.Malformed)
	expectAnswer(t, sim, "gate0", gang, order.Malformed)
	expectAnswer(t, sim, "gate0", large, order.BodyTooLarge)
}

// Guards against a result that is truncated for the journal instead of replaced
// by a code, and against an attached caller that does not get a large result.
func TestResultTooLargeToKeep(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.resultBody = make([]byte, logbook.MaxOutcomeBody+1)
	}
	sim.submit("gate0", request("detached", order.Batch).WithDetached(true))
	attached := sim.submit("gate0", request("attached", order.Batch).WithIdempotent(false))
	sim.run(time.Second)
	detached := sim.follow("gate1", "detached")
	sim.run(time.Second)
	a := expectAnswer(t, sim, "gate1", detached, order.ResultTooLargeToKeep)
	is.Equal(len(a.Body()), 0)
	a = expectAnswer(t, sim, "gate0", attached, order.Done)
	is.Equal(len(a.Body()), logbook.MaxOutcomeBody+1)
	sim.replaceOwner()
	sim.run(time.Second)
	again := sim.submit("gate1", request("attached", order.Batch).WithIdempotent(false).WithFresh(false))
	sim.run(time.Second)
	expectAnswer(t, sim, "gate1", again, order.ResultTooLargeToKeep)
}

// Guards against an incomplete result that is sent as the answer.
func TestAnswerIncomplete(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.truncate = true
	}
	s := sim.submit("gate0", request("a", order.Batch))
	sim.run(500 * time.Millisecond)
	_, answered := sim.gates["gate0"].final(s)
	is.True(!answered) // the group sends it again
	for _, g := range sim.groups {
		g.truncate = false
		g.restoreResults()
	}
	sim.run(3 * time.Second)
	expectAnswer(t, sim, "gate0", s, order.Done)
	for _, g := range sim.groups {
		g.truncate = true
	}
	s = sim.submit("gate0", request("b", order.Batch))
	sim.run(10 * time.Second)
	a := expectAnswer(t, sim, "gate0", s, order.AnswerIncomplete)
	is.Equal(len(a.Body()), 0)
}

// Guards against a status of a running request that carries an outcome.
func TestPendingStatus(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 2 * time.Second, order.Done }
	}
	sim.submit("gate0", request("a", order.Batch))
	sim.run(time.Second)
	s := sim.follow("gate1", "a")
	sim.run(500 * time.Millisecond)
	answers := sim.gates["gate1"].answers[s]
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Code(), order.Pending)
	is.Equal(answers[0].State(), order.RequestRunning)
	is.True(!answers[0].Final())
	sim.run(2 * time.Second)
	expectAnswer(t, sim, "gate1", s, order.Done)
}

// Guards against unbounded retries when all workers fail, which would multiply
// the load.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 8)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 10 * time.Millisecond, order.WorkerLost }
	}
	const requests = 200
	for i := range requests {
		sim.submit("gate0", request(string(rune('a'+i%26))+string(rune('a'+i/26)), order.Batch))
	}
	sim.run(5 * time.Second)
	is.Equal(len(sim.gates["gate0"].finals), requests)
	starts := 0
	for _, n := range sim.startCounts {
		starts += n
	}
	// A tenth of the requests, the 10 initial tokens, and one token a second.
	is.True(starts-requests <= requests/10+10+6)
	is.True(starts > requests)
}
