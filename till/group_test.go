package till_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

const (
	fakeHold   = 500 * time.Millisecond
	fakeRepost = time.Second
)

func ref(task order.TaskID, attempt order.Attempt) string { return fmt.Sprint(task, "#", attempt) }

func (g *fakeGroup) digest() order.GroupDigest {
	size := order.Resources{}.WithCores(64000).WithMemory(256 << 30)
	return order.GroupDigest{}.
		WithGroup(g.id).
		WithDomain(g.id.Domain()).
		WithEpoch(g.epoch).
		WithFree(size).
		WithFreeSlots(g.free()).
		WithLargest(size).
		WithWorkers(1).
		WithSlots(g.slots).
		WithRunning(map[order.TeamName]int{testTeam: g.slots - g.free()}).
		WithAllotted(map[order.TeamName]int{testTeam: g.slots})
}

func (g *fakeGroup) free() int {
	free := g.slots
	for _, e := range g.entries {
		if e.state != order.TaskEnded {
			free--
		}
	}
	return free
}

func (g *fakeGroup) inventory() []order.InventoryEntry {
	// A new owner of the partition bids anew, so what the former one bid for
	// or holds is released: a late confirmation must not start it.
	g.bids = nil
	var entries []order.InventoryEntry
	for _, id := range g.sorted() {
		e := g.entries[id]
		if e.state == order.TaskHeld {
			g.forget(e)
			g.settled[ref(id, e.attempt)] = true
			continue
		}
		entries = append(entries, order.InventoryEntry{}.
			WithTask(e.task).
			WithAttempt(e.attempt).
			WithGroup(g.id).
			WithState(e.state).
			WithOutcome(e.outcome))
	}
	return entries
}

func (g *fakeGroup) sorted() []order.TaskID {
	ids := make([]order.TaskID, 0, len(g.entries))
	for id := range g.entries {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (g *fakeGroup) forget(e *fakeEntry) { delete(g.entries, e.task.ID()) }

func (g *fakeGroup) post(w *world, msg order.Msg) {
	if g.owned {
		w.transmit(packet{from: placerID, msg: msg})
	}
}

func (g *fakeGroup) receive(w *world, msg order.Msg) {
	if !g.owned {
		return
	}
	switch m := msg.(type) {
	case order.BidMsg:
		g.bid(w, m)
	case order.WithdrawMsg:
		g.release(m.Task(), m.Attempt())
	case order.DeclineMsg:
		g.release(m.Task(), m.Attempt())
	case order.ConfirmMsg:
		g.confirm(w, m)
	case order.StopMsg:
		g.stop(w, m)
	case order.EndedAckMsg:
		if e, ok := g.entries[m.Task()]; ok && e.attempt == m.Attempt() && e.state == order.TaskEnded {
			g.forget(e)
		}
	case order.HoldMsg:
		g.hold(w, m)
	}
}

func (g *fakeGroup) bid(w *world, m order.BidMsg) {
	id := m.Task().ID()
	if e, ok := g.entries[id]; ok && (e.attempt >= m.Attempt() || e.state == order.TaskStarting || e.state == order.TaskRunning) {
		return
	}
	if _, over := g.settled[ref(id, m.Attempt())]; over {
		return
	}
	if g.refuse {
		g.post(w, order.BidRefusedMsg{}.WithPartition(testPartition).WithTask(id).WithAttempt(m.Attempt()).WithGroup(g.id).WithCode(order.QueueFull))
		return
	}
	g.release(id, m.Attempt())
	g.bids = append(g.bids, m)
}

func (g *fakeGroup) release(id order.TaskID, attempt order.Attempt) {
	kept := g.bids[:0]
	for _, b := range g.bids {
		if b.Task().ID() != id || b.Attempt() > attempt {
			kept = append(kept, b)
		}
	}
	g.bids = kept
	if e, ok := g.entries[id]; ok && e.state == order.TaskHeld && e.attempt <= attempt {
		g.settled[ref(id, e.attempt)] = true
		g.forget(e)
	}
}

func (g *fakeGroup) hold(w *world, m order.HoldMsg) {
	var held []order.TaskID
	for _, task := range m.Tasks() {
		_, known := g.entries[task.ID()]
		_, over := g.settled[ref(task.ID(), m.Attempt())]
		if known || over || g.free() <= 0 {
			continue
		}
		g.entries[task.ID()] = &fakeEntry{task: task, attempt: m.Attempt(), state: order.TaskHeld, until: w.now().Add(fakeHold)}
		held = append(held, task.ID())
	}
	g.post(w, order.HeldMsg{}.WithPartition(testPartition).WithRequest(m.Request()).WithGroup(g.id).WithAttempt(m.Attempt()).WithTasks(held).WithHold(fakeHold))
}

func (g *fakeGroup) confirm(w *world, m order.ConfirmMsg) {
	e, ok := g.entries[m.Task()]
	switch {
	case !ok || e.attempt < m.Attempt():
		g.unknown(w, m.Task(), m.Attempt())
	case e.attempt > m.Attempt():
	case e.state == order.TaskHeld:
		g.start(w, e)
	case e.state == order.TaskRunning:
		g.started(w, e)
	case e.state == order.TaskEnded:
		g.ended(w, e)
	}
}

// unknown answers for an attempt that the group does not know: it never
// started, unless it ended and was acknowledged.
func (g *fakeGroup) unknown(w *world, id order.TaskID, attempt order.Attempt) {
	notStarted, over := g.settled[ref(id, attempt)]
	if over && !notStarted {
		return
	}
	g.settled[ref(id, attempt)] = true
	outcome := order.Outcome{}.WithTask(id).WithAttempt(attempt).WithCode(order.QueueFull)
	g.post(w, order.EndedMsg{}.WithPartition(testPartition).WithGroup(g.id).WithOutcome(outcome).WithNotStarted(true).WithEpoch(g.epoch))
}

func (g *fakeGroup) start(w *world, e *fakeEntry) {
	id := e.task.ID()
	key := logbook.Key{Team: e.task.Team(), Request: e.task.Request()}
	w.note("%s starts %s %x", g.id, id, e.attempt)
	w.starts[id]++
	w.since[key]++
	if other, ok := w.running[id]; ok {
		w.fail("task %s starts in %s while it runs in %s\n%s", id, g.id, other, w.last(80))
	}
	if w.starts[id] > 1 && !e.task.Idempotent() && e.task.Kind() != order.Service {
		w.fail("task %s, which is not idempotent, starts for the %d. time\n%s", id, w.starts[id], w.last(80))
	}
	if code := w.refused[key]; code != order.Done {
		w.fail("task %s starts after the request was answered %s\n%s", id, code, w.about(e.task.Request()))
	}
	w.running[id] = g.id
	e.state = order.TaskRunning
	d, code := g.runTime(e.task)
	e.until = w.now().Add(d)
	e.code = code
	g.settled[ref(id, e.attempt)] = false
	g.started(w, e)
}

func (g *fakeGroup) started(w *world, e *fakeEntry) {
	g.post(w, order.StartedMsg{}.WithPartition(testPartition).WithTask(e.task.ID()).WithAttempt(e.attempt).WithGroup(g.id).WithWorker("w"))
}

func (g *fakeGroup) stop(w *world, m order.StopMsg) {
	g.removeBid(m.Task(), m.Attempt())
	e, ok := g.entries[m.Task()]
	switch {
	case !ok || e.attempt < m.Attempt():
		g.unknown(w, m.Task(), m.Attempt())
	case e.attempt > m.Attempt():
	case e.state == order.TaskHeld:
		g.release(m.Task(), m.Attempt())
		g.unknown(w, m.Task(), m.Attempt())
	case e.state == order.TaskRunning:
		g.end(w, e, order.CancelledRunning)
	case e.state == order.TaskEnded:
		g.ended(w, e)
	}
}

func (g *fakeGroup) removeBid(id order.TaskID, attempt order.Attempt) {
	kept := g.bids[:0]
	for _, b := range g.bids {
		if b.Task().ID() != id || b.Attempt() > attempt {
			kept = append(kept, b)
		}
	}
	g.bids = kept
}

func (g *fakeGroup) end(w *world, e *fakeEntry, code order.Code) {
	w.note("%s ends %s %x %s", g.id, e.task.ID(), e.attempt, code)
	delete(w.running, e.task.ID())
	e.state = order.TaskEnded
	body := []byte(nil)
	if code == order.Done {
		body = []byte("result of " + string(e.task.ID()))
		if g.body != nil {
			body = g.body
		}
	}
	e.outcome = order.Outcome{}.
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithCode(code).
		WithBody(body).
		WithLength(len(body)).
		WithChecksum(xxhash.Sum64(body)).
		WithCheckpointed(g.checkpoint)
	if g.short {
		e.outcome = e.outcome.WithBody(body[:len(body)/2])
	}
	g.ended(w, e)
}

// repair lets the group send its results whole.
func (g *fakeGroup) repair() {
	for id, e := range g.entries {
		if body := []byte("result of " + string(id)); e.outcome.Length() == len(body) {
			e.outcome = e.outcome.WithBody(body)
		}
	}
}

func (g *fakeGroup) ended(w *world, e *fakeEntry) {
	e.repost = w.now().Add(fakeRepost)
	g.post(w, order.EndedMsg{}.WithPartition(testPartition).WithGroup(g.id).WithOutcome(e.outcome).WithEpoch(g.epoch))
}

func (g *fakeGroup) tick(w *world) {
	for _, id := range g.sorted() {
		e := g.entries[id]
		switch {
		case e.state == order.TaskHeld && !w.now().Before(e.until):
			g.settled[ref(id, e.attempt)] = true
			g.forget(e)
		case e.state == order.TaskRunning && !e.until.IsZero() && !w.now().Before(e.until):
			g.end(w, e, e.code)
		case e.state == order.TaskEnded && !w.now().Before(e.repost):
			g.ended(w, e)
		}
	}
	if g.owned {
		g.offer(w)
	}
}

func (g *fakeGroup) offer(w *world) {
	for g.free() > 0 && len(g.bids) > 0 {
		b := g.bids[0]
		g.bids = g.bids[1:]
		if e, ok := g.entries[b.Task().ID()]; ok && (e.attempt >= b.Attempt() || e.state != order.TaskEnded) {
			continue
		}
		g.entries[b.Task().ID()] = &fakeEntry{task: b.Task(), attempt: b.Attempt(), state: order.TaskHeld, until: w.now().Add(fakeHold)}
		g.post(w, order.OfferMsg{}.WithPartition(testPartition).WithTask(b.Task().ID()).WithAttempt(b.Attempt()).WithGroup(g.id).WithEpoch(g.epoch).WithHold(fakeHold))
	}
}

// changeOwner moves the group to a new owner, which knows what runs but no
// bids and holds.
func (g *fakeGroup) changeOwner(w *world) {
	w.note("%s gets a new owner", g.id)
	g.epoch++
	g.bids = nil
	g.settled = make(map[string]bool)
	for _, id := range g.sorted() {
		if e := g.entries[id]; e.state == order.TaskHeld {
			g.forget(e)
		}
	}
}

// vanish ends all tasks of the group and leaves it without an owner.
func (g *fakeGroup) vanish(w *world) {
	w.note("%s vanishes", g.id)
	g.owned = false
	g.bids = nil
	for _, id := range g.sorted() {
		if w.running[id] == g.id {
			delete(w.running, id)
		}
		g.forget(g.entries[id])
	}
}

// loseWorker ends all running tasks as lost with their worker.
func (g *fakeGroup) loseWorker(w *world) {
	for _, id := range g.sorted() {
		if e := g.entries[id]; e.state == order.TaskRunning {
			g.end(w, e, order.WorkerLost)
		}
	}
}
