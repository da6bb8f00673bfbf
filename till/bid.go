package till

import (
	"time"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

type (
	// rank orders the groups that a task may bid at.
	rank uint8

	// pick is a choice of groups for one task.
	pick struct {
		want   int
		groups [ranks][]*groupView
	}
)

const (
	// rankRoom has free room and allotment left.
	rankRoom rank = iota
	// rankIdle has free room, but no allotment left. A bid there shows the
	// divider of limits that the team could use one.
	rankIdle
	// rankBusy has an allotment but no free room.
	rankBusy
	// rankNoAllotment has none for the team. A bid there shows the divider of
	// the limits that the team waits for room in this group.
	rankNoAllotment
	ranks
)

const (
	// defaultCandidates is the number of groups that a task bids at.
	defaultCandidates = 2

	// bidsPerCandidate bounds the bids that renewals add.
	bidsPerCandidate = 2

	// maxProbes bounds the groups that are looked at for one task.
	maxProbes = 256

	renewPeriod = time.Second
	maxRenewals = 10
	resendSoon  = 100 * time.Millisecond
	resendStop  = time.Second

	// offerMargin is left of a hold when it is confirmed, so that the
	// confirmation arrives before the hold ends.
	offerMargin = 100 * time.Millisecond
	defaultHold = 500 * time.Millisecond
)

// place sends the first bids of a task or the first hold of a gang.
func (m *Machine) place(t *task) {
	if t.job.isGang() {
		m.startGang(t.job)
		return
	}
	t.state = taskBidding
	t.attempt = m.nextAttempt()
	t.bids = t.bids[:0]
	t.renewals = 0
	m.addBids(t, m.candidates)
	t.checkAt = m.now.Add(renewPeriod)
}

// addBids sends bids to further groups.
func (m *Machine) addBids(t *task, n int) {
	for _, g := range m.choose(t, n) {
		m.sendBid(t, g)
		t.bids = append(t.bids, bid{group: g.digest.Group(), epoch: g.digest.Epoch()})
		g.bids++
	}
}

func (m *Machine) sendBid(t *task, g *groupView) {
	group := g.digest.Group()
	m.post(group, order.BidMsg{}.
		WithPartition(order.GroupPartition(group)).
		WithTask(t.message(m.partition)).
		WithAttempt(t.attempt))
}

// renewBids repeats the bids of a task that got no offer, and moves one to a
// group with room.
func (m *Machine) renewBids(t *task) {
	t.checkAt = m.now.Add(renewPeriod)
	if t.renewals++; t.renewals >= maxRenewals {
		m.rebid(t)
		return
	}
	for i := range t.bids {
		if g, ok := m.view.groups[t.bids[i].group]; ok {
			t.bids[i].epoch = g.digest.Epoch()
			m.sendBid(t, g)
		}
	}
	if m.candidates > 1 && len(t.bids) >= bidsPerCandidate*m.candidates {
		m.withdraw(t, t.bids[0].group)
		t.bids = append(t.bids[:0], t.bids[1:]...)
	}
	m.addBids(t, m.moreBids(t))
}

// rebid starts over with a new attempt. A group whose offer was lost may not
// take a bid of the old one again.
func (m *Machine) rebid(t *task) {
	m.withdrawAll(t, "")
	t.attempt = m.nextAttempt()
	t.renewals = 0
	m.addBids(t, m.candidates)
}

// repeatBids sends the bids again that went to an earlier owner of a group.
func (m *Machine) repeatBids(moved map[order.GroupID]bool) {
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if t.state == taskBidding && t.bidsAtAny(moved) {
				t.checkAt = m.now
				m.settle(j)
			}
		}
	}
}

func (t *task) bidsAtAny(groups map[order.GroupID]bool) bool {
	for _, b := range t.bids {
		if groups[b.group] {
			return true
		}
	}
	return false
}

// notOwner repeats what went to an earlier owner of a group.
func (m *Machine) notOwner(msg order.NotOwnerMsg) {
	t := m.task(msg.Task())
	if t == nil {
		return
	}
	soon := m.now.Add(resendSoon)
	switch {
	case t.state == taskBidding:
		t.checkAt = soon
	case t.open():
		t.resendAt = soon
	}
	m.settle(t.job)
}

func (m *Machine) withdraw(t *task, group order.GroupID) {
	m.post(group, order.WithdrawMsg{}.
		WithPartition(order.GroupPartition(group)).
		WithTask(t.id).
		WithAttempt(t.attempt))
}

func (m *Machine) decline(group order.GroupID, task order.TaskID, attempt order.Attempt) {
	m.post(group, order.DeclineMsg{}.
		WithPartition(order.GroupPartition(group)).
		WithTask(task).
		WithAttempt(attempt))
}

// bidRefused takes the bid out. The next renewal bids elsewhere.
func (m *Machine) bidRefused(msg order.BidRefusedMsg) {
	m.registry.Count("till.bid_refused." + msg.Code().String())
	t := m.task(msg.Task())
	if t == nil || t.state != taskBidding || t.attempt != msg.Attempt() {
		return
	}
	i := t.bidAt(msg.Group())
	if i < 0 {
		return
	}
	t.bids = append(t.bids[:i], t.bids[i+1:]...)
	t.checkAt = m.now.Add(resendSoon)
	m.settle(t.job)
}

// leaveQueue takes back what the task has queued, bid or held. What may run is
// left alone.
func (m *Machine) leaveQueue(t *task) {
	switch t.state {
	case taskWaiting:
		m.backlog.remove(t)
		t.retryAt = time.Time{}
	case taskBidding:
		m.withdrawAll(t, "")
		m.unbid(t)
	case taskHeld:
		m.decline(t.group, t.id, t.attempt)
		m.unbid(t)
	default:
		return
	}
	t.state = taskEnded
	t.outcome = t.abandoned()
}

// abandoned returns the outcome of a task that will not be placed again: the
// last one, or that it never started.
func (t *task) abandoned() order.Outcome {
	if t.outcome.Task() != "" && !t.unstarted {
		return t.outcome
	}
	code := order.CancelledBeforeRun
	if t.job.expired {
		code = order.DeadlineBeforeRun
	}
	return order.Outcome{}.WithTask(t.id).WithAttempt(t.attempt).WithCode(code)
}

// unbid gives the place of the task in the bid window back.
func (m *Machine) unbid(t *task) {
	if !t.job.isGang() {
		m.backlog.release(t)
	}
}

func (m *Machine) withdrawAll(t *task, but order.GroupID) {
	for _, b := range t.bids {
		if b.group != but {
			m.withdraw(t, b.group)
		}
	}
	t.bids = t.bids[:0]
}

// choose returns up to n groups for the task: those with room and allotment,
// then by turns idle and busy ones. It looks
// at the groups in a random order, so that the bids of many tasks spread.
func (m *Machine) choose(t *task, n int) []*groupView {
	list := m.view.list
	team, ok := teamOf(m.config, t.job.key.Team)
	if !ok || len(list) == 0 {
		return nil
	}
	p := pick{want: n}
	at, stride := m.walk(len(list))
	for probes := 0; probes < len(list); probes++ {
		g := list[at]
		at = (at + stride) % len(list)
		if r, ok := m.rank(t, team, g); ok {
			p.add(r, g)
		}
		if p.full(probes) {
			break
		}
	}
	return p.best()
}

func teamOf(config *sheet.Config, name order.TeamName) (sheet.Team, bool) {
	if config == nil {
		return sheet.Team{}, false
	}
	return config.Team(name)
}

// walk returns a start and a stride that together visit each of n places once.
func (m *Machine) walk(n int) (int, int) {
	start, stride := m.rand.IntN(n), 1
	if n > 2 {
		stride = 1 + m.rand.IntN(n-1)
	}
	for gcd(stride, n) != 1 {
		stride--
	}
	return start, max(stride, 1)
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// rank tells how good the group is for the task, and whether it may be used.
func (m *Machine) rank(t *task, team sheet.Team, g *groupView) (rank, bool) {
	d := g.digest
	if !g.fresh || d.Workers() == 0 || t.bidAt(d.Group()) >= 0 {
		return 0, false
	}
	if !m.config.DomainOpen(d.Domain()) || !team.MayUse(d.Domain()) || !fitsIn(t.job.request.Size(), d.Largest()) {
		return 0, false
	}
	allotted := d.Allotted()[team.Name()]
	room := d.FreeSlots() > g.bids && fitsIn(t.job.request.Size(), d.Free())
	switch {
	case room && allotted > d.Running()[team.Name()]:
		return rankRoom, true
	case room:
		return rankIdle, true
	case allotted > 0:
		return rankBusy, true
	}
	return rankNoAllotment, true
}

func (p *pick) add(r rank, g *groupView) {
	if len(p.groups[r]) < p.want {
		p.groups[r] = append(p.groups[r], g)
	}
}

// full reports whether the choice is good enough after so many probes.
func (p *pick) full(probes int) bool {
	if len(p.groups[rankRoom]) >= p.want {
		return true
	}
	return probes >= maxProbes && len(p.groups[rankRoom])+len(p.groups[rankBusy]) >= p.want
}

func (p *pick) best() []*groupView {
	best := p.groups[rankRoom]
	idle, busy := p.groups[rankIdle], p.groups[rankBusy]
	for i := range max(len(idle), len(busy)) {
		best = p.fill(best, at(idle, i))
		best = p.fill(best, at(busy, i))
	}
	return p.fill(best, p.groups[rankNoAllotment])
}

func (p *pick) fill(best, more []*groupView) []*groupView {
	return append(best, more[:min(len(more), p.want-len(best))]...)
}

// at returns the element as a slice, which is empty past the end.
func at(groups []*groupView, i int) []*groupView {
	if i >= len(groups) {
		return nil
	}
	return groups[i : i+1]
}
