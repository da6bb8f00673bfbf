package roster_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// harness runs members and peers against a store in memory, on a manual clock.
type harness struct {
	t      *testing.T
	clock  *timers.Manual
	store  *storage.Memory
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
}

func newHarness(t *testing.T) *harness {
	clock := timers.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
	ctx, cancel := context.WithCancel(context.Background())
	r := &harness{t: t, clock: clock, store: storage.NewMemory(clock), ctx: ctx, cancel: cancel}
	t.Cleanup(r.stop)
	return r
}

func (r *harness) stop() {
	r.cancel()
	r.wg.Wait()
}

func (r *harness) startMember(id order.MemberID, domain order.DomainName, store storage.Store) *roster.Membership {
	m := roster.NewMembership(roster.NewMember(id, order.RolePlacer, domain, "10.1.0.1:9000"), store, r.clock)
	r.wg.Go(func() { _ = m.Run(r.ctx) })
	return m
}

// advanceUntil advances the clock until the condition holds and returns by how
// much.
func (r *harness) advanceUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	r.t.Helper()
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed <= limit; passed += step {
		for range 5 {
			if ok() {
				return passed
			}
			time.Sleep(200 * time.Microsecond)
		}
		r.clock.Advance(step)
	}
	r.t.Fatalf("%s: not within %s", what, limit)
	return 0
}

func (r *harness) advance(d time.Duration) {
	end := r.clock.Now().Add(d)
	r.advanceUntil(d+time.Second, "clock advanced", func() bool { return !r.clock.Now().Before(end) })
}

func hasMember(m *roster.Membership, id order.MemberID) bool {
	for _, member := range m.Members() {
		if member.ID() == id {
			return true
		}
	}
	return false
}

// Guards against a change of the member record's format, which other versions
// and operators depend on.
func TestMemberRecordForm(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	m := r.startMember("10.0.0.1:7000/01", "east", r.store)
	r.advanceUntil(2*time.Second, "registered", func() bool { return hasMember(m, "10.0.0.1:7000/01") })
	e, err := r.store.Get(context.Background(), "member/10.0.0.1:7000/01")
	is.NoErr(err)
	is.Equal(string(e.Value()), `{"id":"10.0.0.1:7000/01","role":"placer","domain":"east","admin":"10.1.0.1:9000"}`)
	is.Equal(m.Members()[0], m.Self())
}

// Guards against a lease that expires while the process runs, and against more
// than one keep-alive in 3 s.
func TestMemberLeaseRenewed(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	m := r.startMember("a/1", "east", r.store)
	r.advanceUntil(2*time.Second, "registered", func() bool { return hasMember(m, "a/1") })
	r.advance(30 * time.Second)
	is.True(hasMember(m, "a/1"))
	is.True(m.LeaseEnd().After(r.clock.Now()))
	calls := r.store.Calls(storage.CallKeepAlive)
	is.True(calls >= 9 && calls <= 11)
	is.Equal(r.store.Calls(storage.CallGrant), int64(1))
}

// Guards against a process that is not registered again, or under another ID,
// after an outage of the store that is longer than its lease.
func TestMemberRegistersAgain(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	m := r.startMember("a/1", "east", r.store)
	other := r.startMember("b/1", "west", r.store)
	r.advanceUntil(2*time.Second, "both registered", func() bool { return hasMember(m, "b/1") && hasMember(other, "a/1") })
	r.store.SetOutage(true)
	took := r.advanceUntil(3*time.Second, "loss noticed", func() bool { return !m.StoreReachable() })
	is.True(took <= 2*time.Second)
	r.advance(15 * time.Second)
	is.True(m.LeaseEnd().Before(r.clock.Now()))
	is.True(hasMember(m, "b/1"))
	r.store.SetOutage(false)
	r.advanceUntil(5*time.Second, "registered again", func() bool {
		e, err := r.store.Get(context.Background(), "member/a/1")
		return err == nil && e.Exists() && m.StoreReachable() && hasMember(other, "a/1") && m.LeaseEnd().After(r.clock.Now())
	})
}

// Guards against a registration that never succeeds because the response to the
// first write was lost: the record then exists already.
func TestMemberResponseLost(t *testing.T) {
	r := newHarness(t)
	r.store.LoseAnswers(2)
	m := r.startMember("a/1", "east", r.store)
	r.advanceUntil(6*time.Second, "registered", func() bool {
		return hasMember(m, "a/1") && m.LeaseEnd().After(r.clock.Now())
	})
	r.advance(20 * time.Second)
	if !hasMember(m, "a/1") {
		t.Fatal("the expired lease of the first attempt deleted the record")
	}
}

// Guards against a record that remains until its lease of 10 s expires after a
// planned stop, and against goroutines that continue after Run.
func TestMemberWithdrawn(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	r := newHarness(t)
	m := r.startMember("a/1", "east", r.store)
	r.advanceUntil(2*time.Second, "registered", func() bool { return hasMember(m, "a/1") })
	r.stop()
	e, err := r.store.Get(context.Background(), "member/a/1")
	is.NoErr(err)
	is.True(!e.Exists())
	is.True(m.LeaseEnd().IsZero())
}

// hangingStore is a store whose calls return only when their context ends while
// hanging is set.
type hangingStore struct {
	storage.Store
	mu      sync.Mutex
	hanging bool
}

func (b *hangingStore) setHanging(hanging bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hanging = hanging
}

// Watch implements storage.Store.
func (b *hangingStore) Watch(ctx context.Context, prefix string, after storage.Version, wait time.Duration) ([]storage.Event, storage.Version, error) {
	b.mu.Lock()
	hanging := b.hanging
	b.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return nil, 0, errors.Join(storage.ErrUnavailable, ctx.Err())
	}
	return b.Store.Watch(ctx, prefix, after, wait)
}

// KeepAlive implements storage.Store.
func (b *hangingStore) KeepAlive(ctx context.Context, lease storage.LeaseID) error {
	b.mu.Lock()
	hanging := b.hanging
	b.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return errors.Join(storage.ErrUncertain, ctx.Err())
	}
	return b.Store.KeepAlive(ctx, lease)
}

// Guards against an unreachable store that is detected only when a call fails:
// if packets are dropped, calls hang without an error.
func TestMemberStoreHangs(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	store := &hangingStore{Store: r.store}
	m := r.startMember("a/1", "east", store)
	r.advanceUntil(2*time.Second, "registered", func() bool { return hasMember(m, "a/1") && m.StoreReachable() })
	store.setHanging(true)
	took := r.advanceUntil(3*time.Second, "loss noticed", func() bool { return !m.StoreReachable() })
	is.True(took <= 2200*time.Millisecond)
	store.setHanging(false)
}

// unreachableStore is one process's connection to a shared store. Its calls
// fail while unreachable is set.
type unreachableStore struct {
	storage.Store
	mu          sync.Mutex
	unreachable bool
}

func (s *unreachableStore) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *unreachableStore) callError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return storage.ErrUnavailable
	}
	return nil
}

// Watch implements storage.Store.
func (s *unreachableStore) Watch(ctx context.Context, prefix string, after storage.Version, wait time.Duration) ([]storage.Event, storage.Version, error) {
	events, version, err := s.Store.Watch(ctx, prefix, after, wait)
	if callErr := s.callError(); callErr != nil {
		return nil, 0, callErr
	}
	return events, version, err
}

// KeepAlive implements storage.Store.
func (s *unreachableStore) KeepAlive(ctx context.Context, lease storage.LeaseID) error {
	if err := s.callError(); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, lease)
}
