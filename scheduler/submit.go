package scheduler

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/storage"
)

const (
	// jobIDLength is the length of a job ID in hexadecimal digits.
	jobIDLength = 16

	// maxTasks limits the tasks of all steps and occurrences of a job. A larger
	// gang would exceed any cell.
	maxTasks = 4096

	// maxNewRecord is the size of the largest record of a new job. The rest of
	// a value of the store is left for the progress of the job.
	maxNewRecord = storage.MaxValue / 4
)

// handleCall answers a caller's request, at once or when the change that it
// makes is stored.
func (m *Scheduler) handleCall(now time.Time, from order.MemberID, c order.JobCallMsg) {
	if code, ok := m.refusals.find(from, c.Call()); ok && c.Verb() == order.SubmitJob {
		m.registry.Count("yard.refused_before")
		m.reply(from, c.Call(), code, order.JobPending, "refused before")
		return
	}
	if m.config.Revision() == 0 {
		m.refuse(now, from, c, order.ConfigUncertain, "no configuration yet")
		return
	}
	queue, idText, ok := m.config.Route(c.Host(), c.Path())
	if !ok {
		m.refuseUnlessStored(now, from, c, order.UnknownQueue, "no queue at this address")
		return
	}
	team, ok := m.config.TeamOf(c.Key())
	if !ok && !queue.Anonymous() {
		m.refuseUnlessStored(now, from, c, order.KeyUnknown, "key unknown")
		return
	}
	id := order.JobID(idText)
	if c.Verb() != order.CountWaiting && !validID(idText) {
		m.refuse(now, from, c, order.UnknownRequest, "not a job ID")
		return
	}
	if m.unreadable[id] && c.Verb() != order.CountWaiting {
		m.refuse(now, from, c, order.OutcomeUnknown, "the stored job cannot be read")
		return
	}
	switch c.Verb() {
	case order.SubmitJob:
		m.submit(now, from, c, queue, team, id)
	case order.JobStatus:
		m.replyStatus(now, from, c, id)
	case order.CancelJob:
		m.cancelJob(now, from, c, id)
	case order.CountWaiting:
		m.replyWaiting(from, c, queue)
	}
}

// validID reports whether the text has the form of a job ID.
func validID(id string) bool {
	_, err := hex.DecodeString(id)
	return len(id) == jobIDLength && err == nil
}

// submit accepts a new job. For one that was submitted before it answers as for
// the first submission, so callers may send again.
func (m *Scheduler) submit(now time.Time, from order.MemberID, c order.JobCallMsg, queue policy.Queue, team order.TeamName, id order.JobID) {
	if j, ok := m.jobs[id]; ok {
		m.replyWhenStored(now, j, from, c)
		return
	}
	if m.storeStalled(now) {
		m.refuse(now, from, c, order.JournalUnavailable, "the store takes no batches")
		return
	}
	if code, text := validateSpec(c.Spec()); code != order.Done {
		m.refuse(now, from, c, code, text)
		return
	}
	j := newJob(id, queue.Name(), team, c.Spec(), now, m.epoch)
	j.acceptedBy, j.limit = queue, m.config.Limit(team)
	if code, text := j.checkRecord(); code != order.Done {
		m.refuse(now, from, c, code, text)
		return
	}
	j.excess = !m.takeShare(now, team)
	m.jobs[id] = j
	m.active[id] = j
	m.markDirty(j)
	m.replyWhenStored(now, j, from, c)
	m.registry.Count("yard.submitted." + string(queue.Name()))
	m.log.Info().Str("job", string(id)).Str("queue", string(queue.Name())).Str("team", string(team)).
		Uint64("revision", uint64(m.config.Revision())).Int("steps", len(c.Spec().Steps())).Bool("excess", j.excess).Msg("yard: submitted")
}

// shareBurstSeconds is how many seconds of its share a team may submit at once.
const shareBurstSeconds = 2.0

// takeShare takes one job from the team's token bucket, and reports whether it
// had one left. A team without a weight has no limit.
func (m *Scheduler) takeShare(now time.Time, team order.TeamName) bool {
	weight := m.config.Weight(team)
	if weight <= 0 {
		return true
	}
	b, ok := m.shareBuckets[team]
	if !ok {
		b = &tokenBucket{tokens: weight * shareBurstSeconds, updatedAt: now}
		m.shareBuckets[team] = b
	}
	b.tokens = min(weight*shareBurstSeconds, b.tokens+weight*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		m.registry.Count("yard.excess")
		return false
	}
	b.tokens--
	return true
}

// replyWhenStored answers the call once the job's latest change is stored.
func (m *Scheduler) replyWhenStored(now time.Time, j *job, from order.MemberID, c order.JobCallMsg) {
	if j.storedSeq >= j.seq {
		m.reply(from, c.Call(), order.Done, j.visibleState(), "")
		return
	}
	j.waiters = append(j.waiters, waiter{from: from, call: c.Call(), verb: c.Verb(), seq: j.seq, since: now})
}

// validateSpec returns the code and text with which a job is refused, or Done.
func validateSpec(spec order.JobSpec) (order.Code, string) {
	if spec.Repeats() < 0 || spec.Repeats() > maxTasks {
		return order.Malformed, "number of occurrences out of range"
	}
	total := 0
	for i, s := range spec.Steps() {
		if s.Tasks() <= 0 || s.Tasks() > maxTasks {
			return order.Malformed, fmt.Sprintf("step %d: number of tasks out of range", i)
		}
		total += s.Tasks() * max(1, spec.Repeats())
		switch {
		case total > maxTasks:
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

// checkRecord returns the code and text with which a new job is refused that
// the store cannot hold or no later owner could read, or Done.
func (j *job) checkRecord() (order.Code, string) {
	value, err := j.record().MarshalCBOR()
	if err == nil && len(value) > maxNewRecord {
		return order.BodyTooLarge, "the job is too large to be stored"
	}
	if err == nil {
		var stored order.JobRecord
		err = stored.UnmarshalCBOR(value)
	}
	if err != nil {
		return order.Malformed, "the job cannot be stored: " + err.Error()
	}
	return order.Done, ""
}

// replyStatus answers with the state of the job. A job that is not stored yet
// may still be refused, so it counts as unknown.
func (m *Scheduler) replyStatus(now time.Time, from order.MemberID, c order.JobCallMsg, id order.JobID) {
	j, ok := m.jobs[id]
	if !ok {
		m.holdUnknown(now, from, c)
		return
	}
	if !j.persisted {
		m.refuse(now, from, c, order.UnknownRequest, "no such job")
		return
	}
	m.reply(from, c.Call(), order.Done, j.visibleState(), "")
}

// cancelJob ends the job, stops its tasks and answers when that is stored. For
// a job that has ended already it only answers.
func (m *Scheduler) cancelJob(now time.Time, from order.MemberID, c order.JobCallMsg, id order.JobID) {
	j, ok := m.jobs[id]
	if !ok {
		m.holdUnknown(now, from, c)
		return
	}
	if !j.state.Ended() {
		m.endJob(now, j, order.JobCancelled, "cancelled by the client")
	}
	m.replyWhenStored(now, j, from, c)
}

// endJob sets the final state of a job and stops its runs.
func (m *Scheduler) endJob(now time.Time, j *job, state order.JobState, reason string) {
	j.state, j.ended = state, now
	delete(m.active, j.id)
	m.markDirty(j)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			// Runs of a task that is done end by themselves or are being
			// stopped.
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

// replyWaiting answers with the number of jobs of the queue that have not
// started.
func (m *Scheduler) replyWaiting(from order.MemberID, c order.JobCallMsg, queue policy.Queue) {
	waiting := 0
	for _, j := range m.active {
		if q, ok := m.queueOf(j); ok && q.SameAddress(queue) && j.persisted && !j.started {
			waiting++
		}
	}
	m.emit(SendCmd{to: from, msg: order.JobReplyMsg{}.WithCall(c.Call()).WithCode(order.Done).
		WithWaiting(waiting)})
}

// reply emits the answer to a call.
func (m *Scheduler) reply(to order.MemberID, call uint64, code order.Code, state order.JobState, text string) {
	m.emit(SendCmd{to: to, msg: order.JobReplyMsg{}.WithCall(call).WithCode(code).
		WithState(state).WithText(text)})
}

// refuseUnlessStored refuses a call that the configuration does not allow. If
// it repeats the submission of a job accepted under an earlier configuration,
// the outcome is unknown: a refusal would say that the job never runs.
func (m *Scheduler) refuseUnlessStored(now time.Time, to order.MemberID, c order.JobCallMsg, code order.Code, text string) {
	id := order.JobID(c.Path()[strings.LastIndexByte(c.Path(), '/')+1:])
	if _, ok := m.jobs[id]; ok && c.Verb() == order.SubmitJob {
		code, text = order.OutcomeUnknown, text+", but the job was submitted before"
	}
	m.refuse(now, to, c, code, text)
}

// refuse answers a call that changed nothing.
func (m *Scheduler) refuse(now time.Time, to order.MemberID, c order.JobCallMsg, code order.Code, text string) {
	m.registry.Count("yard.refused." + code.String())
	m.log.Info().Stringer("verb", c.Verb()).Str("path", c.Path()).Stringer("code", code).Str("reason", text).
		Uint64("revision", uint64(m.config.Revision())).Msg("yard: refused")
	if c.Verb() == order.SubmitJob && code != order.OutcomeUnknown {
		m.refusals.add(now, to, c.Call(), code)
	}
	m.reply(to, c.Call(), code, order.JobPending, text)
}
