package placement

import (
	"cmp"
	"slices"
	"time"

	"chervilhollow/order"
)

type (
	// bid is a task that waits for capacity. offers counts how often capacity
	// was offered to it without an answer. offerEpoch is that of the owner whose
	// offer expired last, or zero.
	bid struct {
		task       order.Task
		attempt    order.Attempt
		queued     time.Time
		offers     int
		offerEpoch order.Epoch
	}

	// teamQueue holds the waiting bids of a team, sorted by the time they
	// were queued.
	teamQueue struct {
		team order.TeamName
		bids []*bid
		load float64
	}

	// bidQueue holds all waiting bids by class and team. streak counts the
	// urgent placements in a row while other bids waited.
	bidQueue struct {
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

	// maxUrgentStreak is the number of urgent placements in a row after
	// which one other waiting bid is served first, so that urgent work
	// cannot starve batch work.
	maxUrgentStreak = 7

	// lookahead is how many bids of a team are tried, oldest first, before
	// the next team is tried.
	lookahead = 8
)

func newBidQueue() *bidQueue {
	q := &bidQueue{byTask: make(map[order.TaskID]*bid)}
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

func (q *bidQueue) len() int { return len(q.byTask) }

func (q *bidQueue) add(b *bid) {
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

func (q *bidQueue) remove(id order.TaskID) {
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

// classOrder returns the classes in the order in which to serve them now.
func (q *bidQueue) classOrder() [classCount]int {
	if q.streak >= maxUrgentStreak {
		return [classCount]int{classOther, classUrgent}
	}
	return [classCount]int{classUrgent, classOther}
}

func (q *bidQueue) recordPlacement(class int) {
	if class == classUrgent && len(q.classes[classOther]) > 0 {
		q.streak++
		return
	}
	q.streak = 0
}

// teamsByLoad returns the teams of a class that have waiting bids, the team
// with the lowest load first. The result is valid until the next call.
func (q *bidQueue) teamsByLoad(class int, load func(order.TeamName) float64) []*teamQueue {
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

func (q *bidQueue) sorted() []*bid {
	list := make([]*bid, 0, len(q.byTask))
	for _, b := range q.byTask {
		list = append(list, b)
	}
	slices.SortFunc(list, compareBids)
	return list
}

func (q *bidQueue) waiting() map[order.TeamName]int {
	counts := make(map[order.TeamName]int)
	for _, teams := range q.classes {
		for team, t := range teams {
			counts[team] += len(t.bids)
		}
	}
	return counts
}

func (q *bidQueue) teamWaiting(team order.TeamName) int {
	n := 0
	for _, teams := range q.classes {
		if t, ok := teams[team]; ok {
			n += len(t.bids)
		}
	}
	return n
}
