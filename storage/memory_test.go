package storage_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/storage"
	"chervilhollow/timers"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// Guards against two writers that both succeed although they expect the same
// version.
func TestMemorySwap(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := storage.NewMemory(timers.NewManual(start))
	v, err := m.Swap(ctx, "a", 0, []byte("1"), 0)
	is.NoErr(err)
	_, err = m.Swap(ctx, "a", 0, []byte("2"), 0)
	is.True(errors.Is(err, storage.ErrConflict))
	_, err = m.Swap(ctx, "a", v, []byte("2"), 0)
	is.NoErr(err)
	is.True(errors.Is(m.Delete(ctx, "a", v), storage.ErrConflict))
	e, err := m.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(e.Value()), "2")
	_, err = m.Swap(ctx, "b", 0, make([]byte, storage.MaxValue+1), 0)
	is.True(errors.Is(err, storage.ErrValueTooLarge))
}

// Guards against keys that still exist after their lease has expired, and
// against a lease that expires although it was kept alive.
func TestMemoryLease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := timers.NewManual(start)
	m := storage.NewMemory(clock)
	lease, err := m.Grant(ctx, 10*time.Second)
	is.NoErr(err)
	_, err = m.Swap(ctx, "member/a", 0, []byte("a"), lease)
	is.NoErr(err)
	clock.Advance(9 * time.Second)
	is.NoErr(m.KeepAlive(ctx, lease))
	clock.Advance(9 * time.Second)
	e, err := m.Get(ctx, "member/a")
	is.NoErr(err)
	is.True(e.Exists())
	clock.Advance(time.Second)
	e, err = m.Get(ctx, "member/a")
	is.NoErr(err)
	is.True(!e.Exists())
	is.True(errors.Is(m.KeepAlive(ctx, lease), storage.ErrLeaseEnded))
}

// Guards against a watch that misses a change or the expiry of a lease, and
// against one that is counted more than once while it waits.
func TestMemoryWatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := timers.New()
	m := storage.NewMemory(clock, storage.WithRetained(4))
	lease, err := m.Grant(ctx, 50*time.Millisecond)
	is.NoErr(err)
	v, err := m.Swap(ctx, "member/a", 0, []byte("a"), lease)
	is.NoErr(err)
	events, reached, err := m.Watch(ctx, "member/", v, 5*time.Second)
	is.NoErr(err)
	is.Equal(len(events), 1)
	is.True(events[0].Deleted())
	is.Equal(m.Calls(storage.CallWatch), int64(1))
	events, _, err = m.Watch(ctx, "member/", reached, time.Millisecond)
	is.NoErr(err)
	is.Equal(len(events), 0)
	m.Compact()
	_, _, err = m.Watch(ctx, "member/", v, time.Millisecond)
	is.True(errors.Is(err, storage.ErrCompacted))
}

// Guards against faults that return the wrong class of error. A write with a
// lost answer takes effect, and one during an outage must not.
func TestMemoryFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := storage.NewMemory(timers.NewManual(start))
	m.LoseAnswers(1)
	_, err := m.Swap(ctx, "a", 0, []byte("1"), 0)
	is.True(errors.Is(err, storage.ErrUncertain))
	e, err := m.Get(ctx, "a")
	is.NoErr(err)
	is.True(e.Exists())
	m.SetOutage(true)
	_, err = m.Swap(ctx, "b", 0, []byte("1"), 0)
	is.True(errors.Is(err, storage.ErrUnavailable))
	m.SetOutage(false)
	e, err = m.Get(ctx, "b")
	is.NoErr(err)
	is.True(!e.Exists())
}

// Guards against a simulated slow store that is too benign: a real one may
// execute a write whose context has ended after the caller has read the key.
func TestMemoryDelayedWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := timers.NewManual(start)
	m := storage.NewMemory(clock)
	m.SetSlow(3 * time.Second)
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err := m.Swap(short, "b", 0, []byte("1"), 0)
	is.True(errors.Is(err, storage.ErrUncertain))
	m.SetSlow(0)
	e, err := m.Get(ctx, "b")
	is.NoErr(err)
	is.True(!e.Exists())
	clock.Advance(3 * time.Second)
	e, err = m.Get(ctx, "b")
	is.NoErr(err)
	is.True(e.Exists())
}
