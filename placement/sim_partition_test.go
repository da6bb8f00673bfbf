package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"chervilhollow/dispatch"
	"chervilhollow/order"
)

// This file holds the simulated request partition. It repeats messages that
// may be lost, confirms most offers, acknowledges outcomes, and retries
// idempotent tasks.

// addTasks adds n tasks with random properties, as one gang or as separate
// requests.
func (s *sim) addTasks(n int, gang bool) {
	batch := len(s.tasks)
	for i := range n {
		request := order.RequestID(fmt.Sprintf("r%03d", batch))
		index := i
		if !gang {
			request, index = order.RequestID(fmt.Sprintf("r%03d", batch+i)), 0
		}
		team := simTeams[batch%len(simTeams)]
		kind := order.Kind(1 + s.rng.IntN(2))
		size := order.Resources{}.WithCores(order.MilliCores(100 + s.rng.IntN(2000))).WithMemory(order.Bytes(1 + s.rng.IntN(1<<30)))
		if s.rng.IntN(6) == 0 {
			size = size.WithAccelerators(1)
		}
		id := order.NewTaskID(team, request, index)
		s.tasks[id] = &simTask{
			task: order.Task{}.WithID(id).WithRequest(request).WithPartition(id.Partition()).
				WithTeam(team).WithKind(kind).WithIndex(index).WithSize(size).WithQueued(s.now).
				WithIdempotent(s.rng.IntN(2) == 0).WithCheckpoint(s.rng.IntN(2) == 0).
				WithUrgent(s.rng.IntN(5) == 0),
			attempt: 1,
			gang:    gang,
		}
	}
}

func (s *sim) tickPartition() {
	s.after(partitionTick, s.tickPartition)
	gangs := make(map[order.RequestID][]order.Task)
	for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
		t := s.tasks[id]
		switch {
		case t.phase == phaseDone:
		case t.cancel && t.phase == phaseBidding:
			s.toOwner(order.WithdrawMsg{}.WithTask(id).WithAttempt(t.attempt))
			t.finish(order.CancelledBeforeRun)
		case t.cancel:
			s.toOwner(order.StopMsg{}.WithTask(id).WithAttempt(t.attempt))
		case t.phase == phaseBidding && t.gang && t.attempt == 1:
			gangs[t.task.Request()] = append(gangs[t.task.Request()], t.task)
		case t.phase == phaseBidding:
			s.toOwner(order.BidMsg{}.WithTask(t.task).WithAttempt(t.attempt))
		}
		if t.phase == phaseConfirmed {
			s.toOwner(order.ConfirmMsg{}.WithTask(id).WithAttempt(t.attempt))
		}
		if t.phase == phaseRunning {
			s.checkInventory(t)
		}
	}
	for _, request := range slices.Sorted(maps.Keys(gangs)) {
		s.toOwner(order.HoldMsg{}.WithRequest(request).WithTasks(gangs[request]).WithAttempt(1))
	}
	// The quota owner repeats its allotments, because messages may be lost.
	for _, team := range simTeams {
		next, ok := s.pendingDecreases[team]
		if !ok {
			next = s.recorded[team]
		}
		s.sendAllot(team, next)
	}
}

// checkInventory ends a running task with an unknown outcome if a new owner
// that has adopted all tasks does not have it.
func (s *sim) checkInventory(t *simTask) {
	o := s.owner
	if o.paused || t.epoch == o.epoch || !o.machine.adopted() {
		return
	}
	for _, e := range o.machine.inventory(t.task.Partition()) {
		if e.Task().ID() == t.task.ID() && e.Attempt() == t.attempt {
			t.epoch = o.epoch
			return
		}
	}
	s.retry(t, order.OutcomeUnknown)
}

func (s *sim) onPost(o *simOwner, msg order.Msg) {
	if m, ok := msg.(interface{ Task() order.TaskID }); ok {
		s.record(m.Task(), "partition receives %T from epoch %d", msg, o.epoch)
	}
	switch msg := msg.(type) {
	case order.OfferMsg:
		s.onOffer(msg.Task(), msg.Attempt())
	case order.HoldReplyMsg:
		s.onHeld(msg)
	case order.BidRefusedMsg:
		s.onRefused(msg)
	case order.StartedMsg:
		if t := s.tasks[msg.Task()]; t.attempt == msg.Attempt() && t.phase != phaseDone {
			t.phase, t.epoch = phaseRunning, o.epoch
		}
	case order.EndedMsg:
		s.onEnded(msg)
	case order.AllotAckMsg:
		s.onAllotAck(msg)
	}
}

func (s *sim) onOffer(id order.TaskID, attempt order.Attempt) {
	t := s.tasks[id]
	if t.attempt != attempt || t.phase != phaseBidding {
		s.toOwner(order.DeclineMsg{}.WithTask(id).WithAttempt(attempt))
		return
	}
	switch s.rng.IntN(10) {
	case 0:
		s.toOwner(order.DeclineMsg{}.WithTask(id).WithAttempt(attempt))
	case 1:
	default:
		t.phase = phaseConfirmed
		s.toOwner(order.ConfirmMsg{}.WithTask(id).WithAttempt(attempt))
	}
}

func (s *sim) onHeld(msg order.HoldReplyMsg) {
	for _, id := range msg.Tasks() {
		s.onOffer(id, msg.Attempt())
	}
}

func (s *sim) onRefused(msg order.BidRefusedMsg) {
	t := s.tasks[msg.Task()]
	if msg.Code() == order.TooLarge && t.attempt == msg.Attempt() && t.phase == phaseBidding {
		t.finish(order.TooLarge)
	}
}

func (s *sim) onEnded(msg order.EndedMsg) {
	outcome := msg.Outcome()
	ref := dispatch.NewAttemptRef(outcome.Task(), outcome.Attempt())
	s.toOwner(order.EndedAckMsg{}.WithTask(ref.Task()).WithAttempt(ref.Attempt()))
	s.record(ref.Task(), "partition receives end of attempt %d: %v %q, not started: %v",
		ref.Attempt(), outcome.Code(), outcome.Text(), msg.NotStarted())
	if msg.NotStarted() {
		s.registry.Invariant(!s.ran[ref], "G7", "%v ran and is reported as not started", ref)
		s.notStarted[ref] = true
	}
	t := s.tasks[ref.Task()]
	if t.attempt != ref.Attempt() || t.phase == phaseDone {
		return
	}
	switch {
	case msg.NotStarted() && t.cancel:
		t.finish(order.CancelledBeforeRun)
	case msg.NotStarted():
		t.nextAttempt()
	default:
		s.retry(t, outcome.Code())
	}
}

func (s *sim) retry(t *simTask, code order.Code) {
	mayRetry := code == order.WorkerLost || code == order.OutcomeUnknown
	if mayRetry && t.task.Idempotent() && !t.cancel {
		t.nextAttempt()
		return
	}
	t.finish(code)
}

func (t *simTask) nextAttempt() {
	t.attempt++
	t.phase = phaseBidding
}

func (t *simTask) finish(code order.Code) {
	t.phase, t.code = phaseDone, code
}

// changeAllotment changes an allotment as the quota partition does: a decrease
// is recorded once the group has acknowledged it, an increase before it is
// sent.
func (s *sim) changeAllotment(team order.TeamName, count int) {
	if _, pending := s.pendingDecreases[team]; pending {
		return
	}
	current := s.recorded[team]
	next := allotment{count: count, version: current.version + 1, limit: current.limit}
	if count >= current.count {
		s.recorded[team] = next
		s.sendAllot(team, next)
		return
	}
	s.pendingDecreases[team] = next
	s.sendAllot(team, next)
}

func (s *sim) sendAllot(team order.TeamName, a allotment) {
	s.toOwner(order.AllotMsg{}.WithTeam(team).WithCount(a.count).WithVersion(a.version).WithLimit(a.limit))
}

func (s *sim) onAllotAck(msg order.AllotAckMsg) {
	next, ok := s.pendingDecreases[msg.Team()]
	if !ok || msg.Version() != next.version || msg.Epoch() != s.owner.epoch {
		return
	}
	delete(s.pendingDecreases, msg.Team())
	next.count = msg.Count()
	s.recorded[msg.Team()] = next
	for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
		s.record(id, "recorded %d for %s, acknowledged by epoch %d", next.count, msg.Team(), msg.Epoch())
	}
}

// takeover replaces the owner after its ownership has expired. Depending on
// kind, the former owner stops, or continues without ownership at once or after
// a pause.
func (s *sim) takeover(kind int) {
	old := s.owner
	old.renewing = false
	switch kind {
	case 0:
		old.stopped = true
	case 1:
		old.paused = true
		s.after(time.Duration(s.rng.Int64N(int64(20*time.Second))), old.resume)
	}
	s.formerOwners = append(s.formerOwners, old)
	s.advance(guardPeriod + time.Duration(s.rng.Int64N(int64(2*time.Second))))
	s.owner = newSimOwner(s, old.epoch+1)
	for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
		s.record(id, "epoch %d takes over", s.owner.epoch)
	}
}
