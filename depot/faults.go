package depot

import (
	"context"
	"fmt"
	"time"
)

type (
	// Call is a kind of call to the store.
	Call string

	// Fault is what happens to one call.
	Fault uint8

	faults struct {
		outage bool
		slow   time.Duration
		lost   int
		choose func(Call) Fault
	}
)

// Kinds of calls.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallSwap      Call = "swap"
	CallDelete    Call = "delete"
	CallWatch     Call = "watch"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keep_alive"
	CallRevoke    Call = "revoke"
)

// Faults of a call.
const (
	// FaultNone lets the call pass.
	FaultNone Fault = iota

	// FaultUnavailable fails the call without effect.
	FaultUnavailable

	// FaultAnswerLost executes the call and loses its answer.
	FaultAnswerLost

	// FaultRequestLost loses the call on its way, which the caller cannot
	// tell from a lost answer.
	FaultRequestLost
)

// Writes reports whether the call changes the store.
func (c Call) Writes() bool {
	switch c {
	case CallGet, CallList, CallWatch:
		return false
	}
	return true
}

// SetOutage makes all calls fail with ErrUnavailable, waiting watches too.
// Leases expire meanwhile.
func (m *Memory) SetOutage(outage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.outage = outage
	m.wake()
}

// SetSlow delays each call. A write whose caller gives up during the delay
// returns ErrUncertain and takes effect when the delay is over, possibly after
// the caller has read the key.
func (m *Memory) SetSlow(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.slow = delay
}

// LoseAnswers executes the next n writes and returns ErrUncertain for them.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.lost = n
}

// SetFaults chooses the fault of each call, for randomised runs; nil stops
// it. The function is called under the lock of the store.
func (m *Memory) SetFaults(choose func(Call) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.choose = choose
}

// Calls returns how many calls of the kind arrived; a waiting watch counts
// as one.
func (m *Memory) Calls(kind Call) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[kind]
}

// AllCalls returns the number of calls of each kind.
func (m *Memory) AllCalls() map[Call]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[Call]int64, len(m.counts))
	for kind, n := range m.counts {
		counts[kind] = n
	}
	return counts
}

// call counts a call and executes it under the lock, with the switched
// faults.
func (m *Memory) call(ctx context.Context, kind Call, do func() error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", kind, ErrUnavailable, err)
	}
	delay := m.arrive(kind)
	due := m.clock.Now().Add(delay)
	gaveUp := m.sleep(ctx, delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	switch {
	case !gaveUp:
		return m.execute(kind, do)
	case kind.Writes():
		m.late = append(m.late, lateWrite{due: due, do: do})
		m.wake()
	}
	return fmt.Errorf("%s: %w: %w", kind, lostError(kind), ctx.Err())
}

func (m *Memory) arrive(kind Call) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[kind]++
	return m.faults.slow
}

// sleep waits and reports whether the caller gave up meanwhile.
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

func (m *Memory) execute(kind Call, do func() error) error {
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

func (m *Memory) fault(kind Call) Fault {
	if m.faults.outage {
		return FaultUnavailable
	}
	if kind.Writes() && m.faults.lost > 0 {
		m.faults.lost--
		return FaultAnswerLost
	}
	if m.faults.choose != nil {
		return m.faults.choose(kind)
	}
	return FaultNone
}

// lostError returns the error of a call whose answer did not arrive.
func lostError(kind Call) error {
	if kind.Writes() {
		return ErrUncertain
	}
	return ErrUnavailable
}
