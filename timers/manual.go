package timers

import (
	"sort"
	"sync"
	"time"
)

type (
	// Manual is a Clock for tests. Its time changes only in Advance.
	Manual struct {
		mu     sync.Mutex
		now    time.Time
		timers map[*manualTimer]struct{}

		suspended time.Duration
	}

	manualTimer struct {
		due    time.Time
		period time.Duration
		fire   func(time.Time)
	}
)

// NewManual returns a manual clock set to the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, timers: make(map[*manualTimer]struct{})}
}

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe implements Clock.
func (m *Manual) Subscribe(period time.Duration) *Subscription {
	s := &Subscription{ticks: make(chan time.Time, 1)}
	timer := m.add(period, period, s.deliver)
	s.stop = func() { m.remove(timer) }
	return s
}

// After implements Clock.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	m.add(d, 0, func(now time.Time) { c <- now })
	return c
}

// Suspended implements Clock.
func (m *Manual) Suspended() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspended
}

// Suspend lets the machine be suspended for the duration, which Now doesn't
// count.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// Advance sets the clock forward and fires the timers that are due, in the
// order of their due times. While a timer fires, Now is its due time.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.now.Add(d)
	for {
		timer := m.nextDue(end)
		if timer == nil {
			break
		}
		m.now = timer.due
		timer.fire(m.now)
		if timer.period == 0 {
			delete(m.timers, timer)
			continue
		}
		timer.due = timer.due.Add(timer.period)
	}
	m.now = end
}

// nextDue returns the first timer that is due by the end, or nil.
func (m *Manual) nextDue(end time.Time) *manualTimer {
	candidates := make([]*manualTimer, 0, len(m.timers))
	for timer := range m.timers {
		if !timer.due.After(end) {
			candidates = append(candidates, timer)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].due.Before(candidates[j].due) })
	return candidates[0]
}

func (m *Manual) add(d, period time.Duration, fire func(time.Time)) *manualTimer {
	m.mu.Lock()
	defer m.mu.Unlock()
	timer := &manualTimer{due: m.now.Add(d), period: period, fire: fire}
	m.timers[timer] = struct{}{}
	return timer
}

func (m *Manual) remove(timer *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.timers, timer)
}
