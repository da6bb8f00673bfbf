package yard

import (
	"slices"
	"time"

	"chervilhollow/order"
)

const (
	// hopelessPause is how long a step that found no room and is of the last
	// rank is passed over, so that jobs that can never run hide no others.
	hopelessPause = 250 * time.Millisecond

	// placeInterval bounds the rounds of placement to 125 a second; the
	// tightest objective leaves a few hundred milliseconds.
	placeInterval = 8 * time.Millisecond

	// placeStep is added to the interval for each waiting step; sorting one
	// takes about a microsecond, so a long backlog takes a few percent of a
	// core.
	placeStep = 40 * time.Microsecond

	// placeVain is how many steps may find no room or no host for their
	// question in a round; those behind them are less urgent, and a round over
	// a long backlog would take the owner's processor from everything else.
	placeVain = 48

	// waitLogAfter and waitLogEvery bound the lines about steps that wait: none
	// for those that start soon, one for each reason, then one every 5 s.
	waitLogAfter = time.Second
	waitLogEvery = 5 * time.Second
)

// place starts the tasks for which there is room, the most urgent steps first.
func (m *Machine) place(now time.Time) {
	m.expireAdvice(now)
	if m.paused || now.Before(m.placeNext) {
		return
	}
	settled := m.settled(now)
	reserved := make(map[order.WorkerID]bool)
	inVain := 0
	turns := m.turns(now, settled)
	m.placeNext = now.Add(placeInterval + time.Duration(len(turns))*placeStep)
	for _, t := range turns {
		if inVain == placeVain {
			m.registry.Count("yard.waits.round")
			return
		}
		if t.rank == rankHopeless && now.Before(t.step.lookAgain) {
			continue
		}
		if t.queue.Advice().Needed() && t.step.allowed == nil {
			inVain += m.askFirst(now, t)
			continue
		}
		if !m.mayRun(t.step.job.team, t.step.spec.Size(), t.step.together()) {
			m.waiting(now, t, "team_limit", 0)
			continue
		}
		if t.step.spec.Gang() {
			m.placeGang(now, t, reserved)
		} else {
			m.placeTasks(now, t, reserved)
		}
		if t.step.waits(now) {
			inVain++
			t.step.lookAgain = now.Add(hopelessPause)
		}
	}
}

// askFirst asks the first question of a step, and returns one if no host was
// free for it.
func (m *Machine) askFirst(now time.Time, t turn) int {
	if t.step.asking != 0 || now.Before(t.step.askAgain) {
		return 0
	}
	m.askNew(now, t.step, t.queue)
	if t.step.asking == 0 {
		return 1
	}
	return 0
}

// usable reports whether the worker takes new tasks of the service.
func (m *Machine) usable(now time.Time, w *worker, service string) bool {
	return w.listed && w.recorded && w.reached && !w.draining && w.misses == 0 && !w.mute && w.unsized == 0 &&
		w.info.service == service && !m.withdrawn[w.info.domain] && !now.Before(w.coolUntil)
}

// suits reports whether the step may run on the worker at all.
func (m *Machine) suits(w *worker, s *step) bool {
	return s.spec.Size().FitsIn(w.info.capacity) &&
		(s.spec.Label() == "" || slices.Contains(w.info.labels, s.spec.Label()))
}

// options returns the workers that could take a task of the step now.
func (m *Machine) options(now time.Time, t turn) []*worker {
	var list []*worker
	for _, w := range m.allowedWorkers(t) {
		if m.usable(now, w, t.queue.Service()) && m.suits(w, t.step) {
			list = append(list, w)
		}
	}
	return list
}

// allowedWorkers returns the workers that may run the step by the advice, or
// all of them where none is needed.
func (m *Machine) allowedWorkers(t turn) []*worker {
	if !t.queue.Advice().Needed() {
		return m.sortedWorkers()
	}
	list := make([]*worker, 0, len(t.step.allowed))
	for _, id := range t.step.advised {
		if _, ok := t.step.allowed[id]; !ok {
			continue
		}
		if w := m.workers[id]; w != nil {
			list = append(list, w)
		}
	}
	return list
}

// onWorker counts the tasks of the step that occupy the worker.
func (s *step) onWorker(w *worker) int {
	n := 0
	for key := range w.attempts {
		if key.ref.job == s.job.id && key.ref.step == s.index && key.ref.occurrence == s.occurrence {
			n++
		}
	}
	return n
}

// mayRun reports whether the team's limit allows n more tasks of the size.
func (m *Machine) mayRun(team order.TeamName, size order.Resources, n int) bool {
	return m.usage[team].Plus(size.Times(n)).Within(m.config.Limit(team))
}

// placeTasks starts the waiting tasks of a step one by one.
func (m *Machine) placeTasks(now time.Time, t turn, reserved map[order.WorkerID]bool) {
	options := m.options(now, t)
	size := t.step.spec.Size()
	ready := t.ticketed(now, options)
	stale, started := false, 0
	defer func() { m.logPlaced(now, t, started, len(options)) }()
	for _, task := range t.step.tasks {
		if task.state != taskWaiting {
			continue
		}
		if !m.mayRun(t.step.job.team, size, 1) {
			m.waiting(now, t, "team_limit", len(options))
			return
		}
		w := m.choose(t, task, ready, reserved)
		if w == nil {
			stale = m.choose(t, task, options, reserved) != nil
			break
		}
		m.start(now, task, w, m.nextRun(task))
		started++
	}
	switch {
	case stale:
		m.waiting(now, t, "tickets", len(options))
		m.renew(now, t, nil, options)
	case t.step.waits(now):
		m.waiting(now, t, "room", len(options))
		m.askMore(now, t)
	}
}

// askMore asks about workers that were not named yet, for a step that finds no
// room on those that may run it.
func (m *Machine) askMore(now time.Time, t turn) {
	if t.queue.Advice().Needed() {
		m.askNew(now, t.step, t.queue)
	}
}

// choose returns the worker for a task: one where it has not failed, near its
// data, and with the least room left over.
func (m *Machine) choose(t turn, task *task, options []*worker, reserved map[order.WorkerID]bool) *worker {
	var best *worker
	var bestScore float64
	size := t.step.spec.Size()
	for _, w := range options {
		if reserved[w.id] || !w.used.Plus(size).FitsIn(w.info.capacity) {
			continue
		}
		if per := t.step.spec.PerWorker(); per > 0 && t.step.onWorker(w) >= per {
			continue
		}
		score := m.score(w, t.step)
		if slices.Contains(task.failedOn, w.id) {
			score -= failedPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

const (
	// failedPenalty and dataBonus outweigh any difference in fit, which is at
	// most one.
	failedPenalty = 10.0
	dataBonus     = 4.0
)

// score prefers full workers, so that room for large tasks stays together.
func (m *Machine) score(w *worker, s *step) float64 {
	score := 1 - w.free()
	if rack := s.spec.DataRack(); rack != "" && rack == w.rack {
		score += dataBonus
	}
	return score
}

// logPlaced writes one line for the tasks of a step that were started now.
func (m *Machine) logPlaced(now time.Time, t turn, started, options int) {
	if started == 0 {
		return
	}
	waited := now.Sub(t.step.job.accepted)
	m.registry.Observe("yard.wait", waited)
	m.log.Info().Str("job", string(t.step.job.id)).Int("occurrence", t.step.occurrence).Int("step", t.step.index).
		Int("tasks", started).Int("options", options).Stringer("rank", t.rank).Dur("since_accepted", waited).
		Dur("until_due", t.due.Sub(now)).Msg("yard: placed")
}

// waiting notes why a step was not started in this round. The log gets a line
// when the reason changes, and else every waitLogEvery.
func (m *Machine) waiting(now time.Time, t turn, reason string, options int) {
	m.registry.Count("yard.waits." + reason)
	s := t.step
	if reason == s.waitReason && now.Sub(s.waitLogged) < waitLogEvery {
		return
	}
	if now.Sub(t.step.job.accepted) < waitLogAfter {
		return
	}
	s.waitReason, s.waitLogged = reason, now
	m.log.Info().Str("job", string(s.job.id)).Int("occurrence", s.occurrence).Int("step", s.index).Str("reason", reason).
		Int("options", options).Int("asked", len(s.asked)).Bool("asking", s.asking != 0).Stringer("rank", t.rank).
		Dur("until_due", t.due.Sub(now)).Msg("yard: waits")
}

// ticketed returns the workers on which the step may start now.
func (t turn) ticketed(now time.Time, options []*worker) []*worker {
	if !t.queue.Advice().Needed() {
		return options
	}
	list := make([]*worker, 0, len(options))
	for _, w := range options {
		if t.step.allowed[w.id].until.After(now) {
			list = append(list, w)
		}
	}
	return list
}

// renew asks for new tickets.
func (m *Machine) renew(now time.Time, t turn, chosen, options []*worker) {
	if _, ok := m.hostFor(now, t.step, t.queue, 1); ok {
		m.ask(now, t.step, t.queue, m.named(t, chosen, options))
	}
}

// named returns the workers for a question that renews tickets: the chosen
// ones whose tickets end first, and others that are allowed as far as the
// answer's time allows.
func (m *Machine) named(t turn, chosen, options []*worker) []order.WorkerID {
	first := slices.Compact(slices.Clone(chosen))
	slices.SortStableFunc(first, func(a, b *worker) int {
		return t.step.allowed[a.id].until.Compare(t.step.allowed[b.id].until)
	})
	first = first[:min(len(first), adviceMost)]
	most := max(len(first), m.mostNamed(t.queue))
	list := make([]order.WorkerID, 0, most)
	for _, w := range first {
		list = append(list, w.id)
	}
	for _, w := range options {
		if len(list) < most && !slices.Contains(list, w.id) {
			list = append(list, w.id)
		}
	}
	return list
}
