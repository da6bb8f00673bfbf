package simulator_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/simulator"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

func newStore(t *testing.T, opts ...storage.ClientOption) (*simulator.Store, *storage.Client, string) {
	t.Helper()
	store := simulator.NewStore(timers.New())
	server := httptest.NewServer(store)
	client := storage.NewClient(server.URL, opts...)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return store, client, server.URL
}

func post(t *testing.T, url, body string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("POST %s: %s", url, response.Status)
	}
}

// Guards against store calls whose arguments, results or errors differ after
// they pass through the HTTP protocol: keys with special characters, values of
// the largest size, conflicts, ended leases and compaction.
func TestStoreCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c, _ := newStore(t)
	lease, err := c.Grant(ctx, time.Minute)
	is.NoErr(err)
	is.NoErr(c.KeepAlive(ctx, lease))
	large := bytes.Repeat([]byte{0, 255}, storage.MaxValue/2)
	v, err := c.Swap(ctx, "a b/ü?&", 0, large, lease)
	is.NoErr(err)
	_, err = c.Swap(ctx, "a b/ü?&", 0, nil, 0)
	is.True(errors.Is(err, storage.ErrConflict))
	_, err = c.Swap(ctx, "b", 0, append(large, 0), 0)
	is.True(errors.Is(err, storage.ErrValueTooLarge))
	e, err := c.Get(ctx, "a b/ü?&")
	is.NoErr(err)
	is.True(bytes.Equal(e.Value(), large))
	is.Equal(e.Version(), v)
	entries, at, err := c.List(ctx, "a b/")
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.NoErr(c.Revoke(ctx, lease))
	is.True(errors.Is(c.KeepAlive(ctx, lease), storage.ErrLeaseEnded))
	events, _, err := c.Watch(ctx, "a b/", at, time.Second)
	is.NoErr(err)
	is.Equal(len(events), 1)
	is.True(events[0].Deleted())
	is.True(errors.Is(c.Delete(ctx, "a b/ü?&", v), storage.ErrConflict))
	_, _, err = c.Watch(ctx, "a b/", at+1000, time.Second)
	is.True(errors.Is(err, storage.ErrCompacted))
}

// Guards against wrong error classes: a write without a response may have taken
// effect and is uncertain, but a write over a refused connection did not.
func TestStoreErrorClasses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c, url := newStore(t, storage.WithTimeout(100*time.Millisecond))
	post(t, url+"/switch", `{"lose_answers": 1}`)
	_, err := c.Swap(ctx, "a", 0, []byte("1"), 0)
	is.True(errors.Is(err, storage.ErrUncertain))
	e, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(e.Value()), "1")

	post(t, url+"/switch", `{"outage": true}`)
	_, err = c.Swap(ctx, "b", 0, nil, 0)
	is.True(errors.Is(err, storage.ErrUnavailable))
	is.True(!errors.Is(err, storage.ErrUncertain))

	post(t, url+"/switch", `{"outage": false, "slow_ms": 300}`)
	_, err = c.Swap(ctx, "c", 0, nil, 0)
	is.True(errors.Is(err, storage.ErrUncertain))
	_, err = c.Get(ctx, "c")
	is.True(errors.Is(err, storage.ErrUnavailable))
	_, _, err = c.Watch(ctx, "c", 0, 10*time.Millisecond)
	is.True(errors.Is(err, storage.ErrUnavailable))
	post(t, url+"/switch", `{"slow_ms": 0}`)
	_, _, err = c.Watch(ctx, "c", 1, 2*time.Second)
	is.NoErr(err)
	e, err = c.Get(ctx, "c")
	is.NoErr(err)
	is.True(e.Exists()) // the late write took effect

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	refused := storage.NewClient("http://" + address)
	_, err = refused.Swap(ctx, "a", 0, nil, 0)
	is.True(errors.Is(err, storage.ErrUnavailable))
	is.True(!errors.Is(err, storage.ErrUncertain))
}
