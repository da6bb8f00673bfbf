package till

import (
	"time"

	"chervilhollow/order"
)

type (
	// budget bounds the retries to a share of the requests.
	budget struct {
		tokens   float64
		refilled time.Time
		share    float64
	}
)

const (
	defaultRetryBudget = 0.1
	budgetMax          = 100
	budgetFirst        = 10

	// budgetPerSecond lets a partition with little traffic retry at all.
	budgetPerSecond = 1

	retryBase = 100 * time.Millisecond
	retryMax  = 10 * time.Second

	// budgetWait is how long a retry waits for a spent budget to refill.
	budgetWait = 2 * time.Second

	// maxFailed is how often a task that ran and failed runs again, because
	// the worker may be at fault and not the task.
	maxFailed = 1
	maxLost   = 3
)

func newBudget(now time.Time) budget {
	return budget{tokens: budgetFirst, refilled: now, share: defaultRetryBudget}
}

func (b *budget) earn() { b.tokens = min(b.tokens+b.share, budgetMax) }

func (b *budget) refill(now time.Time) {
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*budgetPerSecond, budgetMax)
	b.refilled = now
}

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryable reports whether the ended attempt may be followed by another one.
func (m *Machine) retryable(t *task, notStarted bool) bool {
	j := t.job
	if j.cancelled || j.expired {
		return false
	}
	if notStarted {
		return t.outcome.Code() != order.TooLarge
	}
	if !j.repeatable() {
		return false
	}
	switch t.outcome.Code() {
	case order.WorkerLost, order.OutcomeUnknown:
		return j.request.Kind() == order.Service || t.retries < maxLost
	case order.TaskFailed:
		return j.request.Kind() != order.Service && t.retries < maxFailed
	}
	return false
}

// retryWait returns how long to wait before the next attempt, with jitter. It
// reports false if the budget is spent and the work has an outcome to answer.
// Work that never started, and services, wait for the budget instead.
func (m *Machine) retryWait(t *task, notStarted bool) (time.Duration, bool) {
	wait := m.jitter(min(retryBase<<min(t.retries, 10), retryMax))
	t.retries++
	t.unpaid = false
	if m.budget.spend() {
		m.registry.Count("till.retried." + t.outcome.Code().String())
		return wait, true
	}
	m.registry.Count("till.retry_budget_spent")
	t.unpaid = notStarted || t.job.request.Kind() == order.Service
	return wait, t.unpaid
}

// mayRetry reports whether the task may be placed again now. If the retry
// budget is still spent it waits on.
func (m *Machine) mayRetry(t *task) bool {
	if t.unpaid && !m.budget.spend() {
		t.retryAt = m.now.Add(m.jitter(budgetWait))
		return false
	}
	t.unpaid = false
	t.retryAt = time.Time{}
	return true
}

// jitter returns a random time between half of the given one and all of it.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rand.Int64N(int64(d/2)+1))
}
