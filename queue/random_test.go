package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhollow/order"
	"chervilhollow/storage"
)

// callers acts as the callers of the gates do: it submits requests, and
// follows, cancels or repeats them through any gate.
type callers struct {
	sim      *simulation
	requests []order.Request
	count    int
}

var gateIDs = []order.MemberID{"gate0", "gate1", "gate2"}

func (c *callers) gate(t *rapid.T) order.MemberID { return rapid.SampledFrom(gateIDs).Draw(t, "gate") }

func (c *callers) submit(t *rapid.T) {
	c.count++
	kind := rapid.SampledFrom([]order.Kind{order.Batch, order.Batch, order.Preview, order.Gang, order.Service}).Draw(t, "kind")
	r := request(fmt.Sprint("r", c.count), kind).
		WithIdempotent(rapid.Bool().Draw(t, "idempotent")).
		WithDetached(rapid.Bool().Draw(t, "detached")).
		WithFresh(rapid.Bool().Draw(t, "fresh")).
		WithUrgent(rapid.Bool().Draw(t, "urgent")).
		WithTasks(rapid.IntRange(1, 4).Draw(t, "tasks"))
	if rapid.Bool().Draw(t, "deadline") {
		wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * time.Millisecond
		r = r.WithDeadline(c.sim.now().Add(wait))
	}
	c.requests = append(c.requests, r)
	c.sim.submit(c.gate(t), r)
}

// submittedRequest draws a request that was submitted, if there is one.
func (c *callers) submittedRequest(t *rapid.T) (order.Request, bool) {
	if len(c.requests) == 0 {
		return order.Request{}, false
	}
	return rapid.SampledFrom(c.requests).Draw(t, "request"), true
}

func (c *callers) actions() map[string]func(*rapid.T) {
	sim := c.sim
	return map[string]func(*rapid.T){
		"submit":  c.submit,
		"submit2": c.submit,
		"run": func(t *rapid.T) {
			sim.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "steps")) * stepLength)
		},
		"run2": func(t *rapid.T) {
			sim.run(time.Duration(rapid.IntRange(1, 10).Draw(t, "steps")) * stepLength)
		},
		"again": func(t *rapid.T) {
			if r, ok := c.submittedRequest(t); ok {
				sim.submit(c.gate(t), r.WithFresh(false))
			}
		},
		"follow": func(t *rapid.T) {
			if r, ok := c.submittedRequest(t); ok {
				sim.follow(c.gate(t), r.ID())
			}
		},
		"cancel": func(t *rapid.T) {
			if r, ok := c.submittedRequest(t); ok {
				sim.cancel(c.gate(t), r.ID())
			}
		},
		"cancel wave": func(t *rapid.T) {
			for i, r := range c.requests {
				if i%2 == 0 {
					sim.cancel(c.gate(t), r.ID())
				}
			}
		},
		"network": func(t *rapid.T) {
			sim.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			sim.duplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")
			sim.maxDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
		},
		"store": func(t *rapid.T) {
			faults := rapid.SampledFrom([]int{0, 0, 2, 5}).Draw(t, "faults")
			sim.store.SetFaults(func(storage.CallKind) storage.Fault {
				if sim.rand.IntN(6) >= faults {
					return storage.FaultNone
				}
				return storage.Fault(1 + sim.rand.IntN(3))
			})
		},
		"owner": func(*rapid.T) { sim.replaceOwner() },
		"late write": func(*rapid.T) {
			sim.runLateWrites()
		},
		"group": func(t *rapid.T) { c.injectGroupFault(t) },
	}
}

// injectGroupFault draws a group and a fault for it.
func (c *callers) injectGroupFault(t *rapid.T) {
	sim := c.sim
	g := sim.groups[rapid.SampledFrom(sim.groupIDs).Draw(t, "group")]
	switch rapid.IntRange(0, 4).Draw(t, "disturbance") {
	case 0:
		g.changeOwner(sim)
	case 1:
		g.shutDown(sim)
	case 2:
		g.owned = true
		g.changeOwner(sim)
	case 3:
		g.loseWorker(sim)
	case 4:
		g.refuseBids = rapid.Bool().Draw(t, "refuse")
	}
}

// endFaults ends all faults and waits until all requests have ended. It submits
// each request once more, to get its answer.
func (c *callers) endFaults(t *rapid.T) {
	sim := c.sim
	sim.lossRate, sim.duplicateRate, sim.maxDelay = 0, 0, 2*time.Millisecond
	sim.store.SetFaults(nil)
	sim.runLateWrites()
	for _, id := range sim.groupIDs {
		g := sim.groups[id]
		g.refuseBids = false
		g.slots = 8 // enough for the largest gang
		if !g.owned {
			g.owned = true
			g.changeOwner(sim)
		}
	}
	sim.run(15 * time.Second)
	c.cancelServices()
	for _, r := range c.requests {
		sim.submit("gate1", r.WithFresh(false).WithDetached(false))
	}
	sim.run(5 * time.Second)
	c.cancelServices()
	sim.run(65 * time.Second)
	c.checkEnd(t)
}

func (c *callers) cancelServices() {
	for _, r := range c.requests {
		if r.Kind() == order.Service {
			c.sim.cancel("gate0", r.ID())
		}
	}
}

// checkEnd fails the test if a request or call has no answer, or a task still
// runs.
func (c *callers) checkEnd(t *rapid.T) {
	sim := c.sim
	for _, r := range c.requests {
		answer, ok := sim.gates["gate1"].finals[r.ID()]
		if !ok {
			t.Fatalf("%s %s has no answer\n%s%s", r.Kind(), r.ID(), sim.machine.Dump(), sim.historyOf(r.ID()))
		}
		if answer.Code() == order.Internal || answer.Code() == order.UnknownRequest {
			t.Fatalf("%s %s is answered %s", r.Kind(), r.ID(), answer.Code())
		}
	}
	if open := sim.machine.Open(); open != 0 {
		t.Fatalf("%d requests are open in the end", open)
	}
	for id, group := range sim.running {
		t.Fatalf("%s still runs in %s\n%s%s", id, group, sim.machine.Dump(), sim.recentHistory(4000))
	}
	for key, n := range sim.callsReceived {
		if sim.finalsSent[key] == 0 && !sim.acceptOnly[key] {
			t.Fatalf("call %s was received %d times by the last owner and has no answer", key, n)
		}
	}
}

// Guards against a second run of a request that must run once, a task that runs
// in two places, an answer that is not true, and a call without an answer. The
// faults are lost, late, duplicated and reordered messages, changes of owner at
// any point, late writes of former owners, store faults, groups that change
// owner, shut down and lose their workers, and many cancellations at once.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "groups"), rapid.IntRange(1, 3).Draw(t, "slots"))
		sim.fail = t.Fatalf
		for _, g := range sim.groups {
			g.runTime = func(task order.Task) (time.Duration, order.Code) {
				if task.Kind() == order.Service {
					return time.Hour, order.Done
				}
				code := order.Done
				if sim.rand.IntN(5) == 0 {
					code = order.TaskFailed
				}
				return time.Duration(sim.rand.Int64N(int64(3 * time.Second))), code
			}
		}
		c := &callers{sim: sim}
		t.Repeat(c.actions())
		c.endFaults(t)
	})
}
