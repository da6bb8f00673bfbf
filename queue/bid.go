package queue

import (
	"time"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

type (
	// rank is the preference among the groups that a task may bid in, from the
	// most to the least preferred.
	rank uint8

	// groupChoice collects up to want groups of each rank for one task.
	groupChoice struct {
		want   int
		groups [rankCount][]*groupView
	}
)

const (
	// rankFreeAllotted has free slots and unused allotment for the team.
	rankFreeAllotted rank = iota
	// rankFree has free slots but no unused allotment. A bid there shows the
	// limit divider that the team could use an allotment.
	rankFree
	// rankAllotted has an allotment but no free slots.
	rankAllotted
	// rankFull has neither. A bid there shows the limit divider that the team
	// waits for slots in this group.
	rankFull
	rankCount
)

const (
	// defaultCandidates is the number of groups that a task bids in.
	defaultCandidates = 2

	// bidsPerCandidate bounds the bids that renewals add.
	bidsPerCandidate = 2

	// maxProbes bounds the groups that are checked for one task, if enough
	// groups with an allotment were found.
	maxProbes = 256

	// bidRenewPeriod is how often bids without an offer are sent again.
	bidRenewPeriod = time.Second
	// maxBidRenewals is how often an attempt's bids are renewed before a new
	// attempt is made.
	maxBidRenewals = 10
	// resendDelay is the delay before a message is sent again after a known
	// failure.
	resendDelay = 100 * time.Millisecond
	// stopResendPeriod is how often a stop is sent until the group reports the
	// end.
	stopResendPeriod = time.Second

	// offerMargin is the time by which a hold counts as expired early, so that
	// the confirmation arrives before the group's hold ends.
	offerMargin = 100 * time.Millisecond
	// defaultHold is the duration of a hold that the group's message leaves
	// open.
	defaultHold = 500 * time.Millisecond
)

// place sends the first bids of a task, or the first hold request of a gang.
func (m *Machine) place(t *task) {
	if t.job.isGang() {
		m.startGang(t.job)
		return
	}
	t.state = taskBidding
	t.attempt = m.nextAttempt()
	t.bids = t.bids[:0]
	t.bidRenewals = 0
	m.addBids(t, m.candidates)
	t.renewAt = m.now.Add(bidRenewPeriod)
}

// addBids sends bids to n further groups.
func (m *Machine) addBids(t *task, n int) {
	for _, g := range m.chooseGroups(t, n) {
		m.sendBid(t, g)
		t.bids = append(t.bids, bid{group: g.digest.Group(), epoch: g.digest.Epoch()})
		g.newBids++
	}
}

func (m *Machine) sendBid(t *task, g *groupView) {
	group := g.digest.Group()
	m.post(group, order.BidMsg{}.
		WithPartition(order.GroupPartition(group)).
		WithTask(t.groupMessage(m.partition)).
		WithAttempt(t.attempt))
}

// renewBids sends the bids of a task again that got no offer, and adds bids in
// other groups. At the limit of bids, the oldest one is withdrawn. After
// maxBidRenewals it starts over with a new attempt.
func (m *Machine) renewBids(t *task) {
	t.renewAt = m.now.Add(bidRenewPeriod)
	if t.bidRenewals++; t.bidRenewals >= maxBidRenewals {
		m.restartBids(t)
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
	m.addBids(t, m.extraBids(t))
}

// restartBids bids with a new attempt. A group whose offer was lost may not
// accept a bid of the old attempt again.
func (m *Machine) restartBids(t *task) {
	m.withdrawBids(t, "")
	t.attempt = m.nextAttempt()
	t.bidRenewals = 0
	m.addBids(t, m.candidates)
}

// renewMovedBids schedules the bids in groups with a new owner to be sent
// again, because bids are not handed over.
func (m *Machine) renewMovedBids(moved map[order.GroupID]bool) {
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if t.state == taskBidding && t.hasBidIn(moved) {
				t.renewAt = m.now
				m.scheduleTimers(j)
			}
		}
	}
}

func (t *task) hasBidIn(groups map[order.GroupID]bool) bool {
	for _, b := range t.bids {
		if groups[b.group] {
			return true
		}
	}
	return false
}

// handleNotOwner schedules a message to be sent again that reached a former
// owner of a group.
func (m *Machine) handleNotOwner(msg order.NotOwnerMsg) {
	t := m.task(msg.Task())
	if t == nil {
		return
	}
	soon := m.now.Add(resendDelay)
	switch {
	case t.state == taskBidding:
		t.renewAt = soon
	case t.open():
		t.resendAt = soon
	}
	m.scheduleTimers(t.job)
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

// handleBidRefused removes the refused bid. The next renewal bids in another
// group.
func (m *Machine) handleBidRefused(msg order.BidRefusedMsg) {
	m.registry.Count("till.bid_refused." + msg.Code().String())
	t := m.task(msg.Task())
	if t == nil || t.state != taskBidding || t.attempt != msg.Attempt() {
		return
	}
	i := t.bidIndex(msg.Group())
	if i < 0 {
		return
	}
	t.bids = append(t.bids[:i], t.bids[i+1:]...)
	t.renewAt = m.now.Add(resendDelay)
	m.scheduleTimers(t.job)
}

// cancelPlacement removes the task from the backlog, withdraws its bids or
// declines its offer, and ends it. A task that may be running is not changed.
func (m *Machine) cancelPlacement(t *task) {
	switch t.state {
	case taskWaiting:
		m.backlog.remove(t)
		t.retryAt = time.Time{}
	case taskBidding:
		m.withdrawBids(t, "")
		m.releaseBidSlot(t)
	case taskHeld:
		m.decline(t.group, t.id, t.attempt)
		m.releaseBidSlot(t)
	default:
		return
	}
	t.state = taskEnded
	t.outcome = t.unplacedOutcome()
}

// unplacedOutcome returns the outcome of a task that will not be placed again:
// that of its last attempt, or that it never started.
func (t *task) unplacedOutcome() order.Outcome {
	if t.outcome.Task() != "" && !t.notStarted {
		return t.outcome
	}
	code := order.CancelledBeforeRun
	if t.job.expired {
		code = order.DeadlineBeforeRun
	}
	return order.Outcome{}.WithTask(t.id).WithAttempt(t.attempt).WithCode(code)
}

// releaseBidSlot lets another task of the team bid. Gangs release theirs when
// they stop holding slots.
func (m *Machine) releaseBidSlot(t *task) {
	if !t.job.isGang() {
		m.backlog.releaseBid(t)
	}
}

func (m *Machine) withdrawBids(t *task, except order.GroupID) {
	for _, b := range t.bids {
		if b.group != except {
			m.withdraw(t, b.group)
		}
	}
	t.bids = t.bids[:0]
}

// chooseGroups returns up to n groups to bid in: first those with free slots
// and unused allotment, then alternately those with only free slots and those
// with only an allotment. Groups are checked in random order, which spreads the
// bids of many tasks.
func (m *Machine) chooseGroups(t *task, n int) []*groupView {
	list := m.view.list
	team, ok := teamOf(m.config, t.job.key.Team)
	if !ok || len(list) == 0 {
		return nil
	}
	p := groupChoice{want: n}
	at, stride := m.probeOrder(len(list))
	for probes := 0; probes < len(list); probes++ {
		g := list[at]
		at = (at + stride) % len(list)
		if r, ok := m.rank(t, team, g); ok {
			p.add(r, g)
		}
		if p.enough(probes) {
			break
		}
	}
	return p.ordered()
}

// teamOf returns the team's configuration. It is false before the first
// configuration arrives, or if the team is unknown.
func teamOf(config *sheet.Config, name order.TeamName) (sheet.Team, bool) {
	if config == nil {
		return sheet.Team{}, false
	}
	return config.Team(name)
}

// probeOrder returns a random start and a stride that together visit each of n
// indexes once.
func (m *Machine) probeOrder(n int) (int, int) {
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

// rank returns the rank of the group for the task, and false if the task can't
// bid there.
func (m *Machine) rank(t *task, team sheet.Team, g *groupView) (rank, bool) {
	d := g.digest
	if !g.fresh || d.Workers() == 0 || t.bidIndex(d.Group()) >= 0 {
		return 0, false
	}
	if !m.config.DomainOpen(d.Domain()) || !team.MayUse(d.Domain()) || !fits(t.job.request.Size(), d.Largest()) {
		return 0, false
	}
	allotted := d.Allotted()[team.Name()]
	hasFree := d.FreeSlots() > g.newBids && fits(t.job.request.Size(), d.Free())
	switch {
	case hasFree && allotted > d.Running()[team.Name()]:
		return rankFreeAllotted, true
	case hasFree:
		return rankFree, true
	case allotted > 0:
		return rankAllotted, true
	}
	return rankFull, true
}

func (p *groupChoice) add(r rank, g *groupView) {
	if len(p.groups[r]) < p.want {
		p.groups[r] = append(p.groups[r], g)
	}
}

// enough reports whether the groups found so far suffice after this many
// probes.
func (p *groupChoice) enough(probes int) bool {
	if len(p.groups[rankFreeAllotted]) >= p.want {
		return true
	}
	return probes >= maxProbes && len(p.groups[rankFreeAllotted])+len(p.groups[rankAllotted]) >= p.want
}

// ordered returns up to want groups in order of preference. It alternates
// between groups with only free slots and groups with only an allotment. Ranked
// behind the latter, the groups of a reopened failure domain would get no bids,
// and so no allotment.
func (p *groupChoice) ordered() []*groupView {
	best := p.groups[rankFreeAllotted]
	free, allotted := p.groups[rankFree], p.groups[rankAllotted]
	for i := range max(len(free), len(allotted)) {
		best = p.appendGroups(best, groupAt(free, i))
		best = p.appendGroups(best, groupAt(allotted, i))
	}
	return p.appendGroups(best, p.groups[rankFull])
}

// appendGroups appends groups up to the number wanted.
func (p *groupChoice) appendGroups(best, more []*groupView) []*groupView {
	return append(best, more[:min(len(more), p.want-len(best))]...)
}

// groupAt returns the group at index i as a slice, which is empty past the end.
func groupAt(groups []*groupView, i int) []*groupView {
	if i >= len(groups) {
		return nil
	}
	return groups[i : i+1]
}
