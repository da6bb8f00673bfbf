package simulator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhollow/simulator"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// storePair is an in-memory store and one behind HTTP that receive the same
// calls and share a clock. The replica follows the second store by watching it.
type storePair struct {
	t              *rapid.T
	clock          *timers.Manual
	memory         *storage.Memory
	server         *simulator.Store
	client         *storage.Client
	leases         []storage.LeaseID
	replica        map[string]string
	replicaVersion storage.Version
}

const prefix = "a/"

var keys = []string{"a/1", "a/2", "a/ü?&=/%", "b"}

func (w *storePair) key() string { return rapid.SampledFrom(keys).Draw(w.t, "key") }

func (w *storePair) lease() storage.LeaseID {
	choices := append([]storage.LeaseID{0, 99}, w.leases...)
	return rapid.SampledFrom(choices).Draw(w.t, "lease")
}

// expected returns the current version of the key, or sometimes a random one.
func (w *storePair) expected(key string) storage.Version {
	if rapid.IntRange(0, 3).Draw(w.t, "stale") == 0 {
		return storage.Version(rapid.IntRange(0, 9).Draw(w.t, "version"))
	}
	entry, err := w.memory.Get(context.Background(), key)
	if err != nil {
		w.t.Fatal(err)
	}
	return entry.Version()
}

// checkSame fails the test unless the call returned the same result and the
// same class of error from both stores.
func (w *storePair) checkSame(call string, a, b any, errA, errB error) {
	if errorClass(errA) != errorClass(errB) || (errA == nil && fmt.Sprint(a) != fmt.Sprint(b)) {
		w.t.Fatalf("%s: %v, %v in memory; %v, %v by HTTP", call, a, errA, b, errB)
	}
}

func errorClass(err error) error {
	for _, known := range []error{storage.ErrConflict, storage.ErrCompacted, storage.ErrLeaseEnded, storage.ErrValueTooLarge} {
		if errors.Is(err, known) {
			return known
		}
	}
	return err
}

func (w *storePair) swap(ctx context.Context) {
	key, lease := w.key(), w.lease()
	expected := w.expected(key)
	value := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(w.t, "value")
	a, errA := w.memory.Swap(ctx, key, expected, value, lease)
	b, errB := w.client.Swap(ctx, key, expected, value, lease)
	w.checkSame("swap", a, b, errA, errB)
}

func (w *storePair) remove(ctx context.Context) {
	key := w.key()
	expected := w.expected(key)
	w.checkSame("delete", nil, nil, w.memory.Delete(ctx, key, expected), w.client.Delete(ctx, key, expected))
}

func (w *storePair) grant(ctx context.Context) {
	ttl := time.Duration(rapid.IntRange(1, 10).Draw(w.t, "ttl")) * time.Second
	a, errA := w.memory.Grant(ctx, ttl)
	b, errB := w.client.Grant(ctx, ttl)
	w.checkSame("grant", a, b, errA, errB)
	w.leases = append(w.leases, a)
}

func (w *storePair) keepAlive(ctx context.Context) {
	lease := w.lease()
	w.checkSame("keep alive", nil, nil, w.memory.KeepAlive(ctx, lease), w.client.KeepAlive(ctx, lease))
}

func (w *storePair) revoke(ctx context.Context) {
	lease := w.lease()
	w.checkSame("revoke", nil, nil, w.memory.Revoke(ctx, lease), w.client.Revoke(ctx, lease))
}

func (w *storePair) list(ctx context.Context) {
	a, versionA, errA := w.memory.List(ctx, prefix)
	b, versionB, errB := w.client.List(ctx, prefix)
	w.checkSame("list", a, b, errA, errB)
	w.checkSame("version of list", versionA, versionB, nil, nil)
}

// watch applies the new events to the replica and compares it with a listing.
// After a compaction the replica is replaced by the listing.
func (w *storePair) watch(ctx context.Context) {
	a, reachedA, errA := w.memory.Watch(ctx, prefix, w.replicaVersion, 0)
	b, reachedB, errB := w.client.Watch(ctx, prefix, w.replicaVersion, 0)
	w.checkSame("watch", a, b, errA, errB)
	w.checkSame("version of watch", reachedA, reachedB, errA, errB)
	entries, version, err := w.client.List(ctx, prefix)
	if err != nil {
		w.t.Fatal(err)
	}
	listed := make(map[string]string)
	for _, entry := range entries {
		listed[entry.Key()] = string(entry.Value())
	}
	w.replicaVersion = version
	if errors.Is(errB, storage.ErrCompacted) {
		w.replica = listed
		return
	}
	for _, event := range b {
		w.replica[event.Entry().Key()] = string(event.Entry().Value())
		if event.Deleted() {
			delete(w.replica, event.Entry().Key())
		}
	}
	if fmt.Sprint(w.replica) != fmt.Sprint(listed) {
		w.t.Fatalf("watched %v, listed %v", w.replica, listed)
	}
}

// Guards against an HTTP client or server that behaves differently from the
// in-memory store, and against a watch that misses a change.
func TestStoreHTTPMatchesMemory(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		clock := timers.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
		w := &storePair{t: rt, clock: clock, replica: make(map[string]string)}
		w.memory = storage.NewMemory(clock, storage.WithRetained(6))
		w.server = simulator.NewStore(clock, storage.WithRetained(6))
		server := httptest.NewServer(w.server)
		defer server.Close()
		w.client = storage.NewClient(server.URL)
		defer w.client.Close()
		rt.Repeat(map[string]func(*rapid.T){
			"swap":       func(*rapid.T) { w.swap(ctx) },
			"delete":     func(*rapid.T) { w.remove(ctx) },
			"grant":      func(*rapid.T) { w.grant(ctx) },
			"keep alive": func(*rapid.T) { w.keepAlive(ctx) },
			"revoke":     func(*rapid.T) { w.revoke(ctx) },
			"list":       func(*rapid.T) { w.list(ctx) },
			"watch":      func(*rapid.T) { w.watch(ctx) },
			"time":       func(*rapid.T) { clock.Advance(time.Second) },
		})
	})
}
