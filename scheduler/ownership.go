package scheduler

import (
	"errors"
	"slices"
	"time"

	"chervilhollow/order"
)

type (
	// endedRun is a run that was found to have ended at the time, for the
	// reason.
	endedRun struct {
		attempt *attempt
		at      time.Time
		reason  string
	}

	// unknownCall is a call about a job that this owner did not know at the
	// time.
	unknownCall struct {
		from order.MemberID
		call order.JobCallMsg
		at   time.Time
	}
)

// maxConfirmGap is how long the store may not confirm the ownership before it
// counts as having been down. It does so every 0.3 s.
const maxConfirmGap = time.Second

// confirm records that no other process had owned the cell at the given time.
func (m *Scheduler) confirm(at time.Time, suspended time.Duration) {
	if at.After(m.confirmedAt) {
		if at.Sub(m.confirmedAt)+suspended-m.confirmedSuspended > maxConfirmGap {
			m.steadySince = at
		}
		m.confirmedAt, m.confirmedSuspended = at, suspended
	}
}

// confirmedSince reports whether the store has confirmed the ownership at or
// after the given time.
func (m *Scheduler) confirmedSince(t time.Time) bool { return !m.confirmedAt.Before(t) }

// storeSteady reports whether the store has answered this owner since the time
// without a gap in which it may have been down.
func (m *Scheduler) storeSteady(now, since time.Time) bool {
	return !since.Before(m.steadySince) && m.ownershipAge(now) <= maxConfirmGap
}

// leaseLength returns how long a lease that is granted now may last, and zero if
// none may be granted. A successor may have claimed the cell at any time since
// confirmedAt, and counts with leases of its predecessor for maxLease from its
// claim on.
func (m *Scheduler) leaseLength(now time.Time) time.Duration {
	return max(0, min(leaseDuration, m.limits.maxLease-m.ownershipAge(now)))
}

// ownershipAge returns the time since the store last confirmed the ownership,
// with the time for which the machine was suspended.
func (m *Scheduler) ownershipAge(now time.Time) time.Duration {
	return now.Sub(m.confirmedAt) + m.suspended - m.confirmedSuspended
}

// mayStart reports whether tasks may be started. A successor that claimed right
// after the last confirmation may have acknowledged that a job is cancelled.
func (m *Scheduler) mayStart(now time.Time) bool {
	return !m.paused && m.ownershipAge(now) < m.limits.cancelBound && m.leaseLength(now) > 0
}

// logStarts logs when the owner stops starting tasks, and when it starts some
// again.
func (m *Scheduler) logStarts(now time.Time, allowed bool) {
	if allowed == !m.startsHeld {
		return
	}
	m.startsHeld = !allowed
	m.log.Warn().Bool("allowed", allowed).Bool("paused", m.paused).Dur("ownership_age", m.ownershipAge(now)).
		Uint64("epoch", uint64(m.epoch)).Msg("yard: starts of tasks")
}

// lapsed reports whether all leases of the worker that this owner knows of have
// certainly expired, and no other owner can have renewed them before: the store
// confirmed the ownership after their end.
func (m *Scheduler) lapsed(w *worker) bool { return m.confirmedSince(w.leaseEnd) }

// PredecessorReleased records that the owner before had settled its leases when
// it released the cell. It is called before RestoreWorkers.
func (m *Scheduler) PredecessorReleased() { m.formerLease = leaseDuration }

// formerLeaseEnd returns when all leases of earlier owners have certainly
// expired, and none of their starts can be carried out any more.
func (m *Scheduler) formerLeaseEnd() time.Time {
	return m.startedAt.Add(maxLeaseTime(m.formerLease))
}

// Settled reports whether all leases of this and of earlier owners end within
// the usual time, so that the next owner has to wait no longer: all runs are
// known, no start may still be carried out, and no task is started any more.
func (m *Scheduler) Settled(now time.Time) bool {
	if !m.paused || m.superseded || !m.recovered() {
		return false
	}
	latest := now.Add(maxLeaseTime(leaseDuration))
	for _, w := range m.workers {
		if w.leaseEnd.After(latest) {
			return false
		}
		for _, a := range w.attempts {
			if a.startOpen || a.state == attemptUnconfirmed || !a.uncertainAt.IsZero() {
				return false
			}
		}
	}
	return true
}

// checkEpoch ends the ownership if the result of an order says that the worker
// has accepted a later epoch.
func (m *Scheduler) checkEpoch(err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.reason != RefusedStaleEpoch || m.superseded {
		return
	}
	m.superseded = true
	m.log.Warn().Uint64("epoch", uint64(m.epoch)).Msg("yard: a worker has accepted a later owner")
}

// Superseded reports whether another process owns the cell. No command must be
// executed from then on.
func (m *Scheduler) Superseded() bool { return m.superseded }

// requeueConfirmed frees the capacity of a run that has certainly ended, but not
// by an end that the worker listed. Its task waits for its next run once the
// store has confirmed the ownership: until then a successor may have taken note
// that the run was done.
func (m *Scheduler) requeueConfirmed(now time.Time, a *attempt, reason string) {
	m.release(a)
	a.state = attemptStopping
	m.endedRuns = append(m.endedRuns, endedRun{attempt: a, at: now, reason: reason})
}

// keepEndedRun drops the conclusion that a run has ended, which its worker
// reports, unless its task waits for the next run already.
func (m *Scheduler) keepEndedRun(w *worker, r RunningTask) {
	m.endedRuns = slices.DeleteFunc(m.endedRuns, func(e endedRun) bool {
		a := e.attempt
		if a.worker.id != w.id || a.ref != r.task || a.run != r.run {
			return false
		}
		if t := a.task; t != nil && t.attempt == a {
			t.unassign()
		}
		return true
	})
}

// requeueEndedRuns makes the tasks of ended runs wait again whose end the last
// confirmation follows.
func (m *Scheduler) requeueEndedRuns(now time.Time) {
	n := 0
	for n < len(m.endedRuns) && m.confirmedSince(m.endedRuns[n].at) {
		m.requeue(now, m.endedRuns[n].attempt, m.endedRuns[n].reason)
		n++
	}
	m.endedRuns = m.endedRuns[n:]
}

// holdUnknown keeps a call about a job that this owner does not know until the
// store has confirmed the ownership: a successor may have accepted the job.
func (m *Scheduler) holdUnknown(now time.Time, from order.MemberID, c order.JobCallMsg) {
	m.unknownCalls = append(m.unknownCalls, unknownCall{from: from, call: c, at: now})
}

// answerUnknown answers the calls about unknown jobs which the last confirmation
// follows, and those that have waited for one for too long.
func (m *Scheduler) answerUnknown(now time.Time) {
	n := 0
	for n < len(m.unknownCalls) {
		u := m.unknownCalls[n]
		switch {
		case m.confirmedSince(u.at):
			m.refuse(now, u.from, u.call, order.UnknownRequest, "no such job")
		case now.Sub(u.at) >= uncertainReplyDelay:
			m.refuse(now, u.from, u.call, order.OutcomeUnknown, "the store does not confirm the ownership")
		default:
			m.unknownCalls = m.unknownCalls[n:]
			return
		}
		n++
	}
	m.unknownCalls = nil
}
