package tide

import (
	"sort"
	"sync"
	"time"
)

type (
	// Manual is a clock that moves only when a test advances it.
	Manual struct {
		mu     sync.Mutex
		now    time.Time
		timers map[*manualTimer]struct{}
	}

	manualTimer struct {
		due    time.Time
		period time.Duration
		fire   func(time.Time)
	}
)

// NewManual returns a manual clock that shows the given time.
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

// Advance moves the clock and fires the timers that fall due, in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.now.Add(d)
	for {
		timer := m.next(end)
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

func (m *Manual) next(end time.Time) *manualTimer {
	due := make([]*manualTimer, 0, len(m.timers))
	for timer := range m.timers {
		if !timer.due.After(end) {
			due = append(due, timer)
		}
	}
	if len(due) == 0 {
		return nil
	}
	sort.Slice(due, func(i, j int) bool { return due[i].due.Before(due[j].due) })
	return due[0]
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
