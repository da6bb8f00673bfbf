package till_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhollow/depot"
	"chervilhollow/order"
)

// actor submits requests through gates as callers do: it follows each request
// through other gates until it has an answer.
type actor struct {
	w        *world
	requests []order.Request
	count    int
}

var gateIDs = []order.MemberID{"gate0", "gate1", "gate2"}

func (a *actor) gate(t *rapid.T) order.MemberID { return rapid.SampledFrom(gateIDs).Draw(t, "gate") }

func (a *actor) submit(t *rapid.T) {
	a.count++
	kind := rapid.SampledFrom([]order.Kind{order.Batch, order.Batch, order.Preview, order.Gang, order.Service}).Draw(t, "kind")
	r := request(fmt.Sprint("r", a.count), kind).
		WithIdempotent(rapid.Bool().Draw(t, "idempotent")).
		WithDetached(rapid.Bool().Draw(t, "detached")).
		WithFresh(rapid.Bool().Draw(t, "fresh")).
		WithUrgent(rapid.Bool().Draw(t, "urgent")).
		WithTasks(rapid.IntRange(1, 4).Draw(t, "tasks"))
	if rapid.Bool().Draw(t, "deadline") {
		wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * time.Millisecond
		r = r.WithDeadline(a.w.now().Add(wait))
	}
	a.requests = append(a.requests, r)
	a.w.submit(a.gate(t), r)
}

// known draws a request that was submitted.
func (a *actor) known(t *rapid.T) (order.Request, bool) {
	if len(a.requests) == 0 {
		return order.Request{}, false
	}
	return rapid.SampledFrom(a.requests).Draw(t, "request"), true
}

func (a *actor) actions() map[string]func(*rapid.T) {
	w := a.w
	return map[string]func(*rapid.T){
		"submit":  a.submit,
		"submit2": a.submit,
		"run": func(t *rapid.T) {
			w.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "steps")) * step)
		},
		"run2": func(t *rapid.T) {
			w.run(time.Duration(rapid.IntRange(1, 10).Draw(t, "steps")) * step)
		},
		"again": func(t *rapid.T) {
			if r, ok := a.known(t); ok {
				w.submit(a.gate(t), r.WithFresh(false))
			}
		},
		"follow": func(t *rapid.T) {
			if r, ok := a.known(t); ok {
				w.follow(a.gate(t), r.ID())
			}
		},
		"cancel": func(t *rapid.T) {
			if r, ok := a.known(t); ok {
				w.cancel(a.gate(t), r.ID())
			}
		},
		"cancel wave": func(t *rapid.T) {
			for i, r := range a.requests {
				if i%2 == 0 {
					w.cancel(a.gate(t), r.ID())
				}
			}
		},
		"network": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			w.twice = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")
			w.delay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
		},
		"store": func(t *rapid.T) {
			faults := rapid.SampledFrom([]int{0, 0, 2, 5}).Draw(t, "faults")
			w.store.SetFaults(func(depot.Call) depot.Fault {
				if w.rand.IntN(6) >= faults {
					return depot.FaultNone
				}
				return depot.Fault(1 + w.rand.IntN(3))
			})
		},
		"owner": func(*rapid.T) { w.takeOver() },
		"late write": func(*rapid.T) {
			w.runLateWrites()
		},
		"group": func(t *rapid.T) { a.disturb(t) },
	}
}

func (a *actor) disturb(t *rapid.T) {
	w := a.w
	g := w.groups[rapid.SampledFrom(w.names).Draw(t, "group")]
	switch rapid.IntRange(0, 4).Draw(t, "disturbance") {
	case 0:
		g.changeOwner(w)
	case 1:
		g.vanish(w)
	case 2:
		g.owned = true
		g.changeOwner(w)
	case 3:
		g.loseWorker(w)
	case 4:
		g.refuse = rapid.Bool().Draw(t, "refuse")
	}
}

// heal ends all faults and lets the callers ask until they have their answers.
func (a *actor) heal(t *rapid.T) {
	w := a.w
	w.loss, w.twice, w.delay = 0, 0, 2*time.Millisecond
	w.store.SetFaults(nil)
	w.runLateWrites()
	for _, id := range w.names {
		g := w.groups[id]
		g.refuse = false
		g.slots = 8 // room for the largest gang
		if !g.owned {
			g.owned = true
			g.changeOwner(w)
		}
	}
	w.run(15 * time.Second)
	a.cancelServices()
	for _, r := range a.requests {
		w.submit("gate1", r.WithFresh(false).WithDetached(false))
	}
	w.run(5 * time.Second)
	a.cancelServices()
	w.run(65 * time.Second)
	a.checkEnd(t)
}

func (a *actor) cancelServices() {
	for _, r := range a.requests {
		if r.Kind() == order.Service {
			a.w.cancel("gate0", r.ID())
		}
	}
}

// checkEnd checks that all requests and calls are answered and nothing runs.
func (a *actor) checkEnd(t *rapid.T) {
	w := a.w
	for _, r := range a.requests {
		answer, ok := w.gates["gate1"].finals[r.ID()]
		if !ok {
			t.Fatalf("%s %s has no answer\n%s%s", r.Kind(), r.ID(), w.machine.Dump(), w.about(r.ID()))
		}
		if answer.Code() == order.Internal || answer.Code() == order.UnknownRequest {
			t.Fatalf("%s %s is answered %s", r.Kind(), r.ID(), answer.Code())
		}
	}
	if open := w.machine.Open(); open != 0 {
		t.Fatalf("%d requests are open in the end", open)
	}
	for id, group := range w.running {
		t.Fatalf("%s still runs in %s\n%s%s", id, group, w.machine.Dump(), w.last(4000))
	}
	for key, n := range w.owed {
		if w.paid[key] == 0 && !w.acceptOnly[key] {
			t.Fatalf("call %s was received %d times by the last owner and has no answer", key, n)
		}
	}
}

// Guards against a second run of a request that must run once, a task in two
// places, an answer that is not true, and a call without an answer, under lost,
// late, doubled and reordered messages, changes of owner at any point, late
// writes of dead owners, store faults, groups that move, vanish and lose their
// workers, and waves of cancellations.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "groups"), rapid.IntRange(1, 3).Draw(t, "slots"))
		w.fail = t.Fatalf
		for _, g := range w.groups {
			g.runTime = func(task order.Task) (time.Duration, order.Code) {
				if task.Kind() == order.Service {
					return time.Hour, order.Done
				}
				code := order.Done
				if w.rand.IntN(5) == 0 {
					code = order.TaskFailed
				}
				return time.Duration(w.rand.Int64N(int64(3 * time.Second))), code
			}
		}
		a := &actor{w: w}
		t.Repeat(a.actions())
		a.heal(t)
	})
}
