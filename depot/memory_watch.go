package depot

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
		events  []Event
		reached Version
		changed <-chan struct{}
		due     time.Time
	)
	look := func() error {
		var err error
		events, reached, err = m.changesAfter(prefix, after)
		changed, due = m.changed, m.nextChange()
		return err
	}
	if err := m.call(ctx, CallWatch, look); err != nil {
		return nil, 0, err
	}
	end := m.clock.Now().Add(wait)
	for len(events) == 0 {
		left := end.Sub(m.clock.Now())
		if left <= 0 {
			break
		}
		if !due.IsZero() {
			left = min(left, max(due.Sub(m.clock.Now()), 0))
		}
		if err := m.pause(ctx, changed, left); err != nil {
			return nil, 0, err
		}
		if err := m.again(look); err != nil {
			return nil, 0, err
		}
	}
	return events, reached, nil
}

// pause waits for a change or the end of the duration.
func (m *Memory) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("watch: %w: %w", ErrUnavailable, ctx.Err())
	case <-changed:
	case <-m.clock.After(d):
	}
	return nil
}

// again continues a watch that has already been counted.
func (m *Memory) again(look func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	if m.faults.outage {
		return fmt.Errorf("watch: %w", ErrUnavailable)
	}
	return look()
}

// changesAfter returns the changes below the prefix after the version. A
// version in the future comes from a store that has since lost its content;
// it is answered like a compacted one, so that the caller lists again.
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

// nextChange returns when the next lease ends or late write is due, or the
// zero time.
func (m *Memory) nextChange() time.Time {
	var next time.Time
	for _, held := range m.leases {
		next = earlier(next, held.expires)
	}
	for _, write := range m.late {
		next = earlier(next, write.due)
	}
	return next
}

func earlier(next, candidate time.Time) time.Time {
	if next.IsZero() || candidate.Before(next) {
		return candidate
	}
	return next
}
