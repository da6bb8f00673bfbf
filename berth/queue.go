package berth

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
)

type (
	// bid is a task that waits for room.
	bid struct {
		task    order.Task
		attempt order.Attempt
		queued  time.Time
		offers  int
	}

	// teamQueue holds the waiting bids of a team in order of time queued.
	teamQueue struct {
		team order.TeamName
		bids []*bid
		load float64
	}

	// queue holds all waiting bids by class and team.
	queue struct {
		byTask  map[order.TaskID]*bid
		classes [classCount]map[order.TeamName]*teamQueue
		scratch []*teamQueue
		streak  int
	}
)

const (
	classUrgent = 0
	classOther  = 1
	classCount  = 2

	// After so many urgent placements in a row one other waiting bid goes
	// first, so that urgent work cannot starve batch work.
	urgentStreak = 7

	// Bids of a team that are examined when the first does not fit.
	lookahead = 8
)

func newQueue() *queue {
	q := &queue{byTask: make(map[order.TaskID]*bid)}
	for c := range q.classes {
		q.classes[c] = make(map[order.TeamName]*teamQueue)
	}
	return q
}

func classOf(task order.Task) int {
	if task.Urgent() || task.Kind() == order.Preview {
		return classUrgent
	}
	return classOther
}

func compareBids(a, b *bid) int {
	if c := a.queued.Compare(b.queued); c != 0 {
		return c
	}
	return cmp.Compare(a.task.ID(), b.task.ID())
}

func (q *queue) len() int { return len(q.byTask) }

func (q *queue) add(b *bid) {
	q.remove(b.task.ID())
	teams := q.classes[classOf(b.task)]
	t, ok := teams[b.task.Team()]
	if !ok {
		t = &teamQueue{team: b.task.Team()}
		teams[b.task.Team()] = t
	}
	at, _ := slices.BinarySearchFunc(t.bids, b, compareBids)
	t.bids = slices.Insert(t.bids, at, b)
	q.byTask[b.task.ID()] = b
}

func (q *queue) remove(id order.TaskID) {
	b, ok := q.byTask[id]
	if !ok {
		return
	}
	delete(q.byTask, id)
	teams := q.classes[classOf(b.task)]
	t := teams[b.task.Team()]
	if at, found := slices.BinarySearchFunc(t.bids, b, compareBids); found {
		t.bids = slices.Delete(t.bids, at, at+1)
	}
	if len(t.bids) == 0 {
		delete(teams, t.team)
	}
}

// Returns the order in which the classes are served now.
func (q *queue) order() [classCount]int {
	if q.streak >= urgentStreak {
		return [classCount]int{classOther, classUrgent}
	}
	return [classCount]int{classUrgent, classOther}
}

func (q *queue) served(class int) {
	if class == classUrgent && len(q.classes[classOther]) > 0 {
		q.streak++
		return
	}
	q.streak = 0
}

// Returns the teams of a class, the one furthest below its share first. The
// result is valid until the next call.
func (q *queue) teams(class int, load func(order.TeamName) float64) []*teamQueue {
	q.scratch = q.scratch[:0]
	for _, t := range q.classes[class] {
		t.load = load(t.team)
		q.scratch = append(q.scratch, t)
	}
	slices.SortFunc(q.scratch, func(a, b *teamQueue) int {
		if c := cmp.Compare(a.load, b.load); c != 0 {
			return c
		}
		if c := a.bids[0].queued.Compare(b.bids[0].queued); c != 0 {
			return c
		}
		return cmp.Compare(a.team, b.team)
	})
	return q.scratch
}

func (q *queue) inOrder() []*bid {
	list := make([]*bid, 0, len(q.byTask))
	for _, b := range q.byTask {
		list = append(list, b)
	}
	slices.SortFunc(list, compareBids)
	return list
}

func (q *queue) waiting() map[order.TeamName]int {
	counts := make(map[order.TeamName]int)
	for _, teams := range q.classes {
		for team, t := range teams {
			counts[team] += len(t.bids)
		}
	}
	return counts
}

func (q *queue) waitingOf(team order.TeamName) int {
	n := 0
	for _, teams := range q.classes {
		if t, ok := teams[team]; ok {
			n += len(t.bids)
		}
	}
	return n
}
