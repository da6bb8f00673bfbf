// Package timers provides the clock and the timers of a process. Code that
// takes a Clock runs on the machine's clock from New, and in tests on a Manual
// clock that only the test advances.
package timers

import (
	"sync"
	"time"
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
	}

	// Subscription delivers the ticks of one call of Subscribe.
	Subscription struct {
		ticks chan time.Time
		stop  func()
		once  sync.Once
	}

	realClock struct{}
)

// New returns the clock of the machine.
func New() Clock { return realClock{} }

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
