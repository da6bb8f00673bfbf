package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"chervilhollow/gateway"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// processState implements the dependencies of an Admission with settable
// values.
type processState struct {
	mu                sync.Mutex
	leaseEnd          time.Time
	majorityLostStore bool
	revision          order.Revision
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (s *processState) LeaseEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseEnd
}

func (s *processState) MajorityLostStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.majorityLostStore
}

func (s *processState) Revision() order.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *processState) set(leaseEnd time.Time, majorityLostStore bool, revision order.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseEnd, s.majorityLostStore, s.revision = leaseEnd, majorityLostStore, revision
}

// putRoot sets the revision of the configuration in the store.
func putRoot(t *testing.T, store storage.Store, revision order.Revision) {
	t.Helper()
	ctx := context.Background()
	entry, err := store.Get(ctx, "config/root")
	if err != nil {
		t.Fatal(err)
	}
	value, _ := json.Marshal(map[string]any{"revision": revision})
	if _, err := store.Swap(ctx, "config/root", entry.Version(), value, 0); err != nil {
		t.Fatal(err)
	}
}

// eventually fails the test if the condition does not hold within 10 s.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if cond() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal("timed out waiting for: " + what)
}

// Guards against a gate that accepts a withdrawn key: when its lease has
// expired, a change of the configuration takes effect without it.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	clock := timers.NewManual(start)
	store := storage.NewMemory(clock)
	putRoot(t, store, 5)
	state := &processState{}
	a := gateway.NewAdmission(state, state, state.Revision, store, clock, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	tickAndCheck := func() bool {
		clock.Advance(100 * time.Millisecond)
		return a.MayAccept()
	}
	expectRefused := func() {
		for range 20 {
			is.True(!tickAndCheck())
			time.Sleep(time.Millisecond)
		}
	}
	expectRefused()
	state.set(clock.Now().Add(time.Minute), false, 4)
	expectRefused()
	state.set(clock.Now().Add(time.Minute), false, 5)
	eventually(t, "acceptance with the configuration of the store", tickAndCheck)

	// The process is paused beyond the end of its lease. When it resumes, the
	// lease is renewed before the newer configuration is received.
	putRoot(t, store, 6)
	clock.Advance(2 * time.Minute)
	state.set(clock.Now().Add(time.Minute), false, 5)
	expectRefused()
	state.set(clock.Now().Add(time.Minute), false, 6)
	eventually(t, "acceptance after the pause", tickAndCheck)

	// The lease expires in an outage of the store that most members report.
	clock.Advance(2 * time.Minute)
	expectRefused()
	state.set(time.Time{}, true, 6)
	is.True(a.MayAccept())
}

// Guards against a gate that sends to a former owner after a change of the
// owner or an outage of the store.
func TestDirectory(t *testing.T) {
	is := is.New(t)
	clock := timers.New()
	store := storage.NewMemory(clock)
	put := func(partition order.PartitionID, owner string, epoch int) {
		entry, err := store.Get(context.Background(), "partition/"+string(partition))
		is.NoErr(err)
		value := fmt.Sprintf(`{"owner":%q,"standby":"s","epoch":%d}`, owner, epoch)
		_, err = store.Swap(context.Background(), entry.Key(), entry.Version(), []byte(value), 0)
		is.NoErr(err)
	}
	put("r/03", "10.0.0.1:7000/a", 1)
	put("g/east/1", "10.0.0.1:7000/a", 1)
	d := gateway.NewDirectory(store, clock, gauge.New(zerolog.Nop()), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	owns := func(owner order.MemberID, epoch order.Epoch) func() bool {
		return func() bool {
			o, e, ok := d.Owner("r/03")
			return ok && o == owner && e == epoch
		}
	}
	eventually(t, "first owner", owns("10.0.0.1:7000/a", 1))
	put("r/03", "10.0.0.2:7000/b", 2)
	eventually(t, "second owner", owns("10.0.0.2:7000/b", 2))
	store.SetOutage(true)
	is.True(owns("10.0.0.2:7000/b", 2)())
	store.SetOutage(false)
	put("r/03", "10.0.0.3:7000/c", 3)
	eventually(t, "owner after the outage", owns("10.0.0.3:7000/c", 3))
	_, _, ok := d.Owner("g/east/1")
	is.True(!ok)
}
