package storage

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error) {
	var (
		events     []Event
		reached    Version
		changed    <-chan struct{}
		nextChange time.Time
	)
	poll := func() error {
		var err error
		events, reached, err = m.changesAfter(prefix, after)
		changed, nextChange = m.changed, m.nextChange()
		return err
	}
	if err := m.call(ctx, CallWatch, poll); err != nil {
		return nil, 0, err
	}
	end := m.clock.Now().Add(wait)
	for len(events) == 0 {
		remaining := end.Sub(m.clock.Now())
		if remaining <= 0 {
			break
		}
		if !nextChange.IsZero() {
			remaining = min(remaining, max(nextChange.Sub(m.clock.Now()), 0))
		}
		if err := m.waitForChange(ctx, changed, remaining); err != nil {
			return nil, 0, err
		}
		if err := m.repoll(poll); err != nil {
			return nil, 0, err
		}
	}
	return events, reached, nil
}

// waitForChange waits for a change, but no longer than the duration.
func (m *Memory) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("watch: %w: %w", ErrUnavailable, ctx.Err())
	case <-changed:
	case <-m.clock.After(d):
	}
	return nil
}

// repoll polls again for a waiting watch, which is counted only once.
func (m *Memory) repoll(poll func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue()
	if m.faults.outage {
		return fmt.Errorf("watch: %w", ErrUnavailable)
	}
	return poll()
}

// changesAfter returns the changes below the prefix after the version. A
// version above the present one comes from a store that has lost its content
// since. It is treated like a compacted one, so that the caller lists again.
func (m *Memory) changesAfter(prefix string, after Version) ([]Event, Version, error) {
	if after < m.compacted || after > m.version {
		return nil, 0, fmt.Errorf("watch %s after %d: %w", prefix, after, ErrCompacted)
	}
	first := sort.Search(len(m.history), func(i int) bool {
		return m.history[i].entry.version > after
	})
	var events []Event
	for _, event := range m.history[first:] {
		if strings.HasPrefix(event.entry.key, prefix) {
			events = append(events, event)
		}
	}
	return events, m.version, nil
}

// nextChange returns when the next lease expires or the next delayed write is
// due, or the zero time if there is neither.
func (m *Memory) nextChange() time.Time {
	var next time.Time
	for _, granted := range m.leases {
		next = earlier(next, granted.expires)
	}
	for _, write := range m.delayed {
		next = earlier(next, write.due)
	}
	return next
}

// earlier returns the earlier time, where a zero next means none.
func earlier(next, candidate time.Time) time.Time {
	if next.IsZero() || candidate.Before(next) {
		return candidate
	}
	return next
}
