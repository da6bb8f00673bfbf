package queue_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhollow/logbook"
	"chervilhollow/order"
)

const (
	fakeHold         = 500 * time.Millisecond
	fakeResendPeriod = time.Second
)

// ref identifies an attempt of a task.
func ref(task order.TaskID, attempt order.Attempt) string { return fmt.Sprint(task, "#", attempt) }

func (g *fakeGroup) digest() order.GroupDigest {
	size := order.Resources{}.WithCores(64000).WithMemory(256 << 30)
	return order.GroupDigest{}.
		WithGroup(g.id).
		WithDomain(g.id.Domain()).
		WithEpoch(g.epoch).
		WithFree(size).
		WithFreeSlots(g.n()).
		WithLargest(size).
		WithWorkers(1).
		WithSlots(g.slots).
		WithRunning(map[order.TeamName]int{testTeam: g.slots - g.n()}).
		WithAllotted(map[order.TeamName]int{testTeam: g.slots})
}

func (g *fakeGroup) n() int {
	n := g.slots
	for _, e := range g.entries {
		if e.state != order.TaskEnded {
			n--
		}
	}
	return n
}

func (g *fakeGroup) inventory() []order.InventoryEntry {
	// A new owner of the partition bids again, so the bids and holds of the
	// former one are released. A late confirmation must not start such a hold.
	g.bids = nil
	var entries []order.InventoryEntry
	for _, id := range g.sortedTasks() {
		e := g.entries[id]
		if e.state == order.TaskHeld {
			g.remove(e)
			g.closedAttempts[ref(id, e.attempt)] = true
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

func (g *fakeGroup) sortedTasks() []order.TaskID {
	ids := make([]order.TaskID, 0, len(g.entries))
	for id := range g.entries {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (g *fakeGroup) remove(e *fakeEntry) { delete(g.entries, e.task.ID()) }

func (g *fakeGroup) post(sim *simulation, msg order.Msg) {
	if g.owned {
		sim.transmit(packet{from: placerID, msg: msg})
	}
}

func (g *fakeGroup) receive(sim *simulation, msg order.Msg) {
	if !g.owned {
		return
	}
	switch m := msg.(type) {
	case order.BidMsg:
		g.bid(sim, m)
	case order.WithdrawMsg:
		g.release(m.Task(), m.Attempt())
	case order.DeclineMsg:
		g.release(m.Task(), m.Attempt())
	case order.ConfirmMsg:
		g.confirm(sim, m)
	case order.StopMsg:
		g.stop(sim, m)
	case order.EndedAckMsg:
		if e, ok := g.entries[m.Task()]; ok && e.attempt == m.Attempt() && e.state == order.TaskEnded {
			g.remove(e)
		}
	case order.HoldMsg:
		g.hold(sim, m)
	}
}

func (g *fakeGroup) bid(sim *simulation, m order.BidMsg) {
	id := m.Task().ID()
	if e, ok := g.entries[id]; ok && (e.attempt >= m.Attempt() || e.state == order.TaskStarting || e.state == order.TaskRunning) {
		return
	}
	if _, over := g.closedAttempts[ref(id, m.Attempt())]; over {
		return
	}
	if g.refuseBids {
		g.post(sim, order.BidRefusedMsg{}.WithPartition(testPartition).WithTask(id).WithAttempt(m.Attempt()).WithGroup(g.id).WithCode(order.QueueFull))
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
		g.closedAttempts[ref(id, e.attempt)] = true
		g.remove(e)
	}
}

func (g *fakeGroup) hold(sim *simulation, m order.HoldMsg) {
	var held []order.TaskID
	for _, task := range m.Tasks() {
		_, known := g.entries[task.ID()]
		_, over := g.closedAttempts[ref(task.ID(), m.Attempt())]
		if known || over || g.n() <= 0 {
			continue
		}
		g.entries[task.ID()] = &fakeEntry{task: task, attempt: m.Attempt(), state: order.TaskHeld, expiresAt: sim.now().Add(fakeHold)}
		held = append(held, task.ID())
	}
	g.post(sim, order.HoldReplyMsg{}.WithPartition(testPartition).WithRequest(m.Request()).WithGroup(g.id).WithAttempt(m.Attempt()).WithTasks(held).WithHold(fakeHold))
}

func (g *fakeGroup) confirm(sim *simulation, m order.ConfirmMsg) {
	e, ok := g.entries[m.Task()]
	switch {
	case !ok || e.attempt < m.Attempt():
		g.replyNotStarted(sim, m.Task(), m.Attempt())
	case e.attempt > m.Attempt():
	case e.state == order.TaskHeld:
		g.start(sim, e)
	case e.state == order.TaskRunning:
		g.sendStarted(sim, e)
	case e.state == order.TaskEnded:
		g.sendEnded(sim, e)
	}
}

// replyNotStarted reports an attempt that the group does not have as not
// started, unless it ended and was acknowledged.
func (g *fakeGroup) replyNotStarted(sim *simulation, id order.TaskID, attempt order.Attempt) {
	notStarted, over := g.closedAttempts[ref(id, attempt)]
	if over && !notStarted {
		return
	}
	g.closedAttempts[ref(id, attempt)] = true
	outcome := order.Outcome{}.WithTask(id).WithAttempt(attempt).WithCode(order.QueueFull)
	g.post(sim, order.EndedMsg{}.WithPartition(testPartition).WithGroup(g.id).WithOutcome(outcome).WithNotStarted(true).WithEpoch(g.epoch))
}

func (g *fakeGroup) start(sim *simulation, e *fakeEntry) {
	id := e.task.ID()
	key := logbook.Key{Team: e.task.Team(), Request: e.task.Request()}
	sim.logf("%s starts %s %x", g.id, id, e.attempt)
	sim.startCounts[id]++
	sim.startsSinceSubmit[key]++
	if other, ok := sim.running[id]; ok {
		sim.fail("task %s starts in %s while it runs in %s\n%s", id, g.id, other, sim.recentHistory(80))
	}
	if sim.startCounts[id] > 1 && !e.task.Idempotent() && e.task.Kind() != order.Service {
		sim.fail("task %s, which is not idempotent, starts for the %d. time\n%s", id, sim.startCounts[id], sim.recentHistory(80))
	}
	if code := sim.refused[key]; code != order.Done {
		sim.fail("task %s starts after the request was answered %s\n%s", id, code, sim.historyOf(e.task.Request()))
	}
	sim.running[id] = g.id
	e.state = order.TaskRunning
	d, code := g.runTime(e.task)
	e.expiresAt = sim.now().Add(d)
	e.code = code
	g.closedAttempts[ref(id, e.attempt)] = false
	g.sendStarted(sim, e)
}

func (g *fakeGroup) sendStarted(sim *simulation, e *fakeEntry) {
	g.post(sim, order.StartedMsg{}.WithPartition(testPartition).WithTask(e.task.ID()).WithAttempt(e.attempt).WithGroup(g.id).WithWorker("w"))
}

func (g *fakeGroup) stop(sim *simulation, m order.StopMsg) {
	g.removeBid(m.Task(), m.Attempt())
	e, ok := g.entries[m.Task()]
	switch {
	case !ok || e.attempt < m.Attempt():
		g.replyNotStarted(sim, m.Task(), m.Attempt())
	case e.attempt > m.Attempt():
	case e.state == order.TaskHeld:
		g.release(m.Task(), m.Attempt())
		g.replyNotStarted(sim, m.Task(), m.Attempt())
	case e.state == order.TaskRunning:
		g.end(sim, e, order.CancelledRunning)
	case e.state == order.TaskEnded:
		g.sendEnded(sim, e)
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

func (g *fakeGroup) end(sim *simulation, e *fakeEntry, code order.Code) {
	sim.logf("%s ends %s %x %s", g.id, e.task.ID(), e.attempt, code)
	delete(sim.running, e.task.ID())
	e.state = order.TaskEnded
	body := []byte(nil)
	if code == order.Done {
		body = []byte("result of " + string(e.task.ID()))
		if g.resultBody != nil {
			body = g.resultBody
		}
	}
	e.outcome = order.Outcome{}.
		WithTask(e.task.ID()).
		WithAttempt(e.attempt).
		WithCode(code).
		WithBody(body).
		WithLength(len(body)).
		WithChecksum(xxhash.Sum64(body)).
		WithCheckpointed(g.checkpointTasks)
	if g.truncate {
		e.outcome = e.outcome.WithBody(body[:len(body)/2])
	}
	g.sendEnded(sim, e)
}

// restoreResults makes the results complete that were truncated.
func (g *fakeGroup) restoreResults() {
	for id, e := range g.entries {
		if body := []byte("result of " + string(id)); e.outcome.Length() == len(body) {
			e.outcome = e.outcome.WithBody(body)
		}
	}
}

func (g *fakeGroup) sendEnded(sim *simulation, e *fakeEntry) {
	e.resendAt = sim.now().Add(fakeResendPeriod)
	g.post(sim, order.EndedMsg{}.WithPartition(testPartition).WithGroup(g.id).WithOutcome(e.outcome).WithEpoch(g.epoch))
}

func (g *fakeGroup) tick(sim *simulation) {
	for _, id := range g.sortedTasks() {
		e := g.entries[id]
		switch {
		case e.state == order.TaskHeld && !sim.now().Before(e.expiresAt):
			g.closedAttempts[ref(id, e.attempt)] = true
			g.remove(e)
		case e.state == order.TaskRunning && !e.expiresAt.IsZero() && !sim.now().Before(e.expiresAt):
			g.end(sim, e, e.code)
		case e.state == order.TaskEnded && !sim.now().Before(e.resendAt):
			g.sendEnded(sim, e)
		}
	}
	if g.owned {
		g.offer(sim)
	}
}

func (g *fakeGroup) offer(sim *simulation) {
	for g.n() > 0 && len(g.bids) > 0 {
		b := g.bids[0]
		g.bids = g.bids[1:]
		if e, ok := g.entries[b.Task().ID()]; ok && (e.attempt >= b.Attempt() || e.state != order.TaskEnded) {
			continue
		}
		g.entries[b.Task().ID()] = &fakeEntry{task: b.Task(), attempt: b.Attempt(), state: order.TaskHeld, expiresAt: sim.now().Add(fakeHold)}
		g.post(sim, order.OfferMsg{}.WithPartition(testPartition).WithTask(b.Task().ID()).WithAttempt(b.Attempt()).WithGroup(g.id).WithEpoch(g.epoch).WithHold(fakeHold))
	}
}

// changeOwner gives the group a new owner. It has the running tasks, but no
// bids and holds.
func (g *fakeGroup) changeOwner(sim *simulation) {
	sim.logf("%s gets a new owner", g.id)
	g.epoch++
	g.bids = nil
	g.closedAttempts = make(map[string]bool)
	for _, id := range g.sortedTasks() {
		if e := g.entries[id]; e.state == order.TaskHeld {
			g.remove(e)
		}
	}
}

// shutDown ends all tasks of the group and leaves it without an owner.
func (g *fakeGroup) shutDown(sim *simulation) {
	sim.logf("%s shuts down", g.id)
	g.owned = false
	g.bids = nil
	for _, id := range g.sortedTasks() {
		if sim.running[id] == g.id {
			delete(sim.running, id)
		}
		g.remove(g.entries[id])
	}
}

// loseWorker ends all running tasks as worker_lost.
func (g *fakeGroup) loseWorker(sim *simulation) {
	for _, id := range g.sortedTasks() {
		if e := g.entries[id]; e.state == order.TaskRunning {
			g.end(sim, e, order.WorkerLost)
		}
	}
}
