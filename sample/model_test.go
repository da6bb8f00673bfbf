package sample_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhollow/depot"
	"chervilhollow/sample"
	"chervilhollow/tide"
)

// twins are a store in memory and one behind HTTP that get the same calls on
// one clock, and a copy of the second one that a watch keeps.
type twins struct {
	t       *rapid.T
	clock   *tide.Manual
	memory  *depot.Memory
	server  *sample.Store
	client  *depot.Client
	leases  []depot.LeaseID
	copied  map[string]string
	watched depot.Version
}

const prefix = "a/"

var keys = []string{"a/1", "a/2", "a/ü?&=/%", "b"}

func (w *twins) key() string { return rapid.SampledFrom(keys).Draw(w.t, "key") }

func (w *twins) lease() depot.LeaseID {
	choices := append([]depot.LeaseID{0, 99}, w.leases...)
	return rapid.SampledFrom(choices).Draw(w.t, "lease")
}

// expected returns the present version of the key, or now and then another.
func (w *twins) expected(key string) depot.Version {
	if rapid.IntRange(0, 3).Draw(w.t, "stale") == 0 {
		return depot.Version(rapid.IntRange(0, 9).Draw(w.t, "version"))
	}
	entry, err := w.memory.Get(context.Background(), key)
	if err != nil {
		w.t.Fatal(err)
	}
	return entry.Version()
}

// same compares the results of one call.
func (w *twins) same(what string, a, b any, errA, errB error) {
	if class(errA) != class(errB) || (errA == nil && fmt.Sprint(a) != fmt.Sprint(b)) {
		w.t.Fatalf("%s: %v, %v in memory; %v, %v by HTTP", what, a, errA, b, errB)
	}
}

func class(err error) error {
	for _, known := range []error{depot.ErrConflict, depot.ErrCompacted, depot.ErrLeaseEnded, depot.ErrValueTooLarge} {
		if errors.Is(err, known) {
			return known
		}
	}
	return err
}

func (w *twins) swap(ctx context.Context) {
	key, lease := w.key(), w.lease()
	expected := w.expected(key)
	value := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(w.t, "value")
	a, errA := w.memory.Swap(ctx, key, expected, value, lease)
	b, errB := w.client.Swap(ctx, key, expected, value, lease)
	w.same("swap", a, b, errA, errB)
}

func (w *twins) remove(ctx context.Context) {
	key := w.key()
	expected := w.expected(key)
	w.same("delete", nil, nil, w.memory.Delete(ctx, key, expected), w.client.Delete(ctx, key, expected))
}

func (w *twins) grant(ctx context.Context) {
	ttl := time.Duration(rapid.IntRange(1, 10).Draw(w.t, "ttl")) * time.Second
	a, errA := w.memory.Grant(ctx, ttl)
	b, errB := w.client.Grant(ctx, ttl)
	w.same("grant", a, b, errA, errB)
	w.leases = append(w.leases, a)
}

func (w *twins) keepAlive(ctx context.Context) {
	lease := w.lease()
	w.same("keep alive", nil, nil, w.memory.KeepAlive(ctx, lease), w.client.KeepAlive(ctx, lease))
}

func (w *twins) revoke(ctx context.Context) {
	lease := w.lease()
	w.same("revoke", nil, nil, w.memory.Revoke(ctx, lease), w.client.Revoke(ctx, lease))
}

func (w *twins) list(ctx context.Context) {
	a, versionA, errA := w.memory.List(ctx, prefix)
	b, versionB, errB := w.client.List(ctx, prefix)
	w.same("list", a, b, errA, errB)
	w.same("version of list", versionA, versionB, nil, nil)
}

// watch brings the copy up to date and compares it with the store.
func (w *twins) watch(ctx context.Context) {
	a, reachedA, errA := w.memory.Watch(ctx, prefix, w.watched, 0)
	b, reachedB, errB := w.client.Watch(ctx, prefix, w.watched, 0)
	w.same("watch", a, b, errA, errB)
	w.same("version of watch", reachedA, reachedB, errA, errB)
	entries, version, err := w.client.List(ctx, prefix)
	if err != nil {
		w.t.Fatal(err)
	}
	listed := make(map[string]string)
	for _, entry := range entries {
		listed[entry.Key()] = string(entry.Value())
	}
	w.watched = version
	if errors.Is(errB, depot.ErrCompacted) {
		w.copied = listed
		return
	}
	for _, event := range b {
		w.copied[event.Entry().Key()] = string(event.Entry().Value())
		if event.Deleted() {
			delete(w.copied, event.Entry().Key())
		}
	}
	if fmt.Sprint(w.copied) != fmt.Sprint(listed) {
		w.t.Fatalf("watched %v, listed %v", w.copied, listed)
	}
}

// Guards against a client or stand-in that means something else by a call
// than the store in memory, and against a watch that misses a change.
func TestStoreByHTTPEqualsMemory(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		clock := tide.NewManual(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
		w := &twins{t: rt, clock: clock, copied: make(map[string]string)}
		w.memory = depot.NewMemory(clock, depot.WithRetained(6))
		w.server = sample.NewStore(clock, depot.WithRetained(6))
		server := httptest.NewServer(w.server)
		defer server.Close()
		w.client = depot.NewClient(server.URL)
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
