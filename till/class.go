package till

import (
	"chervilhollow/order"
)

type (
	class uint8

	// backlog holds the tasks that wait to bid, by class and team. Within a
	// class the teams take turns.
	backlog struct {
		classes [classes]classQueue
		dirty   bool
	}

	classQueue struct {
		teams map[order.TeamName]*teamQueue
		turn  []*teamQueue
		next  int
	}

	// teamQueue is the waiting work of one team in one class. A gang waits as
	// its first task.
	teamQueue struct {
		waiting []*task
		bidding int
	}
)

// Classes in the order in which they are served.
const (
	classUrgent class = iota
	classPreview
	classService
	classGang
	classBatch
	classes
)

// bidWindow bounds the tasks of a team and class that bid at the same time, so
// that the rings of the groups do not fill with the work of one team.
const bidWindow = 64

func classOf(r order.Request) class {
	if r.Urgent() {
		return classUrgent
	}
	switch r.Kind() {
	case order.Preview:
		return classPreview
	case order.Service:
		return classService
	case order.Gang:
		return classGang
	}
	return classBatch
}

func newBacklog() *backlog {
	b := &backlog{}
	for i := range b.classes {
		b.classes[i].teams = make(map[order.TeamName]*teamQueue)
	}
	return b
}

func (b *backlog) team(t *task) *teamQueue {
	c := &b.classes[t.job.class]
	name := t.job.key.Team
	q, ok := c.teams[name]
	if !ok {
		q = &teamQueue{}
		c.teams[name] = q
		c.turn = append(c.turn, q)
	}
	return q
}

func (b *backlog) push(t *task) {
	q := b.team(t)
	q.waiting = append(q.waiting, t)
	b.dirty = true
}

// remove takes a task out that waits.
func (b *backlog) remove(t *task) {
	q := b.team(t)
	for i, waiting := range q.waiting {
		if waiting == t {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return
		}
	}
}

// release tells that a task no longer bids.
func (b *backlog) release(t *task) {
	b.team(t).bidding--
	b.dirty = true
}

// pop returns the next task that may bid, or nil.
func (b *backlog) pop() *task {
	if !b.dirty {
		return nil
	}
	for i := range b.classes {
		if t := b.classes[i].pop(); t != nil {
			return t
		}
	}
	b.dirty = false
	return nil
}

func (c *classQueue) pop() *task {
	for range c.turn {
		q := c.turn[c.next%len(c.turn)]
		c.next = (c.next + 1) % len(c.turn)
		if len(q.waiting) == 0 || q.bidding >= bidWindow {
			continue
		}
		t := q.waiting[0]
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
		q.bidding++
		return t
	}
	return nil
}
