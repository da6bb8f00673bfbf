package queue_test

import (
	"fmt"
	"strings"
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

// newRecoveredSim returns a simulation whose first owner has completed its
// inventory.
func newRecoveredSim(t *testing.T, groups, slots int) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, groups, slots)
	sim.run(time.Second)
	if !sim.machine.Recovered() {
		t.Fatal("the first inventory is not complete")
	}
	return sim
}

func expectAnswer(t *testing.T, sim *simulation, gate order.MemberID, sequence uint64, code order.Code) order.AnswerMsg {
	t.Helper()
	a, ok := sim.gates[gate].final(sequence)
	if !ok {
		t.Fatalf("no final answer, want %s", code)
	}
	if a.Code() != code {
		t.Fatalf("answer is %s, want %s", a.Code(), code)
	}
	return a
}

// Guards against a request that is lost between its submission and its answer,
// and against an answer without its body.
func TestAttachedRequest(t *testing.T) {
	for _, kind := range []order.Kind{order.Batch, order.Preview, order.Gang} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, idempotent), func(t *testing.T) {
				is := is.New(t)
				sim := newRecoveredSim(t, 3, 2)
				s := sim.submit("gate0", request("a", kind).WithIdempotent(idempotent).WithTasks(4))
				sim.run(time.Second)
				a := expectAnswer(t, sim, "gate0", s, order.Done)
				is.Equal(string(a.Body()), "result of toys/a/0")
				is.True(sim.gates["gate0"].accepted["a"])
			})
		}
	}
}

// Guards against a detached request that is accepted before it is in the
// journal, and one whose outcome is lost when the owner changes.
func TestDetachedRequest(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	sim.store.SetOutage(true)
	sim.submit("gate0", request("a", order.Batch).WithDetached(true))
	sim.run(time.Second)
	is.True(!sim.gates["gate0"].accepted["a"]) // must wait for the journal
	sim.store.SetOutage(false)
	sim.run(3 * time.Second)
	is.True(sim.gates["gate0"].accepted["a"])
	s := sim.follow("gate1", "a")
	sim.run(time.Second)
	expectAnswer(t, sim, "gate1", s, order.Done)
	sim.replaceOwner()
	sim.run(time.Second)
	s = sim.follow("gate2", "a")
	sim.run(time.Second)
	expectAnswer(t, sim, "gate2", s, order.Done)
	is.Equal(sim.startCounts["toys/a/0"], 1)
}

// Guards against a second run of a request that is submitted through another
// gate, and against a request that gets the result of another one with the same
// ID.
func TestDuplicates(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	r := request("a", order.Batch).WithIdempotent(false)
	first := sim.submit("gate0", r)
	second := sim.submit("gate1", r.WithFresh(false))
	other := sim.submit("gate2", r.WithPayload([]byte("another body")))
	sim.run(time.Second)
	expectAnswer(t, sim, "gate0", first, order.Done)
	expectAnswer(t, sim, "gate1", second, order.Done)
	expectAnswer(t, sim, "gate2", other, order.IDReused)
	late := sim.submit("gate2", r.WithFresh(false))
	sim.run(time.Second)
	expectAnswer(t, sim, "gate2", late, order.Done)
	is.Equal(sim.startCounts["toys/a/0"], 1)
}

// Guards against refusals with a wrong code.
func TestRefusals(t *testing.T) {
	sim := newRecoveredSim(t, 3, 0)
	deadline := sim.now().Add(time.Second)
	large := sim.submit("gate0", request("large", order.Batch).WithSize(order.Resources{}.WithCores(65000)))
	kind := sim.submit("gate0", request("kind", 9))
	late := sim.submit("gate0", request("late", order.Batch).WithDeadline(deadline))
	past := sim.submit("gate0", request("past", order.Batch).WithDeadline(sim.now().Add(-time.Second)))
	cancelled := sim.submit("gate0", request("cancelled", order.Batch))
	sim.run(500 * time.Millisecond)
	canceller := sim.cancel("gate1", "cancelled")
	unknown := sim.follow("gate1", "unknown")
	nothing := sim.cancel("gate1", "nothing")
	sim.run(2 * time.Second)
	expectAnswer(t, sim, "gate0", large, order.TooLarge)
	expectAnswer(t, sim, "gate0", kind, order.UnknownKind)
	expectAnswer(t, sim, "gate0", late, order.DeadlineBeforeRun)
	expectAnswer(t, sim, "gate0", past, order.DeadlineBeforeRun)
	expectAnswer(t, sim, "gate0", cancelled, order.CancelledBeforeRun)
	expectAnswer(t, sim, "gate1", canceller, order.CancelledBeforeRun)
	expectAnswer(t, sim, "gate1", unknown, order.UnknownRequest)
	expectAnswer(t, sim, "gate1", nothing, order.UnknownRequest)
	for _, domain := range []order.DomainName{"d0", "d1", "d2"} {
		sim.config = sim.config.WithDomain(domain, false)
	}
	sim.run(time.Second)
	closed := sim.submit("gate0", request("closed", order.Batch))
	sim.run(time.Second)
	expectAnswer(t, sim, "gate0", closed, order.NoDomain)
}

// Guards against a code that doesn't name the journal, for a request that is
// refused because its record can't be written during a store outage.
func TestJournalUnavailable(t *testing.T) {
	sim := newRecoveredSim(t, 3, 2)
	sim.store.SetOutage(true)
	deadline := sim.now().Add(time.Second)
	detached := sim.submit("gate0", request("a", order.Batch).WithDetached(true).WithDeadline(deadline))
	once := sim.submit("gate0", request("b", order.Batch).WithIdempotent(false).WithDeadline(deadline))
	free := sim.submit("gate0", request("c", order.Batch).WithDeadline(deadline))
	sim.run(2 * time.Second)
	expectAnswer(t, sim, "gate0", detached, order.JournalUnavailable)
	expectAnswer(t, sim, "gate0", once, order.JournalUnavailable)
	expectAnswer(t, sim, "gate0", free, order.Done)
}

// Guards against a wrong code for a task that ran, and against a task that is
// not stopped at its deadline or cancellation.
func TestOutcomesOfRunningTasks(t *testing.T) {
	sim := newRecoveredSim(t, 3, 4)
	for _, g := range sim.groups {
		g.runTime = func(task order.Task) (time.Duration, order.Code) {
			if task.Request() == "failed" {
				return 50 * time.Millisecond, order.TaskFailed
			}
			return time.Hour, order.Done
		}
	}
	failed := sim.submit("gate0", request("failed", order.Batch).WithIdempotent(false))
	late := sim.submit("gate0", request("late", order.Batch).WithDeadline(sim.now().Add(time.Second)))
	stopped := sim.submit("gate0", request("stopped", order.Batch))
	lost := sim.submit("gate0", request("lost", order.Batch).WithIdempotent(false))
	sim.run(500 * time.Millisecond)
	sim.cancel("gate1", "stopped")
	sim.run(time.Second)
	expectAnswer(t, sim, "gate0", failed, order.TaskFailed)
	expectAnswer(t, sim, "gate0", late, order.DeadlineWhileRunning)
	expectAnswer(t, sim, "gate0", stopped, order.CancelledRunning)
	for _, g := range sim.groups {
		g.loseWorker(sim)
	}
	sim.run(time.Second)
	expectAnswer(t, sim, "gate0", lost, order.WorkerLost)
	if len(sim.running) != 0 {
		t.Fatalf("%v still run", sim.running)
	}
}

// Guards against a full queue that admits more requests, and against one team
// that fills the whole queue.
func TestQueueFull(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 1, 0)
	var sequences []uint64
	for i := range 4097 {
		sequences = append(sequences, sim.submit("gate0", request(fmt.Sprint("r", i), order.Batch)))
	}
	sim.run(time.Second)
	is.Equal(sim.machine.Open(), 4096) // half of the queue for one team
	refused := 0
	for _, s := range sequences {
		if a, ok := sim.gates["gate0"].final(s); ok && a.Code() == order.QueueFull {
			refused++
		}
	}
	is.Equal(refused, 1)
}

// Guards against a service that ends when its worker is lost, and against a
// service that can't be cancelled.
func TestServiceTasksAreReplaced(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return time.Hour, order.Done }
	}
	s := sim.submit("gate0", request("web", order.Service).WithTasks(3).WithIdempotent(false))
	sim.run(time.Second)
	is.Equal(len(sim.running), 3)
	for _, g := range sim.groups {
		g.loseWorker(sim)
	}
	sim.run(5 * time.Second)
	is.Equal(len(sim.running), 3) // replaced
	sim.cancel("gate1", "web")
	sim.run(2 * time.Second)
	expectAnswer(t, sim, "gate0", s, order.CancelledRunning)
	is.Equal(len(sim.running), 0)
}

// Guards against a takeover that runs a non-idempotent request again, starts a
// running one twice, or answers a known code although the outcome is unknown.
// The group loses the entry of one request before the takeover.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 3 * time.Second, order.Done }
	}
	once := request("once", order.Batch).WithIdempotent(false)
	lost := request("gone", order.Batch).WithIdempotent(false)
	again := request("again", order.Batch)
	for _, r := range []order.Request{once, lost, again} {
		sim.submit("gate0", r)
	}
	sim.run(time.Second)
	is.Equal(len(sim.running), 3)
	for _, g := range sim.groups {
		if e, ok := g.entries["toys/gone/0"]; ok {
			delete(sim.running, "toys/gone/0")
			g.remove(e)
		}
	}
	sim.replaceOwner()
	a := sim.submit("gate1", once.WithFresh(false))
	b := sim.submit("gate1", lost.WithFresh(false))
	c := sim.submit("gate1", again.WithFresh(false))
	sim.run(4 * time.Second)
	expectAnswer(t, sim, "gate1", a, order.Done)
	unknown := expectAnswer(t, sim, "gate1", b, order.OutcomeUnknown)
	is.True(strings.Contains(unknown.Text(), "no group has the task"))
	expectAnswer(t, sim, "gate1", c, order.Done)
	is.Equal(sim.startCounts["toys/again/0"], 1) // adopted
}

// Guards against a request that stays queued for ever because it has bids at a
// former owner of its group, and against one that stays open after its group
// shut down.
func TestGroupChangesOwnerOrShutsDown(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 2, 0)
	s := sim.submit("gate0", request("a", order.Batch))
	sim.run(time.Second)
	for _, g := range sim.groups {
		g.changeOwner(sim)
		g.slots = 1
	}
	sim.run(2 * time.Second)
	expectAnswer(t, sim, "gate0", s, order.Done)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return 20 * time.Second, order.Done }
	}
	once := sim.submit("gate0", request("once", order.Batch).WithIdempotent(false))
	again := sim.submit("gate0", request("again", order.Batch))
	sim.run(time.Second)
	is.Equal(len(sim.running), 2)
	for _, g := range sim.groups {
		g.shutDown(sim)
	}
	sim.run(time.Second)
	for _, g := range sim.groups {
		g.owned = true
		g.changeOwner(sim)
	}
	sim.run(30 * time.Second)
	expectAnswer(t, sim, "gate0", once, order.WorkerLost)
	expectAnswer(t, sim, "gate0", again, order.Done)
}

// Guards against bids in failure domains that the team may not use.
func TestTeamDomains(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 6, 2)
	sim.config = sim.config.WithTeam(sheet.NewTeam(testTeam, 1, 100, "d1"))
	sim.run(time.Second)
	for i := range 4 {
		sim.submit("gate0", request(fmt.Sprint("r", i), order.Batch))
	}
	sim.run(40 * time.Millisecond)
	for _, group := range sim.running {
		is.Equal(group.Domain(), order.DomainName("d1"))
	}
	sim.run(time.Second)
	is.Equal(len(sim.gates["gate0"].finals), 4)
}

// Guards against an inventory that lists an attempt as running although its end
// has already been reported: the attempt must not be adopted again.
func TestLateInventory(t *testing.T) {
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return time.Second, order.Done }
	}
	r := request("a", order.Batch).WithDetached(true)
	sim.submit("gate0", r)
	sim.run(500 * time.Millisecond)
	sim.replaceOwner()
	late := sim.inventoryReply(order.InventoryMsg{}.WithPartition(testPartition).WithEpoch(sim.epoch))
	sim.noInventory = true
	for _, g := range sim.groups {
		g.loseWorker(sim)
	}
	sim.run(50 * time.Millisecond)
	sim.execute(sim.machine.Handle(sim.now(), placerID, late))
	sim.run(5 * time.Second)
	s := sim.follow("gate1", "a")
	sim.run(time.Second)
	expectAnswer(t, sim, "gate1", s, order.Done)
}

// Guards against a task that runs for ever after a takeover, because the only
// stop that the new owner sent was lost and the request already had its
// outcome.
func TestStopIsResentAfterTakeover(t *testing.T) {
	is := is.New(t)
	sim := newRecoveredSim(t, 3, 2)
	for _, g := range sim.groups {
		g.runTime = func(order.Task) (time.Duration, order.Code) { return time.Hour, order.Done }
	}
	sim.submit("gate0", request("a", order.Batch).WithDetached(true).WithDeadline(sim.now().Add(time.Second)))
	sim.run(900 * time.Millisecond)
	is.Equal(len(sim.running), 1)
	sim.lossRate = 1
	sim.run(time.Second) // ends at its deadline, and the stop is lost
	sim.replaceOwner()
	sim.lossRate = 0
	sim.execute(sim.machine.Observe(sim.now(), sim.observation()))
	reply := sim.inventoryReply(order.InventoryMsg{}.WithPartition(testPartition).WithEpoch(sim.epoch))
	sim.lossRate = 1
	sim.execute(sim.machine.Handle(sim.now(), placerID, reply))
	sim.lossRate = 0
	sim.run(3 * time.Second)
	is.Equal(len(sim.running), 0)
}
