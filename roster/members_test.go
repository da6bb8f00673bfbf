package roster_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/tide"
)

// rig drives members and peers on a manual clock.
type rig struct {
	t      *testing.T
	clock  *tide.Manual
	store  *depot.Memory
	cancel context.CancelFunc
	ctx    context.Context
	group  sync.WaitGroup
}

func newRig(t *testing.T) *rig {
	clock := tide.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{t: t, clock: clock, store: depot.NewMemory(clock), ctx: ctx, cancel: cancel}
	t.Cleanup(r.stop)
	return r
}

func (r *rig) stop() {
	r.cancel()
	r.group.Wait()
}

func (r *rig) member(id order.MemberID, domain order.DomainName, store depot.Store) *roster.Members {
	m := roster.NewMembers(roster.NewMember(id, order.RolePlacer, domain, "10.1.0.1:9000"), store, r.clock)
	r.group.Go(func() { _ = m.Run(r.ctx) })
	return m
}

// until advances the clock until the condition holds and returns the time that
// passed on it.
func (r *rig) until(limit time.Duration, what string, ok func() bool) time.Duration {
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

func (r *rig) pass(d time.Duration) {
	end := r.clock.Now().Add(d)
	r.until(d+time.Second, "time passes", func() bool { return !r.clock.Now().Before(end) })
}

func has(m *roster.Members, id order.MemberID) bool {
	for _, member := range m.Members() {
		if member.ID() == id {
			return true
		}
	}
	return false
}

// Guards against a member record in a form that other versions and operators
// do not expect.
func TestMemberRecordForm(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	m := r.member("10.0.0.1:7000/01", "east", r.store)
	r.until(2*time.Second, "registered", func() bool { return has(m, "10.0.0.1:7000/01") })
	e, err := r.store.Get(context.Background(), "member/10.0.0.1:7000/01")
	is.NoErr(err)
	is.Equal(string(e.Value()), `{"id":"10.0.0.1:7000/01","role":"placer","domain":"east","admin":"10.1.0.1:9000"}`)
	is.Equal(m.Members()[0], m.Self())
}

// Guards against a lease that runs out while the process lives, and against
// more than one keep-alive in 3 s.
func TestMemberLeaseRenewed(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	m := r.member("a/1", "east", r.store)
	r.until(2*time.Second, "registered", func() bool { return has(m, "a/1") })
	r.pass(30 * time.Second)
	is.True(has(m, "a/1"))
	is.True(m.LeaseUntil().After(r.clock.Now()))
	calls := r.store.Calls(depot.CallKeepAlive)
	is.True(calls >= 9 && calls <= 11)
	is.Equal(r.store.Calls(depot.CallGrant), int64(1))
}

// Guards against a process that stays unregistered after an outage longer than
// its lease, or comes back under another ID.
func TestMemberRegistersAgain(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	m := r.member("a/1", "east", r.store)
	other := r.member("b/1", "west", r.store)
	r.until(2*time.Second, "both registered", func() bool { return has(m, "b/1") && has(other, "a/1") })
	r.store.SetOutage(true)
	took := r.until(3*time.Second, "loss noticed", func() bool { return !m.StoreReachable() })
	is.True(took <= 2*time.Second)
	r.pass(15 * time.Second)
	is.True(m.LeaseUntil().Before(r.clock.Now()))
	is.True(has(m, "b/1"))
	r.store.SetOutage(false)
	r.until(5*time.Second, "registered again", func() bool {
		e, err := r.store.Get(context.Background(), "member/a/1")
		return err == nil && e.Exists() && m.StoreReachable() && has(other, "a/1") && m.LeaseUntil().After(r.clock.Now())
	})
}

// Guards against a registration that fails for good because the answer to the
// first write was lost.
func TestMemberAnswerLost(t *testing.T) {
	r := newRig(t)
	r.store.LoseAnswers(2)
	m := r.member("a/1", "east", r.store)
	r.until(6*time.Second, "registered", func() bool {
		return has(m, "a/1") && m.LeaseUntil().After(r.clock.Now())
	})
	r.pass(20 * time.Second)
	if !has(m, "a/1") {
		t.Fatal("the lease of the first try ended the record")
	}
}

// Guards against a record that stays for 10 s after a planned stop, and against
// goroutines that outlive Run.
func TestMemberWithdrawn(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	r := newRig(t)
	m := r.member("a/1", "east", r.store)
	r.until(2*time.Second, "registered", func() bool { return has(m, "a/1") })
	r.stop()
	e, err := r.store.Get(context.Background(), "member/a/1")
	is.NoErr(err)
	is.True(!e.Exists())
	is.True(m.LeaseUntil().IsZero())
}

// blackhole is a store that does not answer at all while it is on.
type blackhole struct {
	depot.Store
	mu sync.Mutex
	on bool
}

func (b *blackhole) set(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.on = on
}

// Watch implements depot.Store.
func (b *blackhole) Watch(ctx context.Context, prefix string, after depot.Version, wait time.Duration) ([]depot.Event, depot.Version, error) {
	b.mu.Lock()
	on := b.on
	b.mu.Unlock()
	if on {
		<-ctx.Done()
		return nil, 0, errors.Join(depot.ErrUnavailable, ctx.Err())
	}
	return b.Store.Watch(ctx, prefix, after, wait)
}

// KeepAlive implements depot.Store.
func (b *blackhole) KeepAlive(ctx context.Context, lease depot.LeaseID) error {
	b.mu.Lock()
	on := b.on
	b.mu.Unlock()
	if on {
		<-ctx.Done()
		return errors.Join(depot.ErrUncertain, ctx.Err())
	}
	return b.Store.KeepAlive(ctx, lease)
}

// Guards against a lost store that is noticed only when a call fails: behind a
// cut link no error arrives.
func TestMemberStoreSilent(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	store := &blackhole{Store: r.store}
	m := r.member("a/1", "east", store)
	r.until(2*time.Second, "registered", func() bool { return has(m, "a/1") && m.StoreReachable() })
	store.set(true)
	took := r.until(3*time.Second, "loss noticed", func() bool { return !m.StoreReachable() })
	is.True(took <= 2200*time.Millisecond)
	store.set(false)
}

// cutStore is the link of one process to the store, which can be cut.
type cutStore struct {
	depot.Store
	mu  sync.Mutex
	cut bool
}

func (s *cutStore) set(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *cutStore) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return depot.ErrUnavailable
	}
	return nil
}

// Watch implements depot.Store.
func (s *cutStore) Watch(ctx context.Context, prefix string, after depot.Version, wait time.Duration) ([]depot.Event, depot.Version, error) {
	events, version, err := s.Store.Watch(ctx, prefix, after, wait)
	if cut := s.err(); cut != nil {
		return nil, 0, cut
	}
	return events, version, err
}

// KeepAlive implements depot.Store.
func (s *cutStore) KeepAlive(ctx context.Context, lease depot.LeaseID) error {
	if err := s.err(); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, lease)
}
