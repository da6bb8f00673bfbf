package queue

import (
	"time"

	"chervilhollow/order"
)

type (
	// retryBudget is a token bucket that bounds the retries to a fraction of
	// the requests.
	retryBudget struct {
		tokens   float64
		refilled time.Time
		fraction float64
	}
)

const (
	// defaultRetryBudget is the number of retries per request.
	defaultRetryBudget  = 0.1
	maxBudgetTokens     = 100
	initialBudgetTokens = 10

	// budgetPerSecond is the refill rate, in tokens. It allows retries in a
	// partition with little traffic.
	budgetPerSecond = 1

	// retryBaseDelay is the delay before the first retry. It doubles up to
	// retryMaxDelay.
	retryBaseDelay = 100 * time.Millisecond
	retryMaxDelay  = 10 * time.Second

	// budgetRetryDelay is how long a retry waits for an empty budget to refill.
	budgetRetryDelay = 2 * time.Second

	// maxFailedRetries is how often a task that ran and failed runs again,
	// because the fault may lie with the worker.
	maxFailedRetries = 1
	// maxLostRetries is how often a task runs again whose attempt was lost.
	maxLostRetries = 3
)

func newRetryBudget(now time.Time) retryBudget {
	return retryBudget{tokens: initialBudgetTokens, refilled: now, fraction: defaultRetryBudget}
}

func (b *retryBudget) deposit() { b.tokens = min(b.tokens+b.fraction, maxBudgetTokens) }

func (b *retryBudget) refill(now time.Time) {
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*budgetPerSecond, maxBudgetTokens)
	b.refilled = now
}

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryable reports whether another attempt may follow the one that ended.
func (m *Machine) retryable(t *task, notStarted bool) bool {
	j := t.job
	if j.cancelled || j.expired {
		return false
	}
	if notStarted {
		return t.outcome.Code() != order.TooLarge
	}
	if !j.restartable() {
		return false
	}
	switch t.outcome.Code() {
	case order.WorkerLost, order.OutcomeUnknown:
		return j.request.Kind() == order.Service || t.retries < maxLostRetries
	case order.TaskFailed:
		return j.request.Kind() != order.Service && t.retries < maxFailedRetries
	}
	return false
}

// planRetry returns the delay before the next attempt, with jitter. It returns
// false if the retry budget is empty and the request should end with the
// outcome that it has. Tasks that never started, and services, wait for the
// budget instead.
func (m *Machine) planRetry(t *task, notStarted bool) (time.Duration, bool) {
	wait := m.jitter(min(retryBaseDelay<<min(t.retries, 10), retryMaxDelay))
	t.retries++
	t.needsBudget = false
	if m.budget.withdraw() {
		m.registry.Count("till.retried." + t.outcome.Code().String())
		return wait, true
	}
	m.registry.Count("till.retry_budget_spent")
	t.needsBudget = notStarted || t.job.request.Kind() == order.Service
	return wait, t.needsBudget
}

// mayRetry reports whether the task may be placed again now. While the retry
// budget is empty, it sets a later time for the retry.
func (m *Machine) mayRetry(t *task) bool {
	if t.needsBudget && !m.budget.withdraw() {
		t.retryAt = m.now.Add(m.jitter(budgetRetryDelay))
		return false
	}
	t.needsBudget = false
	t.retryAt = time.Time{}
	return true
}

// jitter returns a random duration between d/2 and d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rand.Int64N(int64(d/2)+1))
}
