package yard

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"chervilhollow/order"
	"chervilhollow/tariff"
)

const (
	// jobIDLength is the length of a job's ID in hexadecimal digits.
	jobIDLength = 16

	// maxTasks bounds the tasks of all steps of a job; a gang wider than this
	// exceeds any cell.
	maxTasks = 4096
)

// call answers a client's call, at once or when a change is stored.
func (m *Machine) call(now time.Time, from order.MemberID, c order.JobCallMsg) {
	if m.config.Revision() == 0 {
		m.refuse(from, c, order.ConfigUncertain, "no configuration yet")
		return
	}
	queue, rest, ok := m.config.Route(c.Host(), c.Path())
	if !ok {
		m.refuseUnlessStored(from, c, order.UnknownQueue, "no queue at this address")
		return
	}
	team, ok := m.config.TeamOf(c.Key())
	if !ok && !queue.Anonymous() {
		m.refuseUnlessStored(from, c, order.KeyUnknown, "key unknown")
		return
	}
	id := order.JobID(rest)
	if c.Verb() != order.CountWaiting && !validID(rest) {
		m.refuse(from, c, order.UnknownRequest, "not a job ID")
		return
	}
	switch c.Verb() {
	case order.SubmitJob:
		m.submit(now, from, c, queue, team, id)
	case order.JobStatus:
		m.status(from, c, id)
	case order.CancelJob:
		m.cancel(now, from, c, id)
	case order.CountWaiting:
		m.count(from, c, queue)
	}
}

func validID(id string) bool {
	_, err := hex.DecodeString(id)
	return len(id) == jobIDLength && err == nil
}

func (m *Machine) submit(now time.Time, from order.MemberID, c order.JobCallMsg, queue tariff.Queue, team order.TeamName, id order.JobID) {
	if j, ok := m.jobs[id]; ok {
		m.await(j, from, c)
		return
	}
	if m.storeStalled(now) {
		m.refuse(from, c, order.JournalUnavailable, "the store takes no batches")
		return
	}
	if code, text := check(c.Spec()); code != order.Done {
		m.refuse(from, c, code, text)
		return
	}
	j := newJob(id, queue.Name(), team, c.Spec(), now, m.epoch)
	j.excess = !m.withinShare(now, team)
	m.jobs[id] = j
	m.active[id] = j
	m.touch(j)
	m.await(j, from, c)
	m.registry.Count("yard.submitted." + string(queue.Name()))
	m.log.Info().Str("job", string(id)).Str("queue", string(queue.Name())).Str("team", string(team)).
		Uint64("revision", uint64(m.config.Revision())).Int("steps", len(c.Spec().Steps())).Bool("excess", j.excess).Msg("yard: submitted")
}

// shareBurst is how many seconds of its share a team may submit at once.
const shareBurst = 2.0

// withinShare takes one job from the team's share. A team with no weight has
// no share to exceed.
func (m *Machine) withinShare(now time.Time, team order.TeamName) bool {
	weight := m.config.Weight(team)
	if weight <= 0 {
		return true
	}
	s, ok := m.shares[team]
	if !ok {
		s = &share{left: weight * shareBurst, at: now}
		m.shares[team] = s
	}
	s.left = min(weight*shareBurst, s.left+weight*now.Sub(s.at).Seconds())
	s.at = now
	if s.left < 1 {
		m.registry.Count("yard.excess")
		return false
	}
	s.left--
	return true
}

// await answers the call when the job's present change is stored.
func (m *Machine) await(j *job, from order.MemberID, c order.JobCallMsg) {
	if j.stored >= j.seq {
		m.reply(from, c.Call(), order.Done, j.shown(), "")
		return
	}
	j.waiters = append(j.waiters, waiter{from: from, call: c.Call(), verb: c.Verb(), seq: j.seq})
}

// check returns why a job is not accepted, or Done.
func check(spec order.JobSpec) (order.Code, string) {
	total := 0
	for i, s := range spec.Steps() {
		total += s.Tasks() * max(1, spec.Repeats())
		switch {
		case s.Tasks() <= 0 || s.Tasks() > maxTasks || total > maxTasks:
			return order.Malformed, fmt.Sprintf("step %d: number of tasks out of range", i)
		case s.Size().Cores() < 0 || s.Size().Memory() < 0 || s.Size().Accelerators() < 0:
			return order.Malformed, fmt.Sprintf("step %d: negative size", i)
		case s.Filler():
			return order.NotServed, "tasks that fill are not served"
		}
		for _, before := range s.After() {
			if before < 0 || before >= i {
				return order.Malformed, fmt.Sprintf("step %d waits for step %d, which is not an earlier one", i, before)
			}
		}
	}
	if total == 0 {
		return order.Malformed, "no tasks"
	}
	return order.Done, ""
}

func (m *Machine) status(from order.MemberID, c order.JobCallMsg, id order.JobID) {
	j, ok := m.jobs[id]
	if !ok || !j.recorded {
		m.refuse(from, c, order.UnknownRequest, "no such job")
		return
	}
	m.reply(from, c.Call(), order.Done, j.shown(), "")
}

// cancel ends the job, stops its tasks, and answers when that is stored.
func (m *Machine) cancel(now time.Time, from order.MemberID, c order.JobCallMsg, id order.JobID) {
	j, ok := m.jobs[id]
	if !ok {
		m.refuse(from, c, order.UnknownRequest, "no such job")
		return
	}
	if !j.state.Ended() {
		m.endJob(now, j, order.JobCancelled, "cancelled by the client")
	}
	m.await(j, from, c)
}

// endJob sets the final state and stops what runs.
func (m *Machine) endJob(now time.Time, j *job, state order.JobState, reason string) {
	j.state, j.ended = state, now
	delete(m.active, j.id)
	m.touch(j)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			// What runs of a task that is done ends by itself, or was told to.
			if t.attempt != nil && t.state != taskDone {
				m.stop(now, t.attempt)
			}
		}
	}
	m.registry.Count("yard.ended." + state.String())
	m.registry.Observe("yard.completion", now.Sub(j.accepted))
	m.log.Info().Str("job", string(j.id)).Stringer("state", state).Str("reason", reason).
		Dur("after", now.Sub(j.accepted)).Msg("yard: ended")
}

func (m *Machine) count(from order.MemberID, c order.JobCallMsg, queue tariff.Queue) {
	waiting := 0
	for _, j := range m.active {
		if j.queue == queue.Name() && j.recorded && !j.started {
			waiting++
		}
	}
	m.emit(SendCmd{to: from, msg: order.JobReplyMsg{}.WithCall(c.Call()).WithCode(order.Done).
		WithWaiting(waiting)})
}

func (m *Machine) reply(to order.MemberID, call uint64, code order.Code, state order.JobState, text string) {
	m.emit(SendCmd{to: to, msg: order.JobReplyMsg{}.WithCall(call).WithCode(code).
		WithState(state).WithText(text)})
}

// refuseUnlessStored refuses a call by the configuration. A repeated submission
// whose first copy was accepted under an earlier configuration is neither
// refused, which would say that the job never runs, nor confirmed.
func (m *Machine) refuseUnlessStored(to order.MemberID, c order.JobCallMsg, code order.Code, text string) {
	id := order.JobID(c.Path()[strings.LastIndexByte(c.Path(), '/')+1:])
	if _, ok := m.jobs[id]; ok && c.Verb() == order.SubmitJob {
		code, text = order.OutcomeUnknown, text+", but the job was submitted before"
	}
	m.refuse(to, c, code, text)
}

// refuse answers a call that changed nothing.
func (m *Machine) refuse(to order.MemberID, c order.JobCallMsg, code order.Code, text string) {
	m.registry.Count("yard.refused." + code.String())
	m.log.Info().Stringer("verb", c.Verb()).Str("path", c.Path()).Stringer("code", code).Str("reason", text).
		Uint64("revision", uint64(m.config.Revision())).Msg("yard: refused")
	m.reply(to, c.Call(), code, order.JobPending, text)
}
