package till_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

func request(id string, kind order.Kind) order.Request {
	return order.Request{}.
		WithID(order.RequestID(id)).
		WithTeam(testTeam).
		WithKind(kind).
		WithTasks(1).
		WithIdempotent(true).
		WithFresh(true).
		WithSize(order.Resources{}.WithCores(1000)).
		WithPayload([]byte(id))
}

// settled runs the world until the inventory of the first owner is complete.
func settled(t *testing.T, groups, slots int) *world {
	t.Helper()
	w := newWorld(t, 1, groups, slots)
	w.run(time.Second)
	if !w.machine.Recovered() {
		t.Fatal("the first inventory is not complete")
	}
	return w
}

func expect(t *testing.T, w *world, gate order.MemberID, sequence uint64, code order.Code) order.AnswerMsg {
	t.Helper()
	a, ok := w.gates[gate].final(sequence)
	if !ok {
		t.Fatalf("no final answer, want %s", code)
	}
	if a.Code() != code {
		t.Fatalf("answer is %s, want %s", a.Code(), code)
	}
	return a
}

// Guards against a request that is lost between submission and answer, and
// against an answer without its body.
func TestAttachedRequest(t *testing.T) {
	for _, kind := range []order.Kind{order.Batch, order.Preview, order.Gang} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, idempotent), func(t *testing.T) {
				is := is.New(t)
				w := settled(t, 3, 2)
				s := w.submit("gate0", request("a", kind).WithIdempotent(idempotent).WithTasks(4))
				w.run(time.Second)
				a := expect(t, w, "gate0", s, order.Done)
				is.Equal(string(a.Body()), "result of toys/a/0")
				is.True(w.gates["gate0"].accepted["a"])
			})
		}
	}
}

// Guards against a detached request that is accepted but not journaled, and
// one whose outcome is lost.
func TestDetachedRequest(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	w.store.SetOutage(true)
	w.submit("gate0", request("a", order.Batch).WithDetached(true))
	w.run(time.Second)
	is.True(!w.gates["gate0"].accepted["a"]) // must wait for the journal
	w.store.SetOutage(false)
	w.run(3 * time.Second)
	is.True(w.gates["gate0"].accepted["a"])
	s := w.follow("gate1", "a")
	w.run(time.Second)
	expect(t, w, "gate1", s, order.Done)
	w.takeOver()
	w.run(time.Second)
	s = w.follow("gate2", "a")
	w.run(time.Second)
	expect(t, w, "gate2", s, order.Done)
	is.Equal(w.starts["toys/a/0"], 1)
}

// Guards against a second run of a request that arrives through another gate,
// and against a body that is answered with the result of another one.
func TestDuplicates(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	r := request("a", order.Batch).WithIdempotent(false)
	first := w.submit("gate0", r)
	second := w.submit("gate1", r.WithFresh(false))
	other := w.submit("gate2", r.WithPayload([]byte("another body")))
	w.run(time.Second)
	expect(t, w, "gate0", first, order.Done)
	expect(t, w, "gate1", second, order.Done)
	expect(t, w, "gate2", other, order.IDReused)
	late := w.submit("gate2", r.WithFresh(false))
	w.run(time.Second)
	expect(t, w, "gate2", late, order.Done)
	is.Equal(w.starts["toys/a/0"], 1)
}

// Guards against refusals whose code is not the reason.
func TestRefusals(t *testing.T) {
	w := settled(t, 3, 0)
	deadline := w.now().Add(time.Second)
	large := w.submit("gate0", request("large", order.Batch).WithSize(order.Resources{}.WithCores(65000)))
	kind := w.submit("gate0", request("kind", 9))
	late := w.submit("gate0", request("late", order.Batch).WithDeadline(deadline))
	past := w.submit("gate0", request("past", order.Batch).WithDeadline(w.now().Add(-time.Second)))
	cancelled := w.submit("gate0", request("cancelled", order.Batch))
	w.run(500 * time.Millisecond)
	canceller := w.cancel("gate1", "cancelled")
	unknown := w.follow("gate1", "unknown")
	nothing := w.cancel("gate1", "nothing")
	w.run(2 * time.Second)
	expect(t, w, "gate0", large, order.TooLarge)
	expect(t, w, "gate0", kind, order.UnknownKind)
	expect(t, w, "gate0", late, order.DeadlineBeforeRun)
	expect(t, w, "gate0", past, order.DeadlineBeforeRun)
	expect(t, w, "gate0", cancelled, order.CancelledBeforeRun)
	expect(t, w, "gate1", canceller, order.CancelledBeforeRun)
	expect(t, w, "gate1", unknown, order.UnknownRequest)
	expect(t, w, "gate1", nothing, order.UnknownRequest)
	for _, domain := range []order.DomainName{"d0", "d1", "d2"} {
		w.config = w.config.WithDomain(domain, false)
	}
	w.run(time.Second)
	closed := w.submit("gate0", request("closed", order.Batch))
	w.run(time.Second)
	expect(t, w, "gate0", closed, order.NoDomain)
}

// Guards against a request that is journaled too late and is refused with a
// code that does not name the journal.
func TestJournalUnavailable(t *testing.T) {
	w := settled(t, 3, 2)
	w.store.SetOutage(true)
	deadline := w.now().Add(time.Second)
	detached := w.submit("gate0", request("a", order.Batch).WithDetached(true).WithDeadline(deadline))
	once := w.submit("gate0", request("b", order.Batch).WithIdempotent(false).WithDeadline(deadline))
	free := w.submit("gate0", request("c", order.Batch).WithDeadline(deadline))
	w.run(2 * time.Second)
	expect(t, w, "gate0", detached, order.JournalUnavailable)
	expect(t, w, "gate0", once, order.JournalUnavailable)
	expect(t, w, "gate0", free, order.Done)
}

// Guards against a wrong code of work that ran, and a missing stop.
func TestEndsOfRunningWork(t *testing.T) {
	w := settled(t, 3, 4)
	for _, g := range w.groups {
		g.runTime = func(task order.Task) (time.Duration, order.Code) {
			if task.Request() == "failed" {
				return 50 * time.Millisecond, order.TaskFailed
			}
			return time.Hour, order.Done
		}
	}
	failed := w.submit("gate0", request("failed", order.Batch).WithIdempotent(false))
	late := w.submit("gate0", request("late", order.Batch).WithDeadline(w.now().Add(time.Second)))
	stopped := w.submit("gate0", request("stopped", order.Batch))
	lost := w.submit("gate0", request("lost", order.Batch).WithIdempotent(false))
	w.run(500 * time.Millisecond)
	w.cancel("gate1", "stopped")
	w.run(time.Second)
	expect(t, w, "gate0", failed, order.TaskFailed)
	expect(t, w, "gate0", late, order.DeadlineWhileRun)
	expect(t, w, "gate0", stopped, order.CancelledRunning)
	for _, g := range w.groups {
		g.loseWorker(w)
	}
	w.run(time.Second)
	expect(t, w, "gate0", lost, order.WorkerLost)
	if len(w.running) != 0 {
		t.Fatalf("%v still run", w.running)
	}
}

// Guards against a full queue that takes more work, and against a single team
// that fills the whole queue.
func TestQueueFull(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 0)
	var sequences []uint64
	for i := range 4097 {
		sequences = append(sequences, w.submit("gate0", request(fmt.Sprint("r", i), order.Batch)))
	}
	w.run(time.Second)
	is.Equal(w.machine.Open(), 4096) // half of the queue for one team
	refused := 0
	for _, s := range sequences {
		if a, ok := w.gates["gate0"].final(s); ok && a.Code() == order.QueueFull {
			refused++
		}
	}
	is.Equal(refused, 1)
}

// Guards against a service that ends with its worker, and against one that
// cannot be cancelled.
func TestServiceIsReplaced(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return time.Hour, order.Done }
	}
	s := w.submit("gate0", request("web", order.Service).WithTasks(3).WithIdempotent(false))
	w.run(time.Second)
	is.Equal(len(w.running), 3)
	for _, g := range w.groups {
		g.loseWorker(w)
	}
	w.run(5 * time.Second)
	is.Equal(len(w.running), 3) // replaced
	w.cancel("gate1", "web")
	w.run(2 * time.Second)
	expect(t, w, "gate0", s, order.CancelledRunning)
	is.Equal(len(w.running), 0)
}

// Guards against a takeover that runs a non-idempotent request again, loses a
// running one, or answers an unknown outcome as known.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 3 * time.Second, order.Done }
	}
	once := request("once", order.Batch).WithIdempotent(false)
	gone := request("gone", order.Batch).WithIdempotent(false)
	again := request("again", order.Batch)
	for _, r := range []order.Request{once, gone, again} {
		w.submit("gate0", r)
	}
	w.run(time.Second)
	is.Equal(len(w.running), 3)
	for _, g := range w.groups {
		if e, ok := g.entries["toys/gone/0"]; ok {
			delete(w.running, "toys/gone/0")
			g.forget(e)
		}
	}
	w.takeOver()
	a := w.submit("gate1", once.WithFresh(false))
	b := w.submit("gate1", gone.WithFresh(false))
	c := w.submit("gate1", again.WithFresh(false))
	w.run(4 * time.Second)
	expect(t, w, "gate1", a, order.Done)
	expect(t, w, "gate1", b, order.OutcomeUnknown)
	expect(t, w, "gate1", c, order.Done)
	is.Equal(w.starts["toys/again/0"], 1) // adopted
}

// Guards against work that waits for ever at a group whose owner changed or
// vanished.
func TestGroupMovesAndVanishes(t *testing.T) {
	is := is.New(t)
	w := settled(t, 2, 0)
	s := w.submit("gate0", request("a", order.Batch))
	w.run(time.Second)
	for _, g := range w.groups {
		g.changeOwner(w)
		g.slots = 1
	}
	w.run(2 * time.Second)
	expect(t, w, "gate0", s, order.Done)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 20 * time.Second, order.Done }
	}
	once := w.submit("gate0", request("once", order.Batch).WithIdempotent(false))
	again := w.submit("gate0", request("again", order.Batch))
	w.run(time.Second)
	is.Equal(len(w.running), 2)
	for _, g := range w.groups {
		g.vanish(w)
	}
	w.run(time.Second)
	for _, g := range w.groups {
		g.owned = true
		g.changeOwner(w)
	}
	w.run(30 * time.Second)
	expect(t, w, "gate0", once, order.WorkerLost)
	expect(t, w, "gate0", again, order.Done)
}

// Guards against bids in failure domains that the team may not use.
func TestTeamDomains(t *testing.T) {
	is := is.New(t)
	w := settled(t, 6, 2)
	w.config = w.config.WithTeam(sheet.NewTeam(testTeam, 1, 100, "d1"))
	w.run(time.Second)
	for i := range 4 {
		w.submit("gate0", request(fmt.Sprint("r", i), order.Batch))
	}
	w.run(40 * time.Millisecond)
	for _, group := range w.running {
		is.Equal(group.Domain(), order.DomainName("d1"))
	}
	w.run(time.Second)
	is.Equal(len(w.gates["gate0"].finals), 4)
}

// Guards against an inventory that was taken before the end of an attempt, and
// arrives after it: the attempt must not count as running again.
func TestLateInventory(t *testing.T) {
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return time.Second, order.Done }
	}
	r := request("a", order.Batch).WithDetached(true)
	w.submit("gate0", r)
	w.run(500 * time.Millisecond)
	w.takeOver()
	late := w.inventoryReply(order.InventoryMsg{}.WithPartition(testPartition).WithEpoch(w.epoch))
	w.noInventory = true
	for _, g := range w.groups {
		g.loseWorker(w)
	}
	w.run(50 * time.Millisecond)
	w.execute(w.machine.Handle(w.now(), placerID, late))
	w.run(5 * time.Second)
	s := w.follow("gate1", "a")
	w.run(time.Second)
	expect(t, w, "gate1", s, order.Done)
}

// Guards against a task that runs for ever because the only stop that a new
// owner sent for its ended request was lost.
func TestLostStopAfterTakeover(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 2)
	for _, g := range w.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return time.Hour, order.Done }
	}
	w.submit("gate0", request("a", order.Batch).WithDetached(true).WithDeadline(w.now().Add(time.Second)))
	w.run(900 * time.Millisecond)
	is.Equal(len(w.running), 1)
	w.loss = 1
	w.run(time.Second) // ends at its deadline, and the stop is lost
	w.takeOver()
	w.loss = 0
	w.execute(w.machine.Observe(w.now(), w.observation()))
	reply := w.inventoryReply(order.InventoryMsg{}.WithPartition(testPartition).WithEpoch(w.epoch))
	w.loss = 1
	w.execute(w.machine.Handle(w.now(), placerID, reply))
	w.loss = 0
	w.run(3 * time.Second)
	is.Equal(len(w.running), 0)
}
