package timers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilhollow/timers"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// Guards against timers of the manual clock that fire early, late or out of
// order. Tests that use the clock would then miss faults.
func TestManualFiresInOrder(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(start)
	late := clock.After(2 * time.Second)
	early := clock.After(time.Second)
	clock.Advance(time.Second)
	is.Equal(<-early, start.Add(time.Second))
	select {
	case <-late:
		t.Fatal("timer fired early")
	default:
	}
	clock.Advance(time.Second)
	is.Equal(<-late, start.Add(2*time.Second))
}

// Guards against ticks that queue up for a slow subscriber.
func TestManualDropsUnreadTicks(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(start)
	s := clock.Subscribe(time.Second)
	clock.Advance(10 * time.Second)
	is.Equal(<-s.C(), start.Add(time.Second))
	select {
	case <-s.C():
		t.Fatal("second tick was kept")
	default:
	}
	s.Close()
	clock.Advance(time.Second)
	is.Equal(len(s.C()), 0)
}

// Guards against a goroutine that leaks when a subscription is closed, and
// against a second Close that panics.
func TestCloseStopsGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := timers.New().Subscribe(time.Millisecond)
	<-s.C()
	s.Close()
	s.Close()
}

// Guards against a suspension that passes as no time at all.
func TestSuspendedIsNotPartOfNow(t *testing.T) {
	is := is.New(t)
	clock := timers.NewManual(start)
	clock.Suspend(3 * time.Second)
	is.Equal(clock.Now(), start)
	is.Equal(clock.Suspended(), 3*time.Second)
	machine := timers.New()
	time.Sleep(50 * time.Millisecond)
	is.Equal(machine.Suspended(), time.Duration(0))
}
