package queue

import (
	"chervilhollow/order"
)

type (
	// class is the priority class of a request.
	class uint8

	// backlog holds the tasks that wait to bid, by class and team. Classes are
	// served in order of priority, and the teams of a class round-robin.
	backlog struct {
		classes [classCount]classQueue
		// changed is false if pop found nothing and no task was added or
		// released since.
		changed bool
	}

	classQueue struct {
		teams    map[order.TeamName]*teamQueue
		rotation []*teamQueue
		next     int
	}

	// teamQueue holds the waiting tasks of one team in one class. A gang is
	// represented by its first task.
	teamQueue struct {
		waiting []*task
		// bidding counts the tasks that bid now.
		bidding int
	}
)

// The classes, from the first served to the last.
const (
	classUrgent class = iota
	classPreview
	classService
	classGang
	classBatch
	classCount
)

// maxTeamBids bounds the tasks of a team and class that bid at the same time,
// so that one team can't fill the bid queues of the groups.
const maxTeamBids = 64

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
		c.rotation = append(c.rotation, q)
	}
	return q
}

func (b *backlog) push(t *task) {
	q := b.team(t)
	q.waiting = append(q.waiting, t)
	b.changed = true
}

// remove removes a waiting task.
func (b *backlog) remove(t *task) {
	q := b.team(t)
	for i, waiting := range q.waiting {
		if waiting == t {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return
		}
	}
}

// releaseBid notes that a task no longer bids, which lets another one of its
// team bid.
func (b *backlog) releaseBid(t *task) {
	b.team(t).bidding--
	b.changed = true
}

// pop returns the next task that may bid, or nil if there is none.
func (b *backlog) pop() *task {
	if !b.changed {
		return nil
	}
	for i := range b.classes {
		if t := b.classes[i].pop(); t != nil {
			return t
		}
	}
	b.changed = false
	return nil
}

func (c *classQueue) pop() *task {
	for range c.rotation {
		q := c.rotation[c.next%len(c.rotation)]
		c.next = (c.next + 1) % len(c.rotation)
		if len(q.waiting) == 0 || q.bidding >= maxTeamBids {
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
