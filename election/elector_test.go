package election

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

func newElector(self order.MemberID, store storage.Batcher) *Elector {
	return New(self, store, timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop())
}

// run calls Run on a goroutine and returns the function that stops it.
func run(e *Elector) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// waitAcquired waits until the process owns the cell.
func waitAcquired(t *testing.T, e *Elector) AcquiredEvent {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case e := <-e.Events():
			if a, ok := e.(AcquiredEvent); ok {
				return a
			}
		case <-timeout:
			t.Fatal("the cell was not acquired")
		}
	}
}

// When the owner crashes, another process must claim the cell, with a higher
// epoch. While the owner runs, it must not.
func TestClaimsAfterOwnerDies(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a, b := newElector("10.0.0.1:7000/a", store), newElector("10.0.0.2:7000/b", store)
	stopA := run(a)
	first := waitAcquired(t, a)
	stopB := run(b)
	defer stopB()
	time.Sleep(2 * leaseTTL)
	_, _, isOwner := b.Owner()
	is.True(!isOwner)
	stopA()
	second := waitAcquired(t, b)
	is.True(second.Epoch() > first.Epoch())
}

// Guards against a release that the next owner does not see, and against one that it sees without or after it.
func TestNextOwnerSeesSettledRelease(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a, b, c := newElector("10.0.0.1:7000/a", store), newElector("10.0.0.2:7000/b", store), newElector("10.0.0.3:7000/c", store)
	defer run(a)()
	first := waitAcquired(t, a)
	is.True(!first.Released())
	stopB := run(b)
	a.Leave(context.Background(), first.Epoch())
	second := waitAcquired(t, b)
	is.True(second.Released())
	defer run(c)()
	stopB() // b crashes
	third := waitAcquired(t, c)
	is.True(!third.Released())
	d := newElector("10.0.0.4:7000/d", store)
	defer run(d)()
	c.Leave(context.Background(), second.Epoch()) // an earlier ownership
	is.True(!waitAcquired(t, d).Released())
}

// A restarted process must claim its own cell without waiting for the lease of
// its earlier run to expire.
func TestReclaimsAfterRestart(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a := newElector("10.0.0.1:7000/a", store)
	stop := run(a)
	waitAcquired(t, a)
	stop()
	began := time.Now()
	again := newElector("10.0.0.1:7000/b", store)
	defer run(again)()
	waitAcquired(t, again)
	is.True(time.Since(began) < leaseTTL)
}

// A process must end its ownership when another one reports a later owner,
// since its own calls to the store may fail. Reports of earlier owners must
// have no effect.
func TestAcceptsLaterOwner(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a := newElector("10.0.0.1:7000/a", store)
	stop := run(a)
	first := waitAcquired(t, a)
	stop()
	a.HandleOwner(order.OwnerMsg{}.WithMember("10.0.0.2:7000/b").WithEpoch(first.Epoch() + 1))
	owner, epoch, isOwner := a.Owner()
	is.Equal(owner, order.MemberID("10.0.0.2:7000/b"))
	is.Equal(epoch, first.Epoch()+1)
	is.True(!isOwner)
	a.HandleOwner(order.OwnerMsg{}.WithMember("10.0.0.1:7000/a").WithEpoch(first.Epoch()))
	owner, _, _ = a.Owner()
	is.Equal(owner, order.MemberID("10.0.0.2:7000/b"))
}

// sendHeartbeats sends the owner's heartbeats to the elector until the returned
// function is called. reachable reports whether the owner reaches the store.
func sendHeartbeats(e *Elector, owner order.MemberID, epoch order.Epoch, reachable func() bool) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		timers.Every(ctx, timers.New(), 50*time.Millisecond, func(time.Time) {
			e.HandleHeartbeat(owner, order.OwnerHeartbeatMsg{}.WithEpoch(epoch).WithStoreReachable(reachable()))
		})
	}()
	return func() {
		cancel()
		<-done
	}
}

// An owner that has lived through an outage of the store keeps the cell, even
// though its lease has expired and other processes reach the store a little
// sooner. A takeover would stop the cell for another second.
func TestOwnerKeepsCellAfterOutage(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a, b := newElector("10.0.0.1:7000/a", store), newElector("10.0.0.2:7000/b", store)
	defer run(a)()
	first := waitAcquired(t, a)
	defer run(b)()
	time.Sleep(3 * tickInterval)
	var returned time.Time
	var mu sync.Mutex
	defer sendHeartbeats(b, "10.0.0.1:7000/a", first.Epoch(), func() bool {
		mu.Lock()
		defer mu.Unlock()
		// The owner notices the return later than the others do.
		return !returned.IsZero() && time.Since(returned) > 600*time.Millisecond
	})()
	store.SetOutage(true)
	time.Sleep(2 * leaseTTL)
	mu.Lock()
	returned = time.Now()
	mu.Unlock()
	store.SetOutage(false)
	time.Sleep(2 * leaseTTL)
	_, epoch, isOwner := a.Owner()
	is.True(isOwner)
	is.Equal(epoch, first.Epoch())
}

// If only the owner has lost the store, another process must claim the cell
// soon, without the delay for an outage.
func TestClaimsSoonFromOwnerWithoutStore(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a, b := newElector("10.0.0.1:7000/a", store), newElector("10.0.0.2:7000/b", store)
	stop := run(a)
	first := waitAcquired(t, a)
	defer run(b)()
	time.Sleep(3 * tickInterval)
	stop()
	defer sendHeartbeats(b, "10.0.0.1:7000/a", first.Epoch(), func() bool { return false })()
	began := time.Now()
	second := waitAcquired(t, b)
	is.True(second.Epoch() > first.Epoch())
	is.True(time.Since(began) < ownerGrace)
}

// An owner must step down once the ownership record has changed, even if its watch returns no events.
func TestStepsDownWhenRecordChanges(t *testing.T) {
	is := is.New(t)
	store := &deafStore{Memory: storage.NewMemory(timers.New())}
	a := newElector("10.0.0.1:7000/a", store)
	defer run(a)()
	first := waitAcquired(t, a)
	value, err := order.OwnerRecord{}.WithMember("10.0.0.2:7000/b").WithEpoch(first.Epoch() + 1).MarshalCBOR()
	is.NoErr(err)
	store.setDeaf()
	_, err = store.Swap(context.Background(), ownerKey, first.Record().Version(), value, 0)
	is.NoErr(err)
	timeout := time.After(3 * renewInterval)
	for {
		select {
		case e := <-a.Events():
			if _, ok := e.(LostEvent); ok {
				return
			}
		case <-timeout:
			t.Fatal("the owner did not step down")
		}
	}
}

// A confirmation must not be later than the last moment at which the record was unchanged.
func TestConfirmsOnlyWhileOwner(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a := newElector("10.0.0.1:7000/a", store)
	defer run(a)()
	first := waitAcquired(t, a)
	confirmed := waitConfirmed(t, a)
	is.Equal(confirmed.Epoch(), first.Epoch())
	is.True(confirmed.At().After(first.ClaimedAt()))
	store.SetOutage(true)
	down := time.Now()
	time.Sleep(2 * leaseTTL)
	for len(a.Events()) > 0 {
		if c, ok := (<-a.Events()).(ConfirmedEvent); ok {
			is.True(!c.At().After(down))
		}
	}
	store.SetOutage(false)
	is.True(waitConfirmed(t, a).At().After(down))
}

// waitConfirmed waits until the store confirms the ownership.
func waitConfirmed(t *testing.T, e *Elector) ConfirmedEvent {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case e := <-e.Events():
			if c, ok := e.(ConfirmedEvent); ok {
				return c
			}
		case <-timeout:
			t.Fatal("the ownership was not confirmed")
		}
	}
}

// deafStore is a store whose watches return no events once it is deaf.
type deafStore struct {
	*storage.Memory
	deaf atomic.Bool
}

func (s *deafStore) setDeaf() { s.deaf.Store(true) }

func (s *deafStore) Watch(ctx context.Context, prefix string, after storage.Version, wait time.Duration) ([]storage.Event, storage.Version, error) {
	events, version, err := s.Memory.Watch(ctx, prefix, after, wait)
	if s.deaf.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return events, version, err
}

// A confirmation must have the time at which the read was sent, since another process may claim while the answer is under way.
func TestConfirmationIsAsOldAsItsCall(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a := newElector("10.0.0.1:7000/a", store)
	defer run(a)()
	first := waitAcquired(t, a)
	is.True(!first.ClaimedAt().After(time.Now()))
	const delay = 250 * time.Millisecond
	store.SetSlow(delay)
	slow := time.Now()
	for {
		if c := waitConfirmed(t, a); c.At().After(slow) {
			is.True(time.Since(c.At()) >= delay)
			return
		}
	}
}

// oldReadStore answers a read of the ownership record as of an earlier time.
type oldReadStore struct {
	*storage.Memory
	earlier storage.Entry
}

func (s *oldReadStore) Get(context.Context, string) (storage.Entry, error) { return s.earlier, nil }

// A read that an earlier ownership of this process sent, and that the store had
// answered before the present claim, must not end the present ownership.
func TestReadFromBeforeTheClaimDoesNotEndOwnership(t *testing.T) {
	is := is.New(t)
	store := &oldReadStore{Memory: storage.NewMemory(timers.New())}
	version, err := store.Swap(context.Background(), ownerKey, 0, []byte("earlier"), 0)
	is.NoErr(err)
	store.earlier = storage.NewEntry(ownerKey, []byte("earlier"), version)
	e := newElector("10.0.0.1:7000/a", store)
	e.version = version
	is.NoErr(e.tryClaim(context.Background()))
	acquired := waitAcquired(t, e)
	e.confirm(context.Background())
	_, epoch, isOwner := e.Owner()
	is.True(isOwner)
	is.Equal(epoch, acquired.Epoch())
	is.Equal(e.confirmedAt, acquired.ClaimedAt()) // and confirms nothing
	store.earlier = storage.NewEntry(ownerKey, []byte("later"), e.version+1)
	e.confirm(context.Background())
	_, _, isOwner = e.Owner()
	is.True(!isOwner)
}
