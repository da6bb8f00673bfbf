package storage

import (
	"context"
	"fmt"
	"time"
)

type (
	// CallKind is a kind of call to the store, as it is counted in the metrics.
	CallKind string

	// Fault is a simulated failure of one call.
	Fault uint8

	// faults holds the simulated failures of a Memory.
	faults struct {
		outage      bool
		delay       time.Duration
		lostAnswers int
		chooseFault func(CallKind) Fault
	}
)

// Kinds of calls.
const (
	CallGet       CallKind = "get"
	CallList      CallKind = "list"
	CallSwap      CallKind = "swap"
	CallDelete    CallKind = "delete"
	CallWatch     CallKind = "watch"
	CallGrant     CallKind = "grant"
	CallKeepAlive CallKind = "keep_alive"
	CallRevoke    CallKind = "revoke"
)

// Faults of a call.
const (
	// FaultNone executes the call.
	FaultNone Fault = iota

	// FaultUnavailable fails the call with ErrUnavailable, without effect.
	FaultUnavailable

	// FaultAnswerLost executes the call and drops its answer.
	FaultAnswerLost

	// FaultRequestLost doesn't execute the call. The caller gets the same error
	// as for a lost answer.
	FaultRequestLost
)

// Writes reports whether the call changes the store.
func (c CallKind) Writes() bool {
	switch c {
	case CallGet, CallList, CallWatch:
		return false
	}
	return true
}

// SetOutage makes all calls fail with ErrUnavailable, including watches that
// are waiting. Leases expire as usual during an outage.
func (m *Memory) SetOutage(outage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.outage = outage
	m.notifyWatches()
}

// SetSlow delays each call. A write whose context ends during the delay returns
// ErrUncertain and takes effect when the delay is over, possibly after the
// caller has read the key.
func (m *Memory) SetSlow(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.delay = delay
}

// LoseAnswers executes the next n writes and returns ErrUncertain for them.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.lostAnswers = n
}

// SetFaults sets a function that chooses the fault of each call, for randomised
// tests. Nil removes it. The function is called with the store locked, so it
// must not call the store.
func (m *Memory) SetFaults(chooseFault func(CallKind) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.chooseFault = chooseFault
}

// Calls returns how many calls of the kind were made. A watch counts as one,
// however long it waits.
func (m *Memory) Calls(kind CallKind) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[kind]
}

// AllCalls returns the number of calls of each kind.
func (m *Memory) AllCalls() map[CallKind]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[CallKind]int64, len(m.counts))
	for kind, n := range m.counts {
		counts[kind] = n
	}
	return counts
}

// call counts a call and executes it under the lock, unless a fault prevents
// it.
func (m *Memory) call(ctx context.Context, kind CallKind, do func() error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", kind, ErrUnavailable, err)
	}
	delay := m.countCall(kind)
	due := m.clock.Now().Add(delay)
	ctxEnded := m.sleep(ctx, delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue()
	switch {
	case !ctxEnded:
		return m.execute(kind, do)
	case kind.Writes():
		m.delayed = append(m.delayed, delayedWrite{due: due, do: do})
		m.notifyWatches()
	}
	return fmt.Errorf("%s: %w: %w", kind, lostError(kind), ctx.Err())
}

// countCall counts a call and returns how long it is delayed.
func (m *Memory) countCall(kind CallKind) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[kind]++
	return m.faults.delay
}

// sleep waits for the delay and reports whether the context ended first.
func (m *Memory) sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return true
	case <-m.clock.After(delay):
		return false
	}
}

func (m *Memory) execute(kind CallKind, do func() error) error {
	switch m.fault(kind) {
	case FaultUnavailable:
		return fmt.Errorf("%s: %w", kind, ErrUnavailable)
	case FaultRequestLost:
		return fmt.Errorf("%s: %w", kind, lostError(kind))
	case FaultAnswerLost:
		_ = do()
		return fmt.Errorf("%s: %w", kind, lostError(kind))
	}
	return do()
}

func (m *Memory) fault(kind CallKind) Fault {
	if m.faults.outage {
		return FaultUnavailable
	}
	if kind.Writes() && m.faults.lostAnswers > 0 {
		m.faults.lostAnswers--
		return FaultAnswerLost
	}
	if m.faults.chooseFault != nil {
		return m.faults.chooseFault(kind)
	}
	return FaultNone
}

// lostError returns the error of a call whose answer didn't arrive.
func lostError(kind CallKind) error {
	if kind.Writes() {
		return ErrUncertain
	}
	return ErrUnavailable
}
