// Package timers provides the clock and the timers of a process. Code that
// takes a Clock runs on the machine's clock from New, and in tests on a Manual
// clock that only the test advances.
package timers

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Clock returns the time and runs timers. It is safe for concurrent use.
	Clock interface {
		// Now returns the current time.
		Now() time.Time

		// Subscribe returns a subscription that ticks at the period. A tick is
		// dropped while the last one has not been read. The caller must close
		// the subscription.
		Subscribe(period time.Duration) *Subscription

		// After returns a channel that receives the time once, after the
		// duration.
		After(d time.Duration) <-chan time.Time

		// Suspended returns how long the machine was suspended since the clock
		// was created. Differences of Now don't count that time.
		Suspended() time.Duration
	}

	// Subscription delivers the ticks of one call of Subscribe.
	Subscription struct {
		ticks chan time.Time
		stop  func()
		once  sync.Once
	}

	// realClock counts from created, when the kernel's clock that runs on while
	// the machine is suspended showed bootTime.
	realClock struct {
		created  time.Time
		bootTime time.Duration
	}
)

// suspendResolution is the shortest suspension that Suspended counts, as its two
// clocks can't be read at the same time.
const suspendResolution = 20 * time.Millisecond

// New returns the clock of the machine.
func New() Clock { return realClock{created: time.Now(), bootTime: bootTime()} }

// bootTime reads the clock that runs on while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// C returns the channel on which the ticks arrive. Close doesn't close it.
func (s *Subscription) C() <-chan time.Time { return s.ticks }

// Close ends the subscription. It waits until no more ticks can be sent, and
// may be called again.
func (s *Subscription) Close() { s.once.Do(s.stop) }

// deliver sends a tick, or drops it if the last one has not been read.
func (s *Subscription) deliver(now time.Time) {
	select {
	case s.ticks <- now:
	default:
	}
}

// Now implements Clock.
func (realClock) Now() time.Time { return time.Now() }

// Suspended implements Clock.
func (c realClock) Suspended() time.Duration {
	steady := time.Since(c.created)
	return max(0, bootTime()-c.bootTime-steady).Truncate(suspendResolution)
}

// After implements Clock.
func (realClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Subscribe implements Clock.
func (realClock) Subscribe(period time.Duration) *Subscription {
	ticker := time.NewTicker(period)
	done := make(chan struct{})
	stopped := make(chan struct{})
	s := &Subscription{ticks: make(chan time.Time, 1)}
	s.stop = func() {
		ticker.Stop()
		close(done)
		<-stopped
	}
	go func() {
		defer close(stopped)
		for {
			select {
			case now := <-ticker.C:
				s.deliver(now)
			case <-done:
				return
			}
		}
	}()
	return s
}
