package till_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

// Guards against a request that no journal segment can hold, or without an
// identity, that waits for ever.
func TestMalformedAndBodyTooLarge(t *testing.T) {
	w := settled(t, 3, 2)
	nameless := w.submit("gate0", request("", order.Batch))
	gang := w.submit("gate0", request("gang", order.Gang).WithTasks(1<<20))
	large := w.submit("gate0", request("large", order.Batch).WithDetached(true).WithPayload(make([]byte, 1<<20)))
	w.run(time.Second)
	expect(t, w, "gate0", nameless, order.Malformed)
	expect(t, w, "gate0", gang, order.Malformed)
	expect(t, w, "gate0", large, order.BodyTooLarge)
}

// Guards against a result that is cut instead of refused, and against a large
// result that an attached caller does not get.
func TestResultTooLargeToKeep(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.body = make([]byte, logbook.MaxOutcomeBody+1)
	}
	w.submit("gate0", request("detached", order.Batch).WithDetached(true))
	attached := w.submit("gate0", request("attached", order.Batch).WithIdempotent(false))
	w.run(time.Second)
	detached := w.follow("gate1", "detached")
	w.run(time.Second)
	a := expect(t, w, "gate1", detached, order.ResultTooLargeToKeep)
	is.Equal(len(a.Body()), 0)
	a = expect(t, w, "gate0", attached, order.Done)
	is.Equal(len(a.Body()), logbook.MaxOutcomeBody+1)
	w.takeOver()
	w.run(time.Second)
	again := w.submit("gate1", request("attached", order.Batch).WithIdempotent(false).WithFresh(false))
	w.run(time.Second)
	expect(t, w, "gate1", again, order.ResultTooLargeToKeep)
}

// Guards against a short result that is treated as the answer.
func TestAnswerIncomplete(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.short = true
	}
	s := w.submit("gate0", request("a", order.Batch))
	w.run(500 * time.Millisecond)
	_, answered := w.gates["gate0"].final(s)
	is.True(!answered) // the group sends it again
	for _, g := range w.groups {
		g.short = false
		g.repair()
	}
	w.run(3 * time.Second)
	expect(t, w, "gate0", s, order.Done)
	for _, g := range w.groups {
		g.short = true
	}
	s = w.submit("gate0", request("b", order.Batch))
	w.run(10 * time.Second)
	a := expect(t, w, "gate0", s, order.AnswerIncomplete)
	is.Equal(len(a.Body()), 0)
}

// Guards against a status that names an outcome of a request that runs.
func TestPendingStatus(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 2 * time.Second, order.Done }
	}
	w.submit("gate0", request("a", order.Batch))
	w.run(time.Second)
	s := w.follow("gate1", "a")
	w.run(500 * time.Millisecond)
	answers := w.gates["gate1"].answers[s]
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Code(), order.Pending)
	is.Equal(answers[0].State(), order.RequestRunning)
	is.True(!answers[0].Final())
	w.run(2 * time.Second)
	expect(t, w, "gate1", s, order.Done)
}

// Guards against retries without bound when every worker fails, which would
// multiply the load.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 8)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 10 * time.Millisecond, order.WorkerLost }
	}
	const requests = 200
	for i := range requests {
		w.submit("gate0", request(string(rune('a'+i%26))+string(rune('a'+i/26)), order.Batch))
	}
	w.run(5 * time.Second)
	is.Equal(len(w.gates["gate0"].finals), requests)
	starts := 0
	for _, n := range w.starts {
		starts += n
	}
	// 10% of the requests, the first tokens, and one a second.
	is.True(starts-requests <= requests/10+10+6)
	is.True(starts > requests)
}
